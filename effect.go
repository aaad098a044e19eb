package croft

// Effect describes an action that the reducer requests; its outcome comes back as an event.
type Effect interface{ effect() }

// effectMarker is embedded in a type to make it an Effect.
type effectMarker struct{}

func (effectMarker) effect() {}

// Commit requests a transaction; a CommitEnded event with the same token reports its outcome.
type Commit struct {
	effectMarker
	Token string
	Ops   []Op
}

// ScanRows requests the rows whose keys have a prefix and whose version is above Since; a RowsRead
// event returns them.
type ScanRows struct {
	effectMarker
	Prefix string
	Since  uint64
}

// VMVerb is the action that an OrderVM requests of the platform.
type VMVerb string

// The actions on VMs.
const (
	// VMDrain makes the executor on the VM accept no further work.
	VMDrain VMVerb = "Drain"
	// VMReboot restarts the VM after its running work has finished.
	VMReboot VMVerb = "Reboot"
	// VMResume cancels a drain.
	VMResume VMVerb = "Resume"
)

// OrderVM requests an action on a VM from the platform.
type OrderVM struct {
	effectMarker
	Token string
	VM    VMID
	// Boot is the incarnation that the order is for; the platform ignores it in any other.
	Boot uint64
	Verb VMVerb
}

// TaskVerb is the action that an OrderTask requests of a worker.
type TaskVerb string

// The actions on tasks.
const (
	// TaskStart starts a run of the task.
	TaskStart TaskVerb = "Start"
	// TaskRenew extends the lease of the run.
	TaskRenew TaskVerb = "Renew"
	// TaskCheckpoint makes the task store a checkpoint.
	TaskCheckpoint TaskVerb = "Checkpoint"
	// TaskThrottle limits the resources of the task to the order's Size.
	TaskThrottle TaskVerb = "Throttle"
	// TaskStop ends the run.
	TaskStop TaskVerb = "Stop"
)

// OrderTask requests an action on a task from a worker.
type OrderTask struct {
	effectMarker
	Token string
	VM    VMID
	Job   JobID
	// Run acts as a fencing token: a worker refuses an order whose run is older than one it has seen.
	Run  uint64
	Verb TaskVerb
	// Lease is how long the worker may run the task without another order.
	Lease Millis
	// Expires is the wall clock time at which the order becomes invalid and the lease that it grants
	// has ended, so that a delayed order cannot start a run that has been abandoned.
	Expires Millis
	Size    Resources
	// Checkpoint names the checkpoint object to resume from, empty for none.
	Checkpoint string
}

// NotifyPeers sends notices to all other entries immediately; they do not reply.
type NotifyPeers struct {
	effectMarker
	News []News
}

// ProbePeer checks whether an entry is alive; a PeerMessageReceived or PeerProbeFailed event reports the result.
type ProbePeer struct {
	effectMarker
	Peer Peer
}

// FetchConfig requests a newer configuration from a peer or from the platform.
type FetchConfig struct {
	effectMarker
	// Address is the address of the peer's listener, empty for the platform.
	Address string
	// Above is the version that this entry has; only a higher one is wanted.
	Above uint64
}

// Answer is the final response to an operator's command.
type Answer struct {
	effectMarker
	Token string
	// Refused is why the command was rejected, empty if it was accepted.
	Refused string
}

// Decision is one log line about a decision, such as a placement or a routing choice.
type Decision struct {
	effectMarker
	// Action is the kind of decision, such as Route, Admit, Move, Maintain or Place.
	Action string
	// Subject identifies what the decision is about, such as a VM or a job.
	Subject string
	// Choice is the option that was chosen, empty for a refusal.
	Choice string
	// Reason explains the choice in a few words.
	Reason string
}
