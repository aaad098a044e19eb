package croft

// Event is something that happened, the only input of the reducer.
type Event interface {
	// When is the instant of the event by the wall clock of the entry that reduces it.
	When() Millis
}

// At is the instant that every event embeds.
type At struct{ Time Millis }

// When returns the instant.
func (a At) When() Millis { return a.Time }

// Tick lets time pass; Seed is fresh randomness.
type Tick struct {
	At
	Seed uint64
}

// VMsListed is an answer of the platform's VM list.
type VMsListed struct {
	At
	Delta VMDelta
}

// RowsRead is a scan of the table, which may be old.
type RowsRead struct {
	At
	Prefix string
	Rows   []Row
	// Whole says that rows of the prefix which are missing were not there.
	Whole bool
}

// CommitOutcome is how a transaction ended.
type CommitOutcome string

// The ways a transaction ends.
const (
	CommitDone        CommitOutcome = "Done"
	CommitConflict    CommitOutcome = "Conflict"
	CommitUnavailable CommitOutcome = "Unavailable"
	CommitUnknown     CommitOutcome = "Unknown"
)

// CommitEnded is the outcome of a Commit effect.
type CommitEnded struct {
	At
	Token   string
	Outcome CommitOutcome
	// Version is what the rows got, for CommitDone.
	Version uint64
	// Rows are the rows in conflict as they are now, for CommitConflict.
	Rows []Row
}

// OrderEnded is the outcome of an OrderVM or OrderTask effect.
type OrderEnded struct {
	At
	Token string
	// Failed is the reason, empty for an order that was taken.
	Failed string
}

// PlatformSeen tells whether the platform answered lately.
type PlatformSeen struct {
	At
	Reachable bool
}

// LeavingSource is who said that an endpoint is leaving.
type LeavingSource string

// The sources of a leaving mark.
const (
	LeavingByList     LeavingSource = "List"
	LeavingByOrder    LeavingSource = "Order"
	LeavingByExecutor LeavingSource = "Executor"
	LeavingByPeer     LeavingSource = "Peer"
)

// EndpointLeaving says that one incarnation of an endpoint takes no further work.
type EndpointLeaving struct {
	At
	VM     VMID
	Boot   uint64
	Source LeavingSource
}

// ConfigLearned is a configuration read from the platform or a peer.
type ConfigLearned struct {
	At
	Config Config
	// Fresh says that the platform confirmed it as the newest.
	Fresh bool
	// Accepted says that it was accepted through this entry just now.
	Accepted bool
}

// Peer is another entry as it describes itself.
type Peer struct {
	ID         EntryID
	DataCentre DataCentre
	// Address is the IP number and port of the entry's peer listener.
	Address string
	// ConfigVersion is the version in force on it.
	ConfigVersion uint64
	// Stopping says that the entry takes no new requests.
	Stopping bool
}

// News is a fact worth telling other entries at once.
type News struct {
	// Leaving is an endpoint's leaving mark.
	Leaving *LeavingNews `json:",omitempty"`
}

// LeavingNews is a leaving mark told by a peer.
type LeavingNews struct {
	VM   VMID
	Boot uint64
}

// PeerHeard is a message from another entry.
type PeerHeard struct {
	At
	Peer Peer
	// Known are other entries that the sender knows.
	Known []Peer
	// Beats are the newest heartbeat counts that the sender knows, its own included.
	Beats map[EntryID]uint64
	// Count is how many entries the sender thinks alive, zero where it does not say.
	Count int
	// Wanted is the sender's demand for slots of some pools: those in use and requests waiting.
	Wanted map[PoolID]int
	News   []News
}

// PeerSilent tells that a probe got no answer in time.
type PeerSilent struct {
	At
	ID EntryID
	// Refused says that nothing listens at the entry's address any more.
	Refused bool
}

// WorkersReported are lagging reports of workers.
type WorkersReported struct {
	At
	Reports []WorkerReport
}

// ClassCount is what an entry saw of one class since its last count.
type ClassCount struct {
	Class    Class
	Offered  int64
	Answered int64
	Late     int64
	NotRun   int64
	Unknown  int64
	Retried  int64
}

// TrafficCounted is a second's count of an entry's traffic.
type TrafficCounted struct {
	At
	Counts []ClassCount
	// Wanted is the demand for each pool's slots at this entry.
	Wanted map[PoolID]int
}

// OperatorAsked is an operator's command, answered by an Answer effect with the same token.
type OperatorAsked struct {
	At
	Token   string
	Command Command
}

// Command is one of the operators' commands below.
type Command interface{ command() }

type commandMark struct{}

func (commandMark) command() {}

// MoveVM moves a VM to another pool.
type MoveVM struct {
	commandMark
	VM VMID
	To PoolID
}

// MaintainVM drains a VM, reboots it and takes it back.
type MaintainVM struct {
	commandMark
	VM VMID
}

// DrainVM drains a VM and holds it, or ends the hold.
type DrainVM struct {
	commandMark
	VM  VMID
	End bool
}

// SubmitJob asks for a job to be placed.
type SubmitJob struct {
	commandMark
	Job Job
}

// CancelJobs ends jobs that are no longer wanted.
type CancelJobs struct {
	commandMark
	IDs []JobID
}

// StopAsked begins the planned stop of this entry.
type StopAsked struct{ At }
