package conf

import (
	"context"
	"errors"

	"waxwing.example/croft"
)

// FetchLast returns the configuration that a read of the head names, however old, or a *PlatformError or *DamagedError; it is the baseline.
func FetchLast(ctx context.Context, table croft.Table, objects croft.Objects) (croft.Config, error) {
	row, err := table.Get(ctx, headKey)
	if err != nil && !errors.Is(err, croft.ErrNoRow) {
		return croft.Config{}, &PlatformError{Doing: "read the head", Cause: err}
	}
	head, err := decodeHead(row)
	if err != nil {
		return croft.Config{}, err
	}
	return snapshot(ctx, objects, head.Head)
}

// takeLastRead puts any version read in force and serves by it at once.
func takeLastRead(s State, e croft.ConfigReceived) State {
	s.config = e.Config
	s.ready = s.config.Version > 0
	return s
}
