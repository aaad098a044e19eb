package sched

import (
	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Instant is one moment by two clocks.
type Instant struct {
	// Elapsed is a steady clock that counts suspension too.
	Elapsed croft.Millis
	// Wall is the time of day.
	Wall croft.Millis
}

// Event is something that happened to the leading entry.
type Event interface{ event() }

type eventMark struct{}

func (eventMark) event() {}

// LeadBegan says that this entry leads from now on.
type LeadBegan struct {
	eventMark
	// Fence is the fencing token of all orders.
	Fence uint64
	// Term counts the takeovers.
	Term int
	// VMsFrom is when VMs may be ordered about, by the steady clock.
	VMsFrom croft.Millis
}

// LeadEnded says that another entry may lead; nothing of what is known holds any longer.
type LeadEnded struct{ eventMark }

// Ticked lets time pass.
type Ticked struct{ eventMark }

// Woken lets time pass for what a Wake asked for.
type Woken struct{ eventMark }

// ConfigRead is the operator's configuration.
type ConfigRead struct {
	eventMark
	Config croft.QueueConfig
}

// WavesRead are the operator's waves.
type WavesRead struct {
	eventMark
	// Whole says that they may have been there for long: they are what the first reading found.
	Whole bool
	Waves []croft.Wave
}

// WorkersRead is news of the registry of executors.
type WorkersRead struct {
	eventMark
	Changes croft.WorkerChanges
}

// JobRow is a submitted job with its progress.
type JobRow struct {
	ID   croft.JobID
	Part string
	// Version is that of the state row.
	Version  uint64
	Record   jobs.Record
	Progress jobs.Progress
}

// JobsRead are submitted jobs.
type JobsRead struct {
	eventMark
	// Whole says that these are all jobs that were there before the entry led.
	Whole bool
	Jobs  []JobRow
}

// JobsCancelled are jobs whose callers want them no more.
type JobsCancelled struct {
	eventMark
	IDs []croft.JobID
}

// WaveRowsRead are the VMs whose maintenance in a wave has begun, as former leaders wrote them down.
type WaveRowsRead struct {
	eventMark
	Begun map[int][]croft.VMID
	// Ordered are VMs whose orders may still be on their way.
	Ordered map[int][]croft.VMID
}

// FleetRead is the platform's list of VMs.
type FleetRead struct {
	eventMark
	// Asked is when the list was asked for.
	Asked croft.Millis
	VMs   []croft.FleetVM
}

// Holding is the outcome of a Hold.
type Holding struct {
	eventMark
	Hold
	Report croft.HoldReport
	Err    error
}

// Started is the outcome of a Start.
type Started struct {
	eventMark
	Start
	// Clock is the executor's, zero without an answer.
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
	// Version is what the rows got.
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
	// Tickets has a ticket for each worker that may run the stage.
	Tickets map[croft.WorkerID]string
	// Valid is how long the tickets hold.
	Valid croft.Millis
	Err   error
}

// Effect is something that the planner wants done; its outcome comes back as an event.
type Effect interface{ effect() }

type effectMark struct{}

func (effectMark) effect() {}

// Hold asks an executor for its lists, answered by Holding.
type Hold struct {
	effectMark
	Order croft.HoldOrder
	// Sent is when the planner decided on it.
	Sent croft.Millis
	// Check says that it runs beside the long hold of the executor, to settle a stop.
	Check bool
}

// Start begins a run, answered by Started.
type Start struct {
	effectMark
	Order croft.RunOrder
}

// Stop ends a run, answered by Stopped.
type Stop struct {
	effectMark
	Order croft.RunOrder
}

// Pace limits the processor share of a run; a lost answer is repaired by the next one.
type Pace struct {
	effectMark
	Order croft.RunOrder
}

// Advise asks on which workers a stage may run, answered by Advised.
type Advise struct {
	effectMark
	// Stage is the first task of the stage.
	Stage   croft.TaskID
	Workers []croft.WorkerID
	// Born has the incarnations of the workers that are meant.
	Born []int64
	Sent croft.Millis
}

// Commit writes rows of one part, answered by Committed.
type Commit struct {
	effectMark
	Part string
	Ops  []croft.Op
	// Writes are the states that the operations carry.
	Writes []Write
}

// Write is one job's state within a Commit.
type Write struct {
	ID croft.JobID
	// Sequence is the change of the job up to which the state tells.
	Sequence uint64
	// Announced and Began are what the state says of the job.
	Announced, Began bool
}

// ListFleet asks for the platform's list of VMs, answered by FleetRead.
type ListFleet struct {
	effectMark
	Asked croft.Millis
}

// OrderVM moves or maintains a VM, answered by Ordered.
type OrderVM struct {
	effectMark
	Order croft.FleetOrder
}

// ReportWave stores and publishes the state of a wave, answered by WaveStored.
type ReportWave struct {
	effectMark
	Number   int
	Finished bool
	// Begun are the VMs whose maintenance has begun.
	Begun []croft.VMID
	// Ordered are VMs whose orders may be on their way once this is stored.
	Ordered []croft.VMID
}

// WaveStored says that a ReportWave, or a newer one, is stored.
type WaveStored struct {
	eventMark
	ReportWave
}

// StepDown says that another entry has given orders with a higher fencing token.
type StepDown struct{ effectMark }

// Publish tells the other entries what each queue can take.
type Publish struct {
	effectMark
	Loads map[croft.QueueID]Load
	// Shared says that the other entries need to know.
	Shared bool
}

// Load is what a queue has and can take.
type Load struct {
	// Waiting counts the jobs that have not begun, and Oldest is the age of the first of them.
	Waiting int          `json:",omitempty"`
	Oldest  croft.Millis `json:",omitempty"`
	// Wait is the expected time until a new job of the queue begins.
	Wait croft.Millis
	// Refuse says that a new job would end too late to be of use.
	Refuse bool
}

// Wake asks for a Woken after a span.
type Wake struct {
	effectMark
	After croft.Millis
}

// Log is a line about a decision.
type Log struct {
	effectMark
	croft.Decision
}
