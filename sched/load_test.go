package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// nextPublishedLoad advances to the next publication and returns the load of the test queue and whether it is to be
// sent to the other entries.
func (b *testBench) nextPublishedLoad() (Load, bool) {
	b.t.Helper()
	got := b.nextLoads()
	return got.Loads["q"], got.Shared
}

// nextLoads advances to the next publication and returns it.
func (b *testBench) nextLoads() PublishLoads {
	b.t.Helper()
	got := effectsOf[PublishLoads](b.advance(loadInterval))
	assert.Equal(b.t, len(got), 1)
	return got[0]
}

// New jobs are refused, with the time after which to retry, while the backlog takes longer than they are of use. Once
// the backlog is short enough they are accepted, and the other entries are notified of that.
func TestJobsAreRefusedWhenBacklogIsTooLong(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.event(JobsRead{Jobs: testJobs(60, step(4, 16))})
	load, shared := b.nextPublishedLoad()
	assert.Assert(t, load.Refuse && shared)
	// 60 jobs of 4 tasks of 16 cores and 600 ms keep 64 cores busy for 36 s; each is of use for 4.7 s.
	assert.Assert(t, load.Wait > 30*croft.Second && load.Wait < 32*croft.Second, "%d", load.Wait)
	b.now += 6 * croft.Second
	load, shared = b.nextPublishedLoad()
	assert.Assert(t, !load.Refuse && shared)
	_, shared = b.nextPublishedLoad()
	assert.Assert(t, !shared)
}

// Guards against loads of a former leader that stay in the store: a new leader replaces them once, also while it limits nothing.
func TestFirstLoadsOfALeaderAreShared(t *testing.T) {
	b := newTestBench(t)
	for term := range 2 {
		first := effectsOf[PublishLoads](b.takeLeadership(1+term, 1))
		first = append(first, effectsOf[PublishLoads](b.advance(loadInterval))...)
		assert.Assert(t, first[0].Shared && !first[0].Loads["q"].Refuse)
		_, shared := b.nextPublishedLoad()
		assert.Assert(t, !shared)
	}
}

// A backlog that is done while its jobs are of use leads to no refusal.
func TestJobsAreAcceptedWhileBacklogIsShort(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.event(JobsRead{Jobs: testJobs(6, step(4, 16))})
	load, _ := b.nextPublishedLoad()
	assert.Assert(t, !load.Refuse)
}

// Guards against a placement pass over the whole queue for each run that ends on a full pool; at five times the mean
// load, these passes took most of the leader's time.
func TestSimultaneousEndsShareAPlacementPass(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(100, 1))}}))
	assert.Equal(t, len(starts), 64)
	b.advance(100)
	now := Instant{Elapsed: b.now}
	wakes, started := 0, 0
	for i, s := range starts[:10] {
		ended := croft.EndedRun{Number: int64(i + 1), Task: s.Order.Task, Run: s.Order.Run, How: croft.EndDone}
		hold := Hold{Order: b.holdOrder(workerName(0)), Sent: b.now}
		hold.Order.Wait = holdWait
		effects := b.planner.Reduce(now, Held{Hold: hold, Report: croft.HoldReport{Clock: b.now, Born: 7, Ended: []croft.EndedRun{ended}}})
		wakes += len(effectsOf[Wake](effects))
		started += len(effectsOf[Start](effects))
	}
	assert.Equal(t, wakes, 1)
	assert.Equal(t, started, 1)
	now.Elapsed += minPlaceInterval
	assert.Equal(t, len(effectsOf[Start](b.planner.Reduce(now, Woken{}))), 9)
}
