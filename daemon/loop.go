package daemon

import (
	"context"
	"expvar"
	"sync/atomic"

	"waxwing.example/croft"
	"waxwing.example/croft/state"
)

// maxQueuedEvents is the capacity of the control loop's event queue.
const maxQueuedEvents = 8192

// loop is the control loop: one goroutine applies the queued events to the control state and publishes the resulting
// state and view.
type loop struct {
	events chan croft.Event
	// done is closed when run returns.
	done    chan struct{}
	view    atomic.Pointer[croft.View]
	state   atomic.Pointer[state.State]
	perform func(croft.Effect)
	// dropped counts the events that Post dropped, reduced those that were applied.
	dropped expvar.Int
	reduced expvar.Int
	// reduceMicros is the total time spent reducing events, in microseconds.
	reduceMicros expvar.Int
	// nowMicros returns the wall clock in microseconds.
	nowMicros func() int64
}

func newLoop(start state.State, perform func(croft.Effect), nowMicros func() int64) *loop {
	l := &loop{
		events:    make(chan croft.Event, maxQueuedEvents),
		done:      make(chan struct{}),
		perform:   perform,
		nowMicros: nowMicros,
	}
	l.publish(start)
	return l
}

// View returns the newest view; it implements croft.Viewer.
func (l *loop) View() *croft.View { return l.view.Load() }

// State returns the newest control state.
func (l *loop) State() state.State { return *l.state.Load() }

// Post queues an event; it returns false if the queue was full and the event was dropped.
func (l *loop) Post(e croft.Event) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// deliver queues an event that must not be dropped: it waits while the queue is full, until the loop ends.
func (l *loop) deliver(e croft.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run applies events one at a time until the context ends.
func (l *loop) run(ctx context.Context) error {
	defer close(l.done)
	s := l.State()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			s = l.reduce(s, e)
		}
	}
}

// reduce applies an event to a state, publishes the new state and then performs the effects that the reducer requested.
func (l *loop) reduce(s state.State, e croft.Event) state.State {
	start := l.nowMicros()
	next, effects := state.Reduce(s, e)
	l.publish(next)
	l.reduced.Add(1)
	l.reduceMicros.Add(l.nowMicros() - start)
	for _, ef := range effects {
		l.perform(ef)
	}
	return next
}

// publish makes a state, and its view if that is new, visible to other goroutines.
func (l *loop) publish(s state.State) {
	l.state.Store(&s)
	if v := s.View(); l.view.Load() != v {
		l.view.Store(v)
	}
}
