package croft

// View is an immutable snapshot of the control state, read by the code that serves requests.
type View struct {
	Self   Peer
	Config Config
	// Endpoints are the executors to which requests may be dispatched, by pool.
	Endpoints map[PoolID][]Endpoint
	// Entries are the entries considered alive, including this one.
	Entries []Peer
	// Share is the share of each pool's slots that this entry may use, in thousandths.
	Share map[PoolID]int
	// PlatformReachable reports that the platform has answered recently.
	PlatformReachable bool
	// Ready reports that this entry may accept requests.
	Ready bool
	// Stopping reports that the planned shutdown has begun.
	Stopping bool
}

// Viewer provides the newest view, which is never nil.
type Viewer interface{ View() *View }

// Poster queues events for the control goroutine.
type Poster interface {
	// Post queues an event; it returns false if the queue was full and the event was dropped.
	Post(event Event) bool
}

// DecisionLog writes decisions to the log asynchronously, so that requests need not wait for it.
type DecisionLog interface {
	// Log queues one log line.
	Log(decision Decision)
}
