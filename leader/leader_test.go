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

// table holds the one row; its next commit can be made to fail.
type table struct {
	mu    sync.Mutex
	row   croft.Row
	fault error
	// done says that the failing commit is carried out all the same.
	done bool
	// slow is called within a commit, before its answer.
	slow func()
}

func (s *table) Get(context.Context, string) (croft.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row, nil
}

func (s *table) Scan(context.Context, croft.Range) ([]croft.Row, error) { return nil, nil }

func (s *table) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	version, slow, err := s.commit(ops)
	if slow != nil {
		slow()
	}
	return version, err
}

func (s *table) commit(ops []croft.Op) (version uint64, slow func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := s.fault
	s.fault = nil
	if fault != nil && !s.done {
		return 0, nil, fault
	}
	if ops[0].Version != s.row.Version {
		return 0, nil, &croft.ConflictError{Rows: []croft.Row{s.row}}
	}
	s.row = croft.Row{Key: Key, Version: s.row.Version + 1, Value: ops[0].Value}
	slow, s.slow = s.slow, nil
	return s.row.Version, slow, fault
}

func (s *table) changes() croft.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return croft.Changes{Version: s.row.Version, Rows: []croft.Row{s.row}}
}

const lease = 3 * croft.Second

type candidate struct {
	*Election
	store *table
}

func newCandidates() (*table, *clock.Manual, candidate, candidate) {
	s, c := &table{}, clock.NewManual(0)
	one := candidate{New("one", 0, lease, s, c), s}
	two := candidate{New("two", 1, lease, s, c), s}
	one.Observe(croft.Changes{}, true)
	two.Observe(croft.Changes{}, true)
	return s, c, one, two
}

// pass lets time go by with both candidates watching the row.
func pass(c *clock.Manual, span croft.Millis, candidates ...candidate) {
	for end := c.Elapsed() + span; c.Elapsed() < end; {
		c.Advance(100)
		for _, h := range candidates {
			h.Observe(h.store.changes(), false)
			h.step(context.Background())
		}
	}
}

func TestOneCandidateLeadsAndRenews(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, 20*croft.Second, one, two)
	assert.Assert(t, one.Lead() != nil)
	assert.Assert(t, two.Lead() == nil)
	assert.Equal(t, one.Lead().Term, 1)
	assert.NilError(t, one.Guard())
}

// The lead used to pass on after the whole lease of 3 s, and a pool in its turn stood still that long.
func TestLeadPassesOnOnceTheRowStandsStill(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	pass(c, lease*stillShare/100-lease/renewShare-100, two)
	assert.Assert(t, two.Lead() == nil)
	pass(c, lease/renewShare+300, two)
	assert.Equal(t, two.Lead().Term, 2)
	assert.Assert(t, two.Lead().Fence > one.Lead().Fence)
	one.Observe(one.store.changes(), false)
	assert.Assert(t, one.Lead() == nil)
}

// Orders for VMs must not come from two holders within one lease, though the first one is still there.
func TestVMsAreOrderedOnlyAfterTheWholeLease(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	assert.NilError(t, one.GuardVMs())
	renewed, last := two.since, c.Elapsed()
	for two.GuardVMs() != nil {
		pass(c, 100, two)
		if one.GuardVMs() == nil {
			last = c.Elapsed()
		}
		assert.Assert(t, c.Elapsed() < 10*croft.Second)
	}
	assert.Assert(t, one.GuardVMs() != nil)
	assert.Assert(t, c.Elapsed() >= renewed+lease, "%d ms after the last renewal that was seen", c.Elapsed()-renewed)
	assert.Assert(t, c.Elapsed() > last)
}

// While the store is slow, renewals come late though their writer lives.
func TestSlowRenewalsKeepTheLead(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	for range 10 {
		pass(c, 1000, two)
		pass(c, 200, one, two)
		assert.Assert(t, two.Lead() == nil)
	}
	assert.NilError(t, one.Guard())
}

// The first slow renewal came after the time in which the lead used to be taken from a living holder;
// nobody could know yet how slow renewals are, but answers without news were late too.
func TestLateAnswersDelayTheTakeover(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	two.Delayed(350)
	pass(c, lease*stillShare/100+600, two)
	assert.Assert(t, two.Lead() == nil)
	pass(c, croft.Second, two)
	assert.Equal(t, two.Lead().Term, 2)
}

// A row that no answer has shown to stand still may have changed.
func TestSilenceOfTheStoreIsNoSilenceOfTheHolder(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	c.Advance(lease * stillShare / 100)
	two.step(context.Background())
	assert.Assert(t, two.Lead() == nil)
}

// After an outage of the store for all, the holder that lives renews, and nobody takes its place.
func TestHolderKeepsTheLeadOverAnOutage(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	c.Advance(7 * croft.Second)
	two.Observe(two.store.changes(), false)
	two.step(context.Background())
	assert.Assert(t, two.Lead() == nil)
	pass(c, 2*croft.Second, two, one)
	assert.Assert(t, two.Lead() == nil)
	assert.NilError(t, one.Guard())
	assert.Equal(t, one.Lead().Term, 1)
}

// A candidate that does not see the store does not know whether the lead was renewed.
func TestCandidateWithoutNewsDoesNotTakeOver(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	pass(c, 5*croft.Second, one)
	two.step(context.Background())
	assert.Assert(t, two.Lead() == nil)
}

func TestRenewalWithoutAnswerIsReadBack(t *testing.T) {
	s, c, one, _ := newCandidates()
	pass(c, croft.Second, one)
	s.fault, s.done = &croft.LostAnswerError{}, true
	pass(c, 10*croft.Second, one)
	assert.NilError(t, one.Guard())
	assert.Equal(t, one.Lead().Term, 1)
}

func TestReleasedLeadIsTakenAtOnce(t *testing.T) {
	_, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	one.Release(context.Background())
	assert.ErrorIs(t, one.Guard(), ErrNotLeading)
	pass(c, 300, two)
	assert.Equal(t, two.Lead().Term, 2)
}

func TestDroppedLeadIsNotTakenBackAtOnce(t *testing.T) {
	_, c, one, _ := newCandidates()
	pass(c, croft.Second, one)
	one.Drop()
	pass(c, croft.Second, one)
	assert.Assert(t, one.Lead() == nil)
	pass(c, lease, one)
	assert.Equal(t, one.Lead().Term, 2)
}

// A process that was killed while it led finds its own row after the restart and need not wait for it
// to lapse; VMs are left alone until the lease of before is over.
func TestRestartedHolderLeadsAtOnce(t *testing.T) {
	s, c, one, _ := newCandidates()
	pass(c, croft.Second, one)
	again := candidate{New("one", 0, lease, s, c), s}
	again.Observe(s.changes(), true)
	again.step(context.Background())
	assert.Equal(t, again.Lead().Term, 2)
	assert.NilError(t, again.Guard())
	assert.ErrorIs(t, again.GuardVMs(), ErrNotLeading)
	pass(c, lease+100, again)
	assert.NilError(t, again.GuardVMs())
}

// A lead that was given back while its renewal was on its way stayed in the row, and the others waited
// for it to lapse: at a load that keeps the leader busy most renewals are on their way.
func TestReleaseWaitsForTheRenewalOnItsWay(t *testing.T) {
	s, c, one, two := newCandidates()
	pass(c, croft.Second, one, two)
	done := make(chan struct{})
	s.slow = func() {
		go func() {
			one.Release(context.Background())
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(50 * time.Millisecond):
			// It waits for the renewal, as it must.
		}
	}
	pass(c, lease/renewShare, one)
	<-done
	pass(c, 300, two)
	assert.Assert(t, two.Lead() != nil)
	pass(c, croft.Second, one)
	assert.Assert(t, one.Lead() == nil)
}
