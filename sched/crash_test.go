package sched

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// crash has the executors at these places go down, and the platform show it.
func (b *testBench) crash(workers int, down ...int) []Effect {
	fleet := testFleet(workers)
	var effects []Effect
	for _, i := range down {
		effects = append(effects, b.event(Held{Hold: Hold{Order: b.holdOrder(workerName(i)), Sent: b.now}, Err: &croft.LostAnswerError{Reason: "closed"}})...)
		fleet[i].State = croft.FleetDown
	}
	return append(effects, b.event(FleetRead{RequestedAt: b.now, VMs: fleet})...)
}

// logsOf returns the log lines of one action.
func logsOf(effects []Effect, action string) []Log {
	var out []Log
	for _, l := range effectsOf[Log](effects) {
		if l.Action == action {
			out = append(out, l)
		}
	}
	return out
}

// A task that crashes its executors can be told from the tasks beside it only by when each was started.
func TestCrashIsLoggedWithTheTasksJustStarted(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	old := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("old", step(1, 1))}}))
	b.event(Started{Start: old[0], Clock: b.now})
	b.now += 1000
	b.answerHold(0, activeRun(old[0].Order.Task, 1))
	row := testJob("young", step(1, 1))
	row.Part = "q.1"
	young := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{row}}))
	b.event(Started{Start: young[0], Clock: b.now})
	b.now += 20
	lines := logsOf(b.crash(1, 0), "Crash")
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, strings.Contains(lines[0].Reason, "1 of its 2 runs had just been started: young.0.0.0 run 1"), lines[0].Reason)
}

// confirm answers the commits among effects, and those that follow, and returns all effects.
func (b *testBench) confirm(effects []Effect) []Effect {
	all := effects
	for _, c := range effectsOf[Commit](effects) {
		if !announces(c) {
			b.version++
			all = append(all, b.confirm(b.event(Committed{Commit: c, Version: b.version}))...)
		}
	}
	return all
}

// replaceWorker registers another executor and has it answer.
func (b *testBench) replaceWorker(i int) []Effect {
	entries := testWorkers(i + 1)
	effects := b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries[i:]}})
	return append(effects, b.answerHold(i)...)
}

// startsOf returns the starts of a job's tasks.
func startsOf(effects []Effect, id croft.JobID) []Start {
	var out []Start
	for _, s := range effectsOf[Start](effects) {
		if s.Order.Task.Job == id {
			out = append(out, s)
		}
	}
	return out
}

// Guards against a task that brings down executor after executor: runs that ended with their executor were not counted.
func TestTaskThatCrashesExecutorsIsGivenUp(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	effects := b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("deadly", step(1, 1))}}))
	for i := range maxCrashes {
		starts := startsOf(effects, "deadly")
		assert.Equal(t, len(starts), 1, "after %d crashes", i)
		assert.Equal(t, starts[0].Order.Worker, workerName(i))
		b.confirm(b.event(Started{Start: starts[0], Clock: b.now}))
		b.now += 10
		b.confirm(b.crash(i+1, i))
		b.now += 500
		effects = b.confirm(b.advance(commitBatchDelay))
		effects = append(effects, b.confirm(b.replaceWorker(i+1))...)
	}
	assert.Equal(t, len(startsOf(effects, "deadly")), 0)
	assert.Equal(t, b.planner.jobs["deadly"] == nil, true, "its end is stored")
}

// Guards against giving up the tasks beside one that crashes executors, which also take the next executor down with them: after a
// crash each suspect starts alone, and nothing else until its executor has survived that.
func TestSuspectStartsAloneUntilItsExecutorHasSurvived(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	for _, s := range startsOf(b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("two", step(2, 1))}})), "two") {
		b.confirm(b.event(Started{Start: s, Clock: b.now}))
	}
	b.now += 10
	b.confirm(b.crash(1, 0))
	b.confirm(b.advance(commitBatchDelay))
	starts := startsOf(b.confirm(b.replaceWorker(1)), "two")
	assert.Equal(t, len(starts), 1)
	b.confirm(b.event(Started{Start: starts[0], Clock: b.now}))
	row := testJob("other", step(1, 1))
	row.Part = "q.1"
	assert.Equal(t, len(effectsOf[Start](b.confirm(b.event(JobsRead{Jobs: []JobRow{row}})))), 0)

	b.now += survivalTime
	check := checks(b.advance(0))
	assert.Equal(t, len(check), 1)
	report := croft.HoldReport{Clock: b.now, Born: 7, Active: []croft.ActiveRun{activeRun(starts[0].Order.Task, starts[0].Order.Run)}}
	effects := b.confirm(b.event(Held{Hold: check[0], Report: report}))
	assert.Equal(t, len(startsOf(effects, "other"))+len(startsOf(effects, "two")), 1)
	assert.Equal(t, b.planner.jobs["two"].stages[0].tasks[starts[0].Order.Task.Index].isSuspect(), false)
}

// startJob adds a job of one task, and has its start answered.
func (b *testBench) startJob(id croft.JobID, cores int64) []Start {
	row := testJob(id, step(1, cores))
	row.Part = "q." + string(id)
	starts := startsOf(b.confirm(b.event(JobsRead{Jobs: []JobRow{row}})), id)
	for _, s := range starts {
		b.confirm(b.event(Started{Start: s, Clock: b.now}))
	}
	return starts
}

// checks returns the holds among effects that ask for the lists at once.
func checks(effects []Effect) []Hold {
	return slices.DeleteFunc(effectsOf[Hold](effects), func(h Hold) bool { return !h.Check })
}

// Guards against giving up a task that others beside it make a suspect again and again, under a load that starts tasks on each
// executor all the time: a suspect starts only where all other runs have survived, and an executor is kept free for that.
func TestSuspectWaitsForTheOtherRunsToSurvive(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	assert.Equal(t, b.startJob("deadly", 30)[0].Order.Worker, workerName(0))
	assert.Equal(t, b.startJob("beside", 30)[0].Order.Worker, workerName(0))
	b.confirm(b.replaceWorker(1))
	other := b.startJob("other", 10)
	assert.Equal(t, other[0].Order.Worker, workerName(1))
	b.now += 10
	effects := b.confirm(b.crash(2, 0))
	effects = append(effects, b.confirm(b.advance(commitBatchDelay))...)
	assert.Equal(t, len(effectsOf[Start](effects)), 0, "the other task has just been started")
	assert.Equal(t, len(b.startJob("late", 1)), 0, "the executor is kept for a suspect")

	b.now += survivalTime
	check := checks(b.advance(0))
	assert.Equal(t, len(check), 1)
	report := croft.HoldReport{Clock: b.now, Born: 7, Active: []croft.ActiveRun{activeRun(other[0].Order.Task, other[0].Order.Run)}}
	effects = b.confirm(b.event(Held{Hold: check[0], Report: report}))
	assert.Equal(t, len(effectsOf[Start](effects)), 1)
	assert.Equal(t, len(startsOf(effects, "late")), 0)
}

// Guards against keeping executors free for a suspect that it may not start on, while it waits for the ones it may.
func TestExecutorIsKeptForASuspectOnlyIfItIsPermitted(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	b.requireAdvice()
	requests := effectsOf[Advise](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 1))}}))
	b.event(Advised{Advise: requests[0], Tickets: map[croft.WorkerID]string{"w2": "t"}, Valid: 3000})
	stage := b.planner.jobs["j"].stages[0]
	b.planner.clearWorker(b.planner.pools[testPool], stage)
	for i, w := range b.planner.sortedWorkers {
		assert.Equal(t, w.clearedUntil > b.now, i == 2, "%s", w.ID)
	}
}

// Guards against idle executors while tasks that were copied off a lost executor wait for capacity: these may start on any, so
// that none is kept for them.
func TestNoExecutorIsKeptForACopiedTask(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.startJob("busy", 64)
	b.startJob("copied", 1)
	b.planner.jobs["copied"].stages[0].tasks[0].copied = true
	b.advance(placeInterval)
	assert.Equal(t, b.planner.sortedWorkers[0].clearedUntil, croft.Millis(0))
}

// Guards against giving up a task for starts that others were made beside, or that may never have arrived.
func TestOnlyAnsweredStartsApartFromOthersCountAsCrashes(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	starts := startsOf(b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("two", step(1, 1))}})), "two")
	b.now += 10
	b.confirm(b.crash(1, 0))
	// The executor is back and lacks the run.
	b.confirm(b.answerHold(0))
	stage := b.planner.jobs["two"].stages[0]
	assert.Equal(t, stage.tasks[0].isSuspect(), true)
	assert.Equal(t, stage.tasks[0].crashes, 0, "the start was not answered")

	r := &run{stage: stage, number: starts[0].Order.Run, answeredAt: b.now, worker: b.planner.workers[workerName(0)]}
	b.planner.recordCrash(r)
	assert.Equal(t, stage.tasks[0].crashes, 0, "the run was not started apart from others")
	r.startedAsSuspect, r.adopted = true, true
	b.planner.recordCrash(r)
	assert.Equal(t, stage.tasks[0].crashes, 0, "the run may have begun long before the takeover")
	r.adopted = false
	b.planner.recordCrash(r)
	assert.Equal(t, stage.tasks[0].crashes, 1)
}

// Guards against a count that begins anew with each of several leaders that are lost one after another: each may take the
// knowledge of a crash with it, so that less is needed to give up a task that a former leader may have started.
func TestSuccessorGivesUpTasksSooner(t *testing.T) {
	stored := testJob("deadly", step(1, 1))
	stored.Progress = jobs.Progress{Status: jobs.Running, Crashed: map[string]int{jobs.TaskName(0, 0, 0): minCrashes - 1}}
	b := newTestBench(t)
	b.takeLeadership(2, 0, stored)
	b.replaceWorker(0)
	starts := startsOf(b.confirm(b.advance(b.planner.predecessorLeasesEnd())), "deadly")
	assert.Equal(t, len(starts), 1)
	b.confirm(b.event(Started{Start: starts[0], Clock: b.now}))
	b.now += 10
	b.crash(1, 0)
	assert.Equal(t, b.planner.jobs["deadly"].progress.Status, jobs.Failed)

	stored.Progress.Crashed[jobs.TaskName(0, 0, 0)] = minCrashes
	b = newTestBench(t)
	b.takeLeadership(2, 0, stored)
	b.replaceWorker(0)
	assert.Equal(t, len(effectsOf[Start](b.advance(b.planner.predecessorLeasesEnd()))), 0)
	assert.Equal(t, b.planner.jobs["deadly"].progress.Status, jobs.Failed)
}

// Guards against a job that is shown as failed because executors were lost under it by orders, or long after its start.
func TestOnlyUnexpectedEndsJustAfterAStartCount(t *testing.T) {
	for name, end := range map[string]func(b *testBench, s Start){
		"the executor went on": func(b *testBench, s Start) {
			b.now += survivalTime
			b.answerHold(0, activeRun(s.Order.Task, s.Order.Run))
		},
		"the executor is draining": func(b *testBench, _ Start) {
			entry := testWorkers(1)[0]
			entry.Draining = true
			b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}})
		},
		"its VM was ordered away": func(b *testBench, _ Start) { b.planner.workers[workerName(0)].vmOrdered = true },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.takeLeadership(1, 1)
			starts := startsOf(b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 1))}})), "j")
			b.confirm(b.event(Started{Start: starts[0], Clock: b.now}))
			end(b, starts[0])
			b.crash(1, 0)
			assert.Equal(t, b.planner.jobs["j"].stages[0].tasks[0].isSuspect(), false)
		})
	}
}

// Guards against stopping the sound tasks of an endless step, beyond MayMiss, since executors went down just after the starts of
// another one, whatever the reason: it is started again and again, with pauses.
func TestEndlessTaskWhoseExecutorsGoDownIsNotGivenUp(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	endless := step(2, 40)
	endless.Endless, endless.MayMiss, endless.MostPerWorker = true, 1, 1
	starts := startsOf(b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", endless)}})), "j")
	b.confirm(b.event(Started{Start: starts[0], Clock: b.now}))
	const crashes = 8
	var pauses []croft.Millis
	for i := range crashes {
		effects := b.confirm(b.replaceWorker(i + 1))
		for began := b.now; ; {
			for _, s := range effectsOf[Stop](effects) {
				assert.Assert(t, s.Order.Worker != workerName(0), "a sound task is stopped")
			}
			b.answerHold(0, activeRun(starts[0].Order.Task, 1))
			if restarts := startsOf(effects, "j"); len(restarts) > 0 {
				pauses = append(pauses, b.now-began)
				assert.Equal(t, restarts[0].Order.Worker, workerName(i+1))
				b.confirm(b.event(Started{Start: restarts[0], Clock: b.now}))
				break
			}
			assert.Assert(t, b.now-began < maxCrashPause+croft.Second, "not started again")
			effects = b.confirm(b.advance(50))
		}
		b.now += 10
		b.confirm(b.crash(i+2, i+1))
	}
	assert.Equal(t, b.planner.jobs["j"].ended, false)
	assert.Assert(t, pauses[1] < croft.Second, "%v", pauses)
	assert.Assert(t, pauses[crashes-1] > maxCrashPause/2, "%v", pauses)
}

// The same for a new leader that reads how many executors went down just after the starts of an endless task.
func TestSuccessorStartsEndlessTasksThatMayHaveCrashedExecutors(t *testing.T) {
	endless := step(1, 1)
	endless.Endless = true
	stored := testJob("j", endless)
	stored.Progress = jobs.Progress{Status: jobs.Running, Crashed: map[string]int{jobs.TaskName(0, 0, 0): 5}}
	b := newTestBench(t)
	b.takeLeadership(2, 0, stored)
	b.replaceWorker(0)
	assert.Equal(t, len(startsOf(b.confirm(b.advance(b.planner.predecessorLeasesEnd())), "j")), 1)
}

// Guards against a job that is shown as failed without a failed run: an executor went down and up by turns, and each of its lives
// counted as one more executor that the task had brought down. Elsewhere the task starts at once, on that VM after a pause.
func TestCrashesOfOneVMDoNotEndAJob(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	effects := b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 1))}}))
	for life := range int64(6) {
		began := b.now
		for len(startsOf(effects, "j")) == 0 {
			assert.Assert(t, b.now-began < sameVMPause+croft.Second, "not started again")
			effects = b.confirm(append(b.answerHold(0), b.advance(50)...))
		}
		assert.Assert(t, life == 0 || b.now-began > sameVMPause/2, "started after %d ms", b.now-began)
		b.confirm(b.event(Started{Start: startsOf(effects, "j")[0], Clock: b.now}))
		b.now += 10
		entry := testWorkers(1)[0]
		entry.Born = 8 + life
		effects = b.confirm(b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}}))
		b.born[0] = entry.Born
		effects = append(effects, b.confirm(b.answerHold(0))...)
	}
	assert.Equal(t, b.planner.jobs["j"].ended, false)
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(2)})
	entries := testWorkers(2)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries[1:]}})
	starts := startsOf(append(b.confirm(b.answerHold(1)), b.confirm(b.advance(placeInterval))...), "j")
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Worker, workerName(1))
}
