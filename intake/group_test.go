package intake

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/jobs"
)

// slowTable is a table that takes one transaction at a time in each part, and some time for each.
type slowTable struct {
	lockedTable
	// duration is how long a transaction takes.
	duration time.Duration
	// fail returns the error of a transaction, before it is applied, nil for none.
	fail func(n int) error
	// invalid is a job whose transactions are refused for what they contain, empty for none.
	invalid croft.JobID
	// commits counts the transactions, and most is the largest number of operations in one.
	commits, most int
}

// setFail sets the errors of the transactions that follow.
func (t *slowTable) setFail(fail func(n int) error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fail = fail
}

func (t *slowTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	t.most = max(t.most, len(ops))
	time.Sleep(t.duration)
	if t.fail != nil {
		if err := t.fail(t.commits); err != nil {
			return 0, err
		}
	}
	for _, op := range ops {
		if t.invalid != "" && string(op.Value) == string(t.invalid) {
			return 0, &croft.UnavailableError{Reason: "test", Invalid: true}
		}
	}
	return t.fakeTable.Commit(ctx, ops)
}

// submitMany submits jobs to one part at once and returns their outcomes.
func submitMany(t *testing.T, store croft.Table, ids []croft.JobID, patience time.Duration) []Outcome {
	t.Helper()
	g := newGroupWriter(store, clock.NewSystem())
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	outcomes := make([]Outcome, len(ids))
	var group sync.WaitGroup
	for i, id := range ids {
		group.Go(func() {
			key := jobs.Key(jobs.StateTable, "q.0", id)
			outcomes[i], _ = g.submit(ctx, "q.0", key, "", []croft.Op{
				{Kind: croft.OpPut, Key: key, Value: []byte(id)},
				{Kind: croft.OpPut, Key: jobs.Key(jobs.JobTable, "q.0", id), Version: croft.AnyVersion, Value: []byte(id)},
			})
		})
	}
	group.Wait()
	return outcomes
}

func jobIDs(n int) []croft.JobID {
	var ids []croft.JobID
	for i := range n {
		ids = append(ids, croft.JobID(fmt.Sprintf("%016x", i)))
	}
	return ids
}

func countOutcomes(outcomes []Outcome) map[Outcome]int {
	counts := map[Outcome]int{}
	for _, outcome := range outcomes {
		counts[outcome]++
	}
	return counts
}

// The load of a turn on a slow store: sixty jobs for one part within the time of a few transactions. Each was a
// transaction of its own, and most callers' deadlines passed in the store's queue.
func TestSubmissionsToASlowPartShareTransactions(t *testing.T) {
	store := &slowTable{lockedTable: newLockedTable(), duration: 100 * time.Millisecond}
	outcomes := submitMany(t, store, jobIDs(60), time.Second)
	assert.Equal(t, countOutcomes(outcomes)[Accepted], 60)
	assert.Assert(t, store.commits <= 5, "%d transactions", store.commits)
	assert.Assert(t, store.most <= 2*maxGroup)
}

// One job of a group that is stored already, since its caller repeats it, does not keep the others from being stored.
func TestStoredJobDoesNotFailItsGroup(t *testing.T) {
	store := &slowTable{lockedTable: newLockedTable(), duration: 10 * time.Millisecond}
	ids := jobIDs(8)
	submitMany(t, store, ids[:3], time.Second)
	outcomes := submitMany(t, store, append(ids, ids[5]), time.Second)
	assert.Equal(t, countOutcomes(outcomes)[Accepted], 9)
	assert.Equal(t, len(store.rows), 16)
}

// A lost answer leaves all jobs of a transaction uncertain; the repetition shows whether they are stored.
func TestLostAnswerOfAGroupIsResolved(t *testing.T) {
	store := &slowTable{lockedTable: newLockedTable()}
	store.fail = func(n int) error {
		if n > 1 {
			return nil
		}
		return &croft.LostAnswerError{Reason: "test"}
	}
	outcomes := submitMany(t, store, jobIDs(5), time.Second)
	assert.Equal(t, countOutcomes(outcomes)[Accepted], 5)
}

// While the answers of the store stay away, a job that was sent may be stored, and one that still waits is not.
func TestCallersLeaveWhileTheStoreIsSilent(t *testing.T) {
	store := &slowTable{lockedTable: newLockedTable(), duration: 300 * time.Millisecond}
	store.fail = func(int) error { return &croft.LostAnswerError{Reason: "test"} }
	counts := countOutcomes(submitMany(t, store, jobIDs(60), 100*time.Millisecond))
	assert.Assert(t, counts[Unknown] >= 1 && counts[Unknown] <= maxGroup, "%v", counts)
	assert.Equal(t, counts[Unavailable], 60-counts[Unknown])
}

// A store that refuses transactions has stored none, so the callers are told so within refusalTimeout.
func TestRefusedGroupIsNotStored(t *testing.T) {
	store := &slowTable{lockedTable: newLockedTable()}
	store.fail = func(int) error { return &croft.UnavailableError{Reason: "test"} }
	began := time.Now()
	counts := countOutcomes(submitMany(t, store, jobIDs(5), 5*time.Second))
	assert.Equal(t, counts[Unavailable], 5)
	assert.Assert(t, time.Since(began) < 2*refusalTimeout.Duration())
}

// Guards against callers that are refused for a job of somebody else: one that the store does not take failed all that shared its
// transaction. It is decided at once, and alone.
func TestInvalidJobDoesNotFailItsGroup(t *testing.T) {
	ids := jobIDs(30)
	store := &slowTable{lockedTable: newLockedTable(), duration: 5 * time.Millisecond, invalid: ids[17]}
	began := time.Now()
	counts := countOutcomes(submitMany(t, store, ids, time.Minute))
	assert.Equal(t, counts[Accepted], 29)
	assert.Equal(t, counts[Invalid], 1)
	assert.Assert(t, time.Since(began) < 10*time.Second)
}
