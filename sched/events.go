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

// Event is an input of the planner: something that happened or that was read.
type Event interface{ event() }

// eventMarker is embedded in a type to make it an Event.
type eventMarker struct{}

func (eventMarker) event() {}

// LeadershipAcquired reports that this entry has become the leader.
type LeadershipAcquired struct {
	eventMarker
	// Fence is the fencing token for all orders of this term.
	Fence uint64
	// Term counts the terms of all leaders, this one included.
	Term int
	// VMOrdersFrom is when the leader may begin to give orders for VMs, by Instant.Elapsed.
	VMOrdersFrom croft.Millis
}

// LeadershipLost reports that this entry is not the leader any more; the planner then drops its leader state.
type LeadershipLost struct{ eventMarker }

// Ticked is sent at regular intervals, for work that depends on time.
type Ticked struct {
	eventMarker
	// DoubtFrom is from when on another entry may have taken over, by Instant.Elapsed; zero if that is not known.
	DoubtFrom croft.Millis
	// Fence is the fencing token that the last renewal of the leadership has brought, zero if there is none.
	Fence uint64
}

// Woken is sent when the duration of a Wake has passed.
type Woken struct{ eventMarker }

// ConfigRead contains the operator's configuration.
type ConfigRead struct {
	eventMarker
	Config croft.QueueConfig
}

// WavesRead contains maintenance waves that the operator requested.
type WavesRead struct {
	eventMarker
	// Whole reports that this is the first read of the waves, which may have been requested long before.
	Whole bool
	Waves []croft.Wave
}

// WorkersRead contains changes in the registry of executors.
type WorkersRead struct {
	eventMarker
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
	// Encoded is the stored value of the record; if it is set, Record is not, and the planner decodes it.
	Encoded []byte
}

// JobsRead contains submitted jobs.
type JobsRead struct {
	eventMarker
	// Whole reports that these are all jobs that were stored before the entry became the leader.
	Whole bool
	Jobs  []JobRow
}

// JobsCancelled contains jobs that their callers cancelled.
type JobsCancelled struct {
	eventMarker
	IDs []croft.JobID
}

// WaveRowsRead contains what former leaders stored about waves: all of it at the start of a term, or a row that was found to
// be written since.
type WaveRowsRead struct {
	eventMarker
	// Begun has the VMs whose maintenance has begun, by wave.
	Begun map[int][]croft.VMID
	// Ordered has the VMs for which orders of former leaders may still take effect, by wave.
	Ordered map[int][]croft.VMID
	// Departed has the VMs that have left for good, by wave.
	Departed map[int][]croft.VMID
	// Requested is when each wave was requested, as Unix time; zero or missing if that was not stored.
	Requested map[int]croft.Millis
}

// FleetRead is the outcome of a ListFleet: the platform's list of VMs.
type FleetRead struct {
	eventMarker
	// RequestedAt is when the list was requested, by Instant.Elapsed.
	RequestedAt croft.Millis
	// VMs is nil if the request failed.
	VMs []croft.FleetVM
}

// Held is the outcome of a Hold.
type Held struct {
	eventMarker
	Hold
	Report croft.HoldReport
	Err    error
}

// Started is the outcome of a Start.
type Started struct {
	eventMarker
	Start
	// Clock is the time by the executor's clock, zero without an answer.
	Clock croft.Millis
	Err   error
}

// Stopped is the outcome of a Stop.
type Stopped struct {
	eventMarker
	Stop
	Err error
}

// Committed is the outcome of a Commit.
type Committed struct {
	eventMarker
	Commit
	// Version is the new version of the rows.
	Version uint64
	Err     error
}

// Ordered is the outcome of an OrderVM.
type Ordered struct {
	eventMarker
	OrderVM
	Err error
}

// Advised is the outcome of an Advise.
type Advised struct {
	eventMarker
	Advise
	// Tickets has a ticket for each worker on which the stage may run.
	Tickets map[croft.WorkerID]string
	// Valid is how long the tickets are valid, counted from when the request was sent.
	Valid croft.Millis
	Err   error
}

// Effect is an action that the planner requests from its caller; the outcome of most effects comes back as an event.
type Effect interface{ effect() }

// effectMarker is embedded in a type to make it an Effect.
type effectMarker struct{}

func (effectMarker) effect() {}

// Hold renews the lease of an executor and requests its lists of active and ended runs, answered by Held.
type Hold struct {
	effectMarker
	Order croft.HoldOrder
	// Sent is when the planner emitted the hold, by Instant.Elapsed.
	Sent croft.Millis
	// Check reports that this is an additional request beside the pending hold, which the executor answers at once. It
	// shows whether runs have stopped.
	Check bool
}

// Start starts a run, answered by Started.
type Start struct {
	effectMarker
	Order croft.RunOrder
	// Sent is when the planner emitted the start, by Instant.Elapsed.
	Sent croft.Millis
}

// Stop stops a run, answered by Stopped.
type Stop struct {
	effectMarker
	Order croft.RunOrder
}

// Pace limits the processor share of a run. It is not answered: if it is lost, a later one sets the share.
type Pace struct {
	effectMarker
	Order croft.RunOrder
}

// Advise requests tickets for the workers on which a stage may run, answered by Advised.
type Advise struct {
	effectMarker
	// Stage is the ID of the stage's first task.
	Stage   croft.TaskID
	Workers []croft.WorkerID
	// Born has the start time of each worker's incarnation, in the order of Workers, since the tickets are valid for
	// that incarnation only.
	Born []int64
	Sent croft.Millis
}

// Commit writes rows of one partition of the store in a transaction, answered by Committed.
type Commit struct {
	effectMarker
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
	effectMarker
	RequestedAt croft.Millis
}

// OrderVM orders the move or the maintenance of a VM, answered by Ordered.
type OrderVM struct {
	effectMarker
	Order croft.FleetOrder
}

// ReportWave stores and publishes the state of a wave, answered by WaveStored.
type ReportWave struct {
	effectMarker
	Number   int
	Finished bool
	// Begun has the VMs whose maintenance has begun.
	Begun []croft.VMID
	// Ordered has the VMs that may be ordered once this is stored.
	Ordered []croft.VMID
	// Departed has the VMs that have left for good.
	Departed []croft.VMID
	// Requested is when the wave was requested, as Unix time.
	Requested croft.Millis
}

// WaveStored reports that a ReportWave, or a later one of the same wave, is stored.
type WaveStored struct {
	eventMarker
	ReportWave
}

// StepDown ends the leadership because a higher fencing token has been seen.
type StepDown struct{ effectMarker }

// PublishLoads sends the load of each queue to the entries.
type PublishLoads struct {
	effectMarker
	Loads map[croft.QueueID]Load
	// Organisations has the rates of the organisations that have submitted jobs lately.
	Organisations map[croft.OrganisationID]OrganisationLoad
	// Uses is what each organisation may have running, for the metrics of this entry.
	Uses map[croft.OrganisationID]croft.Resources
	// ParkedJobs counts the jobs that are parked, and OpenTasks the tasks that are held in memory, for the metrics of this entry.
	ParkedJobs, OpenTasks int
	// RecordBytes is the memory of the records of jobs without open tasks.
	RecordBytes int
	// Shared reports that other entries need the loads too, since queues refuse jobs or have just ceased to, or the leader is new.
	Shared bool
}

// Load is the load of a queue.
type Load struct {
	// Waiting counts the jobs that have not begun, and Oldest is the longest time that one of them has waited.
	Waiting int          `json:",omitempty"`
	Oldest  croft.Millis `json:",omitempty"`
	// Wait is how long the caller of a refused job should wait before it tries again.
	Wait croft.Millis
	// Refuse reports that new jobs are refused, since they would end too late to be of use, or since the records of waiting jobs take too
	// much memory. The former is not used in deployments with organisations.
	Refuse bool
	// Admitted is the fraction of an organisation's jobs that entries admit, for organisations that are limited.
	Admitted map[croft.OrganisationID]float64 `json:",omitempty"`
	// Ahead is the minimum time that the work ahead of a new job takes: one that is of no use after it is refused. It is only
	// used in deployments with organisations.
	Ahead croft.Millis `json:",omitempty"`
}

// OrganisationLoad describes the jobs of an organisation.
type OrganisationLoad struct {
	// Accepted and Offered are the rates of accepted jobs and, as estimated, of submissions, per second.
	Accepted, Offered float64
	// Admitted is the fraction of the jobs that entries admit.
	Admitted float64
}

// ReportWindow tells how many starts may be in flight.
type ReportWindow struct {
	effectMarker
	// Limit is window.Unlimited if there is no limit.
	Limit int
	// Overloaded reports that this leader or its link is short of capacity.
	Overloaded bool
}

// Wake requests a Woken event after a duration.
type Wake struct {
	effectMarker
	After croft.Millis
}

// CountReservation counts a reservation of executors that was made, or released with an outcome.
type CountReservation struct {
	effectMarker
	Outcome string
}

// Log writes a log line about a decision.
type Log struct {
	effectMarker
	croft.Decision
}
