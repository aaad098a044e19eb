package clock

import (
	"context"
	"sync"

	"waxwing.example/croft"
)

// Manual is a clock for tests: its time changes only by Advance.
type Manual struct {
	mu       sync.Mutex
	now      croft.Millis
	elapsed  croft.Millis
	sleepers []sleeper
}

// sleeper is a waiting call of Sleep; Advance closes wake once the elapsed time has reached wakeAt.
type sleeper struct {
	wakeAt croft.Millis
	wake   chan struct{}
}

// NewManual returns a clock whose time is the given instant and whose elapsed time is zero.
func NewManual(now croft.Millis) *Manual { return &Manual{now: now} }

// Now returns the clock's current time.
func (m *Manual) Now() croft.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Elapsed returns the total duration by which the clock was advanced.
func (m *Manual) Elapsed() croft.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.elapsed
}

// Advance moves the time and the elapsed time forward, and wakes the sleepers whose duration has passed.
func (m *Manual) Advance(duration croft.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += duration
	m.elapsed += duration
	remaining := m.sleepers[:0]
	for _, s := range m.sleepers {
		if s.wakeAt <= m.elapsed {
			close(s.wake)
			continue
		}
		remaining = append(remaining, s)
	}
	m.sleepers = remaining
}

// Sleepers returns the number of calls of Sleep that Advance has not woken yet, including those whose context has ended.
func (m *Manual) Sleepers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sleepers)
}

// Sleep waits until Advance has moved the clock by the duration; if the context ends first, it returns the context's
// error.
func (m *Manual) Sleep(ctx context.Context, duration croft.Millis) error {
	if duration <= 0 {
		return ctx.Err()
	}
	s := sleeper{wake: make(chan struct{})}
	m.mu.Lock()
	s.wakeAt = m.elapsed + duration
	m.sleepers = append(m.sleepers, s)
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.wake:
		return nil
	}
}
