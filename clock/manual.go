package clock

import (
	"context"
	"sync"

	"waxwing.example/croft"
)

// Manual is a clock that stands still until Advance moves it.
type Manual struct {
	mu      sync.Mutex
	now     croft.Millis
	elapsed croft.Millis
	waiters []waiter
}

type waiter struct {
	until croft.Millis
	done  chan struct{}
}

// NewManual returns a clock standing at an instant.
func NewManual(now croft.Millis) *Manual { return &Manual{now: now} }

// Now returns the instant the clock stands at.
func (m *Manual) Now() croft.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Elapsed returns how far the clock was moved.
func (m *Manual) Elapsed() croft.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elapsed
}

// Advance moves both clocks on and wakes the sleepers whose time has come.
func (m *Manual) Advance(span croft.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += span
	m.elapsed += span
	waiting := m.waiters[:0]
	for _, w := range m.waiters {
		if w.until <= m.elapsed {
			close(w.done)
			continue
		}
		waiting = append(waiting, w)
	}
	m.waiters = waiting
}

// Sleepers returns how many callers of Sleep are waiting.
func (m *Manual) Sleepers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waiters)
}

// Sleep waits until Advance has moved the clock by the span, or until the context ends, and then returns the context's error.
func (m *Manual) Sleep(ctx context.Context, span croft.Millis) error {
	if span <= 0 {
		return ctx.Err()
	}
	w := waiter{done: make(chan struct{})}
	m.mu.Lock()
	w.until = m.elapsed + span
	m.waiters = append(m.waiters, w)
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.done:
		return nil
	}
}
