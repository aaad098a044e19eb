package shares

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// jobID returns one of many job IDs.
func jobID(n int) croft.JobID { return croft.JobID(fmt.Sprintf("%016x", n)) }

// loop simulates an organisation whose submissions entries admit by the fraction that was published an interval before.
type loop struct {
	tracker *Tracker
	weight  float64
	now     croft.Millis
	next    int
	// published has the last two fractions; entries use the earlier one.
	published [2]float64
}

func newLoop(weight float64) *loop {
	return &loop{tracker: NewTracker(5 * croft.Second), weight: weight, now: 10 * croft.Second, published: [2]float64{1, 1}}
}

// run submits jobs at a rate for some intervals and returns how many were admitted and how many of these were excess.
func (l *loop) run(intervals int, rate float64, short bool) (admitted, excess int) {
	for range intervals {
		for i := range int(rate * float64(Interval) / float64(croft.Second)) {
			l.next++
			if !Admits(jobID(l.next), l.published[0]) {
				continue
			}
			admitted++
			if l.tracker.Arrived("a", l.now+croft.Millis(i), l.weight, max(l.published[0], l.published[1])) {
				excess++
			}
		}
		l.now += Interval
		l.published[0], l.published[1] = l.published[1], l.tracker.Admit("a", l.now, short)
	}
	return admitted, excess
}

// Load: one organisation at eight times its weight for 9 s while capacity is short. Its burst allowance is admitted, and then little
// more than its weight.
func TestBurstIsLimitedToTheContract(t *testing.T) {
	l := newLoop(4)
	admitted, excess := l.run(18, 32, true)
	// 4 jobs per second for 9 s and for the 5 s of the allowance; the offered rate is known only after some intervals.
	assert.Assert(t, admitted >= 56 && admitted <= 110, "%d admitted", admitted)
	assert.Assert(t, excess <= admitted-50, "%d of %d excess", excess, admitted)
	assert.Assert(t, l.published[1] < 0.25, "%f", l.published[1])
}

// Load: a burst that ends while capacity is still short, and one that goes on when it is not. The fraction returns to one within 4 s and
// 2 s: callers within their contract must not be refused for long after a burst.
func TestFractionReturnsToOne(t *testing.T) {
	for _, short := range []bool{true, false} {
		l := newLoop(4)
		l.run(18, 32, true)
		rate, intervals := 4.0, 8
		if !short {
			rate, intervals = 32, 4
		}
		l.run(intervals, rate, short)
		assert.Equal(t, l.published[1], 1.0, "short %v", short)
	}
}

// Load: a burst while entries hear nothing of the planner and admit everything. Guards against a rate that is estimated from a fraction that
// nobody uses: the fraction fell to its minimum, and when entries heard of it, they refused nearly all jobs for seconds.
func TestFractionThatEntriesIgnoreStaysPlausible(t *testing.T) {
	tracker := NewTracker(5 * croft.Second)
	fraction := 1.0
	for at := croft.Millis(0); at < 9*croft.Second; at += 25 {
		tracker.Arrived("a", at, 5, fraction)
		fraction = tracker.Admit("a", at, true)
	}
	// 40 jobs per second are offered.
	assert.Assert(t, fraction >= 0.125 && fraction <= 0.25, "%f", fraction)
}

// Guards against refusals of organisations within their contract: a rate of the weight, in whatever batches the burst allowance permits,
// is admitted whole and never excess.
func TestContractIsAdmittedWhole(t *testing.T) {
	for _, weight := range []float64{0.3, 1, 4, 16} {
		tracker := NewTracker(5 * croft.Second)
		interval := croft.Millis(float64(croft.Second) / weight)
		for n := range 100 {
			// Three jobs at once, or a single one where the allowance is for no more.
			batch := 1
			if weight >= 1 {
				batch = 3
			}
			at := interval * croft.Millis(n*batch+1)
			for range batch {
				assert.Assert(t, !tracker.Arrived("a", at, weight, 1), "weight %f, job %d", weight, n)
			}
			assert.Equal(t, tracker.Admit("a", at, true), 1.0, "weight %f, job %d", weight, n)
		}
	}
}

// Guards against memory that grows with the number of organisations that have ever submitted a job.
func TestIdleOrganisationsAreDropped(t *testing.T) {
	tracker := NewTracker(5 * croft.Second)
	for n := range 1000 {
		tracker.Arrived(croft.OrganisationID(fmt.Sprint(n)), 0, 1, 1)
	}
	tracker.DropIdle(croft.Second)
	assert.Equal(t, len(tracker.accounts), 1000)
	tracker.DropIdle(croft.Minute)
	assert.Equal(t, len(tracker.accounts), 0)
}

func TestDominantShare(t *testing.T) {
	total := croft.Resources{MilliCores: 1000, MemoryMB: 1000}
	use := croft.Resources{MilliCores: 100, MemoryMB: 300, Accelerators: 5}
	assert.Equal(t, DominantShare(use, total, 2), 0.15)
	assert.Equal(t, DominantShare(use, total, 0), 0.0)
	// With a weight of 2 of 4 in all, half of the capacity is the organisation's part.
	assert.Equal(t, Level(DominantShare(croft.Resources{MemoryMB: 500}, total, 2), 4), stepsPerPart)
	assert.Equal(t, Level(DominantShare(croft.Resources{MemoryMB: 249}, total, 2), 4), 0)
}

// Guards against callers that return all at once, against those that are told to return at once, and against a job that is refused at a
// higher fraction than one at which it was admitted.
func TestRefusedCallersAreSpread(t *testing.T) {
	admitted, early := 0, 0
	for n := range 10_000 {
		id := jobID(n)
		if Admits(id, 0.25) {
			admitted++
			assert.Assert(t, Admits(id, 0.5))
			continue
		}
		wait := RetryAfter(id, 4*croft.Second)
		assert.Assert(t, wait >= 4*croft.Second && wait < 8*croft.Second)
		if wait < 6*croft.Second {
			early++
		}
		assert.Assert(t, RetryAfter(id, 10) >= minRetryAfter)
	}
	assert.Assert(t, admitted > 2300 && admitted < 2700, "%d", admitted)
	assert.Assert(t, early > 3500 && early < 4000, "%d", early)
}

// Guards against metrics and logs whose size depends on the number of organisations.
func TestNamesAreBounded(t *testing.T) {
	var names Names
	labels := map[croft.OrganisationID]bool{}
	for n := range 200 {
		labels[names.Label(croft.OrganisationID(fmt.Sprint(n)))] = true
	}
	assert.Equal(t, len(labels), MaxNames+1)
	assert.Equal(t, names.Label("3"), croft.OrganisationID("3"))
	assert.Equal(t, names.Label("100"), Other)
}
