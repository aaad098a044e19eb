package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against jobs that never start though there is capacity: while a part of the store did not store the announcement of a
// job, no job that ranks after it and needs as much was tried, and its capacity was held.
func TestUnstoredAnnouncementKeepsNoOtherJobWaiting(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	first, second := testJob("first", step(40, 1)), testJob("second", step(40, 1))
	second.Part = "q.1"
	reduce := func(e ...Event) []Effect {
		return b.planner.Reduce(Instant{Elapsed: b.now, Wall: testWallClock + b.now}, e...)
	}
	silent := effectsOf[Commit](reduce(JobsRead{Jobs: []JobRow{first, second}}))
	assert.Equal(t, len(silent), 1)
	b.now += announcementPatience
	commits := effectsOf[Commit](reduce(Ticked{}))
	assert.Equal(t, len(commits), 1)
	assert.Equal(t, commits[0].Part, "q.1")
	assert.Equal(t, len(startsOf(reduce(Committed{Commit: commits[0], Version: 9}), "second")), 40)
	// Once the part answers, the job takes what is left.
	b.now += placeInterval
	effects := append(reduce(Committed{Commit: silent[0], Version: 10}), reduce(Ticked{})...)
	assert.Equal(t, len(startsOf(effects, "first")), 24)
}
