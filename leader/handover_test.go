package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/window"
)

// steady is how long it takes until a leader hands over to a stronger candidate, with the time for messages.
const steady = steadyLeases*lease + announceInterval

// weakLeader returns a weak entry that has led for a second, and strong entries that are ready, of which only the first is to become
// the leader.
func weakLeader(t *testing.T) (*fakeTable, *clock.Manual, candidate, []candidate) {
	t.Helper()
	table, c := &fakeTable{}, clock.NewManual(0)
	weak := newEntry(table, c, "weak", 6, weakEntry)
	advance(c, croft.Second, weak)
	assert.Assert(t, weak.Leadership() != nil)
	strong := []candidate{newEntry(table, c, "strong-1", 0, strongEntry), newEntry(table, c, "strong-2", 1, strongEntry), newEntry(table, c, "strong-3", 3, strongEntry)}
	for _, e := range strong {
		e.SetReady(true)
	}
	return table, c, weak, strong
}

// leaders returns the entries that may send orders now.
func leaders(entries ...candidate) []string {
	var out []string
	for _, e := range entries {
		if e.Guard() == nil {
			out = append(out, e.self)
		}
	}
	return out
}

// Guards against a weak entry that stays the leader until the end of the day although stronger ones are ready, against a gap between
// leaders, and against entries that hand the leadership to and fro.
func TestWeakLeaderHandsOverToAStrongerEntryOnce(t *testing.T) {
	_, c, weak, strong := weakLeader(t)
	all := append([]candidate{weak}, strong...)
	withoutLeader := croft.Millis(0)
	for c.Elapsed() < 60*croft.Second {
		advance(c, stepInterval, all...)
		now := leaders(all...)
		assert.Assert(t, len(now) <= 1, "%v lead at %d ms", now, c.Elapsed())
		if len(now) == 0 {
			withoutLeader += stepInterval
		}
		if c.Elapsed() < lease {
			assert.Assert(t, weak.Leadership() != nil, "handed over before the lead was steady")
		}
		if c.Elapsed() > 2*croft.Second+steady {
			assert.DeepEqual(t, now, []string{"strong-1"})
		}
	}
	assert.Equal(t, strong[0].Leadership().Term, 2)
	assert.Assert(t, withoutLeader <= 2*stepInterval, "%d ms without a leader", withoutLeader)
}

// A candidate announces itself at most once a second, only one of several goes on, and none does while a strong entry leads.
func TestAnnouncementsAreFew(t *testing.T) {
	table, c, weak, strong := weakLeader(t)
	all := append([]candidate{weak}, strong...)
	advance(c, 4*croft.Second, all...)
	assert.Assert(t, table.announcements >= 3 && table.announcements <= 4+len(strong), "%d announcements", table.announcements)
	advance(c, steady, all...)
	assert.Assert(t, weak.Leadership() == nil)
	before := table.announcements
	advance(c, 10*croft.Second, all...)
	assert.Equal(t, table.announcements, before)
}

// Entries of equal strength never hand over, whatever their ranks; nor does a leader whose row has no class.
func TestEntriesOfEqualStrengthNeverHandOver(t *testing.T) {
	for _, strength := range []Strength{strongEntry, weakEntry} {
		table, c := &fakeTable{}, clock.NewManual(0)
		last, first := newEntry(table, c, "last", 3, strength), newEntry(table, c, "first", 0, strength)
		first.SetReady(true)
		advance(c, croft.Second, last)
		last.SetOverloaded(true)
		advance(c, 30*croft.Second, last, first)
		assert.Equal(t, last.Leadership().Term, 1)
		assert.Equal(t, table.announcements, 0)
		// Not even if one announces itself, as an entry whose limits have been lowered since might.
		for range 10 {
			first.announce(context.Background())
			advance(c, announceInterval, last, first)
		}
		assert.Equal(t, last.Leadership().Term, 1)
	}
	_, c, weak, strong := weakLeader(t)
	strong[0].value = leaderRow{Holder: "former version", Rank: 9}
	assert.Assert(t, !strong[0].mayAnnounce(c.Elapsed()) && weak.Leadership() != nil)
}

// An entry that is not ready, or that announced itself once and has gone, gets nothing.
func TestNoHandoverToAnEntryThatIsNotThere(t *testing.T) {
	table, c, weak, strong := weakLeader(t)
	strong[0].SetReady(false)
	advance(c, 2*steady, weak, strong[0])
	assert.Equal(t, table.announcements, 0)
	strong[0].SetReady(true)
	advance(c, croft.Second, weak, strong[0])
	advance(c, 2*steady, weak)
	assert.Equal(t, weak.Leadership().Term, 1)
}

// An overloaded leader does not wait until the candidate has announced itself for long.
func TestOverloadedLeaderHandsOverSooner(t *testing.T) {
	_, c, weak, strong := weakLeader(t)
	weak.SetOverloaded(true)
	advance(c, lease, weak, strong[0])
	assert.Assert(t, strong[0].Leadership() != nil)
	assert.Assert(t, c.Elapsed() < steady)
}

// Guards against a handover after a single sign of overload, which lasted just as long as the leader had to be overloaded; a second
// sign in a row moves the lead.
func TestOneSignOfOverloadDoesNotMoveTheLead(t *testing.T) {
	for signs, moves := range map[int]bool{1: false, 2: true} {
		_, c, weak, strong := weakLeader(t)
		limiter := window.New()
		advance(c, croft.Second, weak, strong[0])
		began := c.Elapsed()
		for c.Elapsed() < croft.Second+steady-announceInterval {
			if c.Elapsed() < began+croft.Millis(signs)*1500 && (c.Elapsed()-began)%1500 == 0 {
				for n := range 8 {
					limiter.Unanswered(c.Elapsed(), croft.WorkerID(fmt.Sprint(n)), croft.RackID(fmt.Sprint(n)), "")
				}
				assert.Assert(t, limiter.Overloaded(c.Elapsed()))
			}
			advance(c, stepInterval, weak, strong[0])
			// The planner's report reaches the election one step late.
			weak.SetOverloaded(limiter.Overloaded(c.Elapsed() - stepInterval))
		}
		assert.Equal(t, weak.Leadership() == nil, moves, "%d signs", signs)
	}
}

// Guards against a leader that is lost for good when its successor dies: the others take over after a longer wait.
func TestOthersTakeOverIfTheSuccessorDies(t *testing.T) {
	_, c, weak, strong := weakLeader(t)
	for weak.Leadership() != nil {
		advance(c, stepInterval, append(strong[:1:1], weak)...)
	}
	assert.Equal(t, weak.value.Successor, "strong-1")
	advance(c, lease*unchangedPercent/100-stepInterval, weak, strong[1], strong[2])
	assert.Equal(t, len(leaders(weak, strong[1], strong[2])), 0)
	advance(c, 3*stepInterval, weak, strong[1], strong[2])
	assert.DeepEqual(t, leaders(weak, strong[1], strong[2]), []string{"strong-2"})
}

// release has the weak leader hand over to the first strong entry now.
func (e candidate) release(to candidate) {
	e.handOver(context.Background(), to.asCandidate(""), "test")
}

// Guards against two leaders after a release without an answer: it may have been stored, or may be stored later.
func TestReleaseWithoutAnswerIsReadBack(t *testing.T) {
	for _, applied := range []bool{true, false} {
		table, c, weak, strong := weakLeader(t)
		first := weak.Leadership()
		table.commitErr, table.applyFailed = &croft.LostAnswerError{Reason: "test"}, applied
		late := croft.Op{Kind: croft.OpPut, Key: Key, Version: table.row.Version, Value: []byte(`{"Successor":"strong-1"}`)}
		weak.release(strong[0])
		assert.Assert(t, weak.Leadership() == nil)
		for range 10 {
			advance(c, stepInterval, weak, strong[0])
			assert.Assert(t, len(leaders(weak, strong[0])) <= 1)
		}
		if applied {
			assert.DeepEqual(t, leaders(weak, strong[0]), []string{"strong-1"})
			continue
		}
		assert.DeepEqual(t, leaders(weak, strong[0]), []string{"weak"})
		assert.Assert(t, weak.Leadership().Fence > first.Fence && weak.Leadership().Term == first.Term+1)
		_, _, err := table.commit([]croft.Op{late})
		var conflict *croft.ConflictError
		assert.Assert(t, errors.As(err, &conflict), "a release that arrives late must not be carried out")
	}
}

// Guards against a leader that goes on although its release may be stored: the read after a lost answer had failed without being sent.
func TestReleaseOfUnknownOutcomeEndsTheTerm(t *testing.T) {
	table, _, weak, strong := weakLeader(t)
	table.commitErr, table.applyFailed, table.getErr = &croft.LostAnswerError{Reason: "test"}, true, &croft.UnavailableError{Reason: "test"}
	weak.release(strong[0])
	assert.ErrorIs(t, weak.Guard(), ErrNotLeading)
}

// While the store is not available, the leader goes on in its term.
func TestNoHandoverWhileTheStoreIsNotAvailable(t *testing.T) {
	table, c, weak, strong := weakLeader(t)
	first := weak.Leadership()
	table.commitErr = &croft.UnavailableError{Reason: "test"}
	weak.release(strong[0])
	assert.Assert(t, weak.Leadership() == first)
	assert.NilError(t, weak.Guard())
	// An entry that has no answers of the store, or could not renew, does not begin a handover.
	weak.SetOverloaded(true)
	advance(c, 2*lease, weak)
	strong[0].announce(context.Background())
	weak.Observe(table.changes(), false)
	_, reason := weak.successor(c.Elapsed())
	assert.Assert(t, reason != "")
	c.Advance(lease / 2)
	_, reason = weak.successor(c.Elapsed())
	assert.Equal(t, reason, "")
}

// Guards against a leader that goes on after a higher fencing token was seen while it released the leadership.
func TestStepDownDuringAReleaseEndsTheTerm(t *testing.T) {
	for _, err := range []error{&croft.LostAnswerError{Reason: "test"}, &croft.UnavailableError{Reason: "test"}} {
		table, _, weak, strong := weakLeader(t)
		table.commitErr, table.beforeAnswer = err, weak.StepDown
		weak.release(strong[0])
		assert.Assert(t, weak.Leadership() == nil && !weak.ownEarlierRow, "%v", err)
	}
}

// Guards against orders after the release: from before it is sent, the leader gives none, however long the answer takes.
func TestNoOrdersFromBeforeTheReleaseIsSent(t *testing.T) {
	table, _, weak, strong := weakLeader(t)
	var during []error
	table.beforeAnswer = func() { during = []error{weak.Guard(), weak.GuardVMOrders()} }
	weak.release(strong[0])
	assert.Equal(t, len(during), 2)
	for _, err := range during {
		assert.ErrorIs(t, err, ErrNotLeading)
	}
}

// Guards against VM orders of two leaders at once: a leader that hands over soon after it took over names for how long its
// predecessor may still act.
func TestHandoverNamesThePredecessorsTime(t *testing.T) {
	table, c, weak, strong := weakLeader(t)
	other := newEntry(table, c, "other", 6, weakEntry)
	for other.Leadership() == nil {
		advance(c, stepInterval, other)
	}
	assert.NilError(t, weak.GuardVMOrders())
	other.release(strong[0])
	var value leaderRow
	assert.NilError(t, json.Unmarshal(table.row.Value, &value))
	assert.Assert(t, value.PredecessorRemaining > 0 && value.Holder == "" && value.Successor == "strong-1")
	advance(c, 2*stepInterval, strong[0])
	assert.NilError(t, strong[0].Guard())
	for weak.GuardVMOrders() == nil {
		assert.Assert(t, strong[0].GuardVMOrders() != nil, "two leaders may give VM orders at %d ms", c.Elapsed())
		advance(c, stepInterval, strong[0])
	}
	advance(c, croft.Second, strong[0])
	assert.NilError(t, strong[0].GuardVMOrders())
}

// Every decision is logged with its reason.
func TestHandoverIsLogged(t *testing.T) {
	_, c, weak, strong := weakLeader(t)
	var lines []string
	log := func(d croft.Decision) { lines = append(lines, d.Action+" "+d.Subject+" "+d.Choice) }
	weak.WithLog(log)
	strong[0].WithLog(log)
	advance(c, 2*steady, weak, strong[0])
	assert.Equal(t, strings.Join(lines, ", "), "Handover strong-1 Announced, Handover weak strong-1, Handover weak Released")
}
