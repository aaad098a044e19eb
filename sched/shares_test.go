package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Load of the tests below: 20 organisations with a weight of 2 jobs per second, jobs of 8 tasks of 2 cores and 600 ms, and 7 executors of
// 64 cores, of which 40 jobs per second use 86 %.
const (
	benchOrganisations = 20
	benchExecutors     = 7
	benchWeight        = 2.0
	heavyFactor        = 8
	// benchTolerance is how much longer the jobs of the others may take beside a burst: a sixth of their objective's slack.
	benchTolerance = 160 * croft.Millis(1)
)

func newLoadedBench(t *testing.T) *shareBench {
	t.Helper()
	return newShareBench(t, benchExecutors, benchOrganisations, benchWeight)
}

// submitCalm submits the jobs of all organisations at their weight.
func (b *shareBench) submitCalm(at croft.Millis) {
	b.submitEvenly(at, 0, benchOrganisations, benchWeight, step(8, 2))
}

// submitBurst submits the jobs of one organisation at eight times its weight and those of the others at theirs.
func (b *shareBench) submitBurst(at croft.Millis) {
	b.submitEvenly(at, 0, 1, heavyFactor*benchWeight, step(8, 2))
	b.submitEvenly(at, 1, benchOrganisations, benchWeight, step(8, 2))
}

// assertOthersCalm checks that the jobs of all organisations but the first take about as long as without any burst, and that none of them
// is refused.
func (b *shareBench) assertOthersCalm() {
	b.t.Helper()
	calm := newLoadedBench(b.t)
	calm.advance(12*croft.Second, calm.submitCalm)
	for _, part := range []float64{0.5, 0.95, 1} {
		want, got := calm.percentile(1, benchOrganisations, part), b.percentile(1, benchOrganisations, part)
		assert.Assert(b.t, got <= want+benchTolerance, "percentile %v: %d ms, without a burst %d ms", part, got, want)
	}
	for i := 1; i < benchOrganisations; i++ {
		assert.Equal(b.t, b.refused[orgName(i)], 0)
	}
}

// Load: one organisation at eight times its weight for 9 s beside nineteen others. The jobs of the others take as long as on a calm day;
// those of the heavy one wait or are refused, and its contract is still served.
func TestBurstOfOneOrganisationDelaysOnlyItself(t *testing.T) {
	b := newLoadedBench(t)
	b.advance(9*croft.Second, b.submitBurst)
	b.advance(3*croft.Second, b.submitCalm)
	b.assertOthersCalm()
	heavy := orgName(0)
	assert.Assert(t, b.refused[heavy] > 20, "%d refused", b.refused[heavy])
	assert.Assert(t, float64(len(b.turnarounds[heavy])) >= benchWeight*12, "%d finished", len(b.turnarounds[heavy]))
}

// Load: the same burst, for longer, of an organisation whose contract allows ten times as much. All VMs together cannot serve it. Guards
// against jobs that are accepted and end too late, and against other organisations that pay for them.
func TestBurstWithinItsContractIsRefusedBeyondTheCapacity(t *testing.T) {
	b := newShareBench(t, benchExecutors, benchOrganisations, 10*benchWeight)
	b.advance(20*croft.Second, func(at croft.Millis) {
		b.submitEvenly(at, 0, 1, 2*heavyFactor*benchWeight, step(8, 2))
		b.submitEvenly(at, 1, benchOrganisations, benchWeight, step(8, 2))
	})
	heavy := orgName(0)
	assert.Assert(t, b.refused[heavy] > 50, "%d of %d refused", b.refused[heavy], b.submitted[heavy])
	for i := 1; i < benchOrganisations; i++ {
		assert.Equal(t, b.refused[orgName(i)], 0)
	}
	b.advance(10*croft.Second, b.submitCalm)
	before := b.refused[heavy]
	b.advance(5*croft.Second, b.submitCalm)
	assert.Equal(t, b.refused[heavy], before, "the limit ends with the burst")
}

// Load: the same burst on a fleet with capacity to spare. Excess jobs are neither refused nor delayed.
func TestExcessJobsRunWhileThereIsCapacity(t *testing.T) {
	b := newShareBench(t, 2*benchExecutors, benchOrganisations, benchWeight)
	b.advance(9*croft.Second, b.submitBurst)
	heavy := orgName(0)
	assert.Equal(t, b.refused[heavy], 0)
	assert.Assert(t, b.percentile(0, 1, 1) <= b.percentile(1, benchOrganisations, 1)+benchTolerance)
	excess := 0
	for _, j := range b.planner.jobs {
		if j.excess {
			excess++
		}
	}
	assert.Assert(t, excess > 0)
}

// Load: the burst while entries hear nothing of the planner. They admit everything, and what is excess still waits for the others.
func TestOthersAreServedWhileEntriesHearNothing(t *testing.T) {
	b := newLoadedBench(t)
	b.silent = true
	b.advance(9*croft.Second, b.submitBurst)
	b.advance(3*croft.Second, b.submitCalm)
	assert.Equal(t, b.refused[orgName(0)], 0)
	b.assertOthersCalm()
}

// Load: the leader is replaced in the middle of the burst. The successor marks no job of the others as excess, limits the heavy
// organisation again within 3 s, and serves the others as before.
func TestTakeoverInTheMiddleOfABurst(t *testing.T) {
	b := newLoadedBench(t)
	b.advance(5*croft.Second, b.submitBurst)
	former := b.planner
	b.takeOver(2)
	heavyMarks, differing := 0, 0
	for id, j := range b.planner.jobs {
		if j.organisation.id != orgName(0) {
			assert.Assert(t, !j.excess, id)
			continue
		}
		heavyMarks++
		if former.jobs[id].excess != j.excess {
			differing++
		}
	}
	t.Logf("%d of %d marks of the heavy organisation differ", differing, heavyMarks)
	b.loads = nil
	b.turnarounds = map[croft.OrganisationID][]croft.Millis{}
	b.advance(3*croft.Second, b.submitBurst)
	assert.Assert(t, b.loads["q"].Admitted[orgName(0)] < 1)
	b.advance(4*croft.Second, b.submitCalm)
	b.assertOthersCalm()
}

// Load: a burst that ends. The admitted fraction is one again within 4 s, and jobs of the organisation are served as those of others.
func TestFractionReturnsToOneAfterABurst(t *testing.T) {
	b := newLoadedBench(t)
	b.advance(9*croft.Second, b.submitBurst)
	assert.Assert(t, b.planner.sharing.tracker.Admit(orgName(0), b.now, true) < 1)
	b.advance(4*croft.Second, b.submitCalm)
	assert.Equal(t, b.planner.sharing.tracker.Admit(orgName(0), b.now, true), 1.0)
	refused := b.refused[orgName(0)]
	b.advance(4*croft.Second, b.submitCalm)
	assert.Equal(t, b.refused[orgName(0)], refused)
}

// Load: 160 organisations of a low weight, of which every second one is at four times it for 10 s, on a fleet that can serve little more
// than the weights. Those within their contract are served on time and not refused, and each of the others gets its contract.
func TestManySmallOrganisationsAtOnce(t *testing.T) {
	const executors, organisations, heavy, weight = 10, 160, 80, 0.25
	b := newShareBench(t, executors, organisations, weight)
	b.advance(10*croft.Second, func(at croft.Millis) {
		b.submitEvenly(at, 0, heavy, 4*weight, step(8, 2))
		b.submitEvenly(at, heavy, organisations, weight, step(8, 2))
	})
	b.advance(4*croft.Second, func(at croft.Millis) { b.submitEvenly(at, heavy, organisations, weight, step(8, 2)) })
	// The burst allowances of the 80 alone are work for 1.2 s.
	objective := croft.Millis(1560)
	assert.Assert(t, b.percentile(heavy, organisations, 0.5) <= 1100, "median %d ms", b.percentile(heavy, organisations, 0.5))
	assert.Assert(t, b.percentile(heavy, organisations, 0.95) <= objective, "95 %% %d ms", b.percentile(heavy, organisations, 0.95))
	refused := 0
	for i := range organisations {
		org := orgName(i)
		refused += b.refused[org]
		assert.Assert(t, i < heavy || b.refused[org] == 0, "%s: %d of %d refused", org, b.refused[org], b.submitted[org])
		assert.Assert(t, float64(len(b.turnarounds[org])) >= weight*10, "%s: %d jobs served of %d, %d refused", org, len(b.turnarounds[org]), b.submitted[org], b.refused[org])
	}
	assert.Assert(t, refused > 100, "%d refused", refused)
}
