package intake

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
	"waxwing.example/croft/shares"
)

// lateTable does not answer the first transaction, and carries it out only when told.
type lateTable struct {
	lockedTable
	first []croft.Op
	// refusal is the error of the transactions after the first, nil if they are carried out.
	refusal error
}

func (t *lateTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.first == nil:
		t.first = ops
		return 0, &croft.LostAnswerError{Reason: "test"}
	case t.refusal != nil:
		return 0, t.refusal
	}
	return t.fakeTable.Commit(ctx, ops)
}

// setRefusal sets the error of the transactions after the first.
func (t *lateTable) setRefusal(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusal = err
}

// carryOutFirst carries out the first transaction, as a store may do seconds after its answer was lost.
func (t *lateTable) carryOutFirst() error {
	_, err := t.Commit(context.Background(), t.first)
	return err
}

// newUncertainEntry returns an entry whose first submission, of the target, had no answer and whose caller has left. The part's
// writing has ended.
func newUncertainEntry(t *testing.T, target Target) (*Intake, *lateTable) {
	t.Helper()
	store := &lateTable{lockedTable: newLockedTable()}
	i := newEntryOn(store)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	outcome, _ := i.Submit(ctx, target, croft.JobSpec{})
	assert.Equal(t, outcome, Unknown)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		i.writer.mu.Lock()
		defer i.writer.mu.Unlock()
		if i.writer.parts[target.part()].writing {
			return poll.Continue("the part is being written")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	return i, store
}

// Guards against 429 for a job that is stored afterwards: the answer to its transaction was lost, its caller left and comes again while
// jobs are refused.
func TestJobOfUncertainTransactionIsNotRefused(t *testing.T) {
	for name, load := range map[string]sched.Load{
		"organisation": {Admitted: map[croft.OrganisationID]float64{"heavy": 0.1}},
		"queue":        {Refuse: true, Wait: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			target := refusedTarget("heavy", 0.1)
			i, store := newUncertainEntry(t, target)
			i.RecordLoads(jobs.Encode(map[croft.QueueID]sched.Load{queue.ID: load}))
			outcome, _ := i.Submit(shortContext(t), target, croft.JobSpec{})
			assert.Equal(t, outcome, Accepted)
			assert.ErrorContains(t, store.carryOutFirst(), "")
			for shares.Admits(target.ID, 0.1) || target.ID == refusedTarget("heavy", 0.1).ID {
				target = ownedTarget("heavy", rand.Int())
			}
			outcome, _ = i.Submit(shortContext(t), target, croft.JobSpec{})
			assert.Equal(t, outcome, Rejected)
		})
	}
}

// Guards against 503 for a job that is stored afterwards: the answer to its transaction was lost, and the store refuses the next one,
// or does not answer this entry any more.
func TestJobOfUncertainTransactionIsNotUnavailable(t *testing.T) {
	target := ownedTarget("heavy", 1)
	i, store := newUncertainEntry(t, target)
	store.setRefusal(&croft.UnavailableError{Reason: "test"})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	outcome, _ := i.Submit(ctx, target, croft.JobSpec{})
	assert.Equal(t, outcome, Unknown)
	i.storeOutage = func() croft.Millis { return 2 * croft.Second }
	outcome, _ = i.Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, Unknown)
	store.setRefusal(nil)
	assert.NilError(t, store.carryOutFirst())
}

func TestUncertainKeysExpire(t *testing.T) {
	var u uncertainKeys
	u.add("a", 1000)
	assert.Assert(t, u.contains("a", 999+uncertainTime) && !u.contains("a", 1000+uncertainTime))
	assert.Assert(t, !u.contains("b", 1000))
}

// Guards against memory that grows with each answer that is lost, and against a key that is forgotten in return: while there are too many,
// every job counts as one that may be stored.
func TestUncertainKeysAreBounded(t *testing.T) {
	var u uncertainKeys
	for n := range 2 * maxUncertain {
		u.add(strconv.Itoa(n), 0)
	}
	assert.Equal(t, len(u.until), maxUncertain)
	assert.Assert(t, u.contains("another", uncertainTime-1) && !u.contains("another", uncertainTime))
	u.add("later", uncertainTime)
	assert.Equal(t, len(u.until), 1)
	assert.Assert(t, u.contains("later", 2*uncertainTime-1) && !u.contains("another", uncertainTime))
}
