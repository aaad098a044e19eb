package sched

import (
	"cmp"
	"fmt"
	"slices"

	"waxwing.example/croft"
)

// preempt stops runs of short tasks to make capacity for an endless task, on the worker that needs the fewest stops.
func (p *Planner) preempt(po *pool, s *stage, index int) {
	needs := s.needs()
	var best []*run
	for _, w := range po.workers {
		if !p.schedulable(w) || !p.admitsTask(w, s, index) {
			continue
		}
		victims, stopping := p.preemptionVictims(w, needs)
		if stopping {
			return
		}
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, r := range best {
		p.stopRun(r, fmt.Sprintf("preempted: endless task %s needs its capacity", s.id(index)))
	}
}

// preemptionVictims returns the most recently started runs of short tasks whose end frees enough capacity on a worker,
// or nil if even the end of all of them does not. If runs that are already being stopped free enough, it returns nil and
// stopping is true.
func (p *Planner) preemptionVictims(w *worker, needs croft.Resources) (victims []*run, stopping bool) {
	var shortRuns []*run
	free := w.Room.Minus(w.used)
	freeAfter := free
	for _, r := range sortedRuns(w) {
		if r.phase == phaseStopping {
			freeAfter = freeAfter.Plus(r.needs())
		} else if !r.stage.spec.Endless {
			shortRuns = append(shortRuns, r)
		}
	}
	if needs.Fits(freeAfter) {
		return nil, true
	}
	slices.SortStableFunc(shortRuns, func(a, b *run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	for i, r := range shortRuns {
		freeAfter = freeAfter.Plus(r.needs())
		if needs.Fits(freeAfter) {
			return shortRuns[:i+1], false
		}
	}
	return nil, false
}

// evacuate stops endless tasks on workers that are draining or reserved, so that they start elsewhere.
func (p *Planner) evacuate() {
	for _, po := range p.sortedPools {
		for _, w := range po.workers {
			if w.verified && (w.isDraining() || w.reserved) {
				p.evacuateWorker(po, w)
			}
		}
	}
}

// evacuateWorker stops the endless tasks of one worker: all of them if it is draining, else as many as mayEvict allows.
func (p *Planner) evacuateWorker(po *pool, w *worker) {
	for _, r := range sortedRuns(w) {
		s := r.stage
		if !s.spec.Endless || r.phase != phaseActive || s.tasks[r.index].run != r {
			continue
		}
		if !w.isDraining() && !p.mayEvict(r) {
			continue
		}
		if (p.chooseWorker(po, s, r.index) == nil || !p.mayReplace(s)) && (w.isDraining() || p.now.Elapsed-w.reservedAt < shortTaskGrace) {
			// Wait for capacity elsewhere, but on a reserved worker only for shortTaskGrace: a step with a task on each
			// VM of the pool never gets any, and its task stays unavailable as long as the VM.
			continue
		}
		s.tasks[r.index].evicted, r.evacuated = true, true
		p.stopRun(r, "its executor is being emptied")
	}
}

// sortedRuns returns the runs of a worker sorted by task, to make decisions reproducible.
func sortedRuns(w *worker) []*run {
	return filterRuns(w, func(*run) bool { return true })
}

// filterRuns returns the runs of a worker that match, sorted by task.
func filterRuns(w *worker, match func(*run) bool) []*run {
	var out []*run
	for _, r := range w.runs {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.stage.job.id, b.stage.job.id), cmp.Compare(a.stage.occurrence, b.stage.occurrence), cmp.Compare(a.stage.step, b.stage.step), cmp.Compare(a.index, b.index))
	})
	return out
}

// mayEvict reports whether an endless task may be stopped now: fewer than MayMiss others of its step may be
// unavailable. One that is not known to serve counts as unavailable, also if only the last list of its executor lacks it.
func (p *Planner) mayEvict(r *run) bool {
	s := r.stage
	if s.spec.MayMiss == 0 {
		return true
	}
	unavailable := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if i == r.index || t.done {
			continue
		}
		if t.evicted || t.run == nil || t.run.uncertainUntil != 0 || t.run.phase != phaseActive || t.run.percent < servingPercent || !t.run.worker.verified || !t.run.isListed() {
			unavailable++
		}
	}
	return unavailable < s.spec.MayMiss
}
