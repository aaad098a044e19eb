package intake

import (
	"context"
	"errors"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Cancel cancels a job, unless it has ended. It returns ErrNoJob if there is none that the caller may cancel; in this case no submission
// that is under way, at any entry, will store one.
func (i *Intake) Cancel(ctx context.Context, t Target) error {
	row, err := i.readState(ctx, t)
	mayBeStored := false
	for err == nil {
		err = i.cancelState(ctx, t, row)
		var conflict *croft.ConflictError
		var lost *croft.LostAnswerError
		mayBeStored = mayBeStored || errors.As(err, &lost)
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			// The row in the conflict saves a read, which may take as long as a transaction while the store is slow.
			row, err = i.conflictingState(ctx, t, conflict)
		case isNotConfirmed(err):
			if i.clock.Sleep(ctx, retryDelay) != nil || ctx.Err() != nil {
				i.logDecision("Cancel", t.ID, "NoAnswer", err.Error())
				return ErrCancelUnknown
			}
			row, err = i.readState(ctx, t)
		}
	}
	if mayBeStored && (errors.Is(err, ErrStoreUnavailable) || errors.Is(err, ErrTooManyCancellations)) {
		return ErrCancelUnknown
	}
	return err
}

// isNotConfirmed reports whether a transaction may be repeated, since it has not been applied or its answer was lost.
func isNotConfirmed(err error) bool {
	var unavailable *croft.UnavailableError
	var lost *croft.LostAnswerError
	return errors.As(err, &unavailable) || errors.As(err, &lost)
}

// conflictingState returns the job's state row from a conflict, or reads it if the conflict does not have it.
func (i *Intake) conflictingState(ctx context.Context, t Target, conflict *croft.ConflictError) (croft.Row, error) {
	at := slices.IndexFunc(conflict.Rows, func(row croft.Row) bool { return row.Key == t.stateKey() })
	if at < 0 {
		return i.readState(ctx, t)
	}
	return conflict.Rows[at], nil
}

// cancelState cancels a job whose state row has been read; Version zero means that there is none. Its errors are those of Cancel, and those
// of a Commit.
func (i *Intake) cancelState(ctx context.Context, t Target, row croft.Row) error {
	if row.Version == 0 {
		return i.storeTombstone(ctx, t, 0, jobs.Progress{})
	}
	progress, err := jobs.DecodeProgress(row.Value)
	switch {
	case err != nil:
		i.logDecision("Cancel", t.ID, "Unreadable", err.Error())
		return err
	case progress.IsCancelledBy(t.Organisation):
		i.logDecision("Cancel", t.ID, "NoJob", "a tombstone is stored already")
		return ErrNoJob
	case progress.IsTombstone():
		return i.storeTombstone(ctx, t, row.Version, progress)
	case !t.isVisible(progress):
		i.logHidden("Cancel", t, progress)
		return ErrNoJob
	case progress.Status.Final():
		i.logDecision("Cancel", t.ID, string(progress.Status), "the job had already ended")
		return nil
	}
	return i.storeCanceled(ctx, t, row.Version, progress)
}

// storeCanceled stores that a job is cancelled, unless its state row has changed.
func (i *Intake) storeCanceled(ctx context.Context, t Target, version uint64, progress jobs.Progress) error {
	progress.Status = jobs.Canceled
	part := t.part()
	_, err := i.table.Commit(ctx, []croft.Op{
		{Kind: croft.OpPut, Key: t.stateKey(), Version: version, Value: jobs.EncodeProgress(progress)},
		{Kind: croft.OpPut, Key: jobs.Key(jobs.CancelTable, part, t.ID), Version: croft.AnyVersion, Value: jobs.PresenceValue},
		{Kind: croft.OpDelete, Key: jobs.Key(jobs.WaitTable, part, t.ID), Version: croft.AnyVersion},
	})
	if err == nil {
		i.logDecision("Cancel", t.ID, string(jobs.Canceled), "stored")
	}
	return err
}
