package agent

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/intake"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// emptyTable is a store without rows that takes every transaction.
type emptyTable struct{ croft.Table }

func (emptyTable) Get(context.Context, string) (croft.Row, error) {
	return croft.Row{}, croft.ErrNoRow
}

func (emptyTable) Commit(context.Context, []croft.Op) (uint64, error) { return 1, nil }

// leaderFeed is a feed of the leader table that first returns the rows of the whole table and then, after a gap, their changes.
type leaderFeed struct {
	clock *clock.Manual
	gap   croft.Millis
	whole []croft.Row
	// changes are returned once; the next call ends the context.
	changes []croft.Row
	calls   int
	cancel  context.CancelFunc
}

func (f *leaderFeed) ReadTable(context.Context, string, func(croft.Row) bool) (croft.Changes, error) {
	return croft.Changes{Version: 1, Rows: f.whole}, nil
}

func (f *leaderFeed) Follow(ctx context.Context, _ string, after uint64, _ croft.Millis) (croft.Changes, error) {
	f.calls++
	switch f.calls {
	case 1:
		f.clock.Advance(f.gap)
		return croft.Changes{}, &croft.LostAnswerError{Reason: "test"}
	case 2:
		return croft.Changes{Version: after + 1, Rows: f.changes}, nil
	default:
		f.cancel()
		return croft.Changes{}, ctx.Err()
	}
}

// submitAfterFeed returns the outcome of a new job once an entry has followed the leader table through a feed.
func submitAfterFeed(t *testing.T, feed *leaderFeed) intake.Outcome {
	t.Helper()
	a, ctx := newTestAgent(t, newFakeFeed())
	feed.clock = clock.NewManual(croft.Hour)
	a.Feed = feed
	a.Clock = wakingClock{feed.clock}
	a.Intake = intake.New(emptyTable{}, feed.clock, a.Log, func() croft.Millis { return 0 }, croft.Hour, 0)
	ctx, feed.cancel = context.WithCancel(ctx)
	assert.ErrorIs(t, a.followLeader(ctx), context.Canceled)
	outcome, _ := a.Intake.Submit(context.Background(), intake.Target{Queue: croft.Queue{ID: "q"}, ID: "0123456789abcdef"}, croft.JobSpec{})
	return outcome
}

// wakingClock is a manual clock whose Sleep returns at once.
type wakingClock struct{ *clock.Manual }

func (wakingClock) Sleep(ctx context.Context, _ croft.Millis) error { return ctx.Err() }

// refusingRow returns the loads row of a leader whose test queue refuses jobs.
func refusingRow() []croft.Row {
	return []croft.Row{{Key: loadsKey, Version: 1, Value: jobs.Encode(map[croft.QueueID]sched.Load{"q": {Refuse: true, Wait: 1000}})}}
}

// Guards against 429 without overload: the whole table still has the loads of a leader that is long gone, as an entry reads it when it
// starts and when the store has lost the history.
func TestLoadsOfAWholeReadAreIgnored(t *testing.T) {
	assert.Equal(t, submitAfterFeed(t, &leaderFeed{whole: refusingRow()}), intake.Accepted)
}

// Guards against 429 without overload: the first answer after an outage of the feed has loads of any age.
func TestLoadsAfterAGapOfTheFeedAreIgnored(t *testing.T) {
	assert.Equal(t, submitAfterFeed(t, &leaderFeed{changes: refusingRow(), gap: intake.LoadValidity + 1}), intake.Accepted)
}

// Loads that the feed returns in time are used.
func TestLoadsOfTheFeedAreUsed(t *testing.T) {
	assert.Equal(t, submitAfterFeed(t, &leaderFeed{changes: refusingRow(), gap: intake.LoadValidity}), intake.Rejected)
}
