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

// A run whose job had ended was stopped at the takeover, and its room was given away before its end
// was listed.
func TestRunOfAnEndedJobKeepsItsExecutorFromOthers(t *testing.T) {
	b := newBench(t)
	b.lead(2, 0)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}})
	stranger := croft.TaskID{Job: "gone"}
	effects := b.held(0, active(stranger, 1))
	assert.Equal(t, len(of[Stop](effects)), 1)
	effects = b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}})
	assert.Equal(t, len(of[Start](effects)), 0)
	b.advance(100)
	effects = b.held(0, croft.EndedRun{Number: 1, Task: stranger, Run: 1, How: croft.EndStopped})
	assert.Equal(t, len(of[Start](effects)), 1)
}
