package leader

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// CandidateKey is the key of the row by which an entry that is stronger than the leader announces that it is ready to lead.
const CandidateKey = Table + "//candidate"

// Timing of handovers.
const (
	// announceInterval is the minimum time between announcements of a candidate.
	announceInterval = croft.Second
	// candidateTimeout is how long an announcement counts: two of them may be late.
	candidateTimeout = 2500 * croft.Millis(1)
	// announceTimeout bounds the write of an announcement, during which the entry doesn't take over: it is more than a store
	// takes that is 60 times slower than its usual 4 ms.
	announceTimeout = 500 * croft.Millis(1)
	// steadyLeases is for how many leases a stronger candidate must have announced itself, and the leader have led, before the leader
	// hands over: a candidate that fails again and again, or a store that has just recovered, must not move the lead.
	steadyLeases = 2
	// overloadWait is for how long the leader must be overloaded before it hands over sooner than that: two signs of overload
	// in a row, as one lasts 2 s, and the next one follows within that time. It must still have led for one lease.
	overloadWait = 3 * croft.Second
)

// candidateRow is the value of the candidate row.
type candidateRow struct {
	Name string
	Rank int
	// Class is the class of strength of the candidate.
	Class int
	// Nonce is unique to each announcement.
	Nonce string
}

// compare orders candidates, the one to be preferred first.
func (c candidateRow) compare(other candidateRow) int {
	return cmp.Or(cmp.Compare(c.Class, other.Class), cmp.Compare(c.Rank, other.Rank), cmp.Compare(c.Name, other.Name))
}

// handover is what an election knows for a handover.
type handover struct {
	// ready reports that this entry could lead at once, and announcedAt is when it last announced that, to the leader of
	// announcedTerm.
	ready         bool
	announcedAt   croft.Millis
	announcedTerm int
	// candidate is the last announcement that was seen, candidateVersion its version and candidateAt its time. Its candidate has
	// announced itself without a longer pause since candidateSince.
	candidate        candidateRow
	candidateVersion uint64
	candidateAt      croft.Millis
	candidateSince   croft.Millis
	// overloaded reports that this entry leads and is overloaded, since overloadedSince.
	overloaded      bool
	overloadedSince croft.Millis
	// leadingSince is when the current term of this entry began.
	leadingSince croft.Millis
	// retryFrom is from when on this entry may try another handover.
	retryFrom croft.Millis
}

// WithLog has decisions about handovers logged and returns the election; it must be called before Run.
func (e *Election) WithLog(log func(croft.Decision)) *Election {
	e.log = log
	return e
}

// logHandover logs a decision about a handover; the caller doesn't hold e.mu.
func (e *Election) logHandover(choice, format string, args ...any) {
	if e.log != nil {
		e.log(croft.Decision{Action: "Handover", Subject: e.self, Choice: choice, Reason: fmt.Sprintf(format, args...)})
	}
}

// SetReady records whether this entry could lead at once.
func (e *Election) SetReady(ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handover.ready = ready
}

// SetOverloaded records whether this entry leads and is overloaded.
func (e *Election) SetOverloaded(overloaded bool) {
	now := e.clock.Elapsed()
	e.mu.Lock()
	defer e.mu.Unlock()
	if overloaded && !e.handover.overloaded {
		e.handover.overloadedSince = now
	}
	e.handover.overloaded = overloaded
}

// Overloaded reports whether this entry leads and is overloaded, as SetOverloaded recorded.
func (e *Election) Overloaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handover.overloaded
}

// leaderIsWeaker reports whether the leader is of a weaker class than this entry; the caller holds e.mu.
func (e *Election) leaderIsWeaker() bool {
	return e.value.Holder != "" && e.value.Class != nil && e.strength.Class < *e.value.Class
}

// applyCandidate records an announcement. The first one that a read of the whole table returns may be old and does not count.
func (e *Election) applyCandidate(r croft.Row, now croft.Millis, whole bool) {
	h := &e.handover
	if r.Version <= h.candidateVersion {
		return
	}
	first := h.candidateVersion == 0
	h.candidateVersion = r.Version
	var c candidateRow
	if json.Unmarshal(r.Value, &c) != nil || (whole && first) {
		return
	}
	if c.Name != h.candidate.Name || now-h.candidateAt > candidateTimeout {
		h.candidateSince = now
	}
	h.candidate, h.candidateAt = c, now
}

// mayAnnounce reports whether this entry should announce itself now: the leader is weaker, and no candidate that is to be preferred
// has announced itself. The caller holds e.mu.
func (e *Election) mayAnnounce(now croft.Millis) bool {
	h := &e.handover
	if !h.ready || e.stopping || e.leadership != nil || !e.rowKnown || now-e.lastAnswer >= e.lease/2 || !e.leaderIsWeaker() {
		return false
	}
	if h.announcedAt != 0 && now-h.announcedAt < announceInterval {
		return false
	}
	known := h.candidate.Name != "" && h.candidate.Name != e.self && now-h.candidateAt <= candidateTimeout
	return !known || h.candidate.compare(e.asCandidate("")) > 0
}

// asCandidate returns an announcement of this entry.
func (e *Election) asCandidate(nonce string) candidateRow {
	return candidateRow{Name: e.self, Rank: e.rank, Class: e.strength.Class, Nonce: nonce}
}

// announce writes the candidate row. If the write fails, it is repeated at the next interval.
func (e *Election) announce(ctx context.Context) {
	e.mu.Lock()
	term, holder := e.value.Term, e.value.Holder
	first := e.handover.announcedTerm != term
	e.handover.announcedAt, e.handover.announcedTerm = e.clock.Elapsed(), term
	e.mu.Unlock()
	if first {
		e.logHandover("Announced", "this entry is ready to lead and of a stronger class than %s, the leader of term %d", holder, term)
	}
	encoded, err := json.Marshal(e.asCandidate(uuid.NewString()))
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout.Duration())
	defer cancel()
	_, _ = e.table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: CandidateKey, Version: croft.AnyVersion, Value: encoded}})
}

// successor returns the candidate to which this entry should hand the leadership now, and why; the reason is empty if there is none.
// The caller holds e.mu.
func (e *Election) successor(now croft.Millis) (candidateRow, string) {
	h, c := &e.handover, e.handover.candidate
	if !e.isLeading(now) || c.Name == "" || c.Name == e.self || c.Class >= e.strength.Class || now-h.candidateAt > candidateTimeout {
		return candidateRow{}, ""
	}
	if now < h.retryFrom || now-e.lastAnswer >= e.lease/2 || e.validUntil-now < e.lease/2 {
		// The store doesn't answer, or the leadership was not renewed: a release might not be stored either.
		return candidateRow{}, ""
	}
	led, announced := now-h.leadingSince, now-h.candidateSince
	switch {
	case h.overloaded && now-h.overloadedSince >= overloadWait && led >= e.lease:
		return c, fmt.Sprintf("this entry has been overloaded for %d ms, and %s is of a stronger class", now-h.overloadedSince, c.Name)
	case min(led, announced) >= steadyLeases*e.lease:
		return c, fmt.Sprintf("%s is of a stronger class and has announced itself for %d ms", c.Name, announced)
	}
	return candidateRow{}, ""
}
