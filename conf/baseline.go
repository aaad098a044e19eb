package conf

import (
	"context"
	"errors"
	"fmt"

	"waxwing.example/croft"
)

// FetchLast returns the configuration named by one read of the head row, which may be stale, or a *PlatformError or
// *DamagedError. It is a baseline for comparisons with Fetch.
func FetchLast(ctx context.Context, table croft.Table, objects croft.Objects) (croft.Config, error) {
	row, err := table.Get(ctx, headKey)
	if err != nil && !errors.Is(err, croft.ErrNoRow) {
		return croft.Config{}, &PlatformError{Operation: "read the head", Cause: err}
	}
	head, err := decodeHead(row)
	if err != nil {
		return croft.Config{}, err
	}
	return readSnapshot(ctx, objects, head.Head)
}

// applyLastRead is the baseline's counterpart of applyConfig: it switches to whatever version was read, even a lower
// one, and serves requests with it immediately.
func applyLastRead(s State, e croft.ConfigReceived) (State, []croft.Effect) {
	previous := s.config.Version
	s.config = e.Config
	s.ready = s.config.Version > 0
	if s.config.Version == previous {
		return s, nil
	}
	return s, []croft.Effect{s.inForce(fmt.Sprintf("the last version read, after version %d", previous))}
}
