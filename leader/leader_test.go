package leader

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// fakeTable is a table of only the leader row and the candidate row.
type fakeTable struct {
	mu        sync.Mutex
	row       croft.Row
	candidate croft.Row
	// commitErr is the error that the next commit returns, nil for success.
	commitErr error
	// applyFailed reports that the commit that returns commitErr is applied nevertheless.
	applyFailed bool
	// silent makes commits wait for the end of their contexts.
	silent bool
	// beforeAnswer is called once, after the next commit of the leader row is carried out or has failed, and before it returns.
	beforeAnswer func()
	// getErr is the error that reads return, nil for success.
	getErr error
	// commits counts the calls of Commit for the leader row, and announcements those for the candidate row.
	commits, announcements int
}

func (t *fakeTable) Get(ctx context.Context, _ string) (croft.Row, error) {
	if ctx.Err() != nil {
		return croft.Row{}, &croft.UnavailableError{Reason: ctx.Err().Error()}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row, t.getErr
}

func (t *fakeTable) commitCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

func (t *fakeTable) Scan(context.Context, croft.Range) ([]croft.Row, error) { return nil, nil }

func (t *fakeTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	if t.silent {
		<-ctx.Done()
	}
	version, beforeAnswer, err := t.commit(ops)
	if beforeAnswer != nil {
		beforeAnswer()
	}
	return version, err
}

func (t *fakeTable) commit(ops []croft.Op) (version uint64, beforeAnswer func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ops[0].Key == CandidateKey {
		t.announcements++
		t.candidate = croft.Row{Key: CandidateKey, Version: t.candidate.Version + 1, Value: ops[0].Value}
		return t.candidate.Version, nil, nil
	}
	t.commits++
	commitErr := t.commitErr
	t.commitErr = nil
	beforeAnswer, t.beforeAnswer = t.beforeAnswer, nil
	if commitErr != nil && !t.applyFailed {
		return 0, beforeAnswer, commitErr
	}
	if ops[0].Version != t.row.Version {
		return 0, beforeAnswer, &croft.ConflictError{Rows: []croft.Row{t.row}}
	}
	t.row = croft.Row{Key: Key, Version: t.row.Version + 1, Value: ops[0].Value}
	return t.row.Version, beforeAnswer, commitErr
}

func (t *fakeTable) changes() croft.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := croft.Changes{Version: t.row.Version, Rows: []croft.Row{t.row}}
	if t.candidate.Version > 0 {
		changes.Rows = append(changes.Rows, t.candidate)
	}
	return changes
}

// lease is the duration of the lease in these tests.
const lease = 3 * croft.Second

// candidate is an entry that takes part in the election.
type candidate struct {
	*Election
	table *fakeTable
}

// newCandidates returns a table, a clock and two candidates of rank 0 and 1.
func newCandidates() (*fakeTable, *clock.Manual, candidate, candidate) {
	table, c := &fakeTable{}, clock.NewManual(0)
	one := candidate{New("one", 0, lease, table, c), table}
	two := candidate{New("two", 1, lease, table, c), table}
	one.Observe(croft.Changes{}, true)
	two.Observe(croft.Changes{}, true)
	return table, c, one, two
}

// advance advances the clock in steps of 100 ms, at which each candidate reads the row and runs.
func advance(c *clock.Manual, duration croft.Millis, candidates ...candidate) {
	for end := c.Elapsed() + duration; c.Elapsed() < end; {
		c.Advance(100)
		for _, e := range candidates {
			e.Observe(e.table.changes(), false)
			e.step(context.Background())
		}
	}
}

func TestOneCandidateLeadsAndRenews(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, 20*croft.Second, one, two)
	assert.Assert(t, one.Leadership() != nil)
	assert.Assert(t, two.Leadership() == nil)
	assert.Equal(t, one.Leadership().Term, 1)
	assert.NilError(t, one.Guard())
}

// Guards against a takeover that waits for the whole lease of 3 s: pools with changing load got no
// decisions for that long.
func TestTakeoverOnceTheRowStaysUnchanged(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	advance(c, lease*unchangedPercent/100-lease/renewDivisor-100, two)
	assert.Assert(t, two.Leadership() == nil)
	advance(c, lease/renewDivisor+300, two)
	assert.Equal(t, two.Leadership().Term, 2)
	assert.Assert(t, two.Leadership().Fence > one.Leadership().Fence)
	one.Observe(one.table.changes(), false)
	assert.Assert(t, one.Leadership() == nil)
}

// Two entries must not send VM orders within one lease, even if the former leader is still alive and
// does not know of the takeover.
func TestVMOrdersWaitForTheFormerLease(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	assert.NilError(t, one.GuardVMOrders())
	lastRenewal, formerAllowedAt := two.unchangedSince, c.Elapsed()
	for two.GuardVMOrders() != nil {
		advance(c, 100, two)
		if one.GuardVMOrders() == nil {
			formerAllowedAt = c.Elapsed()
		}
		assert.Assert(t, c.Elapsed() < 10*croft.Second)
	}
	assert.Assert(t, one.GuardVMOrders() != nil)
	assert.Assert(t, c.Elapsed() >= lastRenewal+lease, "%d ms after the last renewal that was seen", c.Elapsed()-lastRenewal)
	assert.Assert(t, c.Elapsed() > formerAllowedAt)
}

// While the store is slow, the renewals of a live leader come late; no other entry must take over.
func TestSlowRenewalsKeepLeadership(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	for range 10 {
		advance(c, 1000, two)
		advance(c, 200, one, two)
		assert.Assert(t, two.Leadership() == nil)
	}
	assert.NilError(t, one.Guard())
}

// Guards against a live leader that loses its leadership when the store becomes slow: its first slow
// renewal came after the takeover wait, which no long gap between renewals had lengthened yet. Late
// answers of the feed show earlier that the store is slow.
func TestLateStoreAnswersDelayTheTakeover(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	two.RecordDelay(350)
	advance(c, lease*unchangedPercent/100+600, two)
	assert.Assert(t, two.Leadership() == nil)
	advance(c, croft.Second, two)
	assert.Equal(t, two.Leadership().Term, 2)
}

// A candidate must not take over because time has passed without any answer of the store: the row may
// have changed.
func TestNoTakeoverWithoutRecentStoreAnswer(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	c.Advance(lease * unchangedPercent / 100)
	two.step(context.Background())
	assert.Assert(t, two.Leadership() == nil)
}

// After an outage of the store for all entries, the live leader gets time to renew and no other entry
// takes over.
func TestLeaderKeepsLeadershipOverStoreOutage(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	c.Advance(7 * croft.Second)
	two.Observe(two.table.changes(), false)
	two.step(context.Background())
	assert.Assert(t, two.Leadership() == nil)
	advance(c, 2*croft.Second, two, one)
	assert.Assert(t, two.Leadership() == nil)
	assert.NilError(t, one.Guard())
	assert.Equal(t, one.Leadership().Term, 1)
}

// A candidate that is partitioned from the store cannot know whether the leader has renewed.
func TestPartitionedCandidateDoesNotTakeOver(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	advance(c, 5*croft.Second, one)
	two.step(context.Background())
	assert.Assert(t, two.Leadership() == nil)
}

func TestRenewalWithLostAnswerIsReadBack(t *testing.T) {
	table, c, one, _ := newCandidates()
	advance(c, croft.Second, one)
	table.commitErr, table.applyFailed = &croft.LostAnswerError{}, true
	advance(c, 10*croft.Second, one)
	assert.NilError(t, one.Guard())
	assert.Equal(t, one.Leadership().Term, 1)
}

func TestReleasedLeadershipIsTakenOverAtOnce(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	one.Release(context.Background())
	assert.ErrorIs(t, one.Guard(), ErrNotLeading)
	advance(c, 300, two)
	assert.Equal(t, two.Leadership().Term, 2)
}

func TestLeadershipIsNotRegainedAtOnceAfterStepDown(t *testing.T) {
	_, c, one, _ := newCandidates()
	advance(c, croft.Second, one)
	one.StepDown()
	advance(c, croft.Second, one)
	assert.Assert(t, one.Leadership() == nil)
	advance(c, lease, one)
	assert.Equal(t, one.Leadership().Term, 2)
}

// An entry that was killed while it led finds its own row after the restart and takes over without
// waiting until the row expires; VM orders wait for the end of the earlier lease.
func TestRestartedLeaderLeadsAtOnce(t *testing.T) {
	table, c, one, _ := newCandidates()
	advance(c, croft.Second, one)
	restarted := candidate{New("one", 0, lease, table, c), table}
	restarted.Observe(table.changes(), true)
	restarted.step(context.Background())
	assert.Equal(t, restarted.Leadership().Term, 2)
	assert.NilError(t, restarted.Guard())
	assert.ErrorIs(t, restarted.GuardVMOrders(), ErrNotLeading)
	advance(c, lease+100, restarted)
	assert.NilError(t, restarted.GuardVMOrders())
}

// Guards against a Release without effect: during a pending renewal, the row still named the leader
// afterwards, and the other entries waited until it expired. Under high load a renewal is pending most
// of the time.
func TestReleaseWaitsForPendingRenewal(t *testing.T) {
	table, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	done := make(chan struct{})
	table.beforeAnswer = func() {
		go func() {
			one.Release(context.Background())
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(50 * time.Millisecond):
			// Release waits for the pending renewal, as it should.
		}
	}
	advance(c, lease/renewDivisor, one)
	<-done
	advance(c, 300, two)
	assert.Assert(t, two.Leadership() != nil)
	advance(c, croft.Second, one)
	assert.Assert(t, one.Leadership() == nil)
}

// Guards against VM orders of two leaders at once: a leader released the leadership soon after it had taken over, and its
// successor did not wait for the leader before it, which was cut off from the store and did not know of the takeover.
func TestReleaseAfterTakeoverKeepsTheFormerLeadersTime(t *testing.T) {
	table, c, one, two := newCandidates()
	three := candidate{New("three", 0, lease, table, c), table}
	three.Observe(croft.Changes{}, true)
	advance(c, croft.Second, one, two, three)
	for two.Leadership() == nil {
		advance(c, 100, two)
	}
	two.Release(context.Background())
	advance(c, 300, three)
	assert.Assert(t, three.Leadership() != nil)
	assert.NilError(t, one.GuardVMOrders())
	for one.GuardVMOrders() == nil {
		assert.Assert(t, three.GuardVMOrders() != nil, "two leaders may give VM orders at %d ms", c.Elapsed())
		advance(c, 100, three)
	}
	advance(c, croft.Second, three)
	assert.NilError(t, three.GuardVMOrders())
}

// Guards against a takeover at once from a leader that still gives orders, and against run numbers that start anew: a row
// that could not be decoded counted as released, by no term.
func TestUnreadableRowCountsAsHeld(t *testing.T) {
	table, c, one, two := newCandidates()
	advance(c, croft.Second, one, two)
	table.row = croft.Row{Key: Key, Version: table.row.Version + 1, Value: []byte("{")}
	advance(c, 500, two)
	assert.Assert(t, two.Leadership() == nil)
	advance(c, lease, two)
	assert.Assert(t, two.Leadership() != nil)
	assert.Equal(t, two.Leadership().Term, 2)
	assert.Assert(t, two.GuardVMOrders() != nil || one.GuardVMOrders() != nil)
}

// Entries whose rank is close to the leader's stand by; the leader itself and distant ones do not.
func TestEntriesNextInRankStandBy(t *testing.T) {
	table, c, one, two := newCandidates()
	far := candidate{New("far", 5, lease, table, c), table}
	far.Observe(croft.Changes{}, true)
	assert.Assert(t, !two.StandsBy())
	advance(c, croft.Second, one, two, far)
	assert.Assert(t, !one.StandsBy() && two.StandsBy() && !far.StandsBy())
}

// Guards against a takeover whose answer is lost: with the time for the commit used up, the row was not read back, and the
// entry waited for its own row to expire.
func TestTakeoverWithoutAnswerIsReadBackAfterItsTime(t *testing.T) {
	table, c, one, _ := newCandidates()
	c.Advance(rankSpacing)
	one.lease = 100 * croft.Millis(1)
	table.commitErr, table.applyFailed, table.silent = &croft.LostAnswerError{Reason: "timeout"}, true, true
	one.write(context.Background(), true)
	assert.Assert(t, one.Leadership() != nil)
}

// Guards against an executor that is back under its id and carries out orders to its former incarnation: the fencing token that
// separates them has to rise with each renewal and stay below that of a successor.
func TestRenewalsBringRisingFencingTokens(t *testing.T) {
	_, c, one, two := newCandidates()
	advance(c, 5*croft.Second, one, two)
	first := one.RenewedFence()
	assert.Assert(t, first > one.Leadership().Fence)
	assert.Equal(t, two.RenewedFence(), uint64(0))
	advance(c, lease/renewDivisor+stepInterval, one, two)
	assert.Assert(t, one.RenewedFence() > first)
	last := one.RenewedFence()
	advance(c, 2*lease, two)
	assert.Assert(t, two.Leadership().Fence > last)
	one.Observe(one.table.changes(), false)
	assert.Equal(t, one.RenewedFence(), uint64(0))
}

// Guards against VM orders of two leaders at once: those that the former leader sent last were still on their way when its
// successor, to which it released the leadership, sent its first.
func TestSuccessorWaitsForTheLastVMOrdersOfARelease(t *testing.T) {
	releases := map[string]func(from, to candidate){
		"release":  func(from, _ candidate) { from.Release(context.Background()) },
		"handover": func(from, to candidate) { from.release(to) },
	}
	for name, release := range releases {
		t.Run(name, func(t *testing.T) {
			_, c, one, two := newCandidates()
			advance(c, croft.Second, one, two)
			assert.NilError(t, one.GuardVMOrders())
			release(one, two)
			released := c.Elapsed()
			for two.GuardVMOrders() != nil {
				assert.Assert(t, c.Elapsed() < released+lease)
				advance(c, 10, two)
			}
			assert.Assert(t, c.Elapsed() >= released+lease/marginDivisor, "VM orders %d ms after the release", c.Elapsed()-released)
		})
	}
}
