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
	// before says that a former leader may have started tasks of it.
	before   bool
	progress jobs.Progress
	// stages has the steps of each occurrence that is open, in order.
	stages []*stage
	// tail is the longest chain of work from each step to the end, by the caller's estimates.
	tail []croft.Millis
	// runs counts the runs that executors may still have.
	runs   int
	opened int
	left   int
	// announced says that tasks may be started once that is stored, and permitted that it is. A
	// successor so knows that a job which is not announced runs nowhere.
	announced, permitted bool
	// began says that a task has been started, and cleared that the row in WaitTable has gone.
	began, cleared bool
	ended          bool
	// came is when this planner learned of the job, by the steady clock.
	came croft.Millis
	// due is when the job is late.
	due croft.Millis

	version  uint64
	sequence uint64
	// stored is the sequence up to which the store knows.
	stored uint64
	// tried are values that an unanswered commit may still write.
	tried []try
	dirty bool
}

type try struct {
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
	waiting []int
	open    bool
	left    int
	// opened is when the stage's turn came.
	opened croft.Millis
	// on counts the stage's runs on each worker.
	on     map[croft.WorkerID]int
	advice *advice
	// advised says that the queue needs advice, as of the last pass over the pool.
	advised bool
	// shown says that the log has the stage's first start.
	shown bool
}

// task is one task of a stage.
type task struct {
	done bool
	// number is the highest run that is known.
	number     int
	failures   int
	checkpoint string
	run        *run
	// runs counts the runs that executors may still have, the one above among them.
	runs int
	// avoid is the worker on which the last run failed.
	avoid croft.WorkerID
	// taken says that an order of ours took the task away and it is not back at work.
	taken bool
}

func (s *stage) id(index int) croft.TaskID {
	return croft.TaskID{Job: s.job.id, Occurrence: s.occurrence, Step: s.step, Index: index}
}

func (j *job) occurrences() int { return max(j.record.Spec.Repeats, 1) }

// takeJobs adds jobs that are new here.
func (p *Planner) takeJobs(e JobsRead) {
	for _, row := range e.Jobs {
		if _, ok := p.jobs[row.ID]; ok || row.Progress.Status.Final() {
			continue
		}
		if _, over := p.over[row.ID]; over {
			continue
		}
		p.addJob(row, e.Whole)
	}
	if e.Whole {
		p.read = true
		p.log("Takeover", "planner", p.options.Holder, "all stored jobs are read")
	}
}

func (p *Planner) addJob(row JobRow, before bool) {
	j := &job{
		id: row.ID, part: row.Part, record: row.Record, progress: row.Progress,
		came: p.now.Elapsed, version: row.Version,
		began: row.Progress.Status == jobs.Running,
	}
	j.announced = row.Progress.Announced || j.began
	j.permitted = j.announced
	j.before = before && j.announced
	// A job of before is dated by the wall clock of the entry that took it.
	if age := p.now.Wall - row.Record.Accepted; age > 0 && before {
		j.came -= age
	}
	j.left = j.occurrences()
	j.tail = tails(row.Record.Spec.Steps)
	j.due = j.came + j.objective()
	p.jobs[row.ID] = j
	po := p.pool(row.Record.Pool)
	po.jobs = append(po.jobs, j)
	p.openJob(j)
}

// tails returns the longest chain of estimates that begins with each step.
func tails(steps []croft.Step) []croft.Millis {
	after := make([]croft.Millis, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		own := after[i] + steps[i].Estimate
		for _, before := range steps[i].After {
			if before >= 0 && before < i {
				after[before] = max(after[before], own)
			}
		}
		after[i] = own
	}
	return after
}

// objective returns the longest time in which the job is on time.
func (j *job) objective() croft.Millis {
	longest := croft.Millis(0)
	if len(j.tail) > 0 {
		longest = slices.Max(j.tail)
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

// openOccurrences begins the occurrences whose time has come.
func (p *Planner) openOccurrences() {
	for _, po := range p.poolOrder {
		for _, j := range po.jobs {
			if j.opened < j.occurrences() {
				p.openJob(j)
			}
		}
	}
}

func (p *Planner) openJob(j *job) {
	for !j.ended && j.opened < j.occurrences() {
		if j.record.Spec.Repeats > 0 && p.now.Wall < j.record.Spec.First+croft.Millis(j.opened)*j.record.Spec.Interval {
			return
		}
		j.opened++
		p.openOccurrence(j, j.opened-1)
	}
}

func (p *Planner) openOccurrence(j *job, occurrence int) {
	for i := range j.record.Spec.Steps {
		s := &stage{job: j, occurrence: occurrence, step: i, spec: &j.record.Spec.Steps[i]}
		s.tasks = make([]task, s.spec.Count)
		s.left = s.spec.Count
		name := jobs.StageName(occurrence, i)
		for index := range s.tasks {
			t := &s.tasks[index]
			t.number = p.firstNumber(j)
			t.done = jobs.HasBit(j.progress.Done[name], index)
			if failed := j.progress.Failed[jobs.TaskName(occurrence, i, index)]; len(failed) > 0 {
				t.failures = len(failed)
				t.number = max(t.number, slices.Max(failed))
			}
			if t.done {
				s.left--
			}
		}
		j.stages = append(j.stages, s)
	}
	p.openStages(j, occurrence)
	p.finishOccurrence(j, occurrence)
}

// runsATerm is how many starts of one task a leader is assumed to stay below; the numbers of a
// successor begin above those that its predecessors may have used.
const runsATerm = 1000

func (p *Planner) firstNumber(j *job) int {
	if j.before {
		return (p.term - 1) * runsATerm
	}
	return 0
}

// openStages lets the stages wait whose predecessors are done.
func (p *Planner) openStages(j *job, occurrence int) {
	for i := range j.record.Spec.Steps {
		s := j.stage(occurrence, i)
		if s.open || s.left == 0 || !j.doneBefore(s) {
			continue
		}
		s.open, s.opened = true, p.now.Elapsed
		for index := range s.tasks {
			t := &s.tasks[index]
			if !t.done && t.run == nil {
				s.waiting = append(s.waiting, index)
				p.pool(j.record.Pool).changed = true
			}
		}
	}
}

func (j *job) doneBefore(s *stage) bool {
	for _, before := range s.spec.After {
		if other := j.stage(s.occurrence, before); other != nil && other.left > 0 {
			return false
		}
	}
	return true
}

// finishOccurrence ends the job with its last occurrence.
func (p *Planner) finishOccurrence(j *job, occurrence int) {
	if j.ended {
		return
	}
	for i := range j.record.Spec.Steps {
		if j.stage(occurrence, i).left > 0 {
			return
		}
	}
	j.left--
	if j.left == 0 {
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
		p.touch(j)
		return
	}
	p.clearCancelled(j)
}

// cancelJobs ends jobs that their callers cancelled; the state row already says so.
func (p *Planner) cancelJobs(ids []croft.JobID) {
	for _, id := range ids {
		if j, ok := p.jobs[id]; ok {
			p.endJob(j, jobs.Canceled, "the caller cancelled it")
			continue
		}
		p.over[id] = p.now.Elapsed
	}
}

// taskDone notes the end of a task for good.
func (p *Planner) taskDone(s *stage, index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done = true
	s.left--
	s.unqueue(index)
	name := jobs.StageName(s.occurrence, s.step)
	if s.job.progress.Done == nil {
		s.job.progress.Done = map[string][]byte{}
	}
	s.job.progress.Done[name] = jobs.WithBit(s.job.progress.Done[name], index)
	p.touch(s.job)
	if s.left == 0 {
		p.openStages(s.job, s.occurrence)
		p.finishOccurrence(s.job, s.occurrence)
	}
}

// taskFailed counts a failed run.
func (p *Planner) taskFailed(s *stage, index, number int, on croft.WorkerID) {
	t := &s.tasks[index]
	t.avoid = on
	if s.spec.Endless {
		return
	}
	name := jobs.TaskName(s.occurrence, s.step, index)
	runs := s.job.progress.Failed[name]
	if slices.Contains(runs, number) {
		return
	}
	if s.job.progress.Failed == nil {
		s.job.progress.Failed = map[string][]int{}
	}
	s.job.progress.Failed[name] = append(slices.Clone(runs), number)
	t.failures++
	p.touch(s.job)
	if most := s.job.record.MostAttempts; most > 0 && t.failures >= most {
		p.endJob(s.job, jobs.Failed, "task "+s.id(index).String()+" failed as often as its queue allows")
	}
}

// overSpan is how long an ended job is remembered; no read of the store takes so long.
const overSpan = 30 * croft.Second

// sweepOver forgets jobs that ended long ago.
func (p *Planner) sweepOver() {
	for id, at := range p.over {
		if p.now.Elapsed-at > overSpan {
			delete(p.over, id)
		}
	}
}

// unqueue takes a task from those that wait.
func (s *stage) unqueue(index int) {
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
