package sched

import (
	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Instant is one moment by two clocks.
type Instant struct {
	// Elapsed is a monotonic clock that also runs while the machine is suspended.
	Elapsed croft.Millis
	// Wall is the time of day.
	Wall croft.Millis
}

// Event is something that the planner has to react to.
type Event interface{ event() }

type eventMark struct{}

// eventMark makes the struct that embeds it an Event.

func (eventMark) event() {}

// LeadershipAcquired reports that this entry has become the leader.
type LeadershipAcquired struct {
	eventMark
	// Fence is the fencing token for all orders of this term.
	Fence uint64
	// Term counts the terms of all leaders, this one included.
	Term int
	// VMOrdersFrom is when the leader may begin to give orders for VMs, by Instant.Elapsed.
	VMOrdersFrom croft.Millis
}

// LeadershipLost reports that this entry is not the leader any more, so that its state may be out of date.
type LeadershipLost struct{ eventMark }

// Ticked is sent at regular intervals, for work that depends on time.
type Ticked struct{ eventMark }

// Woken is sent when the duration of a Wake has passed.
type Woken struct{ eventMark }

// ConfigRead has the operator's configuration.
type ConfigRead struct {
	eventMark
	Config croft.QueueConfig
}

// WavesRead has maintenance waves that the operator requested.
type WavesRead struct {
	eventMark
	// Whole reports that this is the first read of the waves, which may have been requested long before.
	Whole bool
	Waves []croft.Wave
}

// WorkersRead has changes of the registry of executors.
type WorkersRead struct {
	eventMark
	Changes croft.WorkerChanges
}

// JobRow is a submitted job with its progress.
type JobRow struct {
	ID croft.JobID
	// Part is the partition of the store that holds the job's rows.
	Part string
	// Version is the version of the state row.
	Version  uint64
	Record   jobs.Record
	Progress jobs.Progress
}

// JobsRead has submitted jobs.
type JobsRead struct {
	eventMark
	// Whole reports that these are all jobs that were stored before the entry became the leader.
	Whole bool
	Jobs  []JobRow
}

// JobsCancelled has jobs that their callers cancelled.
type JobsCancelled struct {
	eventMark
	IDs []croft.JobID
}

// WaveRowsRead has what former leaders stored about waves.
type WaveRowsRead struct {
	eventMark
	// Begun has the VMs whose maintenance has begun, by wave.
	Begun map[int][]croft.VMID
	// Ordered has the VMs for which orders of former leaders may still take effect, by wave.
	Ordered map[int][]croft.VMID
}

// FleetRead has the platform's list of VMs.
type FleetRead struct {
	eventMark
	// RequestedAt is when the list was requested.
	RequestedAt croft.Millis
	// VMs is nil if the request failed.
	VMs []croft.FleetVM
}

// Held is the outcome of a Hold.
type Held struct {
	eventMark
	Hold
	Report croft.HoldReport
	Err    error
}

// Started is the outcome of a Start.
type Started struct {
	eventMark
	Start
	// Clock is the time by the executor's clock, zero without an answer.
	Clock croft.Millis
	Err   error
}

// Stopped is the outcome of a Stop.
type Stopped struct {
	eventMark
	Stop
	Err error
}

// Committed is the outcome of a Commit.
type Committed struct {
	eventMark
	Commit
	// Version is the new version of the rows.
	Version uint64
	Err     error
}

// Ordered is the outcome of an OrderVM.
type Ordered struct {
	eventMark
	OrderVM
	Err error
}

// Advised is the outcome of an Advise.
type Advised struct {
	eventMark
	Advise
	// Tickets has a ticket for each worker on which the stage may run.
	Tickets map[croft.WorkerID]string
	// Valid is how long the tickets are valid, from the time of the request.
	Valid croft.Millis
	Err   error
}

// Effect is something for the planner's caller to carry out; some effects are answered by an event.
type Effect interface{ effect() }

type effectMark struct{}

// effectMark makes the struct that embeds it an Effect.

func (effectMark) effect() {}

// Hold renews the lease of an executor and requests its lists of active and ended runs, answered by Holding.
type Hold struct {
	effectMark
	Order croft.HoldOrder
	// Sent is when the planner emitted it.
	Sent croft.Millis
	// Check reports that this is an additional request beside the pending hold, answered at once, to find out whether
	// runs have stopped.
	Check bool
}

// Start starts a run, answered by Started.
type Start struct {
	effectMark
	Order croft.RunOrder
}

// Stop stops a run, answered by Stopped.
type Stop struct {
	effectMark
	Order croft.RunOrder
}

// Pace limits the processor share of a run. It is not answered: if it is lost, a later one sets the share.
type Pace struct {
	effectMark
	Order croft.RunOrder
}

// Advise requests tickets for the workers on which a stage may run, answered by Advised.
type Advise struct {
	effectMark
	// Stage is the ID of the stage's first task.
	Stage   croft.TaskID
	Workers []croft.WorkerID
	// Born has the start time of each worker's incarnation, in the order of Workers.
	Born []int64
	Sent croft.Millis
}

// Commit writes rows of one partition of the store in a transaction, answered by Committed.
type Commit struct {
	effectMark
	Part string
	Ops  []croft.Op
	// Writes describes the job states among Ops.
	Writes []Write
}

// Write describes the state of one job within a Commit.
type Write struct {
	ID croft.JobID
	// Sequence is the last change of the job that the state includes.
	Sequence uint64
	// Announced reports that the state allows starts of the job's tasks, Began that a task has begun.
	Announced, Began bool
}

// ListFleet requests the platform's list of VMs, answered by FleetRead.
type ListFleet struct {
	effectMark
	RequestedAt croft.Millis
}

// OrderVM orders the move or the maintenance of a VM, answered by Ordered.
type OrderVM struct {
	effectMark
	Order croft.FleetOrder
}

// ReportWave stores and publishes the state of a wave, answered by WaveStored.
type ReportWave struct {
	effectMark
	Number   int
	Finished bool
	// Begun has the VMs whose maintenance has begun.
	Begun []croft.VMID
	// Ordered has the VMs that may be ordered once this is stored.
	Ordered []croft.VMID
}

// WaveStored reports that a ReportWave, or a later one of the same wave, is stored.
type WaveStored struct {
	eventMark
	ReportWave
}

// StepDown ends the leadership because a higher fencing token has been seen.
type StepDown struct{ effectMark }

// PublishLoads sends the load of each queue to the entries.
type PublishLoads struct {
	effectMark
	Loads map[croft.QueueID]Load
	// Shared reports that other entries need the loads too, since queues refuse jobs or have just ceased to.
	Shared bool
}

// Load is the load of a queue.
type Load struct {
	// Waiting counts the jobs that have not begun, and Oldest is the longest time that one of them has waited.
	Waiting int          `json:",omitempty"`
	Oldest  croft.Millis `json:",omitempty"`
	// Wait is how long the caller of a refused job should wait before it tries again.
	Wait croft.Millis
	// Refuse reports that new jobs are refused, since they would end too late to be of use.
	Refuse bool
}

// Wake requests a Woken event after a duration.
type Wake struct {
	effectMark
	After croft.Millis
}

// Log writes a log line about a decision.
type Log struct {
	effectMark
	croft.Decision
}
