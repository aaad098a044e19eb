package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// Guards against a number of executors that only grows: weak entries would wait longer than they need to.
func TestExecutorsAreCountedFromTheRegistry(t *testing.T) {
	known := map[croft.WorkerID]bool{}
	entries := func(ids ...croft.WorkerID) (out []croft.WorkerEntry) {
		for _, id := range ids {
			out = append(out, croft.WorkerEntry{ID: id})
		}
		return out
	}
	applyWorkers(known, croft.WorkerChanges{Whole: true, Entries: entries("a", "b", "c")})
	assert.Equal(t, len(known), 3)
	applyWorkers(known, croft.WorkerChanges{Entries: entries("c", "d"), Unusable: []croft.WorkerID{"a"}})
	assert.Equal(t, len(known), 3)
	applyWorkers(known, croft.WorkerChanges{Whole: true, Entries: entries("b")})
	assert.Equal(t, len(known), 1)
}

// Guards against a handover to an entry that has to read all jobs first: it is ready only once its copies are complete.
func TestStandbyIsCompleteOnceBothTablesAreRead(t *testing.T) {
	feed := newFakeFeed()
	version := feed.putJob("a", jobs.Pending)
	a, ctx := newTestAgent(t, feed)
	assert.Assert(t, !a.standby.isComplete())
	standBy(ctx, t, a, version)
	assert.Assert(t, a.standby.isComplete())
	a.standby.take()
	assert.Assert(t, !a.standby.isComplete())
}

// Guards against a planner whose overload the election does not know: its leader would hand over as late as any other.
func TestOverloadReachesTheElection(t *testing.T) {
	a, ctx := newTestAgent(t, newFakeFeed())
	a.leadingCtx = ctx
	a.perform(sched.ReportWindow{Limit: 20, Overloaded: true})
	assert.Assert(t, a.Election.Overloaded())
	a.perform(sched.ReportWindow{Limit: 20})
	assert.Assert(t, !a.Election.Overloaded())
}
