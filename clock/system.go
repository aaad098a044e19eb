package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"waxwing.example/croft"
)

// System is the clock of the machine.
type System struct{ start croft.Millis }

// NewSystem returns the machine's clock, its monotonic part starting at zero.
func NewSystem() *System { return &System{start: sinceBoot()} }

// sinceBoot reads the clock that counts the time of a suspension too, which Go's monotonic clock
// does not: a lease must not outlive a suspension of its holder.
func sinceBoot() croft.Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic(err)
	}
	return croft.Millis(t.Nano() / int64(time.Millisecond))
}

// Now returns the wall clock in milliseconds since the Unix epoch.
func (s *System) Now() croft.Millis { return croft.Millis(time.Now().UnixMilli()) }

// Elapsed returns the milliseconds since NewSystem, those of a suspension included.
func (s *System) Elapsed() croft.Millis { return sinceBoot() - s.start }

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
