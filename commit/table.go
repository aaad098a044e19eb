package commit

import (
	"context"
	"errors"

	"waxwing.example/croft"
)

const (
	// firstRetryDelay is the delay before a commit is first repeated; it doubles with each repetition.
	firstRetryDelay croft.Millis = 20
	// maxRetryDelay is the longest delay between repetitions.
	maxRetryDelay = croft.Second
)

// Table wraps a table so that Commit repeats a transaction after a lost answer until the outcome is known.
//
// Repeating a compare-and-set transaction is safe because the version of a row never returns to an
// earlier value: if the first attempt, or any other transaction, has changed the rows, the repetition is
// a conflict. Each value put must be unique to its write (by a nonce), so that the rows in conflict show
// whether this transaction wrote them.
type Table struct {
	croft.Table
	clock croft.Clock
}

// New returns a Table that wraps another one.
func New(table croft.Table, clock croft.Clock) *Table {
	return &Table{Table: table, clock: clock}
}

// Commit applies all operations or none and returns the version written. It returns a
// *croft.LostAnswerError only if the context ended before the outcome was known, if a repetition
// failed for good, or if the rows have been overwritten since.
func (t *Table) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	version, err := t.Table.Commit(ctx, ops)
	var lost *croft.LostAnswerError
	if !errors.As(err, &lost) {
		return version, err
	}
	return t.resolve(ctx, ops, lost)
}

// resolve repeats a transaction whose answer was lost until its outcome is known.
func (t *Table) resolve(ctx context.Context, ops []croft.Op, lost *croft.LostAnswerError) (uint64, error) {
	for delay := firstRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		if t.clock.Sleep(ctx, delay) != nil {
			return 0, lost
		}
		version, err := t.Table.Commit(ctx, ops)
		if err == nil {
			return version, nil
		}
		var conflict *croft.ConflictError
		if errors.As(err, &conflict) {
			return outcomeOf(ops, conflict)
		}
		// An UnavailableError means that the repetition was not applied, which says nothing about the first
		// attempt.
		if !isTransient(err) {
			return 0, lost
		}
	}
}

// isTransient reports whether the next repetition may succeed after the error.
func isTransient(err error) bool {
	var lost *croft.LostAnswerError
	var unavailable *croft.UnavailableError
	return errors.As(err, &lost) || errors.As(err, &unavailable)
}
