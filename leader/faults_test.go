package leader

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// faultyTable is a table that loses answers and carries out some commits late.
type faultyTable struct {
	*fakeTable
	rng   *rand.Rand
	clock *clock.Manual
	// faulty reports that the store has faults now.
	faulty bool
	late   []lateCommit
}

// lateCommit is a commit that is carried out at an instant.
type lateCommit struct {
	at  croft.Millis
	ops []croft.Op
}

func (t *faultyTable) Get(ctx context.Context, key string) (croft.Row, error) {
	if t.faulty && t.rng.IntN(3) == 0 {
		return croft.Row{}, &croft.UnavailableError{Reason: "test"}
	}
	return t.fakeTable.Get(ctx, key)
}

func (t *faultyTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	if !t.faulty {
		return t.fakeTable.Commit(ctx, ops)
	}
	switch t.rng.IntN(4) {
	case 0:
		return 0, &croft.UnavailableError{Reason: "test"}
	case 1:
		_, _ = t.fakeTable.Commit(ctx, ops)
		return 0, &croft.LostAnswerError{Reason: "test"}
	case 2:
		t.late = append(t.late, lateCommit{at: t.clock.Elapsed() + croft.Millis(t.rng.IntN(3000)), ops: ops})
		return 0, &croft.LostAnswerError{Reason: "test"}
	default:
		return t.fakeTable.Commit(ctx, ops)
	}
}

// applyLate carries out the late commits that are due.
func (t *faultyTable) applyLate() {
	var rest []lateCommit
	for _, l := range t.late {
		if l.at > t.clock.Elapsed() {
			rest = append(rest, l)
			continue
		}
		_, _ = t.fakeTable.Commit(context.Background(), l.ops)
	}
	t.late = rest
}

// Guards against two leaders that order the same VM at once, against fencing tokens that are used twice, and against a lead that is
// lost for good: entries of three classes with a store that loses answers and carries out commits late, and with entries that are cut
// off or frozen for up to 4 s, for half of the time; then without faults.
func TestOneLeaderOrdersVMsUnderFaults(t *testing.T) {
	handovers := 0
	for seed := range uint64(60) {
		handovers += simulateFaults(t, seed)
	}
	assert.Assert(t, handovers > 100, "%d handovers", handovers)
}

// simulateFaults runs an election under faults and returns the number of handovers that were decided.
func simulateFaults(t *testing.T, seed uint64) int {
	c, rng := clock.NewManual(0), rand.New(rand.NewPCG(seed, 0))
	table := &faultyTable{fakeTable: &fakeTable{}, rng: rng, clock: c}
	handovers := 0
	var entries []*Election
	for i, class := range []int{6, 6, 3, 0, 0} {
		e := New(fmt.Sprintf("e%d", i), class+i%4, lease, table, c).WithStrength(Strength{Class: class}).
			WithLog(func(d croft.Decision) {
				if d.Choice == "Released" {
					handovers++
				}
			})
		e.SetReady(true)
		e.Observe(croft.Changes{}, true)
		entries = append(entries, e)
	}
	frozenUntil, cutUntil := make([]croft.Millis, len(entries)), make([]croft.Millis, len(entries))
	fences := map[uint64]string{}
	for c.Elapsed() < 120*croft.Second {
		c.Advance(stepInterval)
		table.faulty = c.Elapsed() < 90*croft.Second && c.Elapsed()/(10*croft.Second)%2 == 1
		table.applyLate()
		var vmOrders []string
		for i, e := range entries {
			if table.faulty && rng.IntN(100) == 0 {
				frozenUntil[i] = c.Elapsed() + croft.Millis(rng.IntN(4000))
			}
			if table.faulty && rng.IntN(100) == 0 {
				cutUntil[i] = c.Elapsed() + croft.Millis(rng.IntN(4000))
			}
			if c.Elapsed() >= frozenUntil[i] {
				if c.Elapsed() >= cutUntil[i] {
					e.Observe(table.changes(), false)
				}
				e.SetOverloaded(rng.IntN(2) == 0)
				e.step(context.Background())
				if table.faulty && e.Leadership() != nil && rng.IntN(10) == 0 {
					// A release at any moment of a term, by an entry that may be cut off after it.
					e.handOver(context.Background(), entries[len(entries)-1-rng.IntN(2)].asCandidate(""), "test")
					cutUntil[i] = c.Elapsed() + croft.Millis(rng.IntN(4000))
				}
			}
			if l := e.Leadership(); l != nil {
				assert.Assert(t, fences[l.Fence] == "" || fences[l.Fence] == e.self, "seed %d: token %d of %s and %s", seed, l.Fence, fences[l.Fence], e.self)
				fences[l.Fence] = e.self
			}
		}
		for _, e := range entries {
			if e.GuardVMOrders() == nil {
				vmOrders = append(vmOrders, e.self)
			}
		}
		assert.Assert(t, len(vmOrders) <= 1, "seed %d: %v may give VM orders at %d ms", seed, vmOrders, c.Elapsed())
	}
	var leading []int
	for _, e := range entries {
		if e.Guard() == nil {
			leading = append(leading, e.strength.Class)
		}
	}
	assert.DeepEqual(t, leading, []int{0})
	return handovers
}
