package sched

import (
	"errors"
	"fmt"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// stopRetryInterval is the time after which an unanswered stop is sent again.
const stopRetryInterval = 700 * croft.Millis(1)

// newRunOrder returns an order about a run with the fields that every order needs.
func (p *Planner) newRunOrder(w *worker, id croft.TaskID, number int) croft.RunOrder {
	return croft.RunOrder{Worker: w.ID, Address: w.Address, Task: id, Run: number, Fence: w.fence}
}

// startRun adds a run of a task with this run number and sends its start.
func (p *Planner) startRun(s *stage, index int, w *worker, number int) {
	t := &s.tasks[index]
	t.runNumber = number
	r := &run{stage: s, index: index, number: number, worker: w, fence: w.fence, startedAt: p.now.Elapsed, progressedAt: p.now.Elapsed, pace: fullPace}
	id := s.id(index)
	r.startedAsSuspect = t.suspect
	t.run, t.unlistedEnd = r, false
	p.addRun(r)
	p.recordStartInReservation(r)
	order := p.newRunOrder(w, id, number)
	order.Payload, order.Checkpoint, order.Until = s.job.record.Spec.Payload, t.checkpoint, p.grantLease(w)
	if got, ok := p.permitFor(s, w); ok {
		order.Ticket = got.ticket
	}
	p.window.inFlight++
	p.emit(Start{Order: order, Sent: p.now.Elapsed})
}

// markJobBegan records that an executor has begun a task of a job; until then the job counts as waiting.
func (p *Planner) markJobBegan(j *job, w *worker) {
	if j.began || j.ended {
		return
	}
	j.began = true
	j.progress.Status = jobs.Running
	p.log("Begin", string(j.id), string(w.ID), fmt.Sprintf("first task began %d ms after the submission", p.now.Elapsed-j.receivedAt))
	p.markDirty(j)
}

// stopRun stops a run, unless it is being stopped already, and with it its gang, which is not complete any more.
func (p *Planner) stopRun(r *run, reason string) {
	if r.phase == phaseStopping {
		return
	}
	p.log("Stop", r.stage.id(r.index).String(), string(r.worker.ID), fmt.Sprintf("run %d: %s", r.number, reason))
	r.phase = phaseStopping
	r.worker.stoppingRuns++
	r.verifiableFrom = 0
	p.sendStop(r)
	if r.stage.spec.Gang && r.stage.tasks[r.index].run == r {
		p.stopGang(r.stage)
	}
}

// sendStop sends the stop of a run for the first time or again.
func (p *Planner) sendStop(r *run) {
	r.stopSentAt = p.now.Elapsed
	p.emit(Stop{Order: p.newRunOrder(r.worker, r.stage.id(r.index), r.number)})
}

// stopUnknownRun stops a run of a job that the planner does not know.
func (p *Planner) stopUnknownRun(w *worker, a croft.ActiveRun) {
	p.log("Stop", a.Task.String(), string(w.ID), fmt.Sprintf("run %d: its job has ended or is unknown", a.Run))
	p.emit(Stop{Order: p.newRunOrder(w, a.Task, a.Run)})
}

// retryStops sends unanswered stops again, and requests the lists of executors on which a run should have stopped, unless
// these lists do not have all ended runs.
func (p *Planner) retryStops() {
	for _, w := range p.sortedWorkers {
		if w.stoppingRuns == 0 || !w.verified {
			continue
		}
		for _, r := range sortedRuns(w) {
			if r.phase == phaseStopping && r.verifiableFrom != 0 && p.now.Elapsed > r.verifiableFrom && !w.checkPending && !w.endsCut {
				p.sendCheck(w)
			}
			if r.phase == phaseStopping && r.verifiableFrom == 0 && p.now.Elapsed-r.stopSentAt >= stopRetryInterval && p.mayRepeatStop(r) {
				p.sendStop(r)
			}
		}
	}
}

// Limits after which a run that makes no progress is stopped.
const (
	// stuckFactor times the mean duration of its queue's tasks, or its job's estimate if that is longer, and at least
	// minStuckDuration, is how long the progress of a task may stay unchanged.
	stuckFactor      = 4
	minStuckDuration = 4 * croft.Second
)

// isStuck reports whether a run makes no progress.
func (p *Planner) isStuck(r *run) bool {
	if r.phase != phaseActive || r.stage.job.ended || r.stage.spec.Gang || r.stage.spec.Filler || (r.stage.spec.Endless && r.percent >= servingPercent) {
		return false
	}
	unchanged := p.now.Elapsed - r.progressedAt
	return unchanged >= minStuckDuration && unchanged >= stuckFactor*max(p.expectedDuration(r.stage), r.stage.spec.Estimate)
}

// stopStuckRuns stops the runs on a worker that make no progress, so that their tasks run elsewhere.
func (p *Planner) stopStuckRuns(w *worker) {
	for _, r := range filterRuns(w, p.isStuck) {
		p.recordWorkerFailure(w)
		r.stage.tasks[r.index].avoidWorker = w.ID
		p.stopRun(r, fmt.Sprintf("no progress beyond %d %% for %d ms", r.percent, p.now.Elapsed-r.progressedAt))
	}
}

// handleStopResult records from when on a list shows whether a stopped run has ended.
func (p *Planner) handleStopResult(e Stopped) {
	w, r := p.findRun(e.Order)
	if r == nil || p.handleWorkerRefusal(w, e.Order.Fence, e.Order.Address, e.Err) || e.Err != nil || e.Order.Fence < w.fence || w.needsFence {
		return
	}
	// From now on the run cannot begin any more. Once it has had time to stop, a new list shows whether it is gone.
	r.verifiableFrom = p.now.Elapsed + p.options.Stop
	if r.startUnanswered {
		// Most likely the run never began, so the first list that is requested from now on shows that.
		r.verifiableFrom = p.now.Elapsed
		p.unresolvedStarts = append(p.unresolvedStarts, w)
	}
}

// mayRepeatStop reports whether a stop that may not have arrived may be sent again. A run that its task still needs and that serves by
// the last list is not stopped while too many other tasks of its step are unavailable; the stop of an evacuated run is never repeated
// then.
func (p *Planner) mayRepeatStop(r *run) bool {
	t := &r.stage.tasks[r.index]
	needed := t.run == r && !t.done && !r.stage.job.ended
	serves := r.evacuated || (r.isListed() && r.percent >= servingPercent)
	return !needed || !serves || r.worker.isDraining() || p.mayEvict(r)
}

// hasUnresolvedRuns reports whether runs on the worker are being stopped, or have to be unless a list shows them.
func (w *worker) hasUnresolvedRuns() bool {
	return w.stoppingRuns > 0 || !w.allRuns(func(r *run) bool { return !r.awaitsList() })
}

// awaitsList reports that the start of a run was not answered, and that a list has to show whether the run has begun before it may be
// stopped.
func (r *run) awaitsList() bool { return r.startUnanswered && r.phase == phaseStarting }

// resolveUnansweredStarts requests lists from executors on which a run with an unanswered start has been stopped; the
// lists show whether the run had begun.
func (p *Planner) resolveUnansweredStarts() {
	remaining := p.unresolvedStarts[:0]
	for _, w := range p.unresolvedStarts {
		switch {
		case !w.verified || !w.hasUnresolvedRuns():
		case w.checkPending || len(filterRuns(w, func(r *run) bool { return r.verifiableFrom == p.now.Elapsed })) > 0:
			remaining = append(remaining, w)
		default:
			p.sendCheck(w)
		}
	}
	p.unresolvedStarts = remaining
	if len(remaining) > 0 {
		p.requestWake(1)
	}
}

// findRun returns the worker and the run that an order is about, nil if they are not known any more.
func (p *Planner) findRun(order croft.RunOrder) (*worker, *run) {
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

// handleWorkerRefusal handles refusals that concern more than one run, and reports whether err is one. An order that was sent with
// a lower fencing token, or to another address, than the executor has now shows nothing about it.
func (p *Planner) handleWorkerRefusal(w *worker, fence uint64, address string, err error) bool {
	var refused *croft.RunRefusedError
	if !errors.As(err, &refused) || fence < w.fence {
		return false
	}
	switch {
	case refused.Reason == croft.RefusedFence:
		p.stepDown(fmt.Sprintf("executor %s refused fencing token %d: it has seen a higher one", w.ID, fence))
		return true
	case refused.Reason == croft.RefusedIncarnation && address == w.Address:
		p.endUnexpectedly(w, "another executor answers at its address", (*run).isAny)
		p.endLeases(w, p.now.Elapsed)
		return true
	}
	return false
}

// handleStartResult records that a run has begun, or handles the failure of its start.
func (p *Planner) handleStartResult(e Started) {
	p.recordStartAnswer(e)
	w, r := p.findRun(e.Order)
	if r == nil || p.handleWorkerRefusal(w, e.Order.Fence, e.Order.Address, e.Err) {
		return
	}
	if e.Err == nil {
		p.markJobBegan(r.stage.job, w)
		r.stage.tasks[r.index].oldNumbers = 0
		r.verifiableFrom, r.answeredAt, r.shownAt = p.now.Elapsed, p.now.Elapsed, p.now.Elapsed
		if r.phase == phaseStarting {
			r.phase = phaseActive
		}
		if e.Order.Fence == w.fence && !w.needsFence {
			p.recordAnswer(w)
			w.clockOffset, w.clockKnown = e.Clock-p.now.Elapsed, true
		}
		return
	}
	p.handleStartFailure(w, r, e.Err)
}

// Durations for which an executor gets no work after a refused start.
const (
	// noCapacityPause gives an executor without enough capacity time to finish a run.
	noCapacityPause = 200 * croft.Millis(1)
	// unhealthyPause is for an executor that reports that it is unhealthy.
	unhealthyPause = 1 * croft.Second
)

// startUnanswered is the reason for which a run is stopped whose start got no answer.
const startUnanswered = "its start was not answered"

// handleStartFailure abandons a run that was refused, and stops one whose start has an unknown outcome.
func (p *Planner) handleStartFailure(w *worker, r *run, err error) {
	id := r.stage.id(r.index).String()
	var refused *croft.RunRefusedError
	var unavailable *croft.UnavailableError
	switch {
	case errors.As(err, &refused):
		p.log("Refused", id, string(w.ID), fmt.Sprintf("run %d: %s", r.number, refused.Reason))
		switch {
		case r.fence < w.fence:
			// The start was sent to a former incarnation.
		case refused.Reason == croft.RefusedOld:
			p.replaceOldNumber(&r.stage.tasks[r.index])
		case refused.Reason == croft.RefusedTicket && r.stage.advice != nil:
			delete(r.stage.advice.permits, w.ID)
		default:
			w.quarantinedUntil = max(w.quarantinedUntil, p.now.Elapsed+noCapacityPause)
		}
		p.withdrawRun(r)
	case errors.As(err, &unavailable):
		p.log("Unhealthy", id, string(w.ID), fmt.Sprintf("run %d: %v", r.number, err))
		w.quarantinedUntil = max(w.quarantinedUntil, p.now.Elapsed+unhealthyPause)
		p.withdrawRun(r)
	default:
		p.log("Unanswered", id, string(w.ID), fmt.Sprintf("run %d: %v", r.number, err))
		if r.phase == phaseStopping || r.wasListed() {
			return
		}
		// The executor may still receive the start, unless a stop of the same run reaches it first, and extend its leases then.
		r.startUnanswered = true
		w.leasesEnd = max(w.leasesEnd, p.latestLeaseEnd())
		if !p.mayEvict(r) {
			// If the run serves already, a stop would make one task too many unavailable. A list shows whether it does.
			p.unresolvedStarts = append(p.unresolvedStarts, w)
			return
		}
		p.stopRun(r, startUnanswered)
	}
}
