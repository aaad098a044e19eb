package sched

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// newLimitedBench returns a bench of a planner that may hold so many tasks.
func newLimitedBench(t *testing.T, maxTasks int) *testBench {
	b := newTestBench(t)
	b.planner.options.MaxTasks = maxTasks
	return b
}

// checkOpenTasks asserts that the planner counts the tasks that it holds, and returns them by class.
func (b *testBench) checkOpenTasks() (small, large int) {
	b.t.Helper()
	for _, j := range b.planner.jobs {
		if j.large {
			large += tasksOf(j.stages)
		} else {
			small += tasksOf(j.stages)
		}
		assert.Check(b.t, j.parked == nil || len(j.stages) == 0 && slices.Contains(b.planner.classOf(j).parked, j), "%s", j.id)
	}
	assert.Equal(b.t, small, b.planner.open.small.open)
	assert.Equal(b.t, large, b.planner.open.large.open)
	return small, large
}

// openJobs returns the jobs that have stages, sorted.
func (b *testBench) openJobs() string {
	var ids []string
	for id, j := range b.planner.jobs {
		if len(j.stages) > 0 {
			ids = append(ids, string(id))
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, "")
}

// Guards against a leader that exceeds its memory: each of the large jobs took 1.8 MB until it ended, however many there were. Small jobs
// must start beside them.
func TestLargeJobsAreParkedBesideSmallOnes(t *testing.T) {
	const limit, tasks = 40_000, 9_984
	b := newLimitedBench(t, limit)
	b.takeLeadership(1, 1)
	started := map[croft.JobID]bool{}
	for i := range 200 {
		effects := b.event(JobsRead{Jobs: []JobRow{testJob(croft.JobID(fmt.Sprintf("large-%d", i)), step(tasks, 40)), testJob(croft.JobID(fmt.Sprintf("small-%d", i)), step(1, 0))}})
		for _, s := range effectsOf[Start](append(effects, b.advance(10)...)) {
			started[s.Order.Task.Job] = true
		}
		_, large := b.checkOpenTasks()
		assert.Assert(t, b.planner.open.total() <= limit && large <= limit/2)
	}
	for i := range 200 {
		assert.Check(t, started[croft.JobID(fmt.Sprintf("small-%d", i))], "%d", i)
	}
	assert.Check(t, started["large-0"])
	load, _ := b.nextPublishedLoad()
	assert.Equal(t, load.Waiting, 400)
	assert.Equal(t, b.planner.open.parkedJobs(), 198)
	assert.Assert(t, strings.Contains(b.planner.Describe("large-2"), "parked as number 1 of its class: 20168 tasks of 40000 are open"), b.planner.Describe("large-2"))
}

// Guards against small jobs without any limit.
func TestSmallJobsAreParkedBeyondTheWholeLimit(t *testing.T) {
	b := newLimitedBench(t, 100)
	b.takeLeadership(1, 0)
	b.event(JobsRead{Jobs: testJobs(30, step(9, 1))})
	small, large := b.checkOpenTasks()
	assert.Equal(t, small, 99)
	assert.Equal(t, large, 0)
	// One large job is open all the same.
	b.event(JobsRead{Jobs: []JobRow{testJob("large", step(80, 1)), testJob("large2", step(30, 1))}})
	_, large = b.checkOpenTasks()
	assert.Equal(t, large, 80)
}

// Guards against parked jobs that later ones overtake, and against those that are not opened when others end.
func TestParkedJobsAreOpenedInOrderAsOthersAreReleased(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(1, 0)
	b.event(JobsRead{Jobs: testJobs(4, step(10, 1))})
	assert.Equal(t, b.openJobs(), "ab")
	b.now++
	// The last job is smaller, but not of another class.
	b.event(JobsRead{Jobs: []JobRow{testJob("e", step(15, 1)), testJob("f", step(10, 1))}})
	for _, next := range []struct{ cancelled, open string }{{"b", "ac"}, {"a", "cd"}, {"c", "d"}, {"d", "e"}, {"e", "f"}} {
		b.event(JobsCancelled{IDs: []croft.JobID{croft.JobID(next.cancelled)}})
		b.checkOpenTasks()
		assert.Equal(t, b.openJobs(), next.open)
	}
}

// Guards against tasks that count as open after their job has ended and this is stored.
func TestTasksAreReleasedOnceTheEndIsStored(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(1, 1)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: testJobs(3, step(10, 6))}))
	assert.Equal(t, len(starts), 10)
	var ends []any
	for i, s := range starts {
		b.event(Started{Start: s})
		ends = append(ends, croft.EndedRun{Number: int64(i + 1), Task: s.Order.Task, Run: s.Order.Run, How: croft.EndDone})
	}
	b.now += 100
	effects := b.answerHold(0, ends...)
	assert.Equal(t, b.openJobs(), "ab")
	for _, c := range effectsOf[Commit](append(effects, b.advance(50)...)) {
		b.version++
		b.event(Committed{Commit: c, Version: b.version})
	}
	b.checkOpenTasks()
	assert.Equal(t, b.openJobs(), "bc")
}

// Guards against cancelled jobs that are opened, or keep their rows: of parked jobs and of those that were cancelled before they were read.
func TestParkedJobsCanBeCancelled(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(1, 0)
	b.event(JobsRead{Jobs: testJobs(4, step(10, 1))})
	b.event(JobsCancelled{IDs: []croft.JobID{"c", "e"}})
	deletions := 0
	for _, c := range effectsOf[Commit](b.advance(100)) {
		deletions += len(c.Ops)
	}
	assert.Equal(t, deletions, 0)
	assert.Equal(t, len(b.planner.jobs), 3)
	b.event(JobsRead{Jobs: []JobRow{testJob("c", step(10, 1)), testJob("e", step(10, 1))}})
	assert.Equal(t, b.planner.open.parkedJobs(), 1)
	b.event(JobsCancelled{IDs: []croft.JobID{"a", "b"}})
	assert.Equal(t, b.openJobs(), "d")
	b.checkOpenTasks()
}

// Guards against a new leader that forgets parked jobs, opens them in the order in which it happens to read them, or parks those that may
// be running.
func TestTakeoverReadsParkedJobsAgain(t *testing.T) {
	b := newLimitedBench(t, 40)
	rows := testJobs(8, step(10, 1))
	for i := range rows {
		rows[i].Record.Accepted += croft.Millis(i)
	}
	for i := 5; i < 8; i++ {
		rows[i].Progress.Announced = true
	}
	slices.Reverse(rows)
	b.takeLeadership(1, 0, rows...)
	// Jobs f, g and h may be running and exceed the limit by themselves.
	assert.Equal(t, b.openJobs(), "fgh")
	b.event(LeadershipLost{})
	assert.Equal(t, b.planner.open.parkedJobs(), 0)
	b.takeLeadership(2, 0, rows[3:]...)
	assert.Equal(t, b.openJobs(), "ab")
	assert.Equal(t, b.planner.open.parkedJobs(), 3)
	b.checkOpenTasks()
}

// Guards against a former leader's late announcement: an executor lists a run of a job that this leader has parked.
func TestParkedJobIsOpenedForARunOfAFormerLeader(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(2, 0, testJobs(3, step(10, 60))...)
	assert.Equal(t, b.openJobs(), "ab")
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: testWorkers(1)}})
	effects := b.answerHold(0, activeRun(croft.TaskID{Job: "c", Index: 3}, 1))
	assert.Equal(t, len(effectsOf[Stop](effects)), 0)
	assert.Equal(t, b.openJobs(), "abc")
	assert.Assert(t, b.planner.jobs["c"].stages[0].tasks[3].run != nil)
	assert.Equal(t, b.planner.jobs["c"].record.Spec.Payload, "p")
	b.checkOpenTasks()
}

// Guards against parked jobs that a state stored by a former leader allows to run.
func TestParkedJobIsOpenedWhenItWasAnnounced(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(2, 0, testJobs(3, step(10, 60))...)
	b.planner.mergeProgress(b.planner.jobs["c"], jobs.Progress{Status: jobs.Pending, Announced: true})
	assert.Equal(t, b.openJobs(), "abc")
	b.checkOpenTasks()
}

// Guards against a deadline that counts from the opening, and against a record that is not restored.
func TestDeadlineOfAParkedJobCountsFromItsAcceptance(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(1, 0)
	b.event(JobsRead{Jobs: testJobs(3, step(10, 1), step(2, 1))})
	parked := b.planner.jobs["c"]
	want, deadline := testJob("c", step(10, 1), step(2, 1)).Record, b.planner.jobs["a"].deadline
	assert.Assert(t, parked.parked != nil)
	b.now += 5000
	b.event(JobsCancelled{IDs: []croft.JobID{"a", "b"}})
	assert.Assert(t, parked.parked == nil)
	assert.Equal(t, parked.deadline, deadline)
	assert.DeepEqual(t, parked.record, want)
}

// Guards against jobs that no executor can run, for their label or their size, and that keep others parked for ever.
func TestJobsThatFindNoCapacityDoNotKeepOthersParked(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(1, 1)
	elsewhere := step(10, 1)
	elsewhere.Requires = "none"
	b.event(JobsRead{Jobs: testJobs(5, elsewhere)})
	b.event(JobsRead{Jobs: []JobRow{testJob("x", step(10, 1))}})
	assert.Equal(t, b.openJobs(), "ab")
	var started []Start
	for range 60 {
		started = append(started, effectsOf[Start](b.advance(500))...)
		b.answerHold(0)
		b.checkOpenTasks()
	}
	assert.Assert(t, len(started) > 0)
	assert.Equal(t, started[0].Order.Task.Job, croft.JobID("x"))
}

// Guards against a refusal rule that overlooks parked jobs: the load is that of TestJobsAreRefusedWhenBacklogIsTooLong.
func TestParkedJobsCountForRefusals(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(1, 1)
	b.event(JobsRead{Jobs: testJobs(60, step(4, 16))})
	assert.Assert(t, b.planner.open.parkedJobs() > 40)
	load, _ := b.nextPublishedLoad()
	assert.Assert(t, load.Refuse)
	assert.Assert(t, load.Wait > 30*croft.Second && load.Wait < 32*croft.Second, "%d", load.Wait)
}

// Guards against schedules of many small occurrences that are all opened at once.
func TestOccurrencesCountForTheLimit(t *testing.T) {
	b := newLimitedBench(t, 200)
	b.takeLeadership(1, 0)
	rows := testJobs(3, step(2, 1))
	for i := range rows {
		rows[i].Record.Spec.Repeats, rows[i].Record.Spec.Interval = 1000, 1
	}
	b.event(JobsRead{Jobs: rows})
	b.advance(50)
	_, large := b.checkOpenTasks()
	assert.Equal(t, large, 100)
}

// Guards against a log line for each job of a crowd.
func TestParkedJobsAreLoggedOnceInASecond(t *testing.T) {
	b := newLimitedBench(t, 40)
	b.takeLeadership(1, 0)
	lines := 0
	for i := range 300 {
		effects := b.event(JobsRead{Jobs: []JobRow{testJob(croft.JobID(fmt.Sprint(i)), step(10, 1))}})
		for _, l := range effectsOf[Log](append(effects, b.advance(10)...)) {
			if l.Action == "Park" || l.Action == "Unpark" {
				lines++
			}
		}
	}
	assert.Assert(t, lines >= 2 && lines <= 4, "%d", lines)
}

// Guards against a new leader that holds the records of all stored jobs at once, or opens other jobs than one that has them decoded.
func TestTakeoverLeavesJobsEncodedUntilTheyAreOpened(t *testing.T) {
	var stored []JobRow
	for i := range 9 {
		row := testJob(croft.JobID(fmt.Sprint(i)), step(15, 1), step(15, 1))
		row.Record.Accepted += croft.Millis(9 - i)
		if i == 4 {
			row.Progress = jobs.Progress{Status: jobs.Running, Announced: true}
		}
		stored = append(stored, row)
	}
	b := newLimitedBench(t, 150)
	b.takeLeadership(1, 1, stored...)
	b.checkOpenTasks()
	assert.Equal(t, b.openJobs(), "45678", "the one that has begun and the earliest")
	for id, j := range b.planner.jobs {
		if j.parked == nil {
			assert.Equal(t, len(j.record.Spec.Steps), 2, "%s", id)
			continue
		}
		assert.Equal(t, len(j.record.Spec.Steps), 1, "%s has a summary of its steps", id)
		assert.Equal(t, j.occurrenceTasks(), 30)
	}
	c := newLimitedBench(t, 150)
	c.takeLeadership(1, 1)
	c.event(JobsRead{Jobs: stored})
	assert.Equal(t, c.openJobs(), b.openJobs())
}

// Guards against a row that cannot be decoded and ends a new leader, or hides the others.
func TestTakeoverSkipsUnreadableRecords(t *testing.T) {
	b := newLimitedBench(t, 150)
	unreadable := JobRow{ID: "u", Part: "q.0", Version: 5, Encoded: []byte("{")}
	b.event(LeadershipAcquired{Fence: 1_000_000, Term: 1})
	b.event(testConfig())
	effects := b.event(JobsRead{Whole: true, Jobs: append(encodedRows(testJobs(1, step(1, 1))), unreadable)})
	assert.Equal(t, len(b.planner.jobs), 1)
	logged := 0
	for _, l := range effectsOf[Log](effects) {
		if l.Action == "Unreadable" && l.Subject == "u" {
			logged++
		}
	}
	assert.Equal(t, logged, 1)
}

// Guards against accepted jobs whose records take more memory than the leader has: jobs without an estimate were not refused.
func TestQueuesRefuseJobsWhileRecordsTakeTooMuchMemory(t *testing.T) {
	b := newLimitedBench(t, 10)
	b.planner.options.MaxRecordBytes = 10 * jobBytes
	b.takeLeadership(1, 0)
	quiet := testJob("quiet", step(1, 1))
	quiet.Record.Queue = "quiet"
	b.event(JobsRead{Jobs: []JobRow{quiet}})
	var ids []croft.JobID
	for i := range 12 {
		id := croft.JobID(fmt.Sprint(i))
		s := step(8, 1)
		s.Estimate = 0
		b.event(JobsRead{Jobs: []JobRow{testJob(id, s)}})
		ids = append(ids, id)
	}
	loads := b.nextLoads()
	assert.Assert(t, loads.Loads["q"].Refuse)
	assert.Equal(t, loads.Loads["q"].Wait, recordsRetryAfter)
	assert.Assert(t, !loads.Loads["quiet"].Refuse, "it has no job without open tasks")
	assert.Assert(t, loads.Shared)
	assert.Assert(t, loads.RecordBytes > b.planner.options.MaxRecordBytes)
	b.confirm(b.event(JobsCancelled{IDs: ids[4:]}))
	loads = b.nextLoads()
	assert.Assert(t, !loads.Loads["q"].Refuse)
}

// Guards against scheduled jobs, which are decoded and not parked until they are due, and escape the limit.
func TestScheduledJobsCountAsRecords(t *testing.T) {
	b := newLimitedBench(t, 1000)
	b.takeLeadership(1, 0)
	row := testJob("s", step(1, 1))
	row.Record.Spec.Repeats, row.Record.Spec.Interval, row.Record.Spec.First = 2, croft.Hour, croft.Millis(1)<<50
	row.Record.Spec.Steps[0].Requires = strings.Repeat("r", 5000)
	b.event(JobsRead{Jobs: []JobRow{row}})
	assert.Equal(t, len(b.planner.jobs["s"].stages), 0)
	assert.Assert(t, b.nextLoads().RecordBytes > 5000+jobBytes)
}
