package conf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// Keys of the rows in the table.
const (
	headKey      = croft.ConfPrefix + "head"
	changePrefix = croft.ConfPrefix + "change/"
)

// Limits of change rows and commits.
const (
	// maxChangeRows is how many change rows the table keeps.
	maxChangeRows = 256
	// maxChangesApplied is the largest number of versions for which change rows are read; for more of them reading the
	// snapshot is cheaper.
	maxChangesApplied = 64
	// maxCommitAttempts is how many times at most a transaction is sent while its outcome is unknown.
	maxCommitAttempts = 8
)

func changeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

func objectName(h Head) string { return fmt.Sprintf("%s%d-%s", croft.ConfPrefix, h.Version, h.Hash) }

// RaceError reports that another version was accepted after the reviewed one.
type RaceError struct {
	Reviewed uint64
	// Winner is the head of the version that was accepted instead.
	Winner Head
}

// Error names both versions and the operator who accepted the other one.
func (e *RaceError) Error() string {
	return fmt.Sprintf("conf: version %d was reviewed, but %s has version %d accepted",
		e.Reviewed, e.Winner.Who, e.Winner.Version)
}

// UnknownOutcomeError reports that a version may or may not have been accepted.
type UnknownOutcomeError struct {
	Version uint64
	Cause   error
}

// Error names the version and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("conf: version %d may be accepted or not: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// DamagedError reports a stored configuration that cannot be decoded or has the wrong hash.
type DamagedError struct {
	// Name is the key of the row or the name of the object.
	Name   string
	Reason string
}

// Error names the row or object and the reason.
func (e *DamagedError) Error() string { return "conf: " + e.Name + ": " + e.Reason }

// PlatformError reports a failed request to the platform.
type PlatformError struct {
	// Operation is the operation that failed, such as "read the head".
	Operation string
	Cause     error
}

// Error names the operation and the cause.
func (e *PlatformError) Error() string { return fmt.Sprintf("conf: %s: %v", e.Operation, e.Cause) }

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }

// headRow is the head together with the version that the table gave to its row.
type headRow struct {
	Head
	rowVersion uint64
}

// decodeHead decodes the head row; a missing row is the head of version zero.
func decodeHead(row croft.Row) (headRow, error) {
	if row.Version == 0 {
		return headRow{}, nil
	}
	h := headRow{rowVersion: row.Version}
	if err := json.Unmarshal(row.Value, &h.Head); err != nil {
		return headRow{}, &DamagedError{Name: headKey, Reason: err.Error()}
	}
	return h, nil
}

// readHead returns the head and whether the platform confirmed it as the newest. A read alone may be stale, so the
// version that it returned is checked by a transaction, whose conflict returns the newest row.
func readHead(ctx context.Context, table croft.Table) (headRow, bool, error) {
	row, err := table.Get(ctx, headKey)
	if err != nil && !errors.Is(err, croft.ErrNoRow) {
		return headRow{}, false, &PlatformError{Operation: "read the head", Cause: err}
	}
	err = checkHeadVersion(ctx, table, row.Version)
	confirmed := err == nil
	if current, found := conflictingRow(err, headKey); found {
		row, confirmed = current, true
	}
	h, err := decodeHead(row)
	return h, confirmed, err
}

// checkHeadVersion checks the version of the head row by a transaction. After a lost answer it repeats the transaction,
// which is safe because it writes nothing.
func checkHeadVersion(ctx context.Context, table croft.Table, version uint64) error {
	var err error
	for range maxCommitAttempts {
		_, err = table.Commit(ctx, []croft.Op{{Kind: croft.OpCheck, Key: headKey, Version: version}})
		var lost *croft.LostAnswerError
		if !errors.As(err, &lost) {
			break
		}
	}
	return err
}

// conflictingRow returns the current row of a key if the error is a conflict that includes it.
func conflictingRow(err error, key string) (croft.Row, bool) {
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

// Accept stores a configuration as the successor of the reviewed version and returns its version. A repeated call
// with the same configuration and operator returns the version that the first call created.
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
		return 0, &PlatformError{Operation: "confirm the head", Cause: &croft.UnavailableError{Reason: "no answer"}}
	}
	base, err := readSnapshot(ctx, objects, head.Head)
	if err != nil {
		return 0, err
	}
	if err := objects.PutObject(ctx, objectName(next), Encode(config)); err != nil {
		return 0, &PlatformError{Operation: "store the snapshot", Cause: err}
	}
	ops := []croft.Op{
		{Kind: croft.OpPut, Key: headKey, Version: head.rowVersion, Value: encode(next)},
		{Kind: croft.OpPut, Key: changeKey(next.Version), Value: encode(deltaBetween(base, config))},
	}
	return commitHead(ctx, table, ops, next)
}

// commitHead sends one transaction until its outcome is known, up to maxCommitAttempts times.
func commitHead(ctx context.Context, table croft.Table, ops []croft.Op, next Head) (uint64, error) {
	outcomeUnknown := false
	var err error
	for range maxCommitAttempts {
		if _, err = table.Commit(ctx, ops); err == nil {
			pruneChangeRow(ctx, table, next.Version)
			return next.Version, nil
		}
		if row, found := conflictingRow(err, headKey); found {
			return resolveConflict(row, next, outcomeUnknown)
		}
		var lost *croft.LostAnswerError
		outcomeUnknown = outcomeUnknown || errors.As(err, &lost)
		if !outcomeUnknown {
			return 0, &PlatformError{Operation: "accept", Cause: err}
		}
	}
	return 0, &UnknownOutcomeError{Version: next.Version, Cause: err}
}

// resolveConflict returns the result of a commit that conflicted with the given head row; outcomeUnknown says that an
// earlier attempt of the same transaction may have been applied.
func resolveConflict(row croft.Row, next Head, outcomeUnknown bool) (uint64, error) {
	head, err := decodeHead(row)
	if err != nil {
		return 0, err
	}
	if head.Nonce == next.Nonce {
		return next.Version, nil
	}
	if outcomeUnknown && head.Version > next.Version {
		// This version may have been accepted and then replaced by a later one.
		return 0, &UnknownOutcomeError{
			Version: next.Version,
			Cause:   &RaceError{Reviewed: next.Version - 1, Winner: head.Head},
		}
	}
	return 0, &RaceError{Reviewed: next.Version - 1, Winner: head.Head}
}

// pruneChangeRow deletes the change row that exceeds maxChangeRows; a row whose deletion fails stays in the table for
// good.
func pruneChangeRow(ctx context.Context, table croft.Table, version uint64) {
	if version <= maxChangeRows {
		return
	}
	row, err := table.Get(ctx, changeKey(version-maxChangeRows))
	if err != nil {
		return
	}
	_, _ = table.Commit(ctx, []croft.Op{{Kind: croft.OpDelete, Key: row.Key, Version: row.Version}})
}
