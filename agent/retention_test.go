package agent

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// feedTable is the table of a fakeFeed; it applies deletions.
type feedTable struct {
	*fakeFeed
	// commits has the operations of all transactions, and refuseAfter is after how many of them the store refuses all, zero for never.
	commits     [][]croft.Op
	refuseAfter int
}

func (f *feedTable) Get(context.Context, string) (croft.Row, error) {
	return croft.Row{}, croft.ErrNoRow
}

func (f *feedTable) Scan(context.Context, croft.Range) ([]croft.Row, error) { return nil, nil }

func (f *feedTable) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuseAfter > 0 && len(f.commits) >= f.refuseAfter {
		return 0, &croft.UnavailableError{Reason: "too many transactions"}
	}
	for _, op := range ops {
		if row := f.rows[op.Key]; op.Version != croft.AnyVersion && row.Version != op.Version {
			return 0, &croft.ConflictError{Rows: []croft.Row{row}}
		}
	}
	f.version++
	for _, op := range ops {
		delete(f.rows, op.Key)
		f.gone[op.Key] = f.version
	}
	f.commits = append(f.commits, ops)
	return f.version, nil
}

// keys returns the keys of all rows, sorted.
func (f *feedTable) keys() []string {
	var keys []string
	for key := range f.rows {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func newRetentionTest(t *testing.T) (*feedTable, *Agent, context.Context) {
	t.Helper()
	table := &feedTable{fakeFeed: newFakeFeed()}
	a, ctx := newTestAgent(t, table.fakeFeed)
	a.Table = table
	return table, a, ctx
}

// Guards against a store that keeps the state of each job for ever, so that each read of the states takes longer.
func TestStatesOfJobsThatEndedLongAgoAreRemoved(t *testing.T) {
	table, a, ctx := newRetentionTest(t)
	table.putStatus("done", jobs.Done)
	table.putStatus("failed", jobs.Failed)
	table.putJob("running", jobs.Running)
	table.put(map[string][]byte{jobs.Key(jobs.StateTable, testPart, "unreadable"): []byte("{")})
	newest := table.putJob("canceled", jobs.Canceled)
	table.put(map[string][]byte{jobs.Key(jobs.CancelTable, testPart, "running"): jobs.PresenceValue})
	table.putStatus("recent", jobs.Done)
	a.removeStatesUpTo(ctx, newest)
	assert.DeepEqual(t, table.keys(), []string{
		jobs.Key(jobs.CancelTable, testPart, "running"), jobs.Key(jobs.JobTable, testPart, "running"),
		jobs.Key(jobs.StateTable, testPart, "recent"), jobs.Key(jobs.StateTable, testPart, "running"), jobs.Key(jobs.StateTable, testPart, "unreadable"),
	})
}

// Guards against a store that keeps the tombstones of cancelled IDs for ever.
func TestTombstonesAreRemovedLikeStatesOfEndedJobs(t *testing.T) {
	table, a, ctx := newRetentionTest(t)
	tombstone := jobs.EncodeProgress(jobs.Progress{}.WithCancellationBy("red"))
	newest := table.put(map[string][]byte{jobs.Key(jobs.StateTable, testPart, "old"): tombstone})
	table.put(map[string][]byte{jobs.Key(jobs.StateTable, testPart, "recent"): tombstone})
	a.removeStatesUpTo(ctx, newest)
	assert.DeepEqual(t, table.keys(), []string{jobs.Key(jobs.StateTable, testPart, "recent")})
}

// Guards against a removal that takes the store from the jobs: it ends with the first refusal, and the next pass goes on.
func TestRemovalOfStatesEndsWhenTheStoreRefuses(t *testing.T) {
	table, a, ctx := newRetentionTest(t)
	newest := uint64(0)
	for i := range 5 * maxRemovalsPerCommit {
		newest = table.putStatus(croft.JobID(strconv.Itoa(i)), jobs.Done)
	}
	table.refuseAfter = 2
	a.removeStatesUpTo(ctx, newest)
	assert.Equal(t, len(table.rows), 3*maxRemovalsPerCommit)
	table.refuseAfter = 0
	a.removeStatesUpTo(ctx, newest)
	assert.Equal(t, len(table.rows), 0)
}

// Each transaction is of one part, has no more entries than the store allows, and removes a state only in the version that was read.
func TestRemovalOfStatesKeepsToTheLimitsOfATransaction(t *testing.T) {
	const maxEntries = 100
	table, a, ctx := newRetentionTest(t)
	newest := uint64(0)
	for i := range 3 * maxRemovalsPerCommit {
		part := fmt.Sprintf("q.%d", i%2)
		newest = table.put(map[string][]byte{jobs.Key(jobs.StateTable, part, croft.JobID(strconv.Itoa(i))): jobs.Encode(jobs.Progress{Status: jobs.Done})})
	}
	a.removeStatesUpTo(ctx, newest)
	assert.Equal(t, len(table.rows), 0)
	for _, ops := range table.commits {
		entries := len(ops)
		parts := map[string]bool{}
		for _, op := range ops {
			part, _, err := jobs.SplitKey(op.Key)
			assert.NilError(t, err)
			parts[part] = true
			if op.Version != croft.AnyVersion {
				entries++
			}
		}
		assert.Equal(t, len(parts), 1)
		assert.Assert(t, entries <= maxEntries, "%d entries", entries)
	}
}

// Guards against removing a state that callers may still ask for: only renewals up to the time count, also after a pause.
func TestRenewalLogReturnsTheLastRenewalUpToATime(t *testing.T) {
	var log renewalLog
	assert.Equal(t, log.before(100), uint64(0))
	log.add(10, 5)
	log.add(20, 7)
	log.add(30, 9)
	assert.Equal(t, log.before(9), uint64(0))
	assert.Equal(t, log.before(10), uint64(5))
	assert.Equal(t, log.before(29), uint64(7))
	assert.Equal(t, len(log), 2)
	assert.Equal(t, log.before(1000), uint64(9))
	log.add(2000, 12)
	assert.Equal(t, log.before(1999), uint64(9))
	assert.Equal(t, log.before(2000), uint64(12))
}
