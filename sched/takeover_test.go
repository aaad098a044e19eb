package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Guards against starting tasks twice: lists of executors that were read before the stored jobs contained runs of jobs
// that were not known yet. These runs were ignored and their capacity was used for others.
func TestTakeoverHoldsExecutorsOnlyAfterJobsAreRead(t *testing.T) {
	b := newTestBench(t)
	b.event(LeadershipAcquired{Fence: 10, Term: 2})
	b.event(testConfig())
	effects := b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(1)}})
	assert.Equal(t, len(effectsOf[Hold](effects)), 0)
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(1)})
	started := testJob("j1", step(1, 60))
	started.Progress = jobs.Progress{Status: jobs.Running}
	effects = b.event(JobsRead{Whole: true, Jobs: []JobRow{started}})
	assert.Equal(t, len(effectsOf[Hold](effects)), 1)
	effects = b.answerHold(0, activeRun(croft.TaskID{Job: "j1"}, 1))
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	effects = b.event(JobsRead{Jobs: []JobRow{testJob("j2", step(1, 60))}})
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
}

// Guards against overcommitting an executor: the run of an ended job was stopped after the takeover, and its capacity was
// used before its end was listed.
func TestOrphanRunKeepsNewWorkFromItsExecutor(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(2, 0)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}})
	orphan := croft.TaskID{Job: "gone"}
	effects := b.answerHold(0, activeRun(orphan, 1))
	assert.Equal(t, len(effectsOf[Stop](effects)), 1)
	effects = b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}})
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	b.advance(100)
	effects = b.answerHold(0, croft.EndedRun{Number: 1, Task: orphan, Run: 1, How: croft.EndStopped})
	assert.Equal(t, len(effectsOf[Start](effects)), 1)
}

// After a takeover, jobs of which tasks may have been started wait for executors that do not answer; other jobs start at
// once.
func TestTakeoverDelaysOnlyJobsThatMayBeRunning(t *testing.T) {
	b := newTestBench(t)
	b.event(LeadershipAcquired{Fence: 10, Term: 2})
	b.event(testConfig())
	b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(2)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(2)})
	announced := testJob("j1", step(1, 1))
	announced.Progress.Announced = true
	b.event(JobsRead{Whole: true, Jobs: []JobRow{announced, testJob("j2", step(1, 1))}})
	starts := effectsOf[Start](b.answerHold(0))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, croft.JobID("j2"))
	assert.Equal(t, starts[0].Order.Run, 1)
	starts = effectsOf[Start](b.answerHold(1))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Run, runsPerTerm+1)
}

// No task starts before the store has confirmed the announcement of its job.
func TestTasksStartOnlyAfterAnnouncementIsStored(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	effects := b.planner.Reduce(Instant{Elapsed: b.now}, JobsRead{Jobs: []JobRow{testJob("j1", step(2, 1))}})
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	commits := effectsOf[Commit](effects)
	assert.Equal(t, len(commits), 1)
	effects = b.planner.Reduce(Instant{Elapsed: b.now}, Committed{Commit: commits[0], Err: &croft.UnavailableError{}})
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	commits = effectsOf[Commit](b.planner.Reduce(Instant{Elapsed: b.now + commitRetryPause}, Ticked{}))
	effects = b.planner.Reduce(Instant{Elapsed: b.now + commitRetryPause}, Committed{Commit: commits[0], Version: 9})
	assert.Equal(t, len(effectsOf[Start](effects)), 2)
}

// Guards against a third start of a task with runs on two executors, one of them being stopped: the loss of one of the
// executors was treated as the end of the task's current run.
func TestLossOfDuplicateRunKeepsOtherRun(t *testing.T) {
	b := newTestBench(t)
	row := testJob("j1", step(1, 1))
	row.Progress = jobs.Progress{Status: jobs.Running}
	b.takeLeadership(2, 0, row)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(3)}})
	task := croft.TaskID{Job: "j1"}
	b.answerHold(0, activeRun(task, 1))
	b.answerHold(1, activeRun(task, 2))
	b.answerHold(2)
	assert.Equal(t, len(b.planner.workers[workerName(1)].runs), 1)
	entries := testWorkers(2)
	entries[1].Born = 99
	effects := b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries[1:]}})
	for range 5 {
		effects = append(effects, b.advance(50)...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	assert.Assert(t, b.planner.jobs["j1"].stages[0].tasks[0].run != nil)
}

// Guards against stopping two tasks of a step when only one may be unavailable: a former leader that still gave orders
// had stopped a task, which was listed as active until it had ended, and the new leader stopped another one.
func TestAdoptedRunIsUncertainUntilAStopWouldHaveEnded(t *testing.T) {
	b := newTestBench(t)
	endless := step(2, 10)
	endless.Endless, endless.MayMiss, endless.MostPerWorker = true, 1, 1
	known := testJob("j", endless)
	known.Progress = jobs.Progress{Status: jobs.Running}
	b.event(LeadershipAcquired{Fence: 20, Term: 2})
	b.event(testConfig(), WaveRowsRead{}, testWave(vmName(1)))
	b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(3)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(3)})
	b.event(JobsRead{Whole: true, Jobs: []JobRow{known}})
	first, second := croft.TaskID{Job: "j"}, croft.TaskID{Job: "j", Index: 1}
	effects := append(b.answerHold(0, activeRun(first, 1)), b.answerHold(1, activeRun(second, 1))...)
	effects = append(effects, b.answerHold(2)...)
	for range 2 {
		effects = append(effects, b.advance(90)...)
	}
	assert.Equal(t, len(effectsOf[Stop](effects)), 0)
	b.advance(100)
	b.answerHold(1, activeRun(second, 1))
	effects = append(b.answerHold(0, activeRun(first, 1)), b.advance(50)...)
	assert.Equal(t, len(effectsOf[Stop](effects)), 1)
	assert.Equal(t, effectsOf[Stop](effects)[0].Order.Task, second)
}

// Guards against a second run of a task on an executor that is cut off together with the former leader: until its own
// authority ended, that leader renewed the executor's leases, also after the takeover.
func TestTakeoverWaitsForLeasesGrantedUntilTheFormerAuthorityEnds(t *testing.T) {
	b := newTestBench(t)
	row := testJob("j1", step(1, 1))
	row.Progress = jobs.Progress{Status: jobs.Running}
	authorityEnds := b.now + 1800
	b.event(LeadershipAcquired{Fence: 20, Term: 2, VMOrdersFrom: authorityEnds})
	b.event(testConfig(), WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(2)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(2)}, JobsRead{Whole: true, Jobs: []JobRow{row}})
	b.answerHold(0)
	lastLeaseEnd := authorityEnds + b.planner.options.Lease*102/100
	for b.now+100 < lastLeaseEnd {
		assert.Equal(t, len(effectsOf[Start](b.advance(100))), 0, "started at %d ms; leases may last until %d ms", b.now, lastLeaseEnd)
	}
	var starts []Start
	for range 10 {
		starts = append(starts, effectsOf[Start](b.advance(100))...)
	}
	assert.Equal(t, len(starts), 1)
}

// Guards against a second run of a task that is done: a leader that was cut off from the store started a task of a lost
// executor again, while its successor had already read that the task was done.
func TestLeaderInDoubtRestartsNoTaskWhoseEndItHasNotRead(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}}))
	assert.Equal(t, len(starts), 1)
	b.event(Started{Start: starts[0], Clock: b.now})
	doubtFrom := b.now + 1000
	tick := func() []Effect {
		b.now += 100
		return b.event(Ticked{DoubtFrom: doubtFrom})
	}
	for b.now < doubtFrom {
		tick()
	}
	lost := starts[0].Order.Worker
	for i := range 2 {
		if workerName(i) == lost {
			b.answerHold(i, activeRun(starts[0].Order.Task, 1))
		}
	}
	b.event(Held{Hold: Hold{Order: b.holdOrder(lost)}, Err: &croft.LostAnswerError{Reason: "test"}})
	vms := testFleet(2)
	for i := range vms {
		if vms[i].Worker == lost {
			vms[i].State, vms[i].Worker = croft.FleetDown, ""
		}
	}
	effects := b.event(FleetRead{RequestedAt: b.now, VMs: vms})
	for range 5 {
		effects = append(effects, tick()...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	// Once the leadership is renewed, the task is started again.
	doubtFrom = b.now + 1000
	for range 3 {
		effects = append(effects, tick()...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 1)
}
