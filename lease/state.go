package lease

import (
	"encoding/json"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
)

// Durations of leases in milliseconds.
const (
	// TTL is how long a candidate must see a session row unchanged before the session has lapsed.
	TTL = 10 * croft.Second
	// Margin is how much earlier than TTL a planner stops acting.
	Margin = 2 * croft.Second
	// RenewInterval is the time between renewals of the session row.
	RenewInterval = 3 * croft.Second
	// SkewStep is the takeover delay for each rank of a candidate.
	SkewStep = 2 * croft.Second

	scanInterval  = 2 * croft.Second
	watchInterval = croft.Second
	// answerTimeout is how long to wait for the answer to a renewal or takeover before another one is sent.
	answerTimeout = 5 * croft.Second
	// maxWatchers is how many entries, those with the best ranks, watch a pool's planner.
	maxWatchers = 3
)

// Options selects mechanisms, so that a test can show what each of them prevents.
type Options struct {
	// Fence adds a check of the plan row's version to each write of a planner.
	Fence bool
	// Skew delays a takeover by the candidate's rank.
	Skew bool
	// Preempt lets the entry with the best rank take over a pool from a live planner.
	Preempt bool
}

// DefaultOptions returns the options for production: fenced, skewed, without preemption.
func DefaultOptions() Options { return Options{Fence: true, Skew: true} }

// Session is the value of an entry's session row; Count grows with each renewal, and Nonce names the entry's process.
type Session struct {
	Entry      croft.EntryID
	DataCentre croft.DataCentre
	Address    string
	Nonce      string
	Count      uint64
}

// Plan is the value of a pool's plan row: Holder is the pool's planner, and Epoch grows with each takeover.
type Plan struct {
	Holder croft.EntryID
	Epoch  uint64
}

// State holds what one entry knows about sessions and plans.
type State struct {
	options  Options
	own      ownSession
	plans    keyed.Map[croft.PoolID, planRow]
	sessions keyed.Map[croft.EntryID, observedSession]
	// takeovers has the unanswered takeovers by their tokens.
	takeovers keyed.Map[string, takeover]
	// takeoverSent is when the unanswered takeover of a pool was sent.
	takeoverSent keyed.Map[croft.PoolID, croft.Millis]
	// loaded says that all plan rows were read once.
	loaded bool
	// lastScanVersion is the newest row version when the last scan of the plan rows ended.
	lastScanVersion uint64
	// previousScanVersion is the same for the scan before the last one; the next scan starts there.
	previousScanVersion uint64
	lastScan            croft.Millis
	lastWatch           croft.Millis
	// serial numbers the tokens of takeovers.
	serial  uint64
	stopped bool
	// plansOutdated says that the own session lapsed after the last scan of the plan rows, so others may have taken over.
	plansOutdated bool
	// conflicts counts the takeovers that failed because another entry's write came first.
	conflicts int
}

// ownSession is the state of this entry's session row.
type ownSession struct {
	version uint64
	count   uint64
	nonce   string
	// pendingToken is the token of the unanswered renewal, empty for none.
	pendingToken string
	sent         croft.Millis
	// lastRenewal is when the last renewal known to have succeeded was sent.
	lastRenewal croft.Millis
	// valid says that a renewal succeeded and no conflict since has shown the row as deleted or overwritten.
	valid bool
}

// planRow is a pool's plan row as last read.
type planRow struct {
	Plan
	version uint64
	// firstSeen is when this version was first seen.
	firstSeen croft.Millis
}

// observedSession is another entry's session row as last read.
type observedSession struct {
	version uint64
	// unchangedSince is when this version, or the row's absence, was first seen.
	unchangedSince croft.Millis
	absent         bool
}

// takeover is an unanswered takeover of pools from one planner; planner is empty for pools without one.
type takeover struct {
	planner croft.EntryID
	pools   []croft.PoolID
	plans   []Plan
	sent    croft.Millis
}

// New returns the state of an entry that has read nothing.
func New(options Options) State { return State{options: options} }

// Holds reports whether the entry is the planner of the pool at an instant of its own clock.
func (s State) Holds(self croft.EntryID, pool croft.PoolID, now croft.Millis) bool {
	p, ok := s.plans.Get(pool)
	return ok && p.Holder == self && s.live(now)
}

// live reports whether the own session is valid and recently renewed, and the plan rows were read since it last lapsed.
func (s State) live(now croft.Millis) bool {
	return s.own.valid && !s.stopped && !s.plansOutdated && now < s.own.lastRenewal+TTL-Margin
}

// Fence returns the operations that make a write of the pool's planner fail once another entry has taken over.
func (s State) Fence(pool croft.PoolID) []croft.Op {
	p, ok := s.plans.Get(pool)
	if !ok || !s.options.Fence {
		return nil
	}
	return []croft.Op{{Kind: croft.OpCheck, Key: croft.PlanKey(pool), Version: p.version}}
}

// Fenced reports whether writes carry the plan row's version.
func (s State) Fenced() bool { return s.options.Fence }

// Plan returns the plan known for a pool and whether there is one.
func (s State) Plan(pool croft.PoolID) (Plan, bool) {
	p, ok := s.plans.Get(pool)
	return p.Plan, ok
}

// Conflicts returns how many takeovers by this entry failed because another entry's write came first.
func (s State) Conflicts() int { return s.conflicts }

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		// Unreachable: structs of strings and numbers always encode.
		panic(err)
	}
	return body
}
