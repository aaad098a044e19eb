package leader

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

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
