package sched

import (
	"cmp"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Limits of the occurrences of one job that are open at a time: the state of an open occurrence is in memory and in a row of
// the store.
const (
	// maxOpenTasks limits the tasks of open occurrences, unless a single occurrence has more. It is the limit of the tasks of
	// an occurrence, so that a schedule takes no more memory than a job without one.
	maxOpenTasks = 10_000
	// maxOpenOccurrences limits the occurrences that have few tasks.
	maxOpenOccurrences = 256
)

func (j *job) occurrences() int { return max(j.record.Spec.Repeats, 1) }

// openLimit returns how many occurrences of the job may be open at a time.
func (j *job) openLimit() int {
	tasks := 0
	for _, s := range j.record.Spec.Steps {
		tasks += s.Count
	}
	return min(max(maxOpenTasks/max(tasks, 1), 1), maxOpenOccurrences)
}

// openOccurrences returns how many occurrences are opened and not released.
func (j *job) openOccurrences() int { return len(j.stages) / max(len(j.record.Spec.Steps), 1) }

// stageRange returns the bounds in j.stages of the stages of an occurrence, which are equal if it is not open.
func (j *job) stageRange(occurrence int) (from, to int) {
	from, found := slices.BinarySearchFunc(j.stages, occurrence, func(s *stage, number int) int { return cmp.Compare(s.occurrence, number) })
	if !found {
		return from, from
	}
	return from, from + len(j.record.Spec.Steps)
}

// stage returns the stage of a step of an occurrence, or nil if the occurrence is not open.
func (j *job) stage(occurrence, step int) *stage {
	from, to := j.stageRange(occurrence)
	if step < 0 || step >= to-from {
		return nil
	}
	return j.stages[from+step]
}

// isDue reports whether the start time of an occurrence has come.
func (p *Planner) isDue(j *job, occurrence int) bool {
	spec := &j.record.Spec
	return spec.Repeats == 0 || p.now.Wall >= spec.First+croft.Millis(occurrence)*spec.Interval
}

// openDueOccurrences opens the occurrences of all jobs whose start time has come.
func (p *Planner) openDueOccurrences() {
	var scheduled []*job
	for _, po := range p.sortedPools {
		for _, j := range po.jobs {
			if j.openedOccurrences < j.occurrences() {
				scheduled = append(scheduled, j)
			}
		}
	}
	for _, j := range scheduled {
		p.openJobOccurrences(j)
	}
}

// openJobOccurrences opens the occurrences of a job whose start time has come, as many as may be open at a time. The others
// follow once earlier ones are released.
func (p *Planner) openJobOccurrences(j *job) {
	limit := j.openLimit()
	for !j.ended && j.openedOccurrences < j.occurrences() && j.openOccurrences() < limit && p.isDue(j, j.openedOccurrences) && p.mayOpen(j) {
		p.openNextOccurrence(j)
	}
}

// openNextOccurrence creates the stages of the first occurrence that has not been opened, with the stored progress of their
// tasks. It creates none for an occurrence that is stored as finished.
func (p *Planner) openNextOccurrence(j *job) {
	p.unpark(j)
	occurrence := j.openedOccurrences
	j.openedOccurrences++
	if j.isStoredAsFinished(occurrence) {
		j.progress = j.progress.WithFinished(occurrence)
		p.countFinishedOccurrence(j)
		return
	}
	for i := range j.record.Spec.Steps {
		j.stages = append(j.stages, p.newStage(j, occurrence, i))
	}
	p.classOf(j).open += j.occurrenceTasks()
	p.openReadyStages(j, occurrence)
}

// isStoredAsFinished reports whether the stored progress has an occurrence as finished, or all tasks of it as done. Former versions
// stored that of endless tasks too.
func (j *job) isStoredAsFinished(occurrence int) bool {
	if j.endless() {
		return false
	}
	if j.progress.IsFinished(occurrence) {
		return true
	}
	for i := range j.record.Spec.Steps {
		done := j.progress.Done[jobs.StageName(occurrence, i)]
		for index := range j.record.Spec.Steps[i].Count {
			if !jobs.HasBit(done, index) {
				return false
			}
		}
	}
	return true
}

// newStage returns a stage with the stored progress of its tasks.
func (p *Planner) newStage(j *job, occurrence, step int) *stage {
	s := &stage{job: j, occurrence: occurrence, step: step, spec: &j.record.Spec.Steps[step]}
	s.tasks = make([]task, s.spec.Count)
	s.remainingTasks = s.spec.Count
	name := jobs.StageName(occurrence, step)
	finished := j.progress.IsFinished(occurrence)
	for index := range s.tasks {
		t := &s.tasks[index]
		t.runNumber, t.unlistedEnd = p.initialRunNumber(j), j.inherited
		t.done = !s.spec.Endless && (finished || jobs.HasBit(j.progress.Done[name], index))
		taskName := jobs.TaskName(occurrence, step, index)
		t.crashes, t.suspect = j.progress.Crashed[taskName]
		if failed := j.progress.Failed[taskName]; len(failed) > 0 {
			t.failures = len(failed)
			t.runNumber = max(t.runNumber, slices.Max(failed))
		}
		if t.done {
			s.remainingTasks--
		}
	}
	return s
}

// finishOccurrenceIfDone counts an occurrence as finished once all its tasks are done.
func (p *Planner) finishOccurrenceIfDone(j *job, occurrence int) {
	if j.ended {
		return
	}
	from, to := j.stageRange(occurrence)
	for _, s := range j.stages[from:to] {
		if s.remainingTasks > 0 {
			return
		}
	}
	if j.finishedOccurrences == nil {
		j.finishedOccurrences = map[int]uint64{}
	}
	j.finishedOccurrences[occurrence] = j.sequence
	j.progress = j.progress.WithFinished(occurrence)
	p.countFinishedOccurrence(j)
}

// countFinishedOccurrence ends the job with its last occurrence.
func (p *Planner) countFinishedOccurrence(j *job) {
	j.remainingOccurrences--
	if j.remainingOccurrences == 0 {
		p.endJob(j, jobs.Done, "all tasks are done")
	}
}

// releaseOccurrences drops the stages of the finished occurrences whose end is stored and that have no runs left.
func (p *Planner) releaseOccurrences(j *job) {
	for occurrence, sequence := range j.finishedOccurrences {
		from, to := j.stageRange(occurrence)
		hasRuns := slices.ContainsFunc(j.stages[from:to], func(s *stage) bool { return s.liveRuns > 0 })
		if sequence <= j.storedSequence && !hasRuns {
			delete(j.finishedOccurrences, occurrence)
			p.classOf(j).open -= tasksOf(j.stages[from:to])
			j.stages = slices.Concat(j.stages[:from], j.stages[to:])
		}
	}
}

// openLateOccurrences opens the occurrences up to one of which an executor has runs: a former leader, whose clock may be ahead,
// has opened them.
func (p *Planner) openLateOccurrences(j *job, occurrence int) {
	if j.ended || occurrence >= j.occurrences() || occurrence >= j.openedOccurrences+j.openLimit() {
		return
	}
	for j.openedOccurrences <= occurrence {
		p.openNextOccurrence(j)
	}
}

// openStoredOccurrences opens the occurrences up to the last one of which a former leader has stored progress, but for those that
// it has stored as finished.
func (p *Planner) openStoredOccurrences(j *job, progress jobs.Progress) {
	for !j.ended && j.openedOccurrences < min(progress.Occurrences(), j.occurrences()) {
		if progress.IsFinished(j.openedOccurrences) {
			j.progress = j.progress.WithFinished(j.openedOccurrences)
		}
		p.openNextOccurrence(j)
	}
}
