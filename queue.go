package croft

import "context"

// QueueConfig is one version of what the operator configured for queues of jobs.
type QueueConfig struct {
	Version uint64
	Queues  []Queue
	Pools   []PoolRule
	// BodyBytes bounds a caller's body.
	BodyBytes int64
	// HeaderBytes bounds a caller's headers.
	HeaderBytes int
}

// Queue is a path prefix of a host to which callers submit jobs.
type Queue struct {
	ID     QueueID
	Host   string
	Prefix string
	Pool   PoolID
	// Priority orders queues, zero the most urgent.
	Priority int
	// MostAttempts is how often a task may fail before its job does.
	MostAttempts int
	// Stretch times the longest chain of work, plus Latency, is the objective of a job's duration.
	Stretch float64
	Latency Millis
	// NeedsAdvice says that the advice service decides on which executors a step may run.
	NeedsAdvice bool
}

// PoolRule is what the operator configured for one pool.
type PoolRule struct {
	ID PoolID
	// Guards says that executors refuse what does not fit.
	Guards bool
	// Spare says that the pool's VMs are off and free of charge.
	Spare bool
}

// WorkerEntry is an executor as it registered itself.
type WorkerEntry struct {
	ID         WorkerID
	Pool       PoolID
	Address    string
	DataCentre DataCentre
	Labels     []string
	Rack       RackID
	Room       Resources
	Draining   bool
	// Remaining is how long a draining executor will stay at least.
	Remaining Millis
	// Born is when this incarnation began, zero where the entry does not say.
	Born int64
}

// WorkerChanges is what changed in the registry of executors.
type WorkerChanges struct {
	Version uint64
	// Whole says that executors missing from Entries are not registered.
	Whole   bool
	Entries []WorkerEntry
	// Unusable are entries that are gone or cannot be read.
	Unusable []WorkerID
}

// Wave asks that each of its VMs has a maintenance.
type Wave struct {
	Number   int
	VMs      []VMID
	Duration Millis
	// Most is how many of the VMs may be away at once.
	Most int
}

// OperatorChanges is what changed among the operator's rows.
type OperatorChanges struct {
	Version uint64
	// Config is the newest configuration, nil where it did not change.
	Config *QueueConfig
	Waves  []Wave
}

// Directory gives what the operator and the executors publish on the platform.
type Directory interface {
	// FollowOperator waits for changes after a version; zero reads all.
	FollowOperator(ctx context.Context, after uint64, wait Millis) (OperatorChanges, error)
	// FollowWorkers waits for changes after a version; zero reads all.
	FollowWorkers(ctx context.Context, after uint64, wait Millis) (WorkerChanges, error)
}

// Changes is what changed in a table.
type Changes struct {
	Version uint64
	Rows    []Row
	// Gone are the keys of rows that were deleted.
	Gone []string
}

// Feed follows tables whose row keys have the form table/part/key.
type Feed interface {
	// Follow waits for changes of a table after a version; it returns ErrHistoryGone where the
	// changes are no longer kept.
	Follow(ctx context.Context, table string, after uint64, wait Millis) (Changes, error)
	// ReadTable returns all rows of a table and a version from which to follow it.
	ReadTable(ctx context.Context, table string) (Changes, error)
}

// Advice is the service that knows on which executors a step may run.
type Advice interface {
	// Advise returns a ticket for each of the executors that may run the step of a task, and how
	// long the tickets hold.
	Advise(ctx context.Context, step TaskID, workers []WorkerID) (tickets map[WorkerID]string, valid Millis, err error)
}

// ErrHistoryGone tells that a feed must be begun anew with a whole read.
const ErrHistoryGone PlatformError = "platform: history is no longer kept"

// FleetState is what the platform says of a VM.
type FleetState string

// The states of a VM of the fleet.
const (
	FleetUp          FleetState = "Up"
	FleetMoving      FleetState = "Moving"
	FleetMaintenance FleetState = "Maintenance"
	FleetDown        FleetState = "Down"
)

// FleetVM is one VM of the platform's list.
type FleetVM struct {
	ID         VMID
	Pool       PoolID
	State      FleetState
	DataCentre DataCentre
	Labels     []string
	Rack       RackID
	Room       Resources
	// Worker is the executor that runs on the VM.
	Worker WorkerID
}

// FleetOrder asks the platform to move or maintain a VM.
type FleetOrder struct {
	VM VMID
	// Pool is where the VM moves to, empty for a maintenance.
	Pool PoolID
	// Wave is the wave of a maintenance.
	Wave   int
	Holder string
	Fence  uint64
}

// Fleet is the platform's interface to the VMs of all pools.
type Fleet interface {
	// ListFleet returns all VMs.
	ListFleet(ctx context.Context) ([]FleetVM, error)
	// MoveOrMaintain carries out an order; it returns *FleetRefusedError, *UnavailableError
	// (not done) or *LostAnswerError (done or not).
	MoveOrMaintain(ctx context.Context, order FleetOrder) error
	// ReportWave publishes whether a wave is finished.
	ReportWave(ctx context.Context, number int, finished bool) error
}

// FleetRefusal is why the platform refused a FleetOrder.
type FleetRefusal string

// The reasons of a refusal.
const (
	FleetRefusedFence FleetRefusal = "Fence"
	FleetRefusedBusy  FleetRefusal = "Busy"
	FleetRefusedWave  FleetRefusal = "Wave"
	FleetRefusedForm  FleetRefusal = "Form"
)

// FleetRefusedError tells that the platform did nothing.
type FleetRefusedError struct{ Reason FleetRefusal }

// Error gives the reason.
func (e *FleetRefusedError) Error() string { return "platform refused: " + string(e.Reason) }
