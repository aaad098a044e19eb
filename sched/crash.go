package sched

import (
	"fmt"
	"slices"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Limits for tasks that may crash the executors that start them.
const (
	// survivalTime is how long an executor must go on after a start for its end not to be put down to that start.
	survivalTime = 100 * croft.Millis(1)
	// crashSpread is how long after the last start that an executor received another one may have been sent.
	crashSpread = 20 * croft.Millis(1)
	// maxCrashes is on how many VMs executors may go down just after starts of a task, one after another, before the task is
	// given up: one VM whose executor goes down again and again says nothing about the task. The platform allows two more starts then, which leaves room for crashes that a lost leader has not stored.
	maxCrashes = 3
	// minCrashes replaces it for tasks that a former leader may have started, which may have crashed more executors than is
	// stored.
	minCrashes = 2
	// sameVMPause is how long a task that is not endless is kept from the VMs whose executors went down just after its starts,
	// unless it has survived another start since.
	sameVMPause = 5 * croft.Second
)

// isSuspect reports whether the last start of a task may have crashed its executor.
func (t *task) isSuspect() bool { return t.suspect || t.copied }

// recordAnswer records that an executor has just answered, and clears the suspects that it has survived.
func (p *Planner) recordAnswer(w *worker) {
	w.aliveAt = p.now.Elapsed
	if w.clearedUntil > p.now.Elapsed {
		p.pool(w.Pool).changed = true
	}
	remaining := w.suspects[:0]
	for _, r := range w.suspects {
		if !r.survived() {
			remaining = append(remaining, r)
			continue
		}
		r.stage.tasks[r.index].copied = false
		p.setSuspicion(r.stage, r.index, false, 0)
		p.pool(w.Pool).changed = true
	}
	w.suspects = remaining
}

// beganLongBefore reports whether a run is known to have begun survivalTime before an instant.
func (r *run) beganLongBefore(at croft.Millis) bool {
	return r.answeredAt != 0 && at >= r.answeredAt+survivalTime
}

// survived reports whether the executor of a run is known to have gone on for survivalTime after the run began.
func (r *run) survived() bool { return r.beganLongBefore(r.worker.aliveAt) }

// mayHaveCrashed reports whether the executor of a run may have gone down because of the run's start, as far as the times of
// its last answers tell. An unanswered start counts only on an executor that had answered just before.
func (r *run) mayHaveCrashed() bool {
	alive := r.worker.aliveAt
	if r.answeredAt == 0 {
		return alive >= r.startedAt-survivalTime && alive < r.startedAt+survivalTime
	}
	return !r.survived()
}

// crashSuspects returns the runs on an executor because of which it may have gone down. Of the unanswered starts only the
// first ones count: the executor was down already when the others were sent.
func (p *Planner) crashSuspects(w *worker) []*run {
	suspects := filterRuns(w, (*run).mayHaveCrashed)
	firstUnanswered := p.now.Elapsed
	for _, r := range suspects {
		if r.answeredAt == 0 {
			firstUnanswered = min(firstUnanswered, r.startedAt)
		}
	}
	return slices.DeleteFunc(suspects, func(r *run) bool { return r.answeredAt == 0 && r.startedAt > firstUnanswered+crashSpread })
}

// checkSuspects requests the lists of the executors that may have survived the start of a suspect, or all starts before it.
func (p *Planner) checkSuspects() {
	mayHaveSurvived := func(r *run) bool { return r.beganLongBefore(p.now.Elapsed) }
	for _, w := range p.sortedWorkers {
		if !w.verified || w.checkPending {
			continue
		}
		cleared := w.clearedUntil > p.now.Elapsed && !w.allRuns((*run).survived) && w.allRuns(mayHaveSurvived)
		if cleared || slices.ContainsFunc(w.suspects, mayHaveSurvived) {
			p.sendCheck(w)
		}
	}
}

// mayCopy reports whether a task may run a second time because the executor of its run does not answer. If the run may be
// the reason, that takes a task without any suspicion so far.
func mayCopy(r *run) bool {
	t := &r.stage.tasks[r.index]
	return r.survived() || (!t.isSuspect() && t.liveRuns == 1)
}

// mayStartBeside reports whether a task may be started on a worker as far as crashes are concerned: a suspect starts where
// every other run has survived its start, and nothing else starts until its executor has survived it, so that a crash shows
// which task is the reason. The members of a gang start together.
func (p *Planner) mayStartBeside(w *worker, s *stage, index int) bool {
	t := &s.tasks[index]
	if len(w.suspects) > 0 {
		return false
	}
	if !t.suspect {
		return w.clearedUntil <= p.now.Elapsed
	}
	if !s.spec.Endless && p.now.Elapsed < t.sameVMFrom && slices.Contains(t.crashedOn, p.vmOf(w)) {
		return false
	}
	return s.job.storedSequence >= t.suspicionSequence && (s.spec.Gang || w.allRuns((*run).survived))
}

// allRuns reports whether all runs of an executor match.
func (w *worker) allRuns(match func(*run) bool) bool {
	for _, r := range w.runs {
		if !match(r) {
			return false
		}
	}
	return true
}

// Limits of the executors on which nothing starts while a suspect waits to start there alone.
const (
	// clearingTime is enough for the last starts to be survived, and for most short tasks to end.
	clearingTime = 2 * croft.Second
	// clearedDivisor limits them to one in three of a pool.
	clearedDivisor = 3
)

// clearWorker keeps new work from the executor of a pool with the least work, if the pool has few such executors, so that a
// suspect can start there alone.
func (p *Planner) clearWorker(po *pool, s *stage) {
	var best *worker
	cleared := 0
	for _, w := range po.workers {
		if w.clearedUntil > p.now.Elapsed {
			cleared++
			continue
		}
		eligible := p.schedulable(w) && len(w.suspects) == 0 && s.needs().Fits(w.Room) && p.satisfiesConstraints(w, s) && p.isPermitted(s, w)
		if eligible && (best == nil || w.used.MilliCores < best.used.MilliCores) {
			best = w
		}
	}
	if best != nil && cleared < max(len(po.workers)/clearedDivisor, 1) {
		best.clearedUntil = p.now.Elapsed + clearingTime
	}
}

// endUnexpectedly ends the incarnation of an executor that no order and no shutdown of its own ended, as far as is known, and
// counts that for the tasks that had just been started on it.
func (p *Planner) endUnexpectedly(w *worker, reason string, hasEnded func(*run) bool) {
	if !w.ended && !w.vmOrdered && !w.Draining {
		suspects := p.crashSuspects(w)
		p.logCrash(w, suspects)
		for _, r := range suspects {
			r.crashSuspect = true
		}
	}
	p.endIncarnation(w, reason, hasEnded)
}

// recordSuspect lists a run of a suspect task that is kept from new work beside it until its executor has survived it.
func (r *run) recordSuspect() {
	if w := r.worker; r.stage.tasks[r.index].isSuspect() && !slices.Contains(w.suspects, r) {
		w.suspects = append(w.suspects, r)
		w.clearedUntil = 0
	}
}

// recordCrash records that an executor went down just after a run was started on it, and ends the task's job after too many. An
// endless task waits with a growing pause instead: its end would take the job's other tasks out of service, which are sound. A task that was a suspect before counts only if it was started as one, apart from others; an unanswered start may never have
// arrived, and an adopted run may have begun long before.
func (p *Planner) recordCrash(r *run) {
	t := &r.stage.tasks[r.index]
	if t.done || r.stage.job.ended || (t.suspect && !r.startedAsSuspect) {
		return
	}
	t.copied = false
	crashes := t.crashes
	vm := p.vmOf(r.worker)
	if repeated := slices.Contains(t.crashedOn, vm); r.answeredAt != 0 && !r.adopted && (!repeated || r.stage.spec.Endless) {
		crashes++
		t.crashedOn = append(t.crashedOn, vm)
	}
	t.sameVMFrom = p.now.Elapsed + sameVMPause
	p.setSuspicion(r.stage, r.index, true, crashes)
	if r.stage.spec.Endless {
		if crashes > 1 {
			pause := restartPause(crashes, maxCrashPause)
			t.startFrom = p.now.Elapsed + pause
			p.log("Pause", r.stage.id(r.index).String(), string(r.worker.ID), fmt.Sprintf("%d executors went down just after its starts; it is started again in %d ms", crashes, pause))
		}
		return
	}
	if crashes >= crashLimit(r.stage.job) {
		p.endJob(r.stage.job, jobs.Failed, fmt.Sprintf("task %s has crashed %d executors, the last one %s", r.stage.id(r.index), crashes, r.worker.ID))
	}
}

// giveUpInheritedSuspects ends the inherited jobs of a pool with a waiting task that has crashed too many executors under
// former leaders.
func (p *Planner) giveUpInheritedSuspects(po *pool) {
	var hopeless []*job
	for _, j := range po.jobs {
		if j.inherited && len(j.progress.Crashed) > 0 && j.waitingCrasher() != "" {
			hopeless = append(hopeless, j)
		}
	}
	for _, j := range hopeless {
		p.endJob(j, jobs.Failed, fmt.Sprintf("task %s had crashed too many executors under former leaders", j.waitingCrasher()))
	}
}

// waitingCrasher returns the name of a waiting task that has crashed too many executors, or nothing.
func (j *job) waitingCrasher() string {
	for _, s := range j.stages {
		for _, index := range s.waiting {
			if !s.spec.Endless && s.tasks[index].crashes >= crashLimit(j) {
				return s.id(index).String()
			}
		}
	}
	return ""
}

// crashLimit returns the number of crashes after which a task of a job is given up.
func crashLimit(j *job) int {
	if j.inherited {
		return minCrashes
	}
	return maxCrashes
}

// setSuspicion sets whether a task is a suspect and how many executors it has crashed, and queues that to be stored.
func (p *Planner) setSuspicion(s *stage, index int, suspect bool, crashes int) {
	t := &s.tasks[index]
	if (t.suspect == suspect && t.crashes == crashes) || s.job.ended || (suspect && t.done) {
		return
	}
	t.suspect, t.crashes = suspect, crashes
	if !suspect {
		t.crashedOn = nil
	}
	name := jobs.TaskName(s.occurrence, s.step, index)
	if s.job.progress.Crashed == nil {
		s.job.progress.Crashed = map[string]int{}
	}
	if s.job.progress.Crashed[name] = crashes; !suspect {
		delete(s.job.progress.Crashed, name)
	}
	p.markDirty(s.job)
	t.suspicionSequence = s.job.sequence
}

// logCrash logs the runs because of which their executor may have gone down.
func (p *Planner) logCrash(w *worker, suspects []*run) {
	if len(suspects) == 0 {
		return
	}
	var names []string
	for _, r := range suspects[:min(len(suspects), maxLoggedRuns)] {
		names = append(names, fmt.Sprintf("%s run %d", r.stage.id(r.index), r.number))
	}
	p.log("Crash", string(w.ID), "", fmt.Sprintf("%d of its %d runs had just been started: %s", len(suspects), len(w.runs), strings.Join(names, ", ")))
}

// maxLoggedRuns bounds the runs that one log line names.
const maxLoggedRuns = 8
