package sched

import (
	"cmp"
	"fmt"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

const (
	// largeJobTasks is the number of tasks that a job may hold open from which on it counts as large.
	largeJobTasks = 1000
	// largeJobDivisor bounds that number, and largeJobsShare what large jobs hold open together, in relation to Options.MaxTasks.
	largeJobDivisor, largeJobsShare = 4, 2
	// maxStalled is how long an open job that has not found capacity may keep others of its class parked. It is long for the wait
	// for capacity in ordinary operation; a job that no executor can run, for a label that none has, would keep them parked for ever.
	maxStalled = 10 * croft.Second
	// parkLogInterval bounds the log lines about parked jobs.
	parkLogInterval = croft.Second
)

// parkedJob is what remains in memory of a job that waits to be opened, besides its ID and its queue.
type parkedJob struct {
	// packed is the encoded record, compressed if it is large.
	packed []byte
	// work is what its tasks need times how long they are expected to take, in milliseconds.
	work croft.Resources
}

// taskClass has the jobs of one class of size, which are opened in the order of their turns.
type taskClass struct {
	// open counts the tasks of occurrences that are opened and not released.
	open   int
	parked []*job
}

// openTasks is what the planner keeps of tasks, by class of their jobs.
type openTasks struct {
	small, large taskClass
	// recordBytes is the memory of the records of jobs without open tasks, and recordsFull whether it was too much, when the loads were
	// last published.
	recordBytes int
	recordsFull bool
	// parked and opened count the jobs since the last log line, which may be followed by another at nextLog.
	parked, opened int
	nextLog        croft.Millis
}

func (o *openTasks) total() int { return o.small.open + o.large.open }

func (o *openTasks) parkedJobs() int { return len(o.small.parked) + len(o.large.parked) }

// classOf returns the class of a job.
func (p *Planner) classOf(j *job) *taskClass {
	if j.large {
		return &p.open.large
	}
	return &p.open.small
}

// isLarge reports whether a job may hold so many tasks open that it counts as large.
func (p *Planner) isLarge(j *job) bool {
	tasks := j.occurrenceTasks() * min(j.openLimit(), j.occurrences())
	return p.options.MaxTasks > 0 && tasks >= max(min(largeJobTasks, p.options.MaxTasks/largeJobDivisor), 1)
}

// occurrenceTasks returns the number of tasks of each occurrence.
func (j *job) occurrenceTasks() int {
	tasks := 0
	for i := range j.record.Spec.Steps {
		tasks += j.record.Spec.Steps[i].Count
	}
	return tasks
}

// hasRoom reports whether an occurrence of a job may be opened within the limits. One job of each class may always be open, so that
// neither class waits for the other.
func (p *Planner) hasRoom(j *job) bool {
	class, tasks := p.classOf(j), j.occurrenceTasks()
	if class.open == 0 {
		return true
	}
	if j.large && class.open+tasks > p.options.MaxTasks/largeJobsShare {
		return false
	}
	return p.open.total()+tasks <= p.options.MaxTasks
}

// mayOpen reports whether the next occurrence of a job may be opened, and parks the job if it may not and runs nowhere. A job that may
// run somewhere always has an open occurrence.
func (p *Planner) mayOpen(j *job) bool {
	switch {
	case p.options.MaxTasks == 0:
		return true
	case j.parked != nil:
		return false
	case j.announced && j.openOccurrences() == 0:
		return true
	case len(p.classOf(j).parked) == 0 && p.hasRoom(j):
		return true
	}
	if j.openOccurrences() == 0 {
		p.park(j)
	}
	return false
}

// park keeps only the encoded record of a job until there is room for its tasks.
func (p *Planner) park(j *job) {
	p.pack(j, jobs.EncodeRecord(j.record))
	p.queueParked(j)
}

// pack replaces the record of a job by its encoded form. One step is left, which has the number of the job's tasks and whether the job
// is endless.
func (p *Planner) pack(j *job, encoded []byte) {
	summary := croft.Step{Count: j.occurrenceTasks(), Endless: j.endless()}
	j.parked = &parkedJob{packed: encoded, work: p.workOfSpec(j)}
	j.record.Spec.Steps, j.record.Spec.Payload = []croft.Step{summary}, ""
}

// unpacked returns the whole record of a job that is packed.
func (j *job) unpacked() jobs.Record {
	record, err := jobs.DecodeRecord(j.parked.packed)
	if err != nil {
		// Not reached: the record was encoded by park or has been decoded before.
		panic(err)
	}
	return record
}

// queueParked adds a job that is packed to those that wait to be opened.
func (p *Planner) queueParked(j *job) {
	class := p.classOf(j)
	at, _ := slices.BinarySearchFunc(class.parked, j, compareTurns)
	class.parked = slices.Insert(class.parked, at, j)
	p.open.parked++
}

// compareTurns orders jobs by when they were accepted, or last closed.
func compareTurns(a, b *job) int {
	return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.record.Accepted, b.record.Accepted), cmp.Compare(a.id, b.id))
}

// workOfSpec returns the work of one occurrence of a job.
func (p *Planner) workOfSpec(j *job) croft.Resources {
	var work croft.Resources
	for i := range j.record.Spec.Steps {
		s := &stage{job: j, spec: &j.record.Spec.Steps[i]}
		work = work.Plus(scaleResources(s.needs(), int64(s.spec.Count)*int64(p.expectedDuration(s)), 1))
	}
	return work
}

// parkedWork returns the work of a job that is parked, nothing for others.
func (j *job) parkedWork() croft.Resources {
	if j.parked == nil {
		return croft.Resources{}
	}
	return j.parked.work
}

// parkedStageWork returns the work of a parked job as that of a stage of which no task is ready.
func (p *Planner) parkedStageWork(j *job) stageWork {
	return stageWork{rank: p.rankStage(&stage{job: j, spec: &croft.Step{}, openedAt: p.now.Elapsed}), total: j.parked.work}
}

// unpark decodes the record of a job that is parked; the caller opens its first occurrence.
func (p *Planner) unpark(j *job) {
	if j.parked == nil {
		return
	}
	j.record = j.unpacked()
	p.leaveParked(j)
	p.open.opened++
}

// leaveParked removes a job from the parked ones.
func (p *Planner) leaveParked(j *job) {
	if j.parked == nil {
		return
	}
	j.parked = nil
	class := p.classOf(j)
	class.parked = slices.DeleteFunc(class.parked, func(other *job) bool { return other == j })
}

// openArrivals opens the occurrences of new jobs: first those that may run somewhere, then the others in the order of their acceptance.
func (p *Planner) openArrivals(added []*job) {
	arrived := slices.Clone(added)
	slices.SortStableFunc(arrived, func(a, b *job) int {
		if a.announced != b.announced {
			if a.announced {
				return -1
			}
			return 1
		}
		return compareTurns(a, b)
	})
	for _, j := range arrived {
		p.openArrival(j)
	}
}

// openArrival opens the occurrences of a new job. One that is packed and does not fit waits as it is.
func (p *Planner) openArrival(j *job) {
	if j.parked != nil {
		if len(p.classOf(j).parked) > 0 || !p.hasRoom(j) {
			p.queueParked(j)
			return
		}
		j.record, j.parked = j.unpacked(), nil
	}
	p.openJobOccurrences(j)
}

// openParked opens the parked jobs for which there is room, in the order of their turns.
func (p *Planner) openParked() {
	for _, class := range []*taskClass{&p.open.small, &p.open.large} {
		if len(class.parked) == 0 {
			continue
		}
		if !p.hasRoom(class.parked[0]) && p.sweeping {
			p.closeStalled(class)
		}
		for len(class.parked) > 0 && p.hasRoom(class.parked[0]) {
			j := class.parked[0]
			p.openNextOccurrence(j)
			p.openJobOccurrences(j)
		}
	}
	p.logParked()
}

// closeStalled parks the first job of a class that has been open for maxStalled and found no capacity, so that the others get their
// turns.
func (p *Planner) closeStalled(class *taskClass) {
	var first *job
	for _, po := range p.sortedPools {
		for _, j := range po.jobs {
			if p.classOf(j) == class && p.isStalled(j) && (first == nil || compareTurns(j, first) < 0) {
				first = j
			}
		}
	}
	if first == nil {
		return
	}
	class.open -= tasksOf(first.stages)
	first.stages, first.openedOccurrences, first.turn = nil, 0, p.now.Elapsed
	p.park(first)
}

// isStalled reports whether a job has been open for maxStalled, has found no capacity and no reservation, and has nothing to store or to be
// answered.
func (p *Planner) isStalled(j *job) bool {
	if j.announced || j.ended || j.parked != nil || j.sequence > 0 || len(j.stages) == 0 || j.openOccurrences() < j.openedOccurrences {
		return false
	}
	if r := p.pool(j.record.Pool).backfill.reservation; r != nil && r.stage.job == j {
		return false
	}
	return p.now.Elapsed-j.stages[0].openedAt >= maxStalled && !slices.ContainsFunc(j.stages, func(s *stage) bool { return s.advice != nil || s.liveRuns > 0 })
}

// tasksOf returns the number of tasks of stages.
func tasksOf(stages []*stage) int {
	tasks := 0
	for _, s := range stages {
		tasks += len(s.tasks)
	}
	return tasks
}

// logParked logs how many jobs were parked and opened, at most once in each parkLogInterval.
func (p *Planner) logParked() {
	o := &p.open
	if o.parked+o.opened == 0 || p.now.Elapsed < o.nextLog {
		return
	}
	state := fmt.Sprintf("%d small and %d large ones wait; %d tasks of small and %d of large jobs are open, %d are allowed",
		len(o.small.parked), len(o.large.parked), o.small.open, o.large.open, p.options.MaxTasks)
	if o.parked > 0 {
		p.log("Park", "planner", fmt.Sprint(o.parked), "jobs wait until tasks of others are released: "+state)
	}
	if o.opened > 0 {
		p.log("Unpark", "planner", fmt.Sprint(o.opened), "parked jobs were opened: "+state)
	}
	o.parked, o.opened, o.nextLog = 0, 0, p.now.Elapsed+parkLogInterval
}

// describeParked says that a job is parked, for debugging.
func (p *Planner) describeParked(j *job) string {
	if j.parked == nil {
		return ""
	}
	return fmt.Sprintf(", parked as number %d of its class: %d tasks of %d are open", slices.Index(p.classOf(j).parked, j)+1, p.open.total(), p.options.MaxTasks)
}
