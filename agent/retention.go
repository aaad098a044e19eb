package agent

import (
	"context"
	"fmt"
	"sync/atomic"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Limits of the removal of states: it leaves most of the store's transactions to jobs, and yet keeps up with hundreds of ends a second.
const (
	// removalInterval is the pause between two passes over the table of states.
	removalInterval = 15 * croft.Second
	// removalPause is the pause between two transactions of a pass.
	removalPause = 50 * croft.Millis(1)
	// maxRemovals limits the states that a pass removes, and with them its memory.
	maxRemovals = 20_000
	// maxRemovalsPerCommit keeps a transaction within the 100 entries that the store allows.
	maxRemovalsPerCommit = 16
)

// removeEndedStates removes the states of jobs that ended at least Options.StateRetention ago, while the entry leads. What has been
// removed is not recorded anywhere: each pass finds again what is left, also one of a new leader.
func (a *Agent) removeEndedStates(ctx context.Context) {
	if a.StateRetention <= 0 {
		return
	}
	var renewals renewalLog
	for a.Clock.Sleep(ctx, removalInterval) == nil {
		now := a.Clock.Elapsed()
		renewals.add(now, a.Election.RenewedFence())
		if newest := renewals.before(now - a.StateRetention); newest > 0 {
			a.removeStatesUpTo(ctx, newest)
		}
	}
}

// renewalLog has renewals of the leadership with their times. A row with a version up to that of a renewal was written before it.
type renewalLog []renewal

type renewal struct {
	at      croft.Millis
	version uint64
}

// add adds a renewal that is no later than a time.
func (l *renewalLog) add(at croft.Millis, version uint64) {
	*l = append(*l, renewal{at: at, version: version})
}

// before returns the version of the last renewal up to a time, zero if there is none, and drops earlier ones.
func (l *renewalLog) before(at croft.Millis) uint64 {
	for len(*l) > 1 && (*l)[1].at <= at {
		*l = (*l)[1:]
	}
	if len(*l) == 0 || (*l)[0].at > at {
		return 0
	}
	return (*l)[0].version
}

// removeStatesUpTo removes states of ended jobs that were written up to a version, part by part, until a transaction fails.
func (a *Agent) removeStatesUpTo(ctx context.Context, newest uint64) {
	var found atomic.Int64
	old, err := a.Feed.ReadTable(ctx, jobs.StateTable, func(row croft.Row) bool {
		return row.Version <= newest && !isNeeded(row) && found.Add(1) <= maxRemovals
	})
	removed := 0
	for len(old.Rows) > 0 && err == nil {
		batch := firstOfPart(old.Rows, maxRemovalsPerCommit)
		old.Rows = old.Rows[len(batch):]
		if _, err = a.Table.Commit(ctx, removalOf(batch)); err == nil {
			removed += len(batch)
			a.Stats.CountRemovedStates(len(batch))
			err = a.Clock.Sleep(ctx, removalPause)
		}
	}
	switch {
	case ctx.Err() != nil:
	case err != nil:
		a.Log.Warn("Remove", "states", fmt.Sprintf("%d states of ended jobs removed, the rest later: %v", removed, err))
	case removed > 0:
		a.Log.Log(croft.Decision{Action: "Remove", Subject: "states", Reason: fmt.Sprintf("%d states of jobs that ended at least %d ms ago", removed, a.StateRetention)})
	}
}

// firstOfPart returns the first rows, at most a number of them, that are of the same part as the first one.
func firstOfPart(rows []croft.Row, limit int) []croft.Row {
	part, _, _ := jobs.SplitKey(rows[0].Key)
	n := 1
	for n < min(len(rows), limit) {
		if other, _, _ := jobs.SplitKey(rows[n].Key); other != part {
			break
		}
		n++
	}
	return rows[:n]
}

// removalOf returns the operations that delete states, unless they have changed, and what a lost leader may have left of their jobs.
func removalOf(states []croft.Row) []croft.Op {
	var ops []croft.Op
	for _, state := range states {
		part, id, _ := jobs.SplitKey(state.Key)
		ops = append(ops, croft.Op{Kind: croft.OpDelete, Key: state.Key, Version: state.Version})
		ops = append(ops, jobs.LiveRowDeletions(part, id)...)
	}
	return ops
}
