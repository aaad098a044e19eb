package clock

import (
	"context"
	"time"

	"waxwing.example/croft"
)

// System is the clock of the machine.
type System struct{ start time.Time }

// NewSystem returns the machine's clock, its monotonic part starting at zero.
func NewSystem() *System { return &System{start: time.Now()} }

// Now returns the wall clock in milliseconds since the Unix epoch.
func (s *System) Now() croft.Millis { return croft.Millis(time.Now().UnixMilli()) }

// Elapsed returns the milliseconds since NewSystem by the monotonic clock.
func (s *System) Elapsed() croft.Millis { return croft.Millis(time.Since(s.start).Milliseconds()) }

// Sleep waits for the span or until the context ends, and then returns the context's error.
func (s *System) Sleep(ctx context.Context, span croft.Millis) error {
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
