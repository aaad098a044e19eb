package daemon

import (
	"context"
	"expvar"
	"sync/atomic"

	"waxwing.example/croft"
	"waxwing.example/croft/state"
)

// eventQueue is the most events that wait for the control goroutine.
const eventQueue = 8192

// loop is the control goroutine with its queue and the view it publishes.
type loop struct {
	events  chan croft.Event
	done    chan struct{}
	view    atomic.Pointer[croft.View]
	state   atomic.Pointer[state.State]
	perform func(croft.Effect)
	dropped expvar.Int
	reduced expvar.Int
	// busy adds up the time spent reducing, in microseconds.
	busy expvar.Int
	now  func() int64
}

func newLoop(start state.State, perform func(croft.Effect), micros func() int64) *loop {
	l := &loop{
		events:  make(chan croft.Event, eventQueue),
		done:    make(chan struct{}),
		perform: perform,
		now:     micros,
	}
	l.publish(start)
	return l
}

// View returns the newest view.
func (l *loop) View() *croft.View { return l.view.Load() }

// State returns the newest control state.
func (l *loop) State() state.State { return *l.state.Load() }

// Post queues an event; it reports false where the queue is full and the event was dropped.
func (l *loop) Post(e croft.Event) bool {
	select {
	case l.events <- e:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// deliver queues an outcome, which must not be dropped, unless the loop has ended.
func (l *loop) deliver(e croft.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// run reduces events one by one until the context ends.
func (l *loop) run(ctx context.Context) error {
	defer close(l.done)
	s := l.State()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			s = l.step(s, e)
		}
	}
}

func (l *loop) step(s state.State, e croft.Event) state.State {
	began := l.now()
	next, effects := state.Reduce(s, e)
	l.publish(next)
	l.reduced.Add(1)
	l.busy.Add(l.now() - began)
	for _, ef := range effects {
		l.perform(ef)
	}
	return next
}

func (l *loop) publish(s state.State) {
	l.state.Store(&s)
	if v := s.View(); l.view.Load() != v {
		l.view.Store(v)
	}
}
