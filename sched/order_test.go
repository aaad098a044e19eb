package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Guards against a delay of up to two seconds: a task whose start had an unknown outcome was started elsewhere only
// after the pending hold of its executor had returned.
func TestUnansweredStartIsResolvedByCheckBesideHold(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.advance(50)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}}))
	worker := starts[0].Order.Worker
	stops := effectsOf[Stop](b.event(Started{Start: starts[0], Err: &croft.LostAnswerError{Reason: "test"}}))
	assert.Equal(t, len(stops), 1)
	effects := b.event(Stopped{Stop: stops[0]})
	for range 6 {
		effects = append(effects, b.advance(50)...)
	}
	checks := checksIn(effectsOf[Hold](effects))
	assert.Equal(t, len(checks), 1)
	assert.Equal(t, checks[0].Order.Worker, worker)
	restarts := effectsOf[Start](b.event(Held{Hold: checks[0], Report: croft.HoldReport{Clock: b.now, Born: 7}}))
	assert.Equal(t, len(restarts), 1)
	assert.Equal(t, restarts[0].Order.Run, 2)
}

// Guards against waiting for the maximum stop time after the stop of an unanswered start was accepted: the run cannot
// begin any more from then on, so the first list shows whether it has begun.
func TestUnansweredStartIsResolvedByFirstList(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 40))}}))
	assert.Equal(t, len(starts), 1)
	stops := effectsOf[Stop](b.event(Started{Start: starts[0], Err: &croft.LostAnswerError{}}))
	assert.Equal(t, len(stops), 1)
	b.now++
	effects := b.event(Stopped{Stop: stops[0]})
	checks := checksIn(effectsOf[Hold](effects))
	assert.Equal(t, len(checks), 1)
	b.now++
	effects = b.event(Held{Hold: checks[0], Report: croft.HoldReport{Clock: b.now, Born: 7}})
	starts = effectsOf[Start](effects)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Run, 2)
}

// Guards against exceeding MayMiss: an unanswered stop was sent again seconds later, when another task of the step had
// become unavailable and no more might be stopped.
func TestStopIsNotRepeatedWhenTooManyTasksAreUnavailable(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	b.event(WaveRowsRead{})
	endless := step(2, 40)
	endless.Endless, endless.MayMiss, endless.MostPerWorker = true, 1, 1
	workerOf := map[int]int{}
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", endless)}})) {
		b.event(Started{Start: s, Clock: b.now})
		for i := range 3 {
			if s.Order.Worker == workerName(i) {
				workerOf[s.Order.Task.Index] = i
				b.answerHold(i, activeRun(s.Order.Task, 1))
			}
		}
	}
	stops := effectsOf[Stop](append(b.event(testWave(vmName(workerOf[1]))), b.advance(50)...))
	assert.Equal(t, len(stops), 1)
	b.event(Stopped{Stop: stops[0], Err: &croft.LostAnswerError{}})
	b.answerHold(workerOf[0], croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "j"}, Run: 1, How: croft.EndFailed})
	var repeated []Stop
	for range 40 {
		b.answerHold(workerOf[1], activeRun(croft.TaskID{Job: "j", Index: 1}, 1))
		repeated = append(repeated, effectsOf[Stop](b.advance(50))...)
	}
	assert.Equal(t, len(repeated), 0)
}

// servingPair starts the two tasks of an endless step, of which one may be unavailable, and returns the start of the second one and
// the places of their executors. The first task has served and failed, so that the second one must not be stopped while it serves.
func servingPair(t *testing.T) (*testBench, Start, [2]int) {
	t.Helper()
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	endless := step(2, 40)
	endless.Endless, endless.MayMiss, endless.MostPerWorker = true, 1, 1
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", endless)}}))
	assert.Equal(t, len(starts), 2)
	var places [2]int
	for i, s := range starts {
		places[i] = placeOf(s.Order.Worker)
	}
	b.event(Started{Start: starts[0], Clock: b.now})
	b.answerHold(places[0], activeRun(starts[0].Order.Task, 1))
	b.answerHold(places[0], croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "j"}, Run: 1, How: croft.EndFailed})
	return b, starts[1], places
}

// Guards against exceeding MayMiss: a start got no answer, and the run that a list had shown was stopped while another task of its
// step was unavailable.
func TestListedRunIsNotStoppedForAnUnansweredStart(t *testing.T) {
	b, start, places := servingPair(t)
	b.answerHold(places[1], activeRun(start.Order.Task, 1))
	stops := effectsOf[Stop](b.event(Started{Start: start, Err: errLost}))
	assert.Equal(t, len(stops), 0)
}

// Guards against exceeding MayMiss: a start that had been carried out got no answer, and the run was stopped at once, while it served
// already and another task of its step was unavailable. A list is requested first; the run is stopped if the list lacks it.
func TestUnansweredStartIsStoppedOnlyIfAListLacksTheRun(t *testing.T) {
	for _, carriedOut := range []bool{true, false} {
		b, start, _ := servingPair(t)
		effects := b.event(Started{Start: start, Err: errLost})
		assert.Equal(t, len(effectsOf[Stop](effects)), 0)
		checks := checksIn(effectsOf[Hold](effects))
		assert.Equal(t, len(checks), 1)
		report := croft.HoldReport{Clock: b.now, Born: firstIncarnation}
		if carriedOut {
			report.Active = []croft.ActiveRun{activeRun(start.Order.Task, 1)}
		}
		stops := effectsOf[Stop](b.event(Held{Hold: checks[0], Report: report}))
		assert.Equal(t, len(stops) == 0, carriedOut)
	}
}

// Guards against exceeding MayMiss: the stop of a start without an answer was repeated although a list showed the task at work, and
// another task of its step had become unavailable.
func TestStopOfAnUnansweredStartIsNotRepeatedWhenTooManyTasksAreUnavailable(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.event(WaveRowsRead{})
	serving := step(2, 40)
	serving.Endless, serving.MayMiss = true, 1
	starts := effectsOf[Start](b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", serving)}})))
	assert.Equal(t, len(starts), 2)
	late, away := starts[0], starts[1]
	b.confirm(b.event(Started{Start: away, Clock: b.now}))
	served := croft.HoldReport{Clock: b.now, Born: firstIncarnation, Active: []croft.ActiveRun{activeRun(away.Order.Task, away.Order.Run)}}
	b.confirm(b.event(Held{Hold: Hold{Order: b.holdOrder(away.Order.Worker), Sent: b.now}, Report: served}))
	stops := effectsOf[Stop](b.confirm(b.event(Started{Start: late, Err: errLost})))
	assert.Equal(t, len(stops), 1)
	b.confirm(b.event(Stopped{Stop: stops[0], Err: errLost}))
	b.confirm(b.event(Held{Hold: Hold{Order: b.holdOrder(away.Order.Worker), Sent: b.now}, Err: errLost}))
	report := croft.HoldReport{Clock: b.now, Born: firstIncarnation, Active: []croft.ActiveRun{activeRun(late.Order.Task, late.Order.Run)}}
	effects := b.confirm(b.event(Held{Hold: Hold{Order: b.holdOrder(late.Order.Worker), Sent: b.now}, Report: report}))
	for range 20 {
		effects = append(effects, b.confirm(b.advance(50))...)
	}
	for _, s := range effectsOf[Stop](effects) {
		assert.Assert(t, s.Order.Task != late.Order.Task, "stopped although another task of its step is away")
	}
}

// Guards against delaying tasks that may run twice until the leases of their lost executor have ended, as other tasks
// must be.
func TestDuplicableTaskOfLostExecutorRestartsAtOnce(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	duplicable := step(1, 40)
	duplicable.Duplicates = true
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("once", step(1, 40)), testJob("twice", duplicable)}}))
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
	workerOf := map[croft.JobID]croft.WorkerID{}
	for _, s := range starts {
		workerOf[s.Order.Task.Job] = s.Order.Worker
	}
	entries := testWorkers(3)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries[2:]}})
	b.answerHold(2)
	for _, worker := range workerOf {
		hold := Hold{Order: b.holdOrder(worker), Sent: b.now}
		hold.Order.Wait = holdWait
		effects = append(effects, b.event(Held{Hold: hold, Err: &croft.LostAnswerError{}})...)
	}
	starts = effectsOf[Start](effects)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Job, croft.JobID("twice"))
	assert.Equal(t, starts[0].Order.Run, 2)
	effects = b.answerHold(2, croft.EndedRun{Number: 1, Task: starts[0].Order.Task, Run: 2, How: croft.EndDone})
	assert.Equal(t, len(effectsOf[Commit](append(effects, b.advance(commitBatchDelay)...))), 1)
}

// The room of an executor may shrink while it runs tasks: nothing is started on it beyond the new one, and what is being
// stopped still counts.
func TestNothingStartsBeyondAShrunkRoom(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	starts := startsOf(b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("first", step(1, 20))}})), "first")
	b.confirm(b.event(Started{Start: starts[0], Clock: b.now}))
	entry := testWorkers(1)[0]
	entry.Room.MilliCores = 30_000
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}})
	row := testJob("second", step(1, 20))
	row.Part = "q.1"
	assert.Equal(t, len(startsOf(b.confirm(b.event(JobsRead{Jobs: []JobRow{row}})), "second")), 0)
	b.confirm(b.event(JobsCancelled{IDs: []croft.JobID{"first"}}))
	assert.Equal(t, len(startsOf(b.confirm(b.advance(50)), "second")), 0)
	entry.Room.MilliCores = 64_000
	effects := b.confirm(b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}}))
	assert.Equal(t, len(startsOf(effects, "second")), 1)
}

// Guards against stopping a sound task again and again: a long one in a queue of short ones, whose progress of whole percents stays
// the same for longer than the others take.
func TestLongTaskInAQueueOfShortOnesIsNotStuck(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.planner.meanDurations["q"] = 200
	long, stuck := step(1, 1), step(1, 1)
	long.Estimate, stuck.Estimate = 900*croft.Second, 200
	starts := effectsOf[Start](b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("long", long), testJob("stuck", stuck)}})))
	assert.Equal(t, len(starts), 2)
	for _, s := range starts {
		b.confirm(b.event(Started{Start: s, Clock: b.now}))
	}
	b.now += minStuckDuration + 100
	stops := effectsOf[Stop](b.answerHold(0, croft.ActiveRun{Task: starts[0].Order.Task, Run: 1}, croft.ActiveRun{Task: starts[1].Order.Task, Run: 1}))
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Order.Task.Job, croft.JobID("stuck"))
}
