package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against jobs that never start though there is capacity: while a part of the store did not store the announcement of a
// job, no job that ranks after it and needs as much was tried.
func TestUnstoredAnnouncementKeepsNoOtherJobWaiting(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	first, second := testJob("first", step(2, 1)), testJob("second", step(2, 1))
	second.Part = "q.1"
	reduce := func(e ...Event) []Effect {
		return b.planner.Reduce(Instant{Elapsed: b.now, Wall: testWallClock + b.now}, e...)
	}
	commits := effectsOf[Commit](reduce(JobsRead{Jobs: []JobRow{first, second}}))
	assert.Equal(t, len(commits), 2)
	effects := reduce(Committed{Commit: commits[1], Version: 9})
	assert.Equal(t, len(startsOf(effects, "second")), 2)
	// The capacity for the first job stays reserved.
	third := testJob("third", step(64, 1))
	third.Part = "q.2"
	commits = effectsOf[Commit](reduce(JobsRead{Jobs: []JobRow{third}}))
	assert.Equal(t, len(commits), 1)
	b.now += minPlaceInterval
	assert.Equal(t, len(startsOf(reduce(Committed{Commit: commits[0], Version: 10}), "third")), 60)
}
