package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
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
	started := testJob("j1", step(1, 60))
	started.Progress = jobs.Progress{Status: jobs.Running}
	effects = b.event(JobsRead{Whole: true, Jobs: []JobRow{started}})
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
	orphan := croft.TaskID{Job: "gone"}
	effects := b.held(0, active(orphan, 1))
	assert.Equal(t, len(of[Stop](effects)), 1)
	effects = b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}})
	assert.Equal(t, len(of[Start](effects)), 0)
	b.advance(100)
	effects = b.held(0, croft.EndedRun{Number: 1, Task: orphan, Run: 1, How: croft.EndStopped})
	assert.Equal(t, len(of[Start](effects)), 1)
}

// A job of which no task can have been started does not wait for executors that cannot be reached,
// and a job of which one may does.
func TestTakeoverHoldsBackOnlyWhatMayRunUnseen(t *testing.T) {
	b := newBench(t)
	b.event(LeadBegan{Fence: 10, Term: 2})
	b.event(testConfig())
	b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(2)}})
	b.event(FleetRead{VMs: testFleet(2)})
	announced := testJob("j1", step(1, 1))
	announced.Progress.Announced = true
	b.event(JobsRead{Whole: true, Jobs: []JobRow{announced, testJob("j2", step(1, 1))}})
	starts := of[Start](b.held(0))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, croft.JobID("j2"))
	assert.Equal(t, starts[0].Order.Run, 1)
	starts = of[Start](b.held(1))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Run, 1001)
}

// Nothing starts before the store knows that it may.
func TestTasksStartOnceTheirJobIsAnnounced(t *testing.T) {
	b := newBench(t)
	b.lead(1, 1)
	effects := b.planner.Reduce(Instant{Elapsed: b.now}, JobsRead{Jobs: []JobRow{testJob("j1", step(2, 1))}})
	assert.Equal(t, len(of[Start](effects)), 0)
	commits := of[Commit](effects)
	assert.Equal(t, len(commits), 1)
	effects = b.planner.Reduce(Instant{Elapsed: b.now}, Committed{Commit: commits[0], Err: &croft.UnavailableError{}})
	assert.Equal(t, len(of[Start](effects)), 0)
	commits = of[Commit](b.planner.Reduce(Instant{Elapsed: b.now + refusedWait}, Ticked{}))
	effects = b.planner.Reduce(Instant{Elapsed: b.now + refusedWait}, Committed{Commit: commits[0], Version: 9})
	assert.Equal(t, len(of[Start](effects)), 2)
}
