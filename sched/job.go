package sched

import (
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// job is a job that has not ended, or whose end is not stored yet.
type job struct {
	id     croft.JobID
	part   string
	record jobs.Record
	// inherited says that a former leader may have started tasks of it.
	inherited bool
	progress  jobs.Progress
	// stages has the steps of each occurrence that is open, in order.
	stages []*stage
	// criticalPath is the longest chain of work from each step to the end, by the caller's estimates.
	criticalPath []croft.Millis
	// liveRuns counts the runs that executors may still have.
	liveRuns             int
	openedOccurrences    int
	remainingOccurrences int
	// announced says that tasks may be started once that is stored, and permitted that it is. A
	// successor so knows that a job which is not announced runs nowhere.
	announced, announcementStored bool
	// began says that a task has been started, and cleared that the row in WaitTable has gone.
	began, waitRowDeleted bool
	ended                 bool
	// receivedAt is when this planner learned of the job, by the steady clock.
	receivedAt croft.Millis
	// deadline is when the job is late.
	deadline croft.Millis

	version  uint64
	sequence uint64
	// storedSequence is the sequence up to which the store knows.
	storedSequence uint64
	// unconfirmedWrites are values that an unanswered commit may still write.
	unconfirmedWrites []unconfirmedWrite
	dirty             bool
}

type unconfirmedWrite struct {
	value     []byte
	sequence  uint64
	announced bool
}

// stage is a step of one occurrence.
type stage struct {
	job        *job
	occurrence int
	step       int
	spec       *croft.Step
	tasks      []task
	// waiting are the tasks to start, in this order.
	waiting        []int
	open           bool
	remainingTasks int
	// openedAt is when the stage's turn came.
	openedAt croft.Millis
	// runsByWorker counts the stage's runs on each worker.
	runsByWorker map[croft.WorkerID]int
	advice       *advice
	// adviceRequired says that the queue needs advice, as of the last pass over the pool.
	adviceRequired bool
	// startLogged says that the log has the stage's first start.
	startLogged bool
}

// task is one task of a stage.
type task struct {
	done bool
	// runNumber is the highest run that is known.
	runNumber  int
	failures   int
	checkpoint string
	run        *run
	// liveRuns counts the runs that executors may still have, the one above among them.
	liveRuns int
	// avoidWorker is the worker on which the last run failed.
	avoidWorker croft.WorkerID
	// evicted says that an order of ours took the task away and it is not back at work.
	evicted bool
}

func (s *stage) id(index int) croft.TaskID {
	return croft.TaskID{Job: s.job.id, Occurrence: s.occurrence, Step: s.step, Index: index}
}

func (j *job) occurrences() int { return max(j.record.Spec.Repeats, 1) }

// handleJobsRead adds jobs that are new here.
func (p *Planner) handleJobsRead(e JobsRead) {
	for _, row := range e.Jobs {
		if _, ok := p.jobs[row.ID]; ok || row.Progress.Status.Final() {
			continue
		}
		if _, over := p.tombstones[row.ID]; over {
			continue
		}
		p.addJob(row, e.Whole)
	}
	if e.Whole {
		p.jobsLoaded = true
		p.log("Takeover", "planner", p.options.Holder, "all stored jobs are read")
	}
}

func (p *Planner) addJob(row JobRow, inherited bool) {
	j := &job{
		id: row.ID, part: row.Part, record: row.Record, progress: row.Progress,
		receivedAt: p.now.Elapsed, version: row.Version,
		began: row.Progress.Status == jobs.Running,
	}
	j.announced = row.Progress.Announced || j.began
	j.announcementStored = j.announced
	j.inherited = inherited && j.announced
	// A job of before is dated by the wall clock of the entry that took it.
	if age := p.now.Wall - row.Record.Accepted; age > 0 && inherited {
		j.receivedAt -= age
	}
	j.remainingOccurrences = j.occurrences()
	j.criticalPath = criticalPaths(row.Record.Spec.Steps)
	j.deadline = j.receivedAt + j.objective()
	p.jobs[row.ID] = j
	po := p.pool(row.Record.Pool)
	po.jobs = append(po.jobs, j)
	p.openJobOccurrences(j)
}

// criticalPaths returns the longest chain of estimates that begins with each step.
func criticalPaths(steps []croft.Step) []croft.Millis {
	lengths := make([]croft.Millis, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		length := lengths[i] + steps[i].Estimate
		for _, predecessor := range steps[i].After {
			if predecessor >= 0 && predecessor < i {
				lengths[predecessor] = max(lengths[predecessor], length)
			}
		}
		lengths[i] = length
	}
	return lengths
}

// objective returns the longest time in which the job is on time.
func (j *job) objective() croft.Millis {
	longest := croft.Millis(0)
	if len(j.criticalPath) > 0 {
		longest = slices.Max(j.criticalPath)
	}
	return croft.Millis(j.record.Stretch*float64(longest)) + j.record.Latency
}

// stage returns a step of an occurrence, nil where it is not open.
func (j *job) stage(occurrence, step int) *stage {
	steps := len(j.record.Spec.Steps)
	if step < 0 || step >= steps || occurrence < 0 || occurrence*steps+step >= len(j.stages) {
		return nil
	}
	return j.stages[occurrence*steps+step]
}

// openDueOccurrences begins the occurrences whose time has come.
func (p *Planner) openDueOccurrences() {
	for _, po := range p.sortedPools {
		for _, j := range po.jobs {
			if j.openedOccurrences < j.occurrences() {
				p.openJobOccurrences(j)
			}
		}
	}
}

func (p *Planner) openJobOccurrences(j *job) {
	for !j.ended && j.openedOccurrences < j.occurrences() {
		if j.record.Spec.Repeats > 0 && p.now.Wall < j.record.Spec.First+croft.Millis(j.openedOccurrences)*j.record.Spec.Interval {
			return
		}
		j.openedOccurrences++
		p.openOccurrence(j, j.openedOccurrences-1)
	}
}

func (p *Planner) openOccurrence(j *job, occurrence int) {
	for i := range j.record.Spec.Steps {
		s := &stage{job: j, occurrence: occurrence, step: i, spec: &j.record.Spec.Steps[i]}
		s.tasks = make([]task, s.spec.Count)
		s.remainingTasks = s.spec.Count
		name := jobs.StageName(occurrence, i)
		for index := range s.tasks {
			t := &s.tasks[index]
			t.runNumber = p.initialRunNumber(j)
			t.done = jobs.HasBit(j.progress.Done[name], index)
			if failed := j.progress.Failed[jobs.TaskName(occurrence, i, index)]; len(failed) > 0 {
				t.failures = len(failed)
				t.runNumber = max(t.runNumber, slices.Max(failed))
			}
			if t.done {
				s.remainingTasks--
			}
		}
		j.stages = append(j.stages, s)
	}
	p.openReadyStages(j, occurrence)
	p.finishOccurrenceIfDone(j, occurrence)
}

// runsPerTerm is how many starts of one task a leader is assumed to stay below; the numbers of a
// successor begin above those that its predecessors may have used.
const runsPerTerm = 1000

func (p *Planner) initialRunNumber(j *job) int {
	if j.inherited {
		return (p.term - 1) * runsPerTerm
	}
	return 0
}

// openReadyStages lets the stages wait whose predecessors are done.
func (p *Planner) openReadyStages(j *job, occurrence int) {
	for i := range j.record.Spec.Steps {
		s := j.stage(occurrence, i)
		if s.open || s.remainingTasks == 0 || !j.predecessorsDone(s) {
			continue
		}
		s.open, s.openedAt = true, p.now.Elapsed
		for index := range s.tasks {
			t := &s.tasks[index]
			if !t.done && t.run == nil {
				s.waiting = append(s.waiting, index)
				p.pool(j.record.Pool).changed = true
			}
		}
	}
}

func (j *job) predecessorsDone(s *stage) bool {
	for _, predecessor := range s.spec.After {
		if other := j.stage(s.occurrence, predecessor); other != nil && other.remainingTasks > 0 {
			return false
		}
	}
	return true
}

// finishOccurrenceIfDone ends the job with its last occurrence.
func (p *Planner) finishOccurrenceIfDone(j *job, occurrence int) {
	if j.ended {
		return
	}
	for i := range j.record.Spec.Steps {
		if j.stage(occurrence, i).remainingTasks > 0 {
			return
		}
	}
	j.remainingOccurrences--
	if j.remainingOccurrences == 0 {
		p.endJob(j, jobs.Done, "all tasks are done")
	}
}

// endJob gives a job its final state and stops what runs of it.
func (p *Planner) endJob(j *job, status jobs.Status, reason string) {
	if j.ended {
		return
	}
	j.ended = true
	j.progress.Status = status
	p.log("End", string(j.id), string(status), reason)
	for _, s := range j.stages {
		s.waiting = nil
		for index := range s.tasks {
			if r := s.tasks[index].run; r != nil {
				p.stopRun(r, "its job ended")
			}
		}
	}
	po := p.pool(j.record.Pool)
	po.jobs = slices.DeleteFunc(po.jobs, func(other *job) bool { return other == j })
	if status != jobs.Canceled {
		p.markDirty(j)
		return
	}
	p.deleteCancelledRows(j)
}

// cancelJobs ends jobs that their callers cancelled; the state row already says so.
func (p *Planner) cancelJobs(ids []croft.JobID) {
	for _, id := range ids {
		if j, ok := p.jobs[id]; ok {
			p.endJob(j, jobs.Canceled, "the caller cancelled it")
			continue
		}
		p.tombstones[id] = p.now.Elapsed
	}
}

// markTaskDone notes the end of a task for good.
func (p *Planner) markTaskDone(s *stage, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.remainingTasks--
	s.dequeue(index)
	name := jobs.StageName(s.occurrence, s.step)
	if s.job.progress.Done == nil {
		s.job.progress.Done = map[string][]byte{}
	}
	s.job.progress.Done[name] = jobs.WithBit(s.job.progress.Done[name], index)
	p.markDirty(s.job)
	if s.remainingTasks == 0 {
		p.openReadyStages(s.job, s.occurrence)
		p.finishOccurrenceIfDone(s.job, s.occurrence)
	}
}

// recordTaskFailure counts a failed run.
func (p *Planner) recordTaskFailure(s *stage, index, number int, worker croft.WorkerID) {
	t := &s.tasks[index]
	t.avoidWorker = worker
	if s.spec.Endless {
		return
	}
	name := jobs.TaskName(s.occurrence, s.step, index)
	failedRuns := s.job.progress.Failed[name]
	if slices.Contains(failedRuns, number) {
		return
	}
	if s.job.progress.Failed == nil {
		s.job.progress.Failed = map[string][]int{}
	}
	s.job.progress.Failed[name] = append(slices.Clone(failedRuns), number)
	t.failures++
	p.markDirty(s.job)
	if limit := s.job.record.MostAttempts; limit > 0 && t.failures >= limit {
		p.endJob(s.job, jobs.Failed, "task "+s.id(index).String()+" failed as often as its queue allows")
	}
}

// tombstoneTTL is how long an ended job is remembered; no read of the store takes so long.
const tombstoneTTL = 30 * croft.Second

// expireTombstones forgets jobs that ended long ago.
func (p *Planner) expireTombstones() {
	for id, at := range p.tombstones {
		if p.now.Elapsed-at > tombstoneTTL {
			delete(p.tombstones, id)
		}
	}
}

// dequeue takes a task from those that wait.
func (s *stage) dequeue(index int) {
	s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == index })
}

// requeue lets a task wait for another run, unless it has one.
func (p *Planner) requeue(s *stage, index int) {
	t := &s.tasks[index]
	if t.run != nil || t.done || s.job.ended || !s.open || slices.Contains(s.waiting, index) {
		return
	}
	s.waiting = append(s.waiting, index)
	p.pool(s.job.record.Pool).changed = true
	if s.spec.Gang {
		p.stopGang(s)
	}
}

// stopGang ends the other members of a gang that has lost one: they cannot finish, and would wait
// for it until they give up.
func (p *Planner) stopGang(s *stage) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			p.stopRun(r, "its gang has lost a member")
		}
	}
}
