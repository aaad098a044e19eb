package croft

import (
	"context"
	"time"
)

// Millis is an instant in milliseconds since the Unix epoch, or a duration in milliseconds.
type Millis int64

// Durations in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// Duration converts a duration in milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock provides the time and sleeps; tests and simulations replace it by a virtual clock.
type Clock interface {
	// Now returns the wall clock time in milliseconds since the Unix epoch.
	Now() Millis
	// Elapsed returns the reading of a monotonic clock in milliseconds; its zero point is arbitrary.
	Elapsed() Millis
	// Sleep waits for the duration, or returns the context's error if the context ends first.
	Sleep(ctx context.Context, duration Millis) error
}
