package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// leadWithEndlessTask begins a term with one executor and an endless task that a former leader may have started, and returns the starts.
func (b *testBench) leadWithEndlessTask(term int) []Start {
	row := testJob("j", endlessStep(1, 1))
	row.Progress.Announced = term > 1
	return effectsOf[Start](b.takeLeadership(term, 1, row))
}

// Guards against a task that does not run for minutes: after more than a thousand starts of it in one term, its executor and the leader
// were lost, and the successor numbered its runs below those before, which executors refuse.
func TestRunNumbersAreAboveThoseOfFormerLeaders(t *testing.T) {
	b := newTestBench(t)
	for term, last := 1, 0; term <= 3; term++ {
		starts := b.leadWithEndlessTask(term)
		for end := int64(1); end <= 3000; end++ {
			assert.Equal(t, len(starts), 1)
			assert.Assert(t, starts[0].Order.Run > last, "term %d: %d after %d", term, starts[0].Order.Run, last)
			last = starts[0].Order.Run
			b.event(Started{Start: starts[0], Clock: b.now})
			b.now += briefRun
			starts = effectsOf[Start](b.answerHold(0, doneRun(end, starts[0].Order.Task, last)))
		}
		b.event(LeadershipLost{})
	}
}

// Guards against numbers that belong to a successor: a leader ends its term once a task has used the last one.
func TestTermEndsWithTheRunNumbersOfATask(t *testing.T) {
	for _, term := range []int{1, 2} {
		b := newTestBench(t)
		starts := b.leadWithEndlessTask(term)
		b.planner.jobs["j"].stages[0].tasks[0].runNumber = term*runsPerTerm - 1
		b.event(Started{Start: starts[0], Clock: b.now})
		b.now += briefRun
		restarts := effectsOf[Start](b.answerHold(0, doneRun(1, starts[0].Order.Task, starts[0].Order.Run)))
		assert.Equal(t, len(restarts), 1)
		assert.Equal(t, restarts[0].Order.Run, term*runsPerTerm)
		b.event(Started{Start: restarts[0], Clock: b.now})
		b.now += briefRun
		effects := b.answerHold(0, doneRun(2, restarts[0].Order.Task, restarts[0].Order.Run))
		assert.Equal(t, len(effectsOf[Start](effects)), 0)
		assert.Equal(t, len(effectsOf[StepDown](effects)), 1)
		restarts = b.leadWithEndlessTask(term + 1)
		assert.Equal(t, len(restarts), 1)
		assert.Equal(t, restarts[0].Order.Run, term*runsPerTerm+1)
	}
}

// Guards against terms that end one after another: an executor has shown a number of a later term.
func TestHigherRunNumbersThanThoseOfTheTermAreCountedOnFrom(t *testing.T) {
	b := newTestBench(t)
	starts := b.leadWithEndlessTask(1)
	higher := 5*runsPerTerm + 7
	b.event(Started{Start: starts[0], Clock: b.now})
	b.now += briefRun
	restarts := effectsOf[Start](b.answerHold(0, doneRun(1, starts[0].Order.Task, 1), doneRun(2, starts[0].Order.Task, higher)))
	assert.Equal(t, len(restarts), 1)
	assert.Equal(t, restarts[0].Order.Run, higher+1)
}

// Guards against numbers that are tried one by one, and against executors without work meanwhile: a refusal as old counted as a lack of
// capacity, and the next start had the next number.
func TestStartThatIsRefusedAsOldIsRepeatedWithANumberOfThisTerm(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(7, 1)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 1))}}))
	assert.Equal(t, starts[0].Order.Run, 1)
	refused := &croft.RunRefusedError{Reason: croft.RefusedOld}
	starts = effectsOf[Start](b.event(Started{Start: starts[0], Err: refused}))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Run, 6*runsPerTerm+1)
	assert.Assert(t, b.planner.schedulable(b.planner.workers[workerName(0)]))
	// Should that be refused too, the task waits for a while, and its executor does not.
	refusedAgain := b.now
	var restarts []Start
	for effects := b.event(Started{Start: starts[0], Err: refused}); len(restarts) == 0; effects = b.advance(50) {
		assert.Assert(t, b.planner.schedulable(b.planner.workers[workerName(0)]))
		assert.Assert(t, b.now-refusedAgain < croft.Second, "not repeated")
		restarts = effectsOf[Start](effects)
	}
	assert.Assert(t, b.now-refusedAgain >= oldNumberPause)
}

// Guards against numbers that are refused as old: a former leader stored after the takeover that it may have started tasks of a job.
func TestRunNumbersOfAJobThatAFormerLeaderAnnouncesLateAreAboveItsOwn(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(3, 0, testJob("j", step(1, 1)))
	b.planner.mergeProgress(b.planner.jobs["j"], jobs.Progress{Status: jobs.Running})
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}}, FleetRead{RequestedAt: b.now, VMs: testFleet(1)})
	effects := append(b.answerHold(0), b.confirm(b.advance(50))...)
	starts := effectsOf[Start](effects)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Run, 2*runsPerTerm+1)
}
