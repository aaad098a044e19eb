package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// answerCutHold answers a hold of a worker with a list of ended runs that does not have all of them.
func (b *testBench) answerCutHold(i int, ends ...croft.EndedRun) []Effect {
	w := b.planner.workers[workerName(i)]
	order := b.holdOrder(workerName(i))
	if w.verified {
		order.Seen, order.Wait = w.ackedEnd, holdWait
	}
	report := croft.HoldReport{Clock: b.now, Born: 7, Ended: ends, MoreEnds: true}
	return b.event(Held{Hold: Hold{Order: order, Sent: b.now}, Report: report})
}

func doneRun(number int64, task croft.TaskID, run int) croft.EndedRun {
	return croft.EndedRun{Number: number, Task: task, Run: run, How: croft.EndDone}
}

// Guards against starting tasks again that have ended: an executor lists a limited number of ended runs at a time, and those
// that its list had no room for were taken as gone.
func TestRunMissingFromACutListIsNotStartedAgain(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(3, 1))}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	task := func(index int) croft.TaskID { return croft.TaskID{Job: "j", Index: index} }
	b.now += 100
	effects := b.answerCutHold(0, doneRun(1, task(0), 1))
	for range 5 {
		effects = append(effects, b.advance(50)...)
		effects = append(effects, b.answerCutHold(0, doneRun(1, task(0), 1))...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	effects = b.answerHold(0, doneRun(1, task(0), 1), doneRun(2, task(1), 1))
	starts := effectsOf[Start](append(effects, b.advance(50)...))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task, task(2))
}

// The same for a new leader, which does not know what a former one had started there, also if the executor does not answer
// any more.
func TestTakeoverAwaitsAListOfAllEndedRuns(t *testing.T) {
	b := newTestBench(t)
	row := testJob("j", step(2, 1))
	row.Progress = jobs.Progress{Status: jobs.Running}
	b.takeLeadership(2, 0, row)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(2)}})
	b.answerHold(1)
	end := doneRun(1, croft.TaskID{Job: "j"}, 1)
	effects := b.answerCutHold(0, end)
	for range 100 {
		b.answerHold(1)
		effects = append(effects, b.answerCutHold(0, end)...)
		effects = append(effects, b.advance(unstoredEndsPause)...)
	}
	hold := Hold{Order: b.holdOrder(workerName(0)), Sent: b.now}
	hold.Order.Wait = holdWait
	effects = append(effects, b.event(Held{Hold: hold, Err: &croft.LostAnswerError{}})...)
	effects = append(effects, b.advance(50)...)
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	effects = append(b.answerHold(0, end), b.advance(50)...)
	starts := effectsOf[Start](effects)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Order.Task.Index, 1)
}

// Guards against stopping more tasks of a step than may be unavailable: one that had ended counted as active while its
// executor's list had no room for its end.
func TestRunMissingFromACutListCountsAsUnavailable(t *testing.T) {
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
				b.now++
				b.answerHold(i, activeRun(s.Order.Task, 1))
			}
		}
	}
	b.now++
	b.answerCutHold(workerOf[0], doneRun(1, croft.TaskID{Job: "other"}, 1))
	effects := append(b.event(testWave(vmName(workerOf[1]))), b.advance(50)...)
	assert.Equal(t, len(effectsOf[Stop](effects)), 0)
	b.answerHold(workerOf[0], activeRun(croft.TaskID{Job: "j"}, 1))
	assert.Equal(t, len(effectsOf[Stop](b.advance(50))), 1)
}
