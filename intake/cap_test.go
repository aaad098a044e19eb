package intake

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// wideSpec is a job that needs more than reducedCap.
var (
	wideSpec   = croft.JobSpec{Steps: []croft.Step{{Count: 1, Needs: croft.Resources{MilliCores: 4000}}}}
	reducedCap = croft.Resources{MilliCores: 1000}
)

// A job that is certainly not stored is refused for its cap.
func TestCapRefusesNewJob(t *testing.T) {
	b := newEntryBench()
	err := b.entries[0].CheckCap(shortContext(t), ownedTarget("red", 1), reducedCap, wideSpec)
	assert.ErrorContains(t, err, "cap")
}

// Guards against 400 for a job that is stored, and runs, as its cap was reduced and the store does not answer: the answer is that of an outage.
func TestCapRefusesNothingWithoutTheStore(t *testing.T) {
	b := newEntryBench()
	target := ownedTarget("red", 1)
	outcome, _ := b.entries[0].Submit(shortContext(t), target, wideSpec)
	assert.Equal(t, outcome, Accepted)
	b.outage = 2 * croft.Second
	assert.NilError(t, b.entries[0].CheckCap(shortContext(t), target, reducedCap, wideSpec))
	outcome, _ = b.entries[0].Submit(shortContext(t), target, wideSpec)
	assert.Equal(t, outcome, Unavailable)
}

// Guards against 400 for a job that is stored afterwards: its transaction is under way as it comes again and its cap was reduced.
func TestCapDoesNotRefuseJobUnderWay(t *testing.T) {
	store := &blockedTable{fakeTable: fakeTable{rows: map[string]croft.Row{}}, release: make(chan struct{})}
	defer close(store.release)
	i := New(store, clock.NewSystem(), discardLog{}, func() croft.Millis { return 0 }, croft.Second, 0)
	target := ownedTarget("red", 1)
	outcome, _ := i.Submit(shortContext(t), target, wideSpec)
	assert.Equal(t, outcome, Unknown)
	assert.NilError(t, i.CheckCap(shortContext(t), target, reducedCap, wideSpec))
}

// Guards against a job beyond its cap that is stored unchecked: the caller's context ended before the store answered the check. The jobs
// are many, as only some of them were sent.
func TestNothingIsSentAfterTheCallersContext(t *testing.T) {
	store := &slowTable{lockedTable: newLockedTable()}
	i := New(store, clock.NewSystem(), discardLog{}, func() croft.Millis { return 0 }, croft.Second, 0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var group sync.WaitGroup
	for n := range 2000 {
		group.Go(func() {
			outcome, _ := i.Submit(ctx, ownedTarget("red", n), wideSpec)
			assert.Check(t, outcome == Unavailable, "%s", outcome)
		})
	}
	group.Wait()
	assert.Equal(t, len(store.rows), 0)
}
