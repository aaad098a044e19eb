package leader

import (
	"context"
	"errors"

	"waxwing.example/croft"
)

// Strength describes how well an entry can lead.
type Strength struct {
	// Class is lower for a stronger entry, zero for the strongest. Entries of the same class count as equal.
	Class int
	// Limits are the entry's own limits.
	Limits Limits
}

// Limits are the resources of an entry; zero means that a limit is not known.
type Limits struct {
	// Cores is the processor time.
	Cores float64
	// MemoryMB is the memory above which the process is killed.
	MemoryMB int64
	// Descriptors is the maximum number of open descriptors.
	Descriptors int64
	// LinkMbps is the bandwidth of the network link, in Mbit/s.
	LinkMbps float64
}

// What a leader needs for each executor. A leader of 300 executors was measured to need 0.40 cores, 290 MB, 2,707 kB/s and 3,353
// connections.
const (
	measuredExecutors      = 300
	coresPerExecutor       = 0.40 / measuredExecutors
	memoryMBPerExecutor    = 290.0 / measuredExecutors
	mbpsPerExecutor        = 2707.0 * 8 / 1000 / measuredExecutors
	connectionsPerExecutor = 3353.0 / measuredExecutors
)

// Suffice reports whether the limits are enough to lead a number of executors.
func (l Limits) Suffice(executors int) bool {
	suffices := func(limit, each float64) bool { return limit == 0 || limit >= each*float64(executors) }
	return suffices(l.Cores, coresPerExecutor) && suffices(float64(l.MemoryMB), memoryMBPerExecutor) &&
		suffices(float64(l.Descriptors), connectionsPerExecutor) && suffices(l.LinkMbps, mbpsPerExecutor)
}

// WithStrength sets the strength of this entry and returns the election; it must be called before Run. Without it the entry is of
// the strongest class and its limits are not known.
func (e *Election) WithStrength(strength Strength) *Election {
	e.strength = strength
	return e
}

// SetExecutors records how many executors this entry leads; the leader row carries that number.
func (e *Election) SetExecutors(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executors = n
}

// newRow returns a leader row of this entry's strength in the current term; the caller holds e.mu.
func (e *Election) newRow(holder, nonce string) leaderRow {
	executors := e.value.Executors
	if e.leadership != nil && e.executors > 0 {
		executors = e.executors
	}
	return leaderRow{Holder: holder, Nonce: nonce, Term: e.value.Term, Rank: e.rank, Class: &e.strength.Class, Executors: executors}
}

// takeoverWait returns how long the row must stay unchanged before this entry takes over.
func (e *Election) takeoverWait() croft.Millis {
	usual := min(max(e.lease*unchangedPercent/100+e.answerDelay*delayFactor, e.longestGap*gapPercent/100), e.lease)
	return usual + e.rankDelay + e.weaknessDelay()
}

// weaknessDelay returns by how much longer this entry waits because it is too weak for the number of executors and the last
// leader was of a stronger class, so that a stronger entry takes over first if there is one.
func (e *Election) weaknessDelay() croft.Millis {
	if e.value.Class == nil || *e.value.Class >= e.strength.Class || e.strength.Limits.Suffice(e.value.Executors) {
		return 0
	}
	return e.lease
}

// mayTakeOver reports whether the leadership was released or has expired, as far as this entry knows; the caller holds e.mu.
func (e *Election) mayTakeOver(now croft.Millis) bool {
	if !e.rowKnown || now-e.lastAnswer >= e.lease/2 {
		return false
	}
	if e.value.Holder == "" {
		// A released leadership is taken over at once by the first candidate, later by those of higher rank.
		return now-e.unchangedSince >= e.releasedWait()
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
