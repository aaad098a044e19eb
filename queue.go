package croft

import (
	"context"
	"crypto/sha256"
)

// QueueConfig is one version of the operator's configuration of job queues.
type QueueConfig struct {
	Version uint64
	Queues  []Queue
	Pools   []PoolRule
	// RequiresKeys means that callers need an API key of an organisation, but for public queues.
	RequiresKeys  bool
	Organisations []Organisation
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderBytes is the maximum size of the headers of a request.
	HeaderBytes int
	// HeaderTimeout is how long the headers of a request may take to arrive.
	HeaderTimeout Millis
	// IdleTimeout is how long a connection stays open without a request.
	IdleTimeout Millis
}

// Queue is a queue of jobs, to which callers submit under a host and a path prefix.
type Queue struct {
	ID     QueueID
	Host   string
	Prefix string
	Pool   PoolID
	// Priority is the priority of the queue; zero is the most urgent.
	Priority int
	// MostAttempts is the number of failures of one task at which its job fails, zero for no limit.
	MostAttempts int
	// Stretch and Latency set the objective for the duration of a job: Stretch times the job's
	// critical path, plus Latency.
	Stretch float64
	Latency Millis
	// Timeout is how long callers wait for the response to a request.
	Timeout Millis
	// NeedsAdvice means that the advice service decides which executors may run a step.
	NeedsAdvice bool
	// Public means that callers need no API key, and that jobs belong to no organisation.
	Public bool
}

// OrganisationID names an organisation; the empty ID stands for none.
type OrganisationID string

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Organisation is the operator's configuration of one organisation.
type Organisation struct {
	ID OrganisationID
	// Keys are the digests of its API keys.
	Keys []KeyDigest
	// Weight is its share of the capacity when all is in use, and the number of jobs per second that it may submit then.
	Weight float64
	// Cap is the maximum of what its tasks have in use over all executors; a zero amount is not limited.
	Cap Resources
}

// PoolRule is the operator's configuration of one pool.
type PoolRule struct {
	ID PoolID
	// EnforcesCapacity means that the pool's executors enforce their capacity: they refuse runs that do not fit.
	EnforcesCapacity bool
	// Spare means that the pool's VMs are switched off and cost nothing.
	Spare bool
}

// WorkerEntry is the registration of an executor.
type WorkerEntry struct {
	ID         WorkerID
	Pool       PoolID
	Address    string
	DataCentre DataCentre
	Labels     []string
	Rack       RackID
	// Room is the executor's total capacity.
	Room     Resources
	Draining bool
	// Remaining is the minimum time for which a draining executor stays available.
	Remaining Millis
	// Born is when this incarnation started, zero if the registration does not state it.
	Born int64
}

// WorkerChanges are changes in the registry of executors.
type WorkerChanges struct {
	Version uint64
	// Whole reports that Entries is the whole registry, so that executors missing from it are gone.
	Whole   bool
	Entries []WorkerEntry
	// Unusable are the executors whose registration is gone or unreadable.
	Unusable []WorkerID
}

// Wave is the operator's request for maintenance of a set of VMs.
type Wave struct {
	Number   int
	VMs      []VMID
	Duration Millis
	// MaxUnavailable is the maximum number of the VMs that may be unavailable at once.
	MaxUnavailable int
}

// OperatorChanges are changes in the rows that the operator publishes.
type OperatorChanges struct {
	Version uint64
	// Config is the newest configuration, nil if it has not changed.
	Config *QueueConfig
	Waves  []Wave
}

// Directory provides what the operator and the executors publish on the platform.
type Directory interface {
	// FollowOperator waits for changes of the operator's rows after a version; for version zero it
	// reads all of them.
	FollowOperator(ctx context.Context, after uint64, wait Millis) (OperatorChanges, error)
	// FollowWorkers waits for changes of the registry after a version; for version zero it reads all
	// of it.
	FollowWorkers(ctx context.Context, after uint64, wait Millis) (WorkerChanges, error)
}

// Changes are changes in a table.
type Changes struct {
	Version uint64
	Rows    []Row
	// Gone are the keys of rows that were deleted.
	Gone []string
}

// Feed follows tables whose row keys have the form table/part/key.
type Feed interface {
	// Follow waits for changes of a table after a version; it returns ErrHistoryGone if the store
	// no longer has all changes since then.
	Follow(ctx context.Context, table string, after uint64, wait Millis) (Changes, error)
	// ReadTable returns the rows of a table for which keep holds, all if it is nil, and the version from which to follow the table.
	// It drops the others as it reads them, so that they take no memory.
	ReadTable(ctx context.Context, table string, keep func(Row) bool) (Changes, error)
}

// Advice is the service that decides which executors may run a step.
type Advice interface {
	// Advise returns a ticket for each of the given executors that may run the step of a task, and
	// how long the tickets are valid.
	Advise(ctx context.Context, step TaskID, workers []WorkerID) (tickets map[WorkerID]string, valid Millis, err error)
}

// ErrHistoryGone reports that a table must be read whole before its feed can be followed again.
const ErrHistoryGone PlatformError = "platform: history is no longer kept"

// FleetState is the state of a VM in the platform's fleet list.
type FleetState string

// The states of a VM in the fleet list.
const (
	FleetUp          FleetState = "Up"
	FleetMoving      FleetState = "Moving"
	FleetMaintenance FleetState = "Maintenance"
	FleetDown        FleetState = "Down"
)

// FleetVM is one VM of the platform's fleet list.
type FleetVM struct {
	ID         VMID
	Pool       PoolID
	State      FleetState
	DataCentre DataCentre
	Labels     []string
	Rack       RackID
	// Room is the VM's total capacity.
	Room Resources
	// Worker is the executor that runs on the VM.
	Worker WorkerID
}

// FleetOrder is an order to the platform to move or maintain a VM.
type FleetOrder struct {
	VM VMID
	// Pool is the destination of a move, empty for maintenance.
	Pool PoolID
	// Wave is the number of the maintenance wave, for maintenance.
	Wave int
	// Holder is the entry that leads, and Fence its fencing token.
	Holder string
	Fence  uint64
}

// Fleet is the platform's interface to the VMs of all pools.
type Fleet interface {
	// ListFleet returns all VMs.
	ListFleet(ctx context.Context) ([]FleetVM, error)
	// MoveOrMaintain carries out an order. Its errors are *FleetRefusedError and
	// *UnavailableError (not done) and *LostAnswerError (done or not).
	MoveOrMaintain(ctx context.Context, order FleetOrder) error
	// WaveStatus returns the write that publishes whether a wave is finished.
	WaveStatus(number int, finished bool) Op
}

// FleetRefusal is the reason for which the platform refused a FleetOrder.
type FleetRefusal string

// The reasons for which the platform refuses a FleetOrder.
const (
	// FleetRefusedFence means that the platform has seen a higher fencing token.
	FleetRefusedFence FleetRefusal = "Fence"
	// FleetRefusedBusy means that the VM is not up: it is moving, in maintenance or down.
	FleetRefusedBusy FleetRefusal = "Busy"
	// FleetRefusedWave means that the VM is not part of the maintenance wave as far as the platform knows at the moment.
	FleetRefusedWave FleetRefusal = "Wave"
	// FleetRefusedForm means that the platform found the order invalid, such as a move between pools
	// with VMs of different shape.
	FleetRefusedForm FleetRefusal = "Form"
)

// FleetRefusedError reports that the platform refused a FleetOrder and did nothing.
type FleetRefusedError struct{ Reason FleetRefusal }

// Error includes the reason.
func (e *FleetRefusedError) Error() string { return "platform refused: " + string(e.Reason) }
