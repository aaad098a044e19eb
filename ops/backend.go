package ops

import (
	"context"

	"waxwing.example/croft"
)

// Backend is what the operators' address needs of an entry; its errors are those of this package.
type Backend interface {
	// Ask has a command reduced and returns nil once it is taken, or a *RefusedError, *UnavailableError or *UnknownError.
	Ask(ctx context.Context, command croft.Command) error
	// Accept puts a configuration in force above the version that was reviewed and returns its version, or
	// a *RaceError, *InvalidError, *UnavailableError or *UnknownError.
	Accept(ctx context.Context, config croft.Config, reviewed uint64, who string) (uint64, error)
	// Config returns the configuration in force here.
	Config() croft.Config
	// Status returns the entry's own state.
	Status() Status
	// Pools returns a line for each pool.
	Pools() []PoolLine
	// VMs returns a line for each VM.
	VMs() []VMLine
	// Jobs returns a line for each job.
	Jobs() []JobLine
	// Cut drops traffic to and from the IP prefixes until Heal, or returns a *RefusedError where faults are not allowed.
	Cut(prefixes []string) error
	// Heal ends every cut, or returns a *RefusedError where faults are not allowed.
	Heal() error
}

// Status is an entry's own state.
type Status struct {
	Entry      croft.EntryID
	DataCentre croft.DataCentre
	// Version is the version of the configuration in force.
	Version           uint64
	Ready             bool
	Stopping          bool
	PlatformReachable bool
	Peers             []croft.Peer
	// Classes counts requests since the start of the entry.
	Classes []croft.ClassCount
}

// PoolLine is the state of one pool.
type PoolLine struct {
	Pool croft.PoolID
	// Serving, Draining and Away count members by phase.
	Serving  int
	Draining int
	Away     int
	// Endpoints counts executors that may be given work.
	Endpoints int
	// Buffer counts VMs held above what the pool needs.
	Buffer int
	// Moves counts VM moves that ended since the start of the entry.
	Moves int64
	// Due counts VMs whose maintenance is due, Done those maintained in the current round.
	Due  int
	Done int
	// Holder is the entry that plans for the pool, empty for none.
	Holder croft.EntryID
}

// VMLine is the state of one VM.
type VMLine struct {
	VM         croft.VMID
	Pool       croft.PoolID
	Phase      croft.Phase
	Purpose    croft.Purpose
	Target     croft.PoolID
	Epoch      uint64
	DataCentre croft.DataCentre
	Rack       croft.RackID
	Status     croft.VMStatus
	Boot       uint64
	// Since is when the phase began.
	Since croft.Millis
	// Maintained is when the last maintenance ended, zero for never.
	Maintained croft.Millis
}

// JobLine is the state of one job.
type JobLine struct {
	Job     croft.JobID
	Service croft.ServiceID
	Pool    croft.PoolID
	Status  croft.JobStatus
	Worker  croft.VMID
	Run     uint64
	Urgency int
	Reason  string
	// Checkpoint names the newest checkpoint object, empty for none.
	Checkpoint string
}

// Acceptance is the body of POST /v1/config.
type Acceptance struct {
	// Reviewed is the version that was in force when the configuration was reviewed.
	Reviewed uint64
	// Who is recorded with the version.
	Who    string `validate:"ident"`
	Config croft.Config
}

// Accepted is the answer to an Acceptance.
type Accepted struct{ Version uint64 }

// Move is the body of POST /v1/vms/{vm}/move.
type Move struct {
	To croft.PoolID `validate:"ident"`
}

// NewJob is the body of POST /v1/jobs; the job's pool and team are those of its service.
type NewJob struct {
	ID       croft.JobID     `validate:"ident"`
	Service  croft.ServiceID `validate:"ident"`
	Urgency  int             `validate:"min=0,max=100"`
	Declared croft.Resources
}

// Cancellation is the body of POST /v1/jobs/cancel.
type Cancellation struct {
	IDs []croft.JobID `validate:"min=1,max=10000,dive,ident"`
}

// Cut is the body of POST /v1/faults/cut.
type Cut struct {
	// Prefixes are IP prefixes such as 127.0.2.0/24.
	Prefixes []string `validate:"min=1,max=256,dive,cidr"`
}
