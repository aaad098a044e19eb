package leader

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// Limits of the two kinds of entries in a deployment with some 350 executors.
var (
	strongEntry = Strength{Class: 0, Limits: Limits{Cores: 0.8, MemoryMB: 536, Descriptors: 8192, LinkMbps: 200}}
	weakEntry   = Strength{Class: 6, Limits: Limits{Cores: 0.192, MemoryMB: 184, Descriptors: 4100, LinkMbps: 10}}
)

// newEntry returns a candidate of a strength that has read the table.
func newEntry(table *fakeTable, c *clock.Manual, name string, rank int, strength Strength) candidate {
	entry := candidate{New(name, rank, lease, table, c).WithStrength(strength), table}
	entry.Observe(croft.Changes{}, true)
	return entry
}

func TestLimitsSuffice(t *testing.T) {
	assert.Assert(t, strongEntry.Limits.Suffice(350))
	assert.Assert(t, !weakEntry.Limits.Suffice(350))
	assert.Assert(t, weakEntry.Limits.Suffice(100))
	assert.Assert(t, Limits{}.Suffice(350), "limits that are not known do not count")
	for _, short := range []Limits{{Cores: 0.46}, {MemoryMB: 330}, {Descriptors: 3900}, {LinkMbps: 25}} {
		assert.Assert(t, !short.Suffice(350), "%+v", short)
	}
}

// Guards against an entry that takes over from a live leader without knowing its latest row: the store had dropped its history and
// the feed returned no changes any more.
func TestRowIsReadBeforeATakeoverWithoutNewsFromTheFeed(t *testing.T) {
	table, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	two.Observe(table.changes(), true)
	takeovers := 0
	for range 60 {
		advance(c, 100, one)
		two.Observe(croft.Changes{}, false)
		before := table.commitCount()
		two.step(context.Background())
		takeovers += table.commitCount() - before
	}
	assert.Equal(t, takeovers, 0)
	assert.NilError(t, one.Guard())
	// The leader ends. The row that was read last stays unchanged for the usual time.
	for two.Leadership() == nil {
		c.Advance(100)
		two.Observe(croft.Changes{}, false)
		two.step(context.Background())
		assert.Assert(t, c.Elapsed() < 20*croft.Second)
	}
	assert.Equal(t, two.Leadership().Term, 2)
}

// Guards against a takeover while the store does not answer the read of the row.
func TestNoTakeoverIfTheRowCannotBeRead(t *testing.T) {
	table, c, one, two := newCandidates()
	advance(c, croft.Second, one)
	two.Observe(table.changes(), true)
	table.getErr = &croft.LostAnswerError{Reason: "test"}
	for range 60 {
		c.Advance(100)
		two.Observe(croft.Changes{}, false)
		two.step(context.Background())
	}
	assert.Assert(t, two.Leadership() == nil)
	table.getErr = nil
	two.step(context.Background())
	assert.Assert(t, two.Leadership() != nil)
}

// Guards against a weak entry that took over the lead of 350 executors from a strong one while other strong ones were
// alive: it left 400 to 600 orders unanswered in each 2 s.
func TestEntryTooWeakForTheExecutorsWaitsOneLeaseLonger(t *testing.T) {
	table, c := &fakeTable{}, clock.NewManual(0)
	strong, weak := newEntry(table, c, "strong", 0, strongEntry), newEntry(table, c, "weak", 7, weakEntry)
	advance(c, croft.Second, strong, weak)
	strong.SetExecutors(350)
	advance(c, croft.Second, strong, weak)
	usual := lease*unchangedPercent/100 + weak.rankDelay
	advance(c, usual+lease-lease/renewDivisor-stepInterval, weak)
	assert.Assert(t, weak.Leadership() == nil)
	advance(c, lease/renewDivisor+3*stepInterval, weak)
	assert.Assert(t, weak.Leadership() != nil, "without a stronger entry it leads all the same")
	assert.Equal(t, weak.value.Executors, 350, "the number is kept until the new leader knows its own")
}

// Entries of equal strength, entries that suffice, and successors of a leader whose row has no class wait as before.
func TestTakeoverWaitIsUnchangedWithoutAStrongerLeader(t *testing.T) {
	table, c := &fakeTable{}, clock.NewManual(0)
	weak := newEntry(table, c, "weak", 7, weakEntry)
	usual := lease*unchangedPercent/100 + weak.rankDelay
	weak.value = leaderRow{Holder: "other", Executors: 350}
	assert.Equal(t, weak.takeoverWait(), usual)
	weak.value.Class = &weakEntry.Class
	assert.Equal(t, weak.takeoverWait(), usual)
	weak.value.Class, weak.value.Executors = &strongEntry.Class, 100
	assert.Equal(t, weak.takeoverWait(), usual)
	weak.value.Executors = 350
	assert.Equal(t, weak.takeoverWait(), usual+lease)
}
