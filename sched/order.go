package sched

import (
	"errors"
	"fmt"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// stopRepeat is the pause before a stop whose end is not listed is sent again.
const stopRepeat = 700 * croft.Millis(1)

func (p *Planner) runOrder(w *worker, id croft.TaskID, number int) croft.RunOrder {
	return croft.RunOrder{Worker: w.ID, Address: w.Address, Task: id, Run: number, Fence: p.fence}
}

// startRun orders the next run of a task.
func (p *Planner) startRun(s *stage, index int, w *worker, number int) {
	t := &s.tasks[index]
	t.number = number
	r := &run{stage: s, index: index, number: number, worker: w, began: p.now.Elapsed, moved: p.now.Elapsed, pace: fullPace}
	id := s.id(index)
	t.run = r
	p.add(r)
	order := p.runOrder(w, id, number)
	order.Payload, order.Checkpoint, order.Until = s.job.record.Spec.Payload, t.checkpoint, p.until(w)
	if got, ok := p.permitFor(s, w); ok {
		order.Ticket = got.ticket
	}
	p.do(Start{Order: order})
}

// jobBegan notes that an executor has begun a task of a job; until then the job counts as waiting.
func (p *Planner) jobBegan(j *job, w *worker) {
	if j.began || j.ended {
		return
	}
	j.began = true
	j.progress.Status = jobs.Running
	p.log("Begin", string(j.id), string(w.ID), fmt.Sprintf("first task after %d ms", p.now.Elapsed-j.came))
	p.touch(j)
}

// stopRun orders the end of a run.
func (p *Planner) stopRun(r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	p.log("Stop", r.stage.id(r.index).String(), string(r.worker.ID), fmt.Sprintf("run %d: %s", r.number, reason))
	r.phase = phaseStopping
	r.worker.stopping++
	r.known = 0
	p.sendStop(r)
}

func (p *Planner) sendStop(r *run) {
	r.stopped = p.now.Elapsed
	p.do(Stop{Order: p.runOrder(r.worker, r.stage.id(r.index), r.number)})
}

// stopUnknown ends a run whose job has ended.
func (p *Planner) stopUnknown(w *worker, a croft.ActiveRun) {
	p.log("Stop", a.Task.String(), string(w.ID), fmt.Sprintf("run %d: its job is not known any more", a.Run))
	p.do(Stop{Order: p.runOrder(w, a.Task, a.Run)})
}

// repeatStops sends stops again that got no answer, and looks for runs that should have stopped.
func (p *Planner) repeatStops() {
	for _, w := range p.workerOrder {
		if w.stopping == 0 || !w.verified {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.phase == phaseStopping && r.known != 0 && p.now.Elapsed > r.known && !w.checking {
				p.check(w)
			}
			if r.phase == phaseStopping && r.known == 0 && p.now.Elapsed-r.stopped >= stopRepeat && p.mayStillStop(r) {
				p.sendStop(r)
			}
		}
	}
}

// Spans after which a run that makes no progress is given up.
const (
	// stuckFactor times the mean duration of its queue's tasks, and at least stuckSpan, is how long
	// the percentage of a task may stand still.
	stuckFactor = 4
	stuckSpan   = 4 * croft.Second
)

// isStuck reports whether a run stands still.
func (p *Planner) isStuck(r *run) bool {
	if r.phase != phaseActive || r.stage.job.ended || r.stage.spec.Gang || r.stage.spec.Filler || (r.stage.spec.Endless && r.percent >= atWork) {
		return false
	}
	still := p.now.Elapsed - r.moved
	return still >= stuckSpan && still >= stuckFactor*p.duration(r.stage)
}

// stopStuck ends runs that stand still, so that they run elsewhere.
func (p *Planner) stopStuck(w *worker) {
	for _, r := range runsThat(w, p.isStuck) {
		p.countFailure(w)
		r.stage.tasks[r.index].avoid = w.ID
		p.stopRun(r, fmt.Sprintf("it stands at %d %% since %d ms", r.percent, p.now.Elapsed-r.moved))
	}
}

func (p *Planner) takeStopped(e Stopped) {
	w, r := p.runOf(e.Order)
	if r == nil || p.refusedForAll(w, e.Err) || e.Err != nil {
		return
	}
	// From here on the run cannot begin any more; a list asked for after it has stopped tells
	// whether it is gone.
	r.known = p.now.Elapsed + p.options.Stop
	if r.unanswered {
		// Most likely it never began: the first list that is asked for from now on tells.
		r.known = p.now.Elapsed
		p.unsettled = append(p.unsettled, w)
	}
}

// mayStillStop reports whether a stop that may not have arrived may be sent again: other tasks of its
// step may have gone since it was decided on.
func (p *Planner) mayStillStop(r *run) bool {
	return !r.evacuated || r.worker.Draining || p.mayTake(r)
}

// settleStarts asks executors whether starts that got no answer have begun.
func (p *Planner) settleStarts() {
	left := p.unsettled[:0]
	for _, w := range p.unsettled {
		switch {
		case !w.verified || w.stopping == 0:
		case w.checking || len(runsThat(w, func(r *run) bool { return r.known == p.now.Elapsed })) > 0:
			left = append(left, w)
		default:
			p.check(w)
		}
	}
	p.unsettled = left
	if len(left) > 0 {
		p.wake(1)
	}
}

func (p *Planner) runOf(order croft.RunOrder) (*worker, *run) {
	w, ok := p.workers[order.Worker]
	if !ok {
		return nil, nil
	}
	r := w.runs[order.Task]
	if r == nil || r.number != order.Run {
		return w, nil
	}
	return w, r
}

// refusedForAll handles refusals that concern more than one run.
func (p *Planner) refusedForAll(w *worker, err error) bool {
	var refused *croft.RunRefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Reason {
	case croft.RefusedFence:
		p.stepDown("an executor has seen a higher fencing token")
		return true
	case croft.RefusedIncarnation:
		p.endIncarnation(w, "another executor answers at its address")
		return true
	}
	return false
}

func (p *Planner) takeStarted(e Started) {
	w, r := p.runOf(e.Order)
	if r == nil || p.refusedForAll(w, e.Err) {
		return
	}
	if e.Err == nil {
		p.jobBegan(r.stage.job, w)
		r.known = p.now.Elapsed
		if r.phase == phaseStarting {
			r.phase = phaseActive
		}
		w.ahead, w.clockKnown = e.Clock-p.now.Elapsed, true
		return
	}
	p.startFailed(w, r, e.Err)
}

// Pauses after a refused start.
const (
	// roomWait lets an executor without room finish something.
	roomWait = 200 * croft.Millis(1)
	// sickWait keeps work from an executor that says that it is unhealthy.
	sickWait = 1 * croft.Second
)

func (p *Planner) startFailed(w *worker, r *run, err error) {
	id := r.stage.id(r.index).String()
	var refused *croft.RunRefusedError
	var unavailable *croft.UnavailableError
	switch {
	case errors.As(err, &refused):
		p.log("Refused", id, string(w.ID), fmt.Sprintf("run %d: %s", r.number, refused.Reason))
		if refused.Reason == croft.RefusedTicket && r.stage.advice != nil {
			delete(r.stage.advice.permits, w.ID)
		} else {
			w.quarantined = max(w.quarantined, p.now.Elapsed+roomWait)
		}
		p.giveUp(r)
	case errors.As(err, &unavailable):
		p.log("Unhealthy", id, string(w.ID), fmt.Sprintf("run %d: %v", r.number, err))
		w.quarantined = max(w.quarantined, p.now.Elapsed+sickWait)
		p.giveUp(r)
	default:
		p.log("Unanswered", id, string(w.ID), fmt.Sprintf("run %d: %v", r.number, err))
		if r.phase == phaseStopping {
			return
		}
		// The order may be carried out later, unless a stop for the same run gets there.
		r.unanswered = true
		p.stopRun(r, "its start got no answer")
	}
}
