package croft

// View is the immutable picture of the control state that traffic reads.
type View struct {
	Self   Peer
	Config Config
	// Endpoints are the executors that may be given work, by pool.
	Endpoints map[PoolID][]Endpoint
	// Entries are the entries thought alive, this one included.
	Entries []Peer
	// Share is this entry's share of each pool's slots, in thousandths.
	Share map[PoolID]int
	// PlatformReachable says that the platform answered lately.
	PlatformReachable bool
	// Ready says that this entry may take requests.
	Ready bool
	// Stopping says that the planned stop has begun.
	Stopping bool
}

// Viewer gives the newest view, never nil.
type Viewer interface{ View() *View }

// Poster hands events to the control goroutine.
type Poster interface {
	// Post queues an event; it reports false where the queue is full and the event was dropped.
	Post(event Event) bool
}

// DecisionLog takes log lines for decisions off the traffic's path.
type DecisionLog interface {
	// Log queues one line.
	Log(decision Decision)
}
