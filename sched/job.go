package sched

import (
	"fmt"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// job is the planner's state of a job until its end is stored and none of its runs is left.
type job struct {
	id croft.JobID
	// part is the partition of the store that holds the job's rows.
	part   string
	record jobs.Record
	// inherited reports that a former leader may have started tasks of the job.
	inherited bool
	progress  jobs.Progress
	// stages has the stages of the occurrences that are opened and not released, by occurrence and then by step.
	stages []*stage
	// criticalPath has, for each step, the estimated length of the longest chain of dependent steps that starts with it.
	criticalPath []croft.Millis
	// parked is what remains of the record while the job waits to be opened, nil otherwise.
	parked *parkedJob
	// large is the class of the job's size, and turn its place among the parked jobs of this class.
	large bool
	turn  croft.Millis
	// liveRuns counts the runs that may still be active on executors.
	liveRuns int
	// openedOccurrences counts the occurrences that have been opened, remainingOccurrences those that are not finished.
	openedOccurrences    int
	remainingOccurrences int
	// finishedOccurrences has the change that ended each occurrence which is finished and not released.
	finishedOccurrences map[int]uint64
	// announced reports that the state to store allows starts of the job's tasks, and announcementStored that this state
	// is stored. No task starts before that, so a successor knows that a job without a stored announcement runs nowhere.
	announced, announcementStored bool
	// announcedAt is when this planner announced the job.
	announcedAt croft.Millis
	// began reports that an executor has begun a task, and waitRowDeleted that the job's row in WaitTable is deleted.
	began, waitRowDeleted bool
	// ended reports that the job has its final status, which may not be stored yet.
	ended bool
	// organisation owns the job, nil if none does, and excess reports that the job is beyond the rate of its contract.
	organisation *organisation
	excess       bool
	// receivedAt is when this planner first read the job, by the monotonic clock. For a job that was stored before the term
	// it is when an entry accepted the job, by the wall clock.
	receivedAt croft.Millis
	// deadline is receivedAt plus the objective; the job is late after it.
	deadline croft.Millis

	// version is the version of the job's state row in the store.
	version uint64
	// sequence counts the changes of the job's state.
	sequence uint64
	// storedSequence is the last change that is known to be stored.
	storedSequence uint64
	// unconfirmedWrites are values of commits without a known outcome; any of them may be in the store.
	unconfirmedWrites []unconfirmedWrite
	// dirty reports that the job waits for a commit of its partition, and writtenAlone that this commit has no other job's state.
	dirty, writtenAlone bool
	// refusals counts the commits of this job alone that were refused for what they contain, and writeFrom is when the next one
	// may be sent.
	refusals  int
	writeFrom croft.Millis
}

// unconfirmedWrite is a state that was sent to the store and not confirmed yet.
type unconfirmedWrite struct {
	value     []byte
	sequence  uint64
	announced bool
}

// stage is one step of one occurrence of a job.
type stage struct {
	job        *job
	occurrence int
	step       int
	spec       *croft.Step
	tasks      []task
	// waiting has the indexes of the tasks to start, in the order in which they start.
	waiting []int
	// open reports that all predecessor steps are done.
	open bool
	// remainingTasks counts the tasks that are not done.
	remainingTasks int
	// openedAt is when the last predecessor step was done.
	openedAt croft.Millis
	// runsByWorker counts the stage's runs on each worker, and liveRuns all of them.
	runsByWorker map[croft.WorkerID]int
	liveRuns     int
	advice       *advice
	// adviceRequired reports whether starts need a permit of the advice service, as of the last placement pass.
	adviceRequired bool
	// startLogged reports that the first start of the stage was logged.
	startLogged bool
	// capped reports that the last placement pass left tasks waiting for the cap of their organisation, and lastCapped when a pass
	// last did.
	capped     bool
	lastCapped croft.Millis
	// awaitsCap reports that the stage is logged as waiting for the cap, since cappedSince.
	awaitsCap   bool
	cappedSince croft.Millis
	heldBack    heldBack
}

// task is one task of a stage.
type task struct {
	// The flags come first, so that they share a word: a leader holds some 100,000 tasks.

	done bool
	// suspect reports that the executor of the last start may have gone down because of it.
	suspect bool
	// copied reports that the task was started again although its run may have crashed the executor, which does not answer.
	copied bool
	// unlistedEnd reports that the last run, which may be a former leader's, ended without being listed: a successor of this
	// leader may know how it ended.
	unlistedEnd bool
	// evicted reports that the planner stopped the task to empty its executor and that it does not serve again yet.
	evicted bool
	// runNumber is the highest run number in use.
	runNumber int
	// oldNumbers counts the last run numbers in a row that executors refused as old.
	oldNumbers int
	// failures counts the failed runs.
	failures int
	// crashes counts the executors that went down just after they had begun the task, since one last survived that.
	crashes int
	// startFrom is when the task may be started again after it may have crashed executors, has ended just after its starts, or had
	// run numbers refused.
	startFrom croft.Millis
	// briefRuns counts the last runs of an endless task in a row that ended by themselves within the time briefRun.
	briefRuns int
	// crashedOn are the VMs of these executors, which the task is kept from until sameVMFrom.
	crashedOn  []croft.VMID
	sameVMFrom croft.Millis
	// suspicionSequence is the change of the job that contains suspect and crashes. The task is started again only once that is stored.
	suspicionSequence uint64
	checkpoint        string
	// run is the run that is expected to finish the task; nil if there is none.
	run *run
	// liveRuns counts the runs that may still be active on executors, including run.
	liveRuns int
	// avoidWorker is the worker on which the last run failed.
	avoidWorker croft.WorkerID
}

func (s *stage) id(index int) croft.TaskID {
	return croft.TaskID{Job: s.job.id, Occurrence: s.occurrence, Step: s.step, Index: index}
}

// handleJobsRead adds the jobs that are neither known nor ended.
func (p *Planner) handleJobsRead(e JobsRead) {
	var added []*job
	for _, row := range e.Jobs {
		if _, ok := p.jobs[row.ID]; ok || row.Progress.Status.Final() {
			continue
		}
		if _, ended := p.tombstones[row.ID]; ended {
			continue
		}
		j, err := p.addEncodedJob(row, e.Whole)
		if err != nil {
			p.log("Unreadable", string(row.ID), "", err.Error())
			continue
		}
		added = append(added, j)
	}
	p.openArrivals(added)
	p.countArrivals(added)
	if e.Whole {
		p.jobsLoaded = true
		p.log("Takeover", "planner", p.options.Holder, "all stored jobs have been read")
	}
}

// addEncodedJob decodes the record of a row, if necessary, and adds the job. One that has not begun is left encoded until openArrivals
// opens it, so that a new leader does not hold the records of all stored jobs at once.
func (p *Planner) addEncodedJob(row JobRow, inherited bool) (*job, error) {
	if row.Encoded == nil {
		return p.addJob(row, inherited), nil
	}
	var err error
	if row.Record, err = jobs.DecodeRecord(row.Encoded); err != nil {
		return nil, err
	}
	j := p.addJob(row, inherited)
	if p.options.MaxTasks > 0 && !j.announced {
		p.pack(j, row.Encoded)
	}
	return j, nil
}

// addJob adds a stored job, which openArrivals opens; inherited reports that it was stored before this term.
func (p *Planner) addJob(row JobRow, inherited bool) *job {
	j := &job{
		id: row.ID, part: row.Part, record: row.Record, progress: row.Progress,
		receivedAt: p.now.Elapsed, version: row.Version,
		began: row.Progress.Status == jobs.Running,
	}
	if j.progress.Organisation == "" {
		j.progress.Organisation = row.Record.Organisation
	}
	j.organisation = p.sharing.organisation(row.Record.Organisation)
	j.announced = row.Progress.Announced || j.began
	j.announcementStored = j.announced
	j.inherited = inherited && j.announced
	// The monotonic clock of the entry that accepted the job is not known here, so its age is taken from the wall clock.
	if age := p.now.Wall - row.Record.Accepted; age > 0 && inherited {
		j.receivedAt -= age
	}
	j.remainingOccurrences, j.large, j.turn = j.occurrences(), p.isLarge(j), j.receivedAt
	j.criticalPath = criticalPaths(row.Record.Spec.Steps)
	j.deadline = j.receivedAt + j.objective()
	p.jobs[row.ID] = j
	po := p.pool(row.Record.Pool)
	po.jobs = append(po.jobs, j)
	return j
}

// criticalPaths returns, for each step, the sum of estimates along the longest chain of dependent steps from it.
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

// objective returns the time within which the job counts as on time: its critical path, stretched, plus a latency.
func (j *job) objective() croft.Millis {
	return objective(j.record.Stretch, j.record.Latency, longestPath(j.criticalPath))
}

// longestPath returns the length of the longest of the paths that criticalPaths returns.
func longestPath(criticalPaths []croft.Millis) croft.Millis {
	if len(criticalPaths) == 0 {
		return 0
	}
	return slices.Max(criticalPaths)
}

// objective returns the objective of a job by the parameters of its queue.
func objective(stretch float64, latency, criticalPath croft.Millis) croft.Millis {
	return croft.Millis(stretch*float64(criticalPath)) + latency
}

// openReadyStages opens the stages whose predecessors are done and queues their tasks.
func (p *Planner) openReadyStages(j *job, occurrence int) {
	for i := range j.record.Spec.Steps {
		s := j.stage(occurrence, i)
		if s.open || s.remainingTasks == 0 || !j.predecessorsDone(s) {
			continue
		}
		s.open, s.openedAt = true, p.now.Elapsed
		s.waiting = slices.Grow(s.waiting, s.remainingTasks)
		for index := range s.tasks {
			t := &s.tasks[index]
			if !t.done && t.run == nil {
				s.waiting = append(s.waiting, index)
				p.pool(j.record.Pool).changed = true
			}
		}
	}
}

// predecessorsDone reports whether all steps that must precede a stage are done.
func (j *job) predecessorsDone(s *stage) bool {
	for _, predecessor := range s.spec.After {
		if j.stage(s.occurrence, predecessor).remainingTasks > 0 {
			return false
		}
	}
	return true
}

// endJob gives a job its final status, which is all that is stored of it from then on, and stops its runs.
func (p *Planner) endJob(j *job, status jobs.Status, reason string) {
	if j.ended {
		return
	}
	j.ended = true
	j.progress = jobs.Progress{Status: status, Organisation: j.progress.Organisation}
	p.log("End", string(j.id), string(status), reason)
	p.leaveParked(j)
	for _, s := range j.stages {
		s.waiting = nil
		for index := range s.tasks {
			if r := s.tasks[index].run; r != nil {
				p.stopRun(r, "the job ended")
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

// cancelJobs ends jobs that their callers cancelled; their state rows already have the status Canceled. A job that is
// not known gets a tombstone, in case a read that began before the cancellation returns it.
func (p *Planner) cancelJobs(ids []croft.JobID) {
	for _, id := range ids {
		if j, ok := p.jobs[id]; ok {
			p.endJob(j, jobs.Canceled, "the caller cancelled the job")
			continue
		}
		p.tombstones[id] = p.now.Elapsed
	}
}

// markTaskDone records a task as done and opens what depends on it.
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
	taskName := jobs.TaskName(s.occurrence, s.step, index)
	delete(s.job.progress.Failed, taskName)
	delete(s.job.progress.Crashed, taskName)
	p.markDirty(s.job)
	if s.remainingTasks == 0 {
		p.openReadyStages(s.job, s.occurrence)
		p.finishOccurrenceIfDone(s.job, s.occurrence)
	}
}

// recordTaskFailure counts a failed run of a task that is not done, each run number once, and ends the job when the task
// reaches its queue's limit of attempts.
func (p *Planner) recordTaskFailure(s *stage, index, number int, worker croft.WorkerID) {
	t := &s.tasks[index]
	t.avoidWorker = worker
	if s.spec.Endless || t.done {
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
		p.endJob(s.job, jobs.Failed, fmt.Sprintf("task %s failed %d times; its queue allows %d attempts", s.id(index), t.failures, limit))
	}
}

// tombstoneTTL is how long ended jobs are remembered, longer than any read of the store takes.
const tombstoneTTL = 30 * croft.Second

// expireTombstones drops tombstones that are older than tombstoneTTL.
func (p *Planner) expireTombstones() {
	for id, at := range p.tombstones {
		if p.now.Elapsed-at > tombstoneTTL {
			delete(p.tombstones, id)
		}
	}
}

// dequeue removes a task from the waiting tasks of its stage.
func (s *stage) dequeue(index int) {
	s.waiting = slices.DeleteFunc(s.waiting, func(i int) bool { return i == index })
}

// requeue makes a task wait for another run, unless it has one or needs none, and stops the remaining runs of its gang.
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

// stopGang stops the runs of a gang that is not complete: its members cannot finish without each other, and would
// wait until they time out.
func (p *Planner) stopGang(s *stage) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			p.stopRun(r, "another member of its gang is not running")
		}
	}
}
