package sched

import (
	"slices"

	"waxwing.example/croft"
)

// lateStart is a start without an answer of a run that lists of its executor lack. The incarnation that answered has refused the start or
// will, but a later one, which has seen neither the stop nor the fencing token, may carry it out.
type lateStart struct {
	worker *worker
	number int
	sentAt croft.Millis
}

// recordLateStart records that the start of a run that a list lacks may still be carried out.
func (p *Planner) recordLateStart(r *run) {
	if r.shownAt != 0 || r.stage.spec.Duplicates {
		return
	}
	t := &r.stage.tasks[r.index]
	t.lateStarts = append(t.lateStarts, lateStart{worker: r.worker, number: r.number, sentAt: r.startedAt})
}

// forgetLateStart records that the start of a run has been refused.
func (p *Planner) forgetLateStart(order croft.RunOrder) {
	_, s, index := p.findStage(order.Task)
	if s == nil {
		return
	}
	t := &s.tasks[index]
	t.lateStarts = slices.DeleteFunc(t.lateStarts, func(l lateStart) bool {
		return l.worker.ID == order.Worker && l.number == order.Run
	})
}

// mayBeCarriedOut reports whether an order that got no answer may still be carried out.
func (p *Planner) mayBeCarriedOut(l lateStart) bool {
	return l.sentAt >= l.worker.replacedAt && p.now.Elapsed < l.sentAt+lateOrderTime && p.workers[l.worker.ID] == l.worker
}

// currentLateStarts returns the starts of a task that may still be carried out.
func (p *Planner) currentLateStarts(t *task) []lateStart {
	if len(t.lateStarts) > 0 {
		t.lateStarts = slices.DeleteFunc(t.lateStarts, func(l lateStart) bool { return !p.mayBeCarriedOut(l) })
	}
	return t.lateStarts
}

// awaitsLateStart reports whether a task may have begun in an incarnation that has not answered yet.
func (p *Planner) awaitsLateStart(t *task) bool {
	return slices.ContainsFunc(p.currentLateStarts(t), func(l lateStart) bool { return !l.worker.verified })
}

// mayBeginOn reports whether a start of a task may still be carried out by a worker.
func (p *Planner) mayBeginOn(t *task, w *worker) bool {
	return slices.ContainsFunc(p.currentLateStarts(t), func(l lateStart) bool { return l.worker == w })
}
