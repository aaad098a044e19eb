package model

import (
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// taskLaw is what is known of one task for the laws.
type taskLaw struct {
	done, doneNoted bool
	failed          int
	failedNoted     int
	// ends are the runs that ended done, and overtaken those of them after which another began.
	ends      []int
	overtaken []int
	// working says that an endless task is at work, idle since when it is not.
	working bool
	idle    croft.Millis
	// taken says that an order ended the task and it is not back at work.
	taken bool
}

// noticeSpan is how long an endless task must be idle to count as away.
const noticeSpan = 4500 * croft.Millis(1)

func (t *tracked) law(id croft.TaskID) *taskLaw {
	law, ok := t.tasks[id]
	if !ok {
		law = &taskLaw{}
		t.tasks[id] = law
	}
	return law
}

// checkStart checks a start that an executor carries out; it reports whether the run exists at all.
func (w *World) checkStart(x *executor, r *running, o croft.RunOrder) bool {
	t, ok := w.jobs[o.Task.Job]
	if !ok || o.Task.Step >= len(t.record.Spec.Steps) || o.Payload != t.record.Spec.Payload {
		w.broken("UNASKED", "%s is started", o.Task)
		return false
	}
	if t.first == 0 {
		t.first = w.now
		w.report.Waits = append(w.report.Waits, int64(w.now-t.posted))
	}
	step := t.record.Spec.Steps[o.Task.Step]
	r.needs = step.Needs
	if t.cancelled != 0 && w.now > t.cancelled+cancelSpan+plannerLease {
		w.broken("UNASKED", "%s is started %d ms after its job was cancelled", o.Task, w.now-t.cancelled)
	}
	if !x.used().Plus(r.needs).Fits(room()) {
		w.broken("LIMIT", "%s takes %s over its room", o.Task, x.id)
	}
	w.checkTwice(t, r, o)
	w.checkOrder(t, o)
	w.checkRoute(t, x, step, o)
	return true
}

func (w *World) checkTwice(t *tracked, r *running, o croft.RunOrder) {
	twice := t.record.Spec.Steps[o.Task.Step].Duplicates
	for _, other := range w.executors {
		if other.dead {
			continue
		}
		if old := other.runs[r.task]; old != nil && !twice {
			w.broken("TWICE", "%s run %d is started while run %d is on %s", o.Task, o.Run, old.number, other.id)
		}
	}
	law := t.law(o.Task)
	if law.doneNoted && !twice {
		w.broken("TWICE", "%s run %d is started after it was done", o.Task, o.Run)
	}
	if !twice {
		law.overtaken = slices.Clone(law.ends)
	}
	if law.failedNoted >= t.record.MostAttempts && !t.record.Spec.Steps[o.Task.Step].Endless {
		w.broken("BUDGET", "%s run %d is started after %d failures", o.Task, o.Run, law.failedNoted)
	}
}

func (w *World) checkOrder(t *tracked, o croft.RunOrder) {
	for _, before := range t.record.Spec.Steps[o.Task.Step].After {
		for i := range t.record.Spec.Steps[before].Count {
			id := croft.TaskID{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: before, Index: i}
			if !t.law(id).done {
				w.broken("ORDER", "%s is started before %s is done", o.Task, id)
				return
			}
		}
	}
	if due := t.record.Spec.First + croft.Millis(o.Task.Occurrence)*t.record.Spec.Interval; t.record.Spec.Repeats > 0 && epochWall+w.now < due {
		w.broken("ORDER", "%s is started before its time", o.Task)
	}
}

func (w *World) checkRoute(t *tracked, x *executor, step croft.Step, o croft.RunOrder) {
	if x.vm.pool != t.record.Pool {
		w.broken("ROUTE", "%s is started in pool %s", o.Task, x.vm.pool)
	}
	if step.MostPerWorker == 0 {
		return
	}
	n := 0
	for id := range x.runs {
		if id.Job == o.Task.Job && id.Occurrence == o.Task.Occurrence && id.Step == o.Task.Step {
			n++
		}
	}
	if n >= step.MostPerWorker {
		w.broken("ROUTE", "%s is started beside %d of its step on %s", o.Task, n, x.id)
	}
}

// present notes that an endless task is at work.
func (w *World) present(x *executor, r *running) {
	if x.dead || x.runs[r.task] != r || r.ending {
		return
	}
	law := w.jobs[r.task.Job].law(r.task)
	law.working, law.taken = true, false
}

// away notes that a run is gone with its executor.
func (w *World) away(id croft.TaskID) {
	if t, ok := w.jobs[id.Job]; ok {
		t.law(id).stopWorking(w.now)
	}
}

func (l *taskLaw) stopWorking(now croft.Millis) {
	if l.working {
		l.idle = now
	}
	l.working = false
}

// tookEnd notes an end.
func (w *World) tookEnd(x *executor, r *running, how croft.EndKind) {
	t, ok := w.jobs[r.task.Job]
	if !ok {
		return
	}
	law := t.law(r.task)
	law.stopWorking(w.now)
	switch how {
	case croft.EndDone:
		law.done = true
		law.ends = append(law.ends, r.number)
	case croft.EndFailed:
		law.failed++
	case croft.EndAlone:
		if !w.options.Faults && t.cancelled == 0 {
			w.broken("GANG", "%s run %d waited alone on %s", r.task, r.number, x.id)
		}
	}
}

// noted notes that the leader let an executor forget an end.
func (w *World) noted(x *executor, end croft.EndedRun) {
	t, ok := w.jobs[end.Task.Job]
	if !ok {
		return
	}
	law := t.law(end.Task)
	switch end.How {
	case croft.EndDone:
		law.doneNoted = true
		// A lease that lapsed between the end and the note allows another start.
		if slices.Contains(law.overtaken, end.Run) && x.lapsed < x.endedAt[end.Number] {
			w.broken("TWICE", "%s was started again after run %d, which was done and noted", end.Task, end.Run)
			law.overtaken = nil
		}
	case croft.EndFailed:
		law.failedNoted++
	}
}

// checkTaken checks that an order may take an endless task away.
func (w *World) checkTaken(id croft.TaskID, what string) {
	t, ok := w.jobs[id.Job]
	if !ok || t.cancelled != 0 {
		return
	}
	step := t.record.Spec.Steps[id.Step]
	law := t.law(id)
	if step.MayMiss == 0 || !law.working || w.late || w.onDraining(id) {
		// The platform does not judge an order that was held up, and its sender may be long gone.
		return
	}
	away := 0
	for i := range step.Count {
		other := croft.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: i}
		if l := t.law(other); i != id.Index && (l.taken || (!l.working && w.now-l.idle >= noticeSpan)) {
			away++
		}
	}
	if away >= step.MayMiss {
		w.broken("AVAIL", "%s ends %s with %d others away", what, id, away)
	}
	law.taken = true
}

func (w *World) onDraining(id croft.TaskID) bool {
	for _, x := range w.executors {
		if !x.dead && x.runs[id] != nil {
			return x.draining
		}
	}
	return false
}

// checkWaveBound checks that a maintenance may begin.
func (w *World) checkWaveBound(v *vm) {
	away := 0
	for _, other := range w.vms {
		if other != v && other.state == croft.FleetMaintenance {
			away++
		}
	}
	if away >= w.wave.MaxUnavailable {
		w.broken("LIMIT", "%s is maintained beside %d others", v.id, away)
	}
}

// show checks a state that callers are shown from now on.
func (t *tracked) show(w *World, status jobs.Status) {
	if t.status.Final() && status != t.status {
		w.broken("MIXED", "%s is shown as %s after %s", t.id, status, t.status)
	}
	if t.status == status {
		return
	}
	t.status = status
	switch status {
	case jobs.Done:
		t.checkDone(w)
		w.report.Durations = append(w.report.Durations, int64(w.now-t.posted))
		if w.now-t.posted <= t.objective() {
			w.report.OnTime++
		} else {
			w.report.Late++
		}
	case jobs.Failed:
		w.report.Failed++
		worst := 0
		for _, law := range t.tasks {
			worst = max(worst, law.failed)
		}
		if worst < t.record.MostAttempts {
			w.broken("LOST", "%s is shown as failed after %d failures", t.id, worst)
		}
	}
}

func (t *tracked) checkDone(w *World) {
	for occurrence := range max(t.record.Spec.Repeats, 1) {
		for number, step := range t.record.Spec.Steps {
			for i := range step.Count {
				id := croft.TaskID{Job: t.id, Occurrence: occurrence, Step: number, Index: i}
				if !t.law(id).done && !step.Gang {
					w.broken("MIXED", "%s is shown as done without %s", t.id, id)
					return
				}
			}
		}
	}
}

func (t *tracked) objective() croft.Millis {
	chain := croft.Millis(0)
	for _, s := range t.record.Spec.Steps {
		chain += s.Estimate
	}
	return croft.Millis(t.record.Stretch*float64(chain)) + t.record.Latency
}

// debugEnd sees the world at the end in tests that trace a seed.
var debugEnd func(*World)

// checkEnd checks, after a quiet time, that nothing was lost.
func (w *World) checkEnd() {
	if debugEnd != nil {
		debugEnd(w)
	}
	for _, t := range w.sortedJobs() {
		switch {
		case !t.stored || t.cancelled != 0 || t.status.Final():
		case t.record.Spec.Steps[0].Endless:
			w.checkEndless(t)
		default:
			w.broken("LOST", "%s is %s at the end", t.id, t.status)
		}
	}
	if w.wave.Number == 0 {
		return
	}
	for _, v := range w.vms {
		if slices.Contains(w.wave.VMs, v.id) && v.state == croft.FleetUp && !v.maintained[w.wave.Number] {
			w.broken("WAVE", "%s was not maintained", v.id)
		}
	}
}

func (w *World) checkEndless(t *tracked) {
	for i := range t.record.Spec.Steps[0].Count {
		id := croft.TaskID{Job: t.id, Index: i}
		there := false
		for _, x := range w.executors {
			there = there || (!x.dead && x.runs[id] != nil)
		}
		if !there {
			w.broken("LOST", "%s does not run at the end", id)
		}
	}
}
