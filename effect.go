package croft

// Effect is something the reducer wants done, as data; its outcome comes back as an event.
type Effect interface{ effect() }

type effectMark struct{}

func (effectMark) effect() {}

// Commit asks for a transaction, answered by CommitEnded with the same token.
type Commit struct {
	effectMark
	Token string
	Ops   []Op
}

// ScanRows asks for the rows of a prefix above a version, answered by RowsRead.
type ScanRows struct {
	effectMark
	Prefix string
	Since  uint64
}

// VMVerb is what the platform is to do with a VM.
type VMVerb string

// The orders for VMs.
const (
	// VMDrain tells the executor on the VM to take no further work.
	VMDrain VMVerb = "Drain"
	// VMReboot restarts the VM once its work is finished.
	VMReboot VMVerb = "Reboot"
	// VMResume takes back a drain.
	VMResume VMVerb = "Resume"
)

// OrderVM asks the platform to act on a VM.
type OrderVM struct {
	effectMark
	Token string
	VM    VMID
	// Boot is the incarnation meant; the platform ignores an order for another one.
	Boot uint64
	Verb VMVerb
}

// TaskVerb is what a worker is to do with a task.
type TaskVerb string

// The orders for tasks.
const (
	TaskStart      TaskVerb = "Start"
	TaskRenew      TaskVerb = "Renew"
	TaskCheckpoint TaskVerb = "Checkpoint"
	TaskThrottle   TaskVerb = "Throttle"
	TaskStop       TaskVerb = "Stop"
)

// OrderTask asks a worker to act on a task.
type OrderTask struct {
	effectMark
	Token string
	VM    VMID
	Job   JobID
	// Run fences the order: a worker refuses one older than it knows.
	Run  uint64
	Verb TaskVerb
	// Lease is how long the worker may run the task without another order, in milliseconds.
	Lease Millis
	// Expires is the instant by the wall clock at which the order is void and the lease it gives
	// has ended, so that one held up on its way cannot start a run that was given up.
	Expires Millis
	Size    Resources
	// Checkpoint names the object to start from, empty for none.
	Checkpoint string
}

// TellPeers sends news to all other entries at once, without a reply.
type TellPeers struct {
	effectMark
	News []News
}

// ProbePeer asks one entry whether it is there, answered by PeerHeard or PeerSilent.
type ProbePeer struct {
	effectMark
	Peer Peer
}

// FetchConfig asks a peer, or the platform for an empty address, for a newer configuration.
type FetchConfig struct {
	effectMark
	// Address is a peer's listener, empty for the platform.
	Address string
	// Above is the version known here.
	Above uint64
}

// Answer ends an operator's command.
type Answer struct {
	effectMark
	Token string
	// Refused is the reason, empty for a command that was taken.
	Refused string
}

// Decision is one placement or routing decision for the log.
type Decision struct {
	effectMark
	// Action is what was decided, such as Route, Admit, Move, Maintain, Place.
	Action string
	// Subject is what it was decided about.
	Subject string
	// Choice is what was chosen, empty for a refusal.
	Choice string
	// Reason says in a few words why.
	Reason string
}
