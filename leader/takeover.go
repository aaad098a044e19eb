package leader

import (
	"context"
	"errors"

	"waxwing.example/croft"
)

// takeoverWait returns how long the row must stay unchanged before this entry takes over.
func (e *Election) takeoverWait() croft.Millis {
	usual := min(max(e.lease*unchangedPercent/100+e.answerDelay*delayFactor, e.longestGap*gapPercent/100), e.lease)
	return usual + e.rankDelay
}

// mayTakeOver reports whether the leadership was released or has expired, as far as this entry knows; the caller holds e.mu.
func (e *Election) mayTakeOver(now croft.Millis) bool {
	if !e.rowKnown || now-e.lastAnswer >= e.lease/2 {
		return false
	}
	if e.value.Holder == "" {
		// A released leadership is taken over at once by the first candidate, later by those of higher rank.
		return now-e.unchangedSince >= e.rankDelay
	}
	return e.ownEarlierRow || e.lastAnswer-e.unchangedSince >= e.takeoverWait()
}

// confirmRow reports whether the leader row is still the version that this entry knows. It reads the row if no change of it has come
// through the feed since the table was last read as a whole: a store that has dropped its history may not return later changes
// either. A newer version restarts the wait for a takeover.
func (e *Election) confirmRow(ctx context.Context) bool {
	e.mu.Lock()
	confirmed, known := e.rowFromFeed, e.row.Version
	e.mu.Unlock()
	if confirmed {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, (e.lease * unchangedPercent / 100).Duration())
	defer cancel()
	stored, err := e.table.Get(ctx, Key)
	if err != nil {
		return errors.Is(err, croft.ErrNoRow)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyRow(stored, e.clock.Elapsed())
	return e.row.Version == known
}
