package leader

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// Release releases the leadership at a planned shutdown, so that another entry takes over at once.
func (e *Election) Release(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	e.mu.Lock()
	current, expected, value := e.leadership, e.row.Version, e.newRow("", uuid.NewString())
	e.leadership = nil
	e.rowKnown = false
	e.mu.Unlock()
	if current == nil {
		return
	}
	value.PredecessorRemaining = e.vmOrdersRemaining(current, e.clock.Elapsed())
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// Errors are ignored: if the write fails, the leadership expires after the usual time.
	_, _ = e.table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: Key, Version: expected, Value: encoded}})
}

// vmOrdersRemaining returns for how long after a release another entry may not give VM orders: until the lease of the leader before
// this term has ended, and until the orders have arrived that this entry sent last, which get as long as at the end of a lease.
func (e *Election) vmOrdersRemaining(released *Leadership, now croft.Millis) croft.Millis {
	return max(released.VMOrdersFrom-now, e.lease/marginDivisor)
}

// handOver releases the leadership for a successor. This entry gives no more orders from before the release is sent, and only gives
// orders again in the same term if the release was certainly not carried out. If that is not known, it has to take its own row over
// by a new term: only that write, which fails if the release is carried out first, shows that it still may lead.
func (e *Election) handOver(ctx context.Context, successor candidateRow, reason string) {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	now := e.clock.Elapsed()
	e.mu.Lock()
	if !e.isLeading(now) {
		e.mu.Unlock()
		return
	}
	current, expected, stepDowns, value := e.leadership, e.row.Version, e.stepDowns, e.newRow("", uuid.NewString())
	value.Successor, value.PredecessorRemaining = successor.Name, e.vmOrdersRemaining(current, now)
	e.leadership = nil
	e.handover.retryFrom = now + e.lease
	e.mu.Unlock()
	e.logHandover(successor.Name, "%s", reason)
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	commitCtx, cancel := context.WithTimeout(ctx, (e.lease * unchangedPercent / 100).Duration())
	defer cancel()
	version, commitErr := e.table.Commit(commitCtx, []croft.Op{{Kind: croft.OpPut, Key: Key, Version: expected, Value: encoded}})
	err = commitErr
	if err != nil {
		version, err = e.resolve(ctx, value, err)
	}
	e.mu.Lock()
	outcome := "Lost"
	var unavailable *croft.UnavailableError
	switch {
	case err == nil:
		outcome = "Released"
		// The feed may have returned the row, or the one of the successor, before the answer.
		e.applyRow(croft.Row{Key: Key, Version: version, Value: encoded}, e.clock.Elapsed())
	case e.row.Version != expected || e.stepDowns != stepDowns:
	case errors.As(commitErr, &unavailable):
		outcome = "Kept"
		e.leadership = current
	default:
		outcome = "Unknown"
		e.ownEarlierRow = true
	}
	e.mu.Unlock()
	e.logOutcome(outcome, successor.Name, err)
}

// logOutcome logs the outcome of a release for a successor.
func (e *Election) logOutcome(outcome, successor string, err error) {
	switch outcome {
	case "Released":
		e.logHandover(outcome, "the leadership is released for %s", successor)
	case "Kept":
		e.logHandover(outcome, "the release for %s was not stored: %v", successor, err)
	case "Unknown":
		e.logHandover(outcome, "whether the release for %s was stored is not known, so this entry takes its own row over: %v", successor, err)
	default:
		e.logHandover(outcome, "this entry does not lead any more: %v", err)
	}
}

// releasedWait returns how long this entry waits before it takes over a released leadership. One that was released for another entry
// is left to that entry for as long as an expired one.
func (e *Election) releasedWait() croft.Millis {
	switch e.value.Successor {
	case "":
		return e.rankDelay
	case e.self:
		return 0
	default:
		return e.rankDelay + e.lease*unchangedPercent/100
	}
}
