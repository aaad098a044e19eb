package croft

// Event describes something that happened; events are the only input of the reducer.
type Event interface {
	// When returns the time of the event by the wall clock of the entry that reduces it.
	When() Millis
}

// At is the time of an event; every event type embeds it.
type At struct{ Time Millis }

// When returns the time of the event.
func (a At) When() Millis { return a.Time }

// Tick reports that time has passed; Seed is a new random number for the reducer.
type Tick struct {
	At
	Seed uint64
}

// VMsListed is a response of the platform's VM list.
type VMsListed struct {
	At
	Delta VMDelta
}

// RowsRead is the result of a table scan, which may be stale.
type RowsRead struct {
	At
	Prefix string
	Rows   []Row
	// Whole reports that Rows has every row of the prefix, so that one missing from it did not exist.
	Whole bool
}

// CommitOutcome is the result of a transaction.
type CommitOutcome string

// The results of a transaction.
const (
	CommitDone        CommitOutcome = "Done"
	CommitConflict    CommitOutcome = "Conflict"
	CommitUnavailable CommitOutcome = "Unavailable"
	CommitUnknown     CommitOutcome = "Unknown"
)

// CommitEnded reports the outcome of a Commit effect.
type CommitEnded struct {
	At
	Token   string
	Outcome CommitOutcome
	// Version is the version that the rows were written with, for CommitDone.
	Version uint64
	// Rows are the current contents of the conflicting rows, for CommitConflict.
	Rows []Row
}

// OrderEnded reports the outcome of an OrderVM or OrderTask effect.
type OrderEnded struct {
	At
	Token string
	// Failed is why the order failed, empty if it was accepted.
	Failed string
}

// PlatformReachability reports whether the platform has answered recently.
type PlatformReachability struct {
	At
	Reachable bool
}

// LeavingSource is the source of the information that an endpoint is leaving.
type LeavingSource string

// The sources of a leaving notice.
const (
	// LeavingByList means that the platform's VM list shows the VM as leaving.
	LeavingByList LeavingSource = "List"
	// LeavingByOrder means that an order of this system makes the VM leave.
	LeavingByOrder LeavingSource = "Order"
	// LeavingByExecutor means that the executor reported it in an answer.
	LeavingByExecutor LeavingSource = "Executor"
	// LeavingByPeer means that another entry sent a leaving notice.
	LeavingByPeer LeavingSource = "Peer"
)

// EndpointLeaving reports that one incarnation of an endpoint accepts no further work.
type EndpointLeaving struct {
	At
	VM     VMID
	Boot   uint64
	Source LeavingSource
}

// ConfigReceived reports a configuration received from the platform, a peer or an operator.
type ConfigReceived struct {
	At
	Config Config
	// Fresh reports that the platform confirmed the configuration as the newest.
	Fresh bool
	// Accepted reports that the configuration has just been accepted through this entry.
	Accepted bool
}

// Peer describes an entry as the entry itself reports it.
type Peer struct {
	ID         EntryID
	DataCentre DataCentre
	// Address is the IP number and port of the entry's peer listener.
	Address string
	// ConfigVersion is the version of the configuration that the entry uses.
	ConfigVersion uint64
	// Stopping reports that the entry accepts no new requests.
	Stopping bool
}

// News is a notice that is sent to the other entries immediately.
type News struct {
	// Leaving is the leaving notice of an endpoint.
	Leaving *LeavingNews `json:",omitempty"`
}

// LeavingNews is a leaving notice received from a peer.
type LeavingNews struct {
	VM   VMID
	Boot uint64
}

// PeerMessageReceived reports a message received from another entry.
type PeerMessageReceived struct {
	At
	Peer Peer
	// Known are the other entries that the sender knows.
	Known []Peer
	// Beats are the newest heartbeat counters that the sender knows, including its own.
	Beats map[EntryID]uint64
	// Count is how many entries the sender considers alive, zero if the message does not state it.
	Count int
	// Wanted is the sender's demand for slots by pool: slots in use plus requests waiting.
	Wanted map[PoolID]int
	News   []News
}

// PeerProbeFailed reports that a probe got no answer in time.
type PeerProbeFailed struct {
	At
	ID EntryID
	// Refused reports that the connection was refused: nothing listens at the entry's address any more.
	Refused bool
}

// WorkersReported carries reports of workers, which arrive with a lag.
type WorkersReported struct {
	At
	Reports []WorkerReport
}

// ClassCount counts an entry's requests of one class, by outcome, since the previous count.
type ClassCount struct {
	Class    Class
	Offered  int64
	Answered int64
	Late     int64
	NotRun   int64
	Unknown  int64
	Retried  int64
}

// TrafficCounted carries the request counts of an entry for one second.
type TrafficCounted struct {
	At
	Counts []ClassCount
	// Wanted is this entry's demand for slots by pool.
	Wanted map[PoolID]int
}

// CommandReceived carries an operator's command; an Answer effect with the same token responds to it.
type CommandReceived struct {
	At
	Token   string
	Command Command
}

// Command is an operator's command: one of the types below.
type Command interface{ command() }

// commandMarker is embedded in a type to make it a Command.
type commandMarker struct{}

func (commandMarker) command() {}

// MoveVM moves a VM to another pool.
type MoveVM struct {
	commandMarker
	VM VMID
	To PoolID
}

// MaintainVM drains a VM, reboots it and returns it to service.
type MaintainVM struct {
	commandMarker
	VM VMID
}

// DrainVM drains a VM and keeps it out of service, or ends that hold if End is set.
type DrainVM struct {
	commandMarker
	VM  VMID
	End bool
}

// SubmitJob submits a job for placement.
type SubmitJob struct {
	commandMarker
	Job Job
}

// CancelJobs cancels jobs.
type CancelJobs struct {
	commandMarker
	IDs []JobID
}

// StopRequested reports a request to shut this entry down in an orderly way.
type StopRequested struct{ At }
