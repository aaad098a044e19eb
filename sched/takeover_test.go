package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// A list that is read before the stored jobs names runs of jobs that are not known yet; they were
// passed over, and their room was given away and their tasks started again.
func TestTakeoverAsksExecutorsOnlyWithAllJobsRead(t *testing.T) {
	b := newBench(t)
	b.event(LeadBegan{Fence: 10, Term: 2})
	b.event(testConfig())
	effects := b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(1)}})
	assert.Equal(t, len(of[Hold](effects)), 0)
	b.event(FleetRead{VMs: testFleet(1)})
	effects = b.event(JobsRead{Whole: true, Jobs: []JobRow{testJob("j1", step(1, 60))}})
	assert.Equal(t, len(of[Hold](effects)), 1)
	effects = b.held(0, active(croft.TaskID{Job: "j1"}, 1))
	assert.Equal(t, len(of[Start](effects)), 0)
	effects = b.event(JobsRead{Jobs: []JobRow{testJob("j2", step(1, 60))}})
	assert.Equal(t, len(of[Start](effects)), 0)
}
