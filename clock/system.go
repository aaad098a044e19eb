package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"waxwing.example/croft"
)

// System reads the clocks of the operating system; start is the reading of sinceBoot at which Elapsed is zero.
type System struct{ start croft.Millis }

// NewSystem returns the system's clock, whose elapsed time starts at zero.
func NewSystem() *System { return &System{start: sinceBoot()} }

// sinceBoot returns the time since the system was started, including the time that it was suspended. Go's monotonic
// clock leaves that out, so a suspended lease holder would believe that its lease is still valid.
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

// Elapsed returns the time since NewSystem, including the time that the system was suspended.
func (s *System) Elapsed() croft.Millis { return sinceBoot() - s.start }

// Sleep waits for the duration; if the context ends first, it returns the context's error.
func (s *System) Sleep(ctx context.Context, duration croft.Millis) error {
	t := time.NewTimer(duration.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
