package sched

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Guards against overwriting a cancellation: a job that ended while its caller cancelled it was stored as done after
// the cancellation had been acknowledged.
func TestEndDoesNotOverwriteCancellation(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	begin := effectsOf[Commit](b.advance(50))
	assert.Equal(t, len(begin), 1)
	b.event(Committed{Commit: begin[0], Version: 6})
	b.advance(50)
	end := effectsOf[Commit](b.answerHold(0, croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "j1"}, Run: 1, How: croft.EndDone}))
	assert.Equal(t, len(end), 1)
	cancelled := croft.Row{Key: "state/q.0/j1", Version: 9, Value: jobs.Encode(jobs.Progress{Status: jobs.Canceled})}
	b.event(Committed{Commit: end[0], Err: &croft.ConflictError{Rows: []croft.Row{cancelled}}})
	for range 20 {
		for _, c := range effectsOf[Commit](b.advance(50)) {
			assert.Equal(t, len(c.Writes), 0)
			b.event(Committed{Commit: c, Version: 10})
		}
	}
}

// Guards against restarting an ended job: a read of the whole store returned its row as it was before the end, and the
// planner treated it as a new job.
func TestStaleRowOfEndedJobIsIgnored(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	row := testJob("j1", step(1, 1))
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{row}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	b.advance(50)
	b.event(Committed{Commit: Commit{Part: "q.0", Writes: []Write{{ID: "j1", Sequence: 1}}}, Version: 6})
	b.answerHold(0, croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "j1"}, Run: 1, How: croft.EndDone})
	b.advance(50)
	b.event(Committed{Commit: Commit{Part: "q.0", Writes: []Write{{ID: "j1", Sequence: 9}}}, Version: 7})
	assert.Equal(t, len(b.planner.jobs), 0)
	assert.Equal(t, len(effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{row}}))), 0)
}

// Guards against commits that the store refuses for ever, since they exceed its limit of entries: after a takeover many
// jobs may end at once.
func TestCommitsStayWithinTransactionLimit(t *testing.T) {
	b := newTestBench(t)
	var rows []JobRow
	var ends []any
	for i := range 200 {
		id := croft.JobID(fmt.Sprintf("%016x", i))
		row := testJob(id, step(1, 1))
		row.Progress = jobs.Progress{Status: jobs.Running}
		rows = append(rows, row)
		ends = append(ends, croft.EndedRun{Number: int64(i + 1), Task: croft.TaskID{Job: id}, Run: 1, How: croft.EndDone})
	}
	b.takeLeadership(2, 0, rows...)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}})
	commits := effectsOf[Commit](b.answerHold(0, ends...))
	stored := 0
	for len(commits) > 0 {
		entries := 0
		for _, op := range commits[0].Ops {
			entries++
			if op.Version != croft.AnyVersion && op.Kind != croft.OpCheck {
				entries++
			}
		}
		assert.Assert(t, entries <= 100, "%d entries", entries)
		stored += len(commits[0].Writes)
		commits = effectsOf[Commit](append(b.event(Committed{Commit: commits[0], Version: uint64(1000 + stored)}), b.advance(50)...))
	}
	assert.Equal(t, stored, 200)
}

// Guards against a job that no longer counts as waiting after a first start of unknown outcome.
func TestJobCountsAsWaitingUntilExecutorBegins(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}}))
	b.event(Started{Start: starts[0], Err: &croft.LostAnswerError{Reason: "test"}})
	for range 4 {
		assert.Equal(t, len(effectsOf[Commit](b.advance(50))), 0)
	}
	commits := effectsOf[Commit](append(b.answerHold(0, activeRun(starts[0].Order.Task, 1)), b.advance(50)...))
	assert.Equal(t, len(commits), 1)
	assert.Assert(t, commits[0].Writes[0].Began)
}

// Guards against a job that counts as waiting for ever: it failed before an executor had begun one of its tasks.
func TestJobThatFailsBeforeItBeganDoesNotCountAsWaiting(t *testing.T) {
	b := newTestBench(t)
	row := testJob("j", step(1, 1))
	row.Progress.Announced, row.Progress.Crashed = true, map[string]int{jobs.TaskName(0, 0, 0): minCrashes}
	b.takeLeadership(2, 0, row)
	commits := effectsOf[Commit](append(b.replaceWorker(0), b.advance(b.planner.predecessorLeasesEnd())...))
	assert.Equal(t, len(commits), 1)
	progress, err := jobs.DecodeProgress(commits[0].Ops[0].Value)
	assert.NilError(t, err)
	assert.Equal(t, progress.Status, jobs.Failed)
	var deleted []string
	for _, op := range commits[0].Ops {
		if op.Kind == croft.OpDelete {
			deleted = append(deleted, op.Key)
		}
	}
	assert.DeepEqual(t, deleted, []string{jobs.Key(jobs.WaitTable, "q.0", "j"), jobs.Key(jobs.JobTable, "q.0", "j")})
}

// The load of a turn on a slow store, in which a commit takes half a second: the progress of a running job does not occupy
// its part, so that the end of another job is stored at once.
func TestEndIsStoredBeforeProgressWhileCommitsAreSlow(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1)), testJob("j2", step(2, 1))}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	slow := effectsOf[Commit](b.advance(50))
	assert.Equal(t, len(slow), 1)
	b.now += 500
	b.event(Committed{Commit: slow[0], Version: 6})
	progress := croft.EndedRun{Number: 1, Task: croft.TaskID{Job: "j2"}, Run: 1, How: croft.EndDone}
	assert.Equal(t, len(effectsOf[Commit](append(b.answerHold(0, progress), b.advance(100)...))), 0)
	end := croft.EndedRun{Number: 2, Task: croft.TaskID{Job: "j1"}, Run: 1, How: croft.EndDone}
	commits := effectsOf[Commit](b.answerHold(0, progress, end))
	assert.Equal(t, len(commits), 1)
	assert.Equal(t, len(commits[0].Writes), 2)
}

// invalid is the refusal of a transaction for what it contains.
var invalid = &croft.UnavailableError{Reason: "test", Invalid: true}

// Guards against jobs that never start: the store refused a transaction for the state of one job, and it was repeated with all
// others of it for good.
func TestInvalidStateKeepsNoOtherJobFromBeingStored(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	reduce := func(e ...Event) []Effect { return b.planner.Reduce(Instant{Elapsed: b.now}, e...) }
	rows := []JobRow{testJob("a", step(1, 3)), testJob("b", step(1, 2)), testJob("c", step(1, 1))}
	commits := effectsOf[Commit](reduce(JobsRead{Jobs: rows}))
	assert.Equal(t, len(commits), 1)
	assert.Equal(t, len(commits[0].Writes), 3)
	stored, refusals := map[croft.JobID]bool{}, 0
	for range 200 {
		var events []Event
		for _, c := range commits {
			e := Committed{Commit: c, Version: 9}
			for _, w := range c.Writes {
				if w.ID == "b" {
					e.Err = invalid
				}
			}
			if e.Err != nil {
				refusals++
			} else {
				for _, w := range c.Writes {
					stored[w.ID] = true
				}
			}
			events = append(events, e)
		}
		b.now += 50
		commits = effectsOf[Commit](reduce(append(events, Ticked{})...))
		if b.now == 1000+8*50 {
			assert.DeepEqual(t, stored, map[croft.JobID]bool{"a": true, "c": true})
		}
	}
	assert.Assert(t, refusals < 15, "%d refusals in 10 s", refusals)
	assert.Assert(t, refusals > 4, "%d refusals in 10 s", refusals)
}

// Guards against commits that the store refuses for ever, since they exceed its limit of bytes.
func TestCommitsStayWithinTransactionBytes(t *testing.T) {
	const rowsInLimit, maxTransaction = 24, 1 << 20
	random := rand.New(rand.NewPCG(1, 2))
	var rows []JobRow
	for i := range rowsInLimit {
		row := testJob(croft.JobID(fmt.Sprintf("%016x", i)), step(10_000, 0))
		row.Progress = jobs.Progress{Status: jobs.Running, Failed: map[string][]int{}}
		for index := range 9000 {
			row.Progress.Failed[jobs.TaskName(0, 0, index)] = []int{random.IntN(1 << 20)}
		}
		rows = append(rows, row)
	}
	b := newTestBench(t)
	b.takeLeadership(2, 0, rows...)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}})
	var ends []any
	for i, row := range rows {
		ends = append(ends, doneRun(int64(i+1), croft.TaskID{Job: row.ID, Index: 9999}, 1))
	}
	stored := 0
	for effects := b.answerHold(0, ends...); stored < rowsInLimit; {
		commits := effectsOf[Commit](append(effects, b.advance(50)...))
		assert.Equal(t, len(commits), 1)
		size := 0
		for _, op := range commits[0].Ops {
			size += base64.StdEncoding.EncodedLen(len(op.Value)) + len(op.Key)
		}
		assert.Assert(t, size < maxTransaction, "%d bytes", size)
		stored += len(commits[0].Writes)
		effects = b.event(Committed{Commit: commits[0], Version: uint64(1000 + stored)})
	}
}

// Guards against executors that fill up with ends that can't be acknowledged: the state of a job that does not fit a row was sent
// for good. The job ends, with a state that fits, and no other job is affected.
func TestJobWhoseStateDoesNotFitARowEndsAlone(t *testing.T) {
	b := newTestBench(t)
	b.planner.options.RowBytes = 600
	b.takeLeadership(1, 1)
	large := make([]croft.Step, 100)
	for i := range large {
		large[i] = step(1, 0)
	}
	starts := effectsOf[Start](b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("large", large...), testJob("small", step(3, 1))}})))
	var ends []any
	for i, s := range starts {
		b.confirm(b.event(Started{Start: s, Clock: b.now}))
		if s.Order.Task.Index < 2 && s.Order.Task.Step < 80 {
			ends = append(ends, doneRun(int64(i+1), s.Order.Task, s.Order.Run))
		}
	}
	effects := append(b.answerHold(0, ends...), b.advance(50)...)
	values := map[string][]byte{}
	for commits := effectsOf[Commit](effects); len(commits) > 0; {
		for _, op := range commits[0].Ops {
			assert.Assert(t, len(op.Value) <= 600, "%s: %d bytes", op.Key, len(op.Value))
			if op.Kind == croft.OpPut {
				values[op.Key] = op.Value
			}
		}
		b.version++
		commits = effectsOf[Commit](append(b.event(Committed{Commit: commits[0], Version: b.version}), b.advance(50)...))
	}
	progress, err := jobs.DecodeProgress(values["state/q.0/large"])
	assert.NilError(t, err)
	assert.Equal(t, progress.Status, jobs.Failed)
	assert.Equal(t, b.planner.jobs["small"].ended, false)
	assert.Equal(t, len(b.planner.workers[workerName(0)].pendingAcks), 0)
}
