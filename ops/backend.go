package ops

import (
	"context"

	"waxwing.example/croft"
)

// Backend provides an entry's state and executes operators' commands; its errors are those of this package.
type Backend interface {
	// Execute executes a command and returns nil once the entry has accepted it, or a *RefusedError, *UnavailableError or
	// *UnknownError.
	Execute(ctx context.Context, command croft.Command) error
	// Accept puts a configuration in force as the successor of the reviewed version and returns the new version, or
	// a *RaceError, *InvalidError, *UnavailableError or *UnknownError.
	Accept(ctx context.Context, config croft.Config, reviewed uint64, who string) (uint64, error)
	// Config returns the configuration in force on the entry.
	Config() croft.Config
	// Status returns the state of the entry itself.
	Status() Status
	// Pools returns the state of each pool.
	Pools() []PoolLine
	// VMs returns the state of each VM.
	VMs() []VMLine
	// Jobs returns the state of each job.
	Jobs() []JobLine
	// Cut drops the entry's traffic to and from the IP prefixes until Heal, to simulate a network partition. It returns a
	// *RefusedError if the settings do not allow faults, or an *InvalidError for a malformed prefix.
	Cut(prefixes []string) error
	// Heal ends all partitions made by Cut, or returns a *RefusedError if the settings do not allow faults.
	Heal() error
}

// Status is the state of an entry itself.
type Status struct {
	Entry      croft.EntryID
	DataCentre croft.DataCentre
	// Version is the version of the configuration in force.
	Version           uint64
	Ready             bool
	Stopping          bool
	PlatformReachable bool
	Peers             []croft.Peer
	// Classes are the request counts since the entry started, by class.
	Classes []croft.ClassCount
}

// PoolLine is the state of one pool.
type PoolLine struct {
	Pool croft.PoolID
	// Serving, Draining and Away are the numbers of member VMs by phase; Away counts those that are unavailable.
	Serving  int
	Draining int
	Away     int
	// Endpoints is the number of executors to which requests may be dispatched.
	Endpoints int
	// Buffer is Endpoints minus the pool's MinServing; it can be negative.
	Buffer int
	// Moves is the number of VM moves into the pool that were completed since the entry started.
	Moves int64
	// Due is the number of VMs whose maintenance is due, Done the number of VMs maintained in the current round.
	Due  int
	Done int
	// Holder is the entry that holds the pool's lease and plans for the pool, empty for none.
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
	// Since is the time at which the phase began.
	Since croft.Millis
	// Maintained is the time at which the last maintenance ended, zero for never.
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
	// Reviewed is the version that was in force when the new configuration was reviewed.
	Reviewed uint64
	// Who is the operator's name, recorded with the new version.
	Who    string `validate:"ident"`
	Config croft.Config
}

// Accepted is the response to an Acceptance: the version of the new configuration.
type Accepted struct{ Version uint64 }

// Move is the body of POST /v1/vms/{vm}/move.
type Move struct {
	To croft.PoolID `validate:"ident"`
}

// NewJob is the body of POST /v1/jobs; the job runs in the pool, and for the team, of its service.
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
	// Prefixes are IP prefixes in CIDR notation, such as 127.0.2.0/24.
	Prefixes []string `validate:"min=1,max=256,dive,cidr"`
}
