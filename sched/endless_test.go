package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// endlessStep returns a step of tasks that run until their job is cancelled.
func endlessStep(count int, cores int64) croft.Step {
	s := step(count, cores)
	s.Endless = true
	return s
}

// Guards against an endless task that never runs again: its run ended as done, which was taken for the end of the task.
func TestEndlessTaskIsStartedAgainHoweverItEnds(t *testing.T) {
	for _, how := range []croft.EndKind{croft.EndDone, croft.EndFailed, croft.EndStopped, croft.EndLapsed, croft.EndBroken, croft.EndAlone} {
		t.Run(string(how), func(t *testing.T) {
			b := newTestBench(t)
			b.takeLeadership(1, 1)
			starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", endlessStep(1, 1))}}))
			assert.Equal(t, len(starts), 1)
			for run := 1; run <= 5; run++ {
				b.event(Started{Start: starts[0], Clock: b.now})
				b.advance(50)
				end := croft.EndedRun{Number: int64(run), Task: starts[0].Order.Task, Run: run, How: how}
				// An executor on which three runs in a row have failed may get no work for some seconds.
				var effects []Effect
				for effects = b.answerHold(0, end); len(effectsOf[Start](effects)) == 0; effects = append(effects, b.advance(50)...) {
					assert.Assert(t, len(effects) < 1000, "not started again")
				}
				starts = effectsOf[Start](effects)
				assert.Equal(t, len(starts), 1)
				assert.Equal(t, starts[0].Order.Run, run+1)
				assert.Equal(t, len(logsOf(effects, "Ended"))+len(logsOf(effects, "Failed")), 1)
			}
		})
	}
}

// Guards against a job that is shown as done although nobody cancelled it, and against starts of steps that follow an endless one: the
// tasks of the endless step had all ended as done.
func TestJobWhoseEndlessTasksAllEndGoesOn(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	next := step(1, 1)
	next.After = []int{0}
	starts := effectsOf[Start](b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", endlessStep(3, 1), next)}})))
	assert.Equal(t, len(starts), 3)
	var ends []any
	for i, s := range starts {
		b.confirm(b.event(Started{Start: s, Clock: b.now}))
		ends = append(ends, doneRun(int64(i+1), s.Order.Task, 1))
	}
	b.advance(50)
	restarts := effectsOf[Start](append(b.confirm(b.answerHold(0, ends...)), b.confirm(b.advance(50))...))
	assert.Equal(t, len(restarts), 3)
	for _, s := range restarts {
		assert.Equal(t, s.Order.Task.Step, 0)
	}
	assert.Equal(t, b.planner.jobs["j"].ended, false)
	assert.Equal(t, b.planner.jobs["j"].progress.Status, jobs.Running)
}

// Guards against a gang of endless tasks that never runs again: the end of one member as done completed the whole gang.
func TestEndlessGangIsStartedAgainAsAWhole(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	serving := gang(2, 1)
	serving.Endless = true
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", serving)}}))
	assert.Equal(t, len(starts), 2)
	for _, s := range starts {
		b.event(Started{Start: s, Clock: b.now})
	}
	b.advance(50)
	effects := b.answerHold(0, doneRun(1, starts[0].Order.Task, 1), doneRun(2, starts[1].Order.Task, 1))
	restarts := effectsOf[Start](append(effects, b.advance(50)...))
	assert.Equal(t, len(restarts), 2)
	assert.Equal(t, restarts[0].Order.Run, restarts[1].Order.Run)
}

// Guards against endless tasks that no leader starts again: a former version had stored them as done, or their occurrence as finished.
// The other tasks of the job stay done.
func TestEndlessTasksThatAreStoredAsDoneAreStarted(t *testing.T) {
	progress := map[string]jobs.Progress{
		"some tasks":     {Status: jobs.Running, Done: map[string][]byte{jobs.StageName(0, 0): {1}, jobs.StageName(0, 1): {3}}},
		"all tasks":      {Status: jobs.Running, Done: map[string][]byte{jobs.StageName(0, 0): {7}, jobs.StageName(0, 1): {3}}},
		"the occurrence": jobs.Progress{Status: jobs.Running}.WithFinished(0),
	}
	for name, stored := range progress {
		t.Run(name, func(t *testing.T) {
			row := testJob("j", endlessStep(3, 1), step(2, 1))
			row.Progress = stored
			b := newTestBench(t)
			b.takeLeadership(2, 0, row)
			b.replaceWorker(0)
			starts := startsOf(b.confirm(b.advance(b.planner.predecessorLeasesEnd())), "j")
			assert.Equal(t, len(starts), 3)
			for _, s := range starts {
				assert.Equal(t, s.Order.Task.Step, 0)
			}
			assert.Equal(t, b.planner.jobs["j"].ended, false)
		})
	}
}

// Guards against stopping endless tasks that serve: a former leader of a former version stored them as done after the takeover.
func TestEndlessTasksThatAFormerLeaderStoresAsDoneGoOn(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", endlessStep(2, 1))}}))
	assert.Equal(t, len(starts), 2)
	for _, s := range starts {
		b.event(Started{Start: s, Clock: b.now})
	}
	j := b.planner.jobs["j"]
	stored := jobs.Progress{Status: jobs.Running, Done: map[string][]byte{jobs.StageName(0, 0): {1}}}.WithFinished(0)
	b.planner.mergeProgress(j, stored)
	assert.Equal(t, len(effectsOf[Stop](b.advance(50))), 0)
	assert.Equal(t, j.ended, false)
	assert.Equal(t, j.stages[0].remainingTasks, 2)
}

// Guards against starts in a loop: the program of an endless task that ends at once, again and again, was started again at once. The first
// such end delays nothing, nor does any end of a run that has gone on for a while.
func TestEndlessTaskThatEndsAtOnceIsStartedAgainWithPauses(t *testing.T) {
	for _, how := range []croft.EndKind{croft.EndDone, croft.EndFailed} {
		t.Run(string(how), func(t *testing.T) {
			b := newTestBench(t)
			b.takeLeadership(1, 2)
			starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", endlessStep(1, 1))}}))
			ends := map[croft.WorkerID]int64{}
			endAfter := func(duration croft.Millis) croft.Millis {
				assert.Equal(t, len(starts), 1)
				order := starts[0].Order
				b.event(Started{Start: starts[0], Clock: b.now})
				b.advance(duration)
				ends[order.Worker]++
				ended := b.now
				effects := b.answerHold(placeOf(order.Worker), croft.EndedRun{Number: ends[order.Worker], Task: order.Task, Run: order.Run, How: how})
				for len(effectsOf[Start](effects)) == 0 {
					assert.Assert(t, b.now-ended < maxRestartPause+croft.Second, "not started again")
					effects = append(effects, b.advance(50)...)
				}
				starts = effectsOf[Start](effects)
				return b.now - ended
			}
			var pauses []croft.Millis
			for range 8 {
				pauses = append(pauses, endAfter(5))
			}
			assert.Assert(t, pauses[0] < 50, "%v", pauses)
			assert.Assert(t, pauses[1] >= baseRestartPause && pauses[7] >= maxRestartPause, "%v", pauses)
			assert.Assert(t, endAfter(briefRun) < 50)
			assert.Assert(t, endAfter(5) < 50)
			assert.Assert(t, endAfter(5) >= baseRestartPause)
		})
	}
}

// Guards against a pause for runs that did not fail by themselves: they had been ordered to stop, for their VMs to be maintained.
func TestStoppedRunsOfAnEndlessTaskAreNotBrief(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", endlessStep(1, 1))}}))
	for run := 1; run <= 4; run++ {
		assert.Equal(t, len(starts), 1)
		b.event(Started{Start: starts[0], Clock: b.now})
		b.advance(5)
		b.planner.stopRun(b.planner.jobs["j"].stages[0].tasks[0].run, "test")
		starts = effectsOf[Start](b.answerHold(0, doneRun(int64(run), starts[0].Order.Task, run)))
	}
	assert.Equal(t, len(starts), 1)
}

// Guards against tasks that wait beside free capacity: an endless task that is not due yet counted as one that could not be placed.
func TestEndlessTaskThatWaitsForItsPauseKeepsNoOthersWaiting(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", endlessStep(1, 1))}}))
	for run := range 2 {
		b.event(Started{Start: starts[0], Clock: b.now})
		b.advance(5)
		starts = effectsOf[Start](b.answerHold(0, doneRun(int64(run+1), starts[0].Order.Task, run+1)))
	}
	assert.Equal(t, len(starts), 0)
	row := testJob("other", step(1, 1))
	row.Part = "q.1"
	assert.Equal(t, len(startsOf(b.event(JobsRead{Jobs: []JobRow{row}}), "other")), 1)
	b.advance(placeInterval)
	assert.Equal(t, b.planner.pool(testPool).backlogged, false)
}
