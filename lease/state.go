package lease

import (
	"encoding/json"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
)

// Spans of the lease in milliseconds.
const (
	// TTL is how long a session row is good after its renewal was seen.
	TTL = 10 * croft.Second
	// Margin is how much earlier than TTL a holder stops planning.
	Margin = 2 * croft.Second
	// RenewEvery is the span between renewals.
	RenewEvery = 3 * croft.Second
	// SkewStep is the takeover delay for each place in the ranking of candidates.
	SkewStep = 2 * croft.Second

	scanEvery  = 2 * croft.Second
	watchEvery = croft.Second
	// answerWithin is when an unanswered commit is given up and its rows are read back.
	answerWithin = 5 * croft.Second
	// watchRanks is how many of the best ranked entries watch a pool's holder.
	watchRanks = 3
)

// Options select mechanisms, so that a test can show what each of them prevents.
type Options struct {
	// Fence adds the check of the plan row to each write of a holder.
	Fence bool
	// Skew delays a takeover by the candidate's rank.
	Skew bool
	// Preempt has a better ranked entry take a pool from a live holder.
	Preempt bool
}

// DefaultOptions returns the options for production: fenced, skewed, without preemption.
func DefaultOptions() Options { return Options{Fence: true, Skew: true} }

// Session is the value of an entry's session row.
type Session struct {
	Entry      croft.EntryID
	DataCentre croft.DataCentre
	Address    string
	Nonce      string
	Count      uint64
}

// Plan is the value of a pool's plan row.
type Plan struct {
	Holder croft.EntryID
	Epoch  uint64
}

// State is what one entry knows of sessions and plans.
type State struct {
	options  Options
	own      ownSession
	plans    keyed.Map[croft.PoolID, planRow]
	sessions keyed.Map[croft.EntryID, sighting]
	claims   keyed.Map[string, claim]
	asked    keyed.Map[croft.PoolID, croft.Millis]
	// loaded says that the plan rows were read whole once.
	loaded   bool
	cursor   uint64
	previous uint64
	scanned  croft.Millis
	watched  croft.Millis
	serial   uint64
	stopped  bool
	// unsure says that the lease lapsed since the plan rows were read.
	unsure bool
	// conflicts counts takeovers that lost a race.
	conflicts int
}

type ownSession struct {
	version uint64
	count   uint64
	nonce   string
	token   string
	sent    croft.Millis
	// good is when the last renewal known to have taken effect was sent.
	good croft.Millis
	live bool
}

type planRow struct {
	Plan
	version uint64
	// seen is when this version was first seen.
	seen croft.Millis
}

type sighting struct {
	version uint64
	// since is when this version, or the row's absence, was first seen.
	since  croft.Millis
	absent bool
}

// claim is a takeover in flight.
type claim struct {
	holder croft.EntryID
	pools  []croft.PoolID
	plans  []Plan
	sent   croft.Millis
}

// New returns the state of an entry that has read nothing.
func New(options Options) State { return State{options: options} }

// Holds reports whether the entry may plan for the pool at an instant of its own clock.
func (s State) Holds(self croft.EntryID, pool croft.PoolID, now croft.Millis) bool {
	p, ok := s.plans.Get(pool)
	return ok && p.Holder == self && s.live(now)
}

func (s State) live(now croft.Millis) bool {
	return s.own.live && !s.stopped && !s.unsure && now < s.own.good+TTL-Margin
}

// Fence returns the operations that make a write of the pool's holder fail once another entry has taken over.
func (s State) Fence(pool croft.PoolID) []croft.Op {
	p, ok := s.plans.Get(pool)
	if !ok || !s.options.Fence {
		return nil
	}
	return []croft.Op{{Kind: croft.OpCheck, Key: croft.PlanKey(pool), Version: p.version}}
}

// Fenced reports whether writes carry the plan row's version.
func (s State) Fenced() bool { return s.options.Fence }

// Holder returns the plan known for a pool and whether there is one.
func (s State) Holder(pool croft.PoolID) (Plan, bool) {
	p, ok := s.plans.Get(pool)
	return p.Plan, ok
}

// Conflicts returns how many takeovers of this entry lost a race.
func (s State) Conflicts() int { return s.conflicts }

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		// Plain structs of strings and numbers always encode.
		panic(err)
	}
	return body
}
