package conf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// Limits of the change rows.
const (
	headKey      = croft.ConfPrefix + "head"
	changePrefix = croft.ConfPrefix + "change/"
	// keptChanges is how many change rows are kept.
	keptChanges = 256
	// chainLength is the most change rows read before the snapshot is cheaper.
	chainLength = 64
	// settleTries is how often a commit whose answer was lost is repeated.
	settleTries = 8
)

func changeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

func objectName(h Head) string { return fmt.Sprintf("%s%d-%s", croft.ConfPrefix, h.Version, h.Hash) }

// RaceError tells that another version was accepted since the one that was reviewed.
type RaceError struct {
	Reviewed uint64
	Winner   Head
}

// Error says who won.
func (e *RaceError) Error() string {
	return fmt.Sprintf("conf: version %d was reviewed, but %s has version %d accepted",
		e.Reviewed, e.Winner.Who, e.Winner.Version)
}

// UnsettledError tells that an acceptance may or may not have happened.
type UnsettledError struct {
	Version uint64
	Cause   error
}

// Error gives the cause.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("conf: version %d may be accepted or not: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// DamagedError tells that a stored configuration cannot be read or has another hash.
type DamagedError struct {
	Name   string
	Reason string
}

// Error names the row or object.
func (e *DamagedError) Error() string { return "conf: " + e.Name + ": " + e.Reason }

// PlatformError tells that the platform could not be asked.
type PlatformError struct {
	Doing string
	Cause error
}

// Error says what was tried.
func (e *PlatformError) Error() string { return fmt.Sprintf("conf: %s: %v", e.Doing, e.Cause) }

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }

// headRow is the head with the version of its row.
type headRow struct {
	Head
	row uint64
}

func decodeHead(row croft.Row) (headRow, error) {
	if row.Version == 0 {
		return headRow{}, nil
	}
	h := headRow{row: row.Version}
	if err := json.Unmarshal(row.Value, &h.Head); err != nil {
		return headRow{}, &DamagedError{Name: headKey, Reason: err.Error()}
	}
	return h, nil
}

// readHead returns the head, and whether the platform confirmed it as the newest.
func readHead(ctx context.Context, table croft.Table) (headRow, bool, error) {
	row, err := table.Get(ctx, headKey)
	if err != nil && !errors.Is(err, croft.ErrNoRow) {
		return headRow{}, false, &PlatformError{Doing: "read the head", Cause: err}
	}
	err = check(ctx, table, row.Version)
	confirmed := err == nil
	if now, found := conflicting(err, headKey); found {
		row, confirmed = now, true
	}
	h, err := decodeHead(row)
	return h, confirmed, err
}

// check compares the head's version, again where the answer was lost, since a check changes nothing.
func check(ctx context.Context, table croft.Table, version uint64) error {
	var err error
	for range settleTries {
		_, err = table.Commit(ctx, []croft.Op{{Kind: croft.OpCheck, Key: headKey, Version: version}})
		var lost *croft.LostAnswerError
		if !errors.As(err, &lost) {
			break
		}
	}
	return err
}

func conflicting(err error, key string) (croft.Row, bool) {
	var conflict *croft.ConflictError
	if !errors.As(err, &conflict) {
		return croft.Row{}, false
	}
	for _, r := range conflict.Rows {
		if r.Key == key {
			return r, true
		}
	}
	return croft.Row{}, false
}

// Accept puts a configuration in force as the successor of the reviewed version and returns its version.
func Accept(
	ctx context.Context, table croft.Table, objects croft.Objects,
	config croft.Config, reviewed uint64, who string,
) (uint64, error) {
	if err := Check(config); err != nil {
		return 0, err
	}
	config = Normalize(config.WithVersion(reviewed + 1))
	head, confirmed, err := readHead(ctx, table)
	if err != nil {
		return 0, err
	}
	next := Head{Version: config.Version, Hash: Hash(config), Nonce: uuid.NewString(), Who: who}
	switch {
	case head.Version == next.Version && head.Hash == next.Hash && head.Who == who:
		return next.Version, nil
	case head.Version > reviewed || confirmed && head.Version != reviewed:
		return 0, &RaceError{Reviewed: reviewed, Winner: head.Head}
	case !confirmed:
		return 0, &PlatformError{Doing: "confirm the head", Cause: &croft.UnavailableError{Reason: "no answer"}}
	}
	base, err := snapshot(ctx, objects, head.Head)
	if err != nil {
		return 0, err
	}
	if err := objects.PutObject(ctx, objectName(next), Encode(config)); err != nil {
		return 0, &PlatformError{Doing: "store the snapshot", Cause: err}
	}
	ops := []croft.Op{
		{Kind: croft.OpPut, Key: headKey, Version: head.row, Value: encode(next)},
		{Kind: croft.OpPut, Key: changeKey(next.Version), Value: encode(deltaOf(base, config))},
	}
	return commitHead(ctx, table, ops, next)
}

// commitHead repeats one transaction until its outcome is known.
func commitHead(ctx context.Context, table croft.Table, ops []croft.Op, next Head) (uint64, error) {
	doubt := false
	var err error
	for range settleTries {
		if _, err = table.Commit(ctx, ops); err == nil {
			prune(ctx, table, next.Version)
			return next.Version, nil
		}
		if row, found := conflicting(err, headKey); found {
			return settled(row, next, doubt)
		}
		var lost *croft.LostAnswerError
		doubt = doubt || errors.As(err, &lost)
		if !doubt {
			return 0, &PlatformError{Doing: "accept", Cause: err}
		}
	}
	return 0, &UnsettledError{Version: next.Version, Cause: err}
}

// settled decides by the head that stood in the way.
func settled(row croft.Row, next Head, doubt bool) (uint64, error) {
	head, err := decodeHead(row)
	if err != nil {
		return 0, err
	}
	if head.Nonce == next.Nonce {
		return next.Version, nil
	}
	if doubt && head.Version > next.Version {
		// Ours may have been accepted and followed by another since.
		return 0, &UnsettledError{
			Version: next.Version,
			Cause:   &RaceError{Reviewed: next.Version - 1, Winner: head.Head},
		}
	}
	return 0, &RaceError{Reviewed: next.Version - 1, Winner: head.Head}
}

// prune deletes the change row that is no longer kept; failing leaves it for good.
func prune(ctx context.Context, table croft.Table, version uint64) {
	if version <= keptChanges {
		return
	}
	row, err := table.Get(ctx, changeKey(version-keptChanges))
	if err != nil {
		return
	}
	_, _ = table.Commit(ctx, []croft.Op{{Kind: croft.OpDelete, Key: row.Key, Version: row.Version}})
}
