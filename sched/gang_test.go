package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// gang returns a gang step with a number of tasks that need some cores each.
func gang(count int, cores int64) croft.Step {
	s := step(count, cores)
	s.Gang = true
	return s
}

// A gang starts only when there is capacity for all its tasks.
func TestGangStartsAllTasksOrNone(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	assert.Equal(t, len(effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", gang(3, 30))}}))), 0)
	entries := testWorkers(2)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries[1:]}})
	starts := effectsOf[Start](b.answerHold(1))
	assert.Equal(t, len(starts), 3)
	for _, s := range starts {
		assert.Equal(t, s.Order.Run, 1)
	}
}

// When one member ends, the others are stopped, and all restart with the same run number and checkpoint.
func TestBrokenGangRestartsWithSameRunNumber(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", gang(2, 40))}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	b.advance(100)
	first := b.answerHold(0, croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "g"}, Run: 1, How: croft.EndFailed, Checkpoint: "c"},
		croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "g", Index: 1}, Run: 1, How: croft.EndFailed, Checkpoint: "c"})
	assert.Equal(t, len(effectsOf[Start](first)), 0)
	other := b.answerHold(1, croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "g", Index: 1}, Run: 1, How: croft.EndBroken},
		croft.EndedRun{Number: 2, Task: croft.TaskID{Job: "g"}, Run: 1, How: croft.EndBroken})
	starts := effectsOf[Start](other)
	assert.Equal(t, len(starts), 2)
	for _, s := range starts {
		assert.Equal(t, s.Order.Run, 2)
		assert.Equal(t, s.Order.Checkpoint, "c")
	}
}

// When the start of one member is refused, the others are stopped instead of waiting for it until they time out.
func TestGangIsStoppedWhenAMemberIsRefused(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", gang(2, 40))}}))
	b.event(Started{Start: starts[0], Clock: b.now})
	effects := b.event(Started{Start: starts[1], Clock: b.now, Err: &croft.RunRefusedError{Reason: croft.RefusedRoom}})
	stops := effectsOf[Stop](effects)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Order.Task, starts[0].Order.Task)
}

// Guards against restarting a finished gang: one member's end completes the gang, but executors were allowed to forget
// the other ends before the job's end was stored, and a successor did not see them.
func TestGangEndsAreNotAcknowledgedBeforeJobIsStored(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", gang(2, 40))}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	b.advance(100)
	for i := range 2 {
		w := b.planner.workers[workerName(i)]
		for task := range w.runs {
			b.answerHold(i, croft.EndedRun{Number: 1, Task: task, Run: 1, How: croft.EndDone})
		}
	}
	for i := range 2 {
		assert.Equal(t, b.planner.workers[workerName(i)].ackedEnd, int64(0))
	}
}

// A leader that is lost while it starts a gang leaves members that wait for the others in vain; its successor stops
// them.
func TestPartlyStartedGangIsStoppedAfterTakeover(t *testing.T) {
	b := newTestBench(t)
	known := testJob("g", gang(2, 40))
	known.Progress.Announced = true
	b.takeLeadership(2, 0, known)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(2)}}, FleetRead{RequestedAt: b.now, VMs: testFleet(2)})
	effects := append(b.answerHold(0, activeRun(croft.TaskID{Job: "g"}, 1)), b.answerHold(1)...)
	stops := effectsOf[Stop](append(effects, b.advance(50)...))
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Order.Task, croft.TaskID{Job: "g"})
}

// Guards against members of a gang beyond the step's maximum on one executor: while executors were chosen for them, the members
// chosen before did not count.
func TestGangKeepsToItsMaximumPerExecutor(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	spread := gang(4, 1)
	spread.MostPerWorker = 1
	assert.Equal(t, len(effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", spread)}}))), 0)
	assert.Equal(t, b.planner.jobs["g"].stages[0].minVMs(croft.Resources{MilliCores: 64_000, MemoryMB: 262_144}), 4)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(4)[3:]}})
	starts := effectsOf[Start](b.answerHold(3))
	assert.Equal(t, len(starts), 4)
	used := map[croft.WorkerID]bool{}
	for _, s := range starts {
		assert.Assert(t, !used[s.Order.Worker], "two members on %s", s.Order.Worker)
		used[s.Order.Worker] = true
	}
}

// Guards against members that wait for 3 s and end alone: the start of one member got no answer and was stopped, and the others went
// on waiting until it was known whether that start had been carried out.
func TestGangIsStoppedWhenAStartOfAMemberGetsNoAnswer(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", gang(2, 40))}}))
	b.event(Started{Start: starts[0], Clock: b.now})
	stops := effectsOf[Stop](b.event(Started{Start: starts[1], Err: &croft.LostAnswerError{Reason: "test"}}))
	assert.Equal(t, len(stops), 2)
}

// Guards against members that wait for 3 s and end alone: one member was preempted, its start got no answer, and the others waited until
// its executor answered again.
func TestGangIsStoppedWithAMemberThatIsPreempted(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("g", gang(2, 40))}}))
	assert.Equal(t, len(starts), 2)
	urgent := step(1, 40)
	urgent.Endless = true
	row := testJob("urgent", urgent)
	row.Part = "q.1"
	stops := effectsOf[Stop](b.event(JobsRead{Jobs: []JobRow{row}}))
	assert.Equal(t, len(stops), 2)
}
