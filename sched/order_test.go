package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// A start without an answer waited for the long hold of its executor, up to two seconds, before its
// task was started elsewhere.
func TestUnansweredStartIsSettledBesideTheLongHold(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.advance(50)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}}))
	on := starts[0].Order.Worker
	stops := effectsOf[Stop](b.event(Started{Start: starts[0], Err: &croft.LostAnswerError{Reason: "test"}}))
	assert.Equal(t, len(stops), 1)
	effects := b.event(Stopped{Stop: stops[0]})
	for range 6 {
		effects = append(effects, b.advance(50)...)
	}
	var checks []Hold
	for _, h := range effectsOf[Hold](effects) {
		if h.Check {
			checks = append(checks, h)
		}
	}
	assert.Equal(t, len(checks), 1)
	assert.Equal(t, checks[0].Order.Worker, on)
	again := effectsOf[Start](b.event(Holding{Hold: checks[0], Report: croft.HoldReport{Clock: b.now, Born: 7}}))
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Run, 2)
}

// A start without an answer kept its task for a stop's longest time after the stop was taken, though
// nothing that was not there can begin from then on.
func TestStartWithoutAnswerIsSettledByTheFirstList(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 40))}}))
	assert.Equal(t, len(starts), 1)
	stops := effectsOf[Stop](b.event(Started{Start: starts[0], Err: &croft.LostAnswerError{}}))
	assert.Equal(t, len(stops), 1)
	b.now++
	effects := b.event(Stopped{Stop: stops[0]})
	var checks []Hold
	for _, h := range effectsOf[Hold](effects) {
		if h.Check {
			checks = append(checks, h)
		}
	}
	assert.Equal(t, len(checks), 1)
	b.now++
	effects = b.event(Holding{Hold: checks[0], Report: croft.HoldReport{Clock: b.now, Born: 7}})
	starts = effectsOf[Start](effects)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Run, 2)
}

// A stop that an executor did not hear was sent again seconds later, when another task of its step had
// gone meanwhile and no more might be taken.
func TestStopIsNotRepeatedOnceTooManyAreAway(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	b.event(WaveRowsRead{})
	lasting := step(2, 40)
	lasting.Endless, lasting.MayMiss, lasting.MostPerWorker = true, 1, 1
	on := map[int]int{}
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", lasting)}})) {
		b.event(Started{Start: s, Clock: b.now})
		for i := range 3 {
			if s.Order.Worker == workerName(i) {
				on[s.Order.Task.Index] = i
				b.answerHold(i, activeRun(s.Order.Task, 1))
			}
		}
	}
	stops := effectsOf[Stop](append(b.event(testWave(vmName(on[1]))), b.advance(50)...))
	assert.Equal(t, len(stops), 1)
	b.event(Stopped{Stop: stops[0], Err: &croft.LostAnswerError{}})
	b.answerHold(on[0], croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "j"}, Run: 1, How: croft.EndFailed})
	var repeated []Stop
	for range 40 {
		b.answerHold(on[1], activeRun(croft.TaskID{Job: "j", Index: 1}, 1))
		repeated = append(repeated, effectsOf[Stop](b.advance(50))...)
	}
	assert.Equal(t, len(repeated), 0)
}

// A task that may run twice waited, like all others, until its lost executor's leases had ended.
func TestTaskThatMayRunTwiceIsCopiedFromALostExecutor(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	twice := step(1, 40)
	twice.Duplicates = true
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("once", step(1, 40)), testJob("twice", twice)}}))
	assert.Equal(t, len(starts), 2)
	var effects []Effect
	for i := range 2 {
		for _, s := range starts {
			if s.Order.Worker == workerName(i) {
				b.event(Started{Start: s, Clock: b.now})
				b.answerHold(i, activeRun(s.Order.Task, 1))
			}
		}
	}
	on := map[croft.JobID]croft.WorkerID{}
	for _, s := range starts {
		on[s.Order.Task.Job] = s.Order.Worker
	}
	entries := testWorkers(3)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries[2:]}})
	b.answerHold(2)
	for _, worker := range on {
		hold := Hold{Order: croft.HoldOrder{Worker: worker, Wait: holdWait}, Sent: b.now}
		effects = append(effects, b.event(Holding{Hold: hold, Err: &croft.LostAnswerError{}})...)
	}
	starts = effectsOf[Start](effects)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, croft.JobID("twice"))
	assert.Equal(t, starts[0].Order.Run, 2)
	effects = b.answerHold(2, croft.EndedRun{Number: 1, Task: starts[0].Order.Task, Run: 2, How: croft.EndDone})
	assert.Equal(t, len(effectsOf[Commit](append(effects, b.advance(commitBatchDelay)...))), 1)
}
