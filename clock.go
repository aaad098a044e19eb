package croft

import (
	"context"
	"time"
)

// Millis is an instant in milliseconds since the Unix epoch, or a span in milliseconds.
type Millis int64

// Spans in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// Duration returns the span as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Clock tells the time and waits, so that decisions can run on a virtual one.
type Clock interface {
	// Now returns the wall clock in milliseconds since the Unix epoch.
	Now() Millis
	// Elapsed returns milliseconds of a monotonic clock, with an arbitrary start.
	Elapsed() Millis
	// Sleep waits for the span or until the context ends, and then returns the context's error.
	Sleep(ctx context.Context, span Millis) error
}
