package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// testWallClock is the wall clock of a testBench when its own clock shows zero.
const testWallClock = 1_000_000

// schedule returns a job that repeats each interval and of which some occurrences are due.
func (b *testBench) schedule(id croft.JobID, repeats, due int, interval croft.Millis, steps ...croft.Step) JobRow {
	row := testJob(id, steps...)
	row.Record.Spec.Repeats, row.Record.Spec.Interval = repeats, interval
	row.Record.Spec.First = testWallClock + b.now - croft.Millis(due)*interval + interval/2
	return row
}

// runAll starts and ends the tasks of the effects, and of those that follow from that, on one executor, and returns the tasks
// in the order of their ends. Each end is stored before the next one.
func (b *testBench) runAll(effects []Effect, after func()) []croft.TaskID {
	var ended []croft.TaskID
	effects = b.confirm(effects)
	for idle := 0; idle < 4; {
		starts := effectsOf[Start](effects)
		effects = nil
		for _, s := range starts {
			idle = 0
			ended = append(ended, s.Order.Task)
			effects = append(effects, b.confirm(b.event(Started{Start: s, Clock: b.now}))...)
			effects = append(effects, b.confirm(b.answerHold(0, doneRun(int64(len(ended)), s.Order.Task, s.Order.Run)))...)
			after()
		}
		effects = append(effects, b.confirm(b.advance(50))...)
		idle++
	}
	return ended
}

// tasksInMemory returns how many tasks the planner keeps the state of.
func (b *testBench) tasksInMemory() int {
	n := 0
	for _, j := range b.planner.jobs {
		for _, s := range j.stages {
			n += len(s.tasks)
		}
	}
	return n
}

// Guards against leaders that run out of memory one after another: all occurrences of a schedule that were due were opened at
// once, however many they were.
func TestDueOccurrencesAreOpenedWithinALimit(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	wide, narrow := step(1200, 1), step(1, 1)
	b.event(JobsRead{Jobs: []JobRow{
		b.schedule("wide", 480, 240, 3600_000, wide, wide, wide, wide, wide, wide, wide, wide),
		b.schedule("narrow", 1_000_000, 900_000, 1000, narrow),
	}})
	assert.Equal(t, b.planner.jobs["wide"].openOccurrences(), 1)
	assert.Equal(t, b.planner.jobs["narrow"].openOccurrences(), maxOpenOccurrences)
	b.advance(50)
	assert.Assert(t, b.tasksInMemory() <= 2*maxOpenTasks, "%d tasks", b.tasksInMemory())
}

// Guards against memory that grows with the age of a schedule: the state of finished occurrences was kept until the job's end.
// All occurrences still run, in order, and each once.
func TestFinishedOccurrencesAreReleased(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	const repeats = 600
	most := 0
	ended := b.runAll(b.event(JobsRead{Jobs: []JobRow{b.schedule("j", repeats, repeats, 1000, step(1, 30))}}), func() {
		most = max(most, b.tasksInMemory())
	})
	assert.Equal(t, len(ended), repeats)
	for i, id := range ended {
		assert.Equal(t, id.Occurrence, i)
	}
	assert.Assert(t, most <= maxOpenOccurrences, "%d tasks", most)
	assert.Equal(t, len(b.planner.jobs), 0)
}

// Guards against jobs that never start, since the store refuses each transaction with a state that is too large for a row: the
// state of a schedule had all its finished occurrences.
func TestStateOfAScheduleFitsARow(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	const repeats, rowBytes = 5000, 65_536
	effects := b.event(JobsRead{Jobs: []JobRow{b.schedule("j", repeats, repeats, 1000, step(1, 30))}})
	largest := 0
	ended := b.runAll(effects, func() {
		if j, ok := b.planner.jobs["j"]; ok {
			largest = max(largest, len(jobs.EncodeProgress(j.progress)))
		}
	})
	assert.Equal(t, len(ended), repeats)
	assert.Assert(t, largest <= rowBytes, "%d bytes", largest)
}

// A finished occurrence counts as open until its end is stored: a new leader has to open the same ones.
func TestOccurrenceIsReleasedOnceItsEndIsStored(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	wide := step(maxOpenTasks/2+1, 0)
	wide.Needs.MemoryMB = 0
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{b.schedule("j", 2, 2, 1000, wide)}}))
	assert.Equal(t, len(starts), maxOpenTasks/2+1)
	var ends []any
	for i, s := range starts {
		b.event(Started{Start: s, Clock: b.now})
		ends = append(ends, doneRun(int64(i+1), s.Order.Task, 1))
	}
	b.now += 100
	commits := effectsOf[Commit](append(b.answerHold(0, ends...), b.advance(50)...))
	assert.Equal(t, b.planner.jobs["j"].openedOccurrences, 1)
	b.event(Committed{Commit: commits[len(commits)-1], Version: 6})
	b.advance(50)
	assert.Equal(t, b.planner.jobs["j"].openedOccurrences, 2)
	assert.Equal(t, b.planner.jobs["j"].openOccurrences(), 1)
}

// A new leader opens the occurrences that are not stored as finished, and none of the others.
func TestTakeoverOpensOnlyUnfinishedOccurrences(t *testing.T) {
	b := newTestBench(t)
	row := b.schedule("j", 1000, 1000, 1000, step(2, 1))
	row.Progress = jobs.Progress{Status: jobs.Running, Done: map[string][]byte{}}
	for occurrence := range 998 {
		if occurrence != 7 {
			row.Progress.Done[jobs.StageName(occurrence, 0)] = []byte{3}
		}
	}
	b.takeLeadership(2, 0, row)
	j := b.planner.jobs["j"]
	assert.Equal(t, j.openOccurrences(), 3)
	assert.Equal(t, j.stages[0].occurrence, 7)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(1)})
	ended := b.runAll(append(b.answerHold(0), b.advance(50)...), func() {})
	assert.Equal(t, len(ended), 6)
	assert.Equal(t, len(b.planner.jobs), 0)
}

// Guards against starting a task twice after a takeover from a leader whose clock was ahead: what it had started of an
// occurrence that is not due by the successor's clock was stopped, and its ends were forgotten.
func TestRunsOfAnOccurrenceThatIsNotDueAreAdopted(t *testing.T) {
	b := newTestBench(t)
	row := b.schedule("j", 3, 1, 100_000, step(2, 1))
	row.Progress = jobs.Progress{Status: jobs.Running}
	b.takeLeadership(2, 0, row)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}})
	early := func(index int) croft.TaskID { return croft.TaskID{Job: "j", Occurrence: 1, Index: index} }
	effects := b.answerHold(0, doneRun(1, early(0), 1), activeRun(early(1), 1))
	assert.Equal(t, len(effectsOf[Stop](effects)), 0)
	assert.Assert(t, b.planner.jobs["j"].stage(1, 0).tasks[0].done)
	for _, s := range effectsOf[Start](append(effects, b.advance(50)...)) {
		assert.Equal(t, s.Order.Task.Occurrence, 0)
	}
	// One far beyond those that a leader opens at a time is not.
	far := b.schedule("far", 1000, 1, 100_000, step(maxOpenTasks, 0))
	b.event(JobsRead{Jobs: []JobRow{far}})
	b.answerHold(0, activeRun(croft.TaskID{Job: "far", Occurrence: 900}, 1))
	assert.Equal(t, b.planner.jobs["far"].openedOccurrences, 1)
}

// Guards against starting a task twice after a takeover from a leader whose clock was ahead: what it stored of an occurrence that
// is not due by the successor's clock was passed over.
func TestStoredProgressOfAnOccurrenceThatIsNotDueIsMerged(t *testing.T) {
	b := newTestBench(t)
	row := b.schedule("j", 4, 1, 100_000, step(2, 1))
	row.Progress = jobs.Progress{Status: jobs.Running}
	b.takeLeadership(2, 1, row)
	stored := jobs.Progress{Status: jobs.Running, Fence: 10, Finished: []int{1, 2}, Done: map[string][]byte{jobs.StageName(2, 0): {1}}}
	conflict := &croft.ConflictError{Rows: []croft.Row{{Key: "state/q.0/j", Version: 9, Value: jobs.EncodeProgress(stored)}}}
	b.event(Committed{Commit: Commit{Part: "q.0", Writes: []Write{{ID: "j"}}}, Err: conflict})
	j := b.planner.jobs["j"]
	assert.Equal(t, j.openedOccurrences, 3)
	assert.Equal(t, j.openOccurrences(), 2)
	assert.Assert(t, j.progress.IsFinished(1))
	assert.Assert(t, j.stage(2, 0).tasks[0].done)
	assert.Assert(t, !j.stage(2, 0).tasks[1].done)
}
