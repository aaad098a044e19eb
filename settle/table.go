package settle

import (
	"context"
	"errors"

	"waxwing.example/croft"
)

const (
	// firstWait is the wait after the first lost answer, in milliseconds.
	firstWait croft.Millis = 20
	// longestWait bounds the waits, in milliseconds.
	longestWait = croft.Second
)

// Table is a table whose Commit repeats itself after a lost answer until the outcome is known.
//
// Repeating a compare-and-set transaction is idempotent, since versions never come back: where the
// first one took effect, or any other did, the repeated one is a conflict. Each value put must be
// unique to its write (a nonce), as the rows then found tell whose it was.
type Table struct {
	croft.Table
	clock croft.Clock
}

// New returns a settling table over another one.
func New(table croft.Table, clock croft.Clock) *Table {
	return &Table{Table: table, clock: clock}
}

// Commit does all operations or none and returns the version written; a *croft.LostAnswerError
// is left only where the context ended first or where the rows were overwritten since.
func (t *Table) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	version, err := t.Table.Commit(ctx, ops)
	var lost *croft.LostAnswerError
	if !errors.As(err, &lost) {
		return version, err
	}
	return t.settle(ctx, ops, lost)
}

// settle repeats a transaction whose answer was lost.
func (t *Table) settle(ctx context.Context, ops []croft.Op, lost *croft.LostAnswerError) (uint64, error) {
	for wait := firstWait; ; wait = min(2*wait, longestWait) {
		if t.clock.Sleep(ctx, wait) != nil {
			return 0, lost
		}
		version, err := t.Table.Commit(ctx, ops)
		if err == nil {
			return version, nil
		}
		var conflict *croft.ConflictError
		if errors.As(err, &conflict) {
			return judge(ops, conflict)
		}
		// Unavailable says that the repetition did nothing; the first one is as open as before.
		if !isPassing(err) {
			return 0, lost
		}
	}
}

// isPassing reports whether an error may be gone at the next try.
func isPassing(err error) bool {
	var lost *croft.LostAnswerError
	var unavailable *croft.UnavailableError
	return errors.As(err, &lost) || errors.As(err, &unavailable)
}
