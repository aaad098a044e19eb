package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// Durations and pauses of holds. A hold is a long poll: it renews the lease of an executor and returns its runs.
const (
	// holdWait is how long an executor may keep a hold waiting; the platform allows at most 2 s. If an executor
	// has crashed or its answer was lost, the planner notices only after that time.
	holdWait = 1 * croft.Second
	// unstoredEndsPause is the pause before the next hold while recorded ends are not stored yet: they are not
	// acknowledged, so the hold would return at once with the same ends.
	unstoredEndsPause = 150 * croft.Millis(1)
	// holdRetryPause times the number of consecutive failed holds, at most maxHoldRetryPause, is the pause before the
	// next hold to an unreachable executor.
	holdRetryPause    = 200 * croft.Millis(1)
	maxHoldRetryPause = 1 * croft.Second
)

// sendDueHolds sends the holds that are due, to all workers or only to those in holdCandidates.
func (p *Planner) sendDueHolds(everyWorker bool) {
	if !p.jobsLoaded {
		return
	}
	candidates := p.holdCandidates
	if everyWorker {
		candidates = p.sortedWorkers
	}
	for _, w := range candidates {
		p.sendHoldIfDue(w)
	}
	p.holdCandidates = p.holdCandidates[:0]
}

// sendHoldIfDue sends a hold to a worker that has none pending, unless it is unregistered and its leases have ended. A pending hold
// to a former incarnation counts only until there is a higher fencing token, which the next renewal of the leadership brings.
func (p *Planner) sendHoldIfDue(w *worker) {
	if p.now.Elapsed < w.nextHold || w.Address == "" {
		return
	}
	if w.needsFence && p.newestFence <= w.fence || w.holdPending && !w.needsFence {
		return
	}
	if !w.verified && !w.listed && p.now.Elapsed >= w.leasesEnd {
		return
	}
	if w.needsFence {
		w.fence, w.needsFence, w.checkPending = p.newestFence, false, false
	}
	w.holdPending = true
	p.sendHold(w)
}

// sendHold sends a hold. The first one to an incarnation asks for an answer at once and acknowledges no ended runs.
func (p *Planner) sendHold(w *worker) {
	order := croft.HoldOrder{Worker: w.ID, Address: w.Address, Fence: w.fence, Until: p.grantLease(w)}
	if w.verified {
		order.Seen, order.Wait = w.ackedEnd, w.holdWaitAt(p.now.Elapsed)
	}
	p.emit(Hold{Order: order, Sent: p.now.Elapsed})
}

// sendCheck requests the lists of a worker at once, beside the pending hold. It acknowledges no ended runs: it may reach an
// incarnation whose ends, numbered anew, are not known yet.
func (p *Planner) sendCheck(w *worker) {
	w.checkPending = true
	p.emit(Hold{Order: croft.HoldOrder{Worker: w.ID, Address: w.Address, Fence: w.fence}, Sent: p.now.Elapsed, Check: true})
}

// handleCheckResult applies the lists of a check. Everything else in the answer also comes with the pending hold.
func (p *Planner) handleCheckResult(w *worker, e Held) {
	w.checkPending = false
	if e.Err != nil || !w.verified || e.Report.Born != w.born {
		return
	}
	p.recordAnswer(w)
	p.recordEnds(w, e.Report.Ended)
	p.reconcileRuns(w, e)
	p.advanceAcks(w)
}

// handleHoldResult applies the outcome of a hold or a check.
func (p *Planner) handleHoldResult(e Held) {
	w, ok := p.workers[e.Order.Worker]
	if !ok {
		return
	}
	if e.Order.Fence != w.fence {
		// It was sent to a former incarnation or in a former term.
		return
	}
	if e.Check {
		p.handleCheckResult(w, e)
		return
	}
	w.holdPending = false
	p.holdCandidates = append(p.holdCandidates, w)
	switch {
	case e.Err != nil:
		p.handleHoldFailure(w, e)
	case w.needsFence:
		w.nextHold = p.now.Elapsed
	default:
		p.handleHoldReport(w, e)
	}
}

// handleHoldFailure marks a worker as not verified and schedules the next attempt.
func (p *Planner) handleHoldFailure(w *worker, e Held) {
	if p.handleWorkerRefusal(w, e.Order.Fence, e.Order.Address, e.Err) && !p.leading {
		return
	}
	if w.verified {
		p.log("Lost", string(w.ID), "", e.Err.Error())
		p.requestFleet()
		p.requeueDuplicable(w)
	}
	w.verified = false
	w.failedHolds++
	w.nextHold = p.now.Elapsed + min(holdRetryPause*croft.Millis(w.failedHolds), maxHoldRetryPause)
	if w.needsFence {
		// This was a hold to the former incarnation.
		w.nextHold = p.now.Elapsed
	}
}

// requeueDuplicable requeues the tasks on a lost worker that may run twice; the other tasks wait until their runs have
// certainly ended.
func (p *Planner) requeueDuplicable(w *worker) {
	duplicable := filterRuns(w, func(r *run) bool {
		return r.stage.spec.Duplicates && !r.stage.spec.Gang && r.stage.tasks[r.index].run == r && mayCopy(r)
	})
	for _, r := range duplicable {
		r.stage.tasks[r.index].copied = !r.survived()
		r.stage.tasks[r.index].run = nil
		p.requeue(r.stage, r.index)
	}
	if len(duplicable) > 0 {
		p.log("Copy", string(w.ID), "", fmt.Sprintf("requeued %d tasks that may run twice", len(duplicable)))
	}
}

// handleHoldReport applies the answer of an executor to a hold.
func (p *Planner) handleHoldReport(w *worker, e Held) {
	if w.born != 0 && e.Report.Born != w.born && !w.ended {
		// Holds are sent one after another, so this incarnation is later than the one that answered the last one.
		p.endUnexpectedly(w, fmt.Sprintf("the executor answered with another start time, %d", e.Report.Born), (*run).wasListed)
		w.leasesEnd = max(w.leasesEnd, p.latestLeaseEnd())
		w.born = e.Report.Born
		return
	}
	w.born, w.ended = e.Report.Born, false
	p.recordAnswer(w)
	w.failedHolds = 0
	w.clockOffset, w.clockKnown = e.Report.Clock-p.now.Elapsed, true
	if !w.verified {
		if e.Order.Seen != 0 || e.Order.Wait != 0 {
			// This answers a hold that was meant for an earlier incarnation. The first hold for this one must not
			// acknowledge ended runs.
			w.nextHold = p.now.Elapsed
			return
		}
		w.verified = true
		p.pool(w.Pool).changed = true
		p.log("Verified", string(w.ID), "", fmt.Sprintf("%d active runs, %d ended runs", len(e.Report.Active), len(e.Report.Ended)))
	}
	p.recordEnds(w, e.Report.Ended)
	p.reconcileRuns(w, e)
	p.paceFillers(w)
	p.stopStuckRuns(w)
	p.advanceAcks(w)
	w.nextHold = p.now.Elapsed
	if len(w.pendingAcks) > 0 {
		w.nextHold += unstoredEndsPause
	}
}

// recordEnds records the ended runs that were not recorded before.
func (p *Planner) recordEnds(w *worker, ends []croft.EndedRun) {
	for _, end := range ends {
		if end.Number > w.recordedEnd {
			p.recordEnd(w, end)
		}
	}
}

// recordEnd records an ended run and requeues its task if needed.
func (p *Planner) recordEnd(w *worker, end croft.EndedRun) {
	w.recordedEnd = end.Number
	ack := pendingAck{number: end.Number}
	j, s, index := p.findStage(end.Task)
	if r := w.runs[end.Task]; r != nil && r.number == end.Run {
		if end.How == croft.EndDone {
			p.recordDuration(r)
		}
		if end.How == croft.EndDone || end.How == croft.EndFailed {
			p.delayBriefRun(r)
		}
		p.removeRun(r)
	}
	if j != nil {
		// The executor may forget any end of the job only once the current state is stored: another member of a gang may
		// have ended the job before.
		ack.job, ack.sequence = j, j.sequence
	}
	if s == nil || j.ended {
		w.pendingAcks = append(w.pendingAcks, ack)
		return
	}
	p.markJobBegan(s.job, w)
	t := &s.tasks[index]
	t.runNumber = max(t.runNumber, end.Run)
	if end.Checkpoint != "" && !t.done {
		t.checkpoint = end.Checkpoint
	}
	switch end.How {
	case croft.EndDone:
		w.consecutiveFailures = 0
		if s.spec.Endless {
			p.logEnd(w, end)
		}
		p.completeTask(s, index)
		ack.job, ack.sequence = s.job, s.job.sequence
	case croft.EndFailed:
		p.log("Failed", end.Task.String(), string(w.ID), fmt.Sprintf("run %d", end.Run))
		p.recordWorkerFailure(w)
		p.recordTaskFailure(s, index, end.Run, w.ID)
		ack.job, ack.sequence = s.job, s.job.sequence
	default:
		p.logEnd(w, end)
	}
	p.requeue(s, index)
	w.pendingAcks = append(w.pendingAcks, ack)
}

// logEnd logs the end of a run after which its task is started again.
func (p *Planner) logEnd(w *worker, end croft.EndedRun) {
	p.log("Ended", end.Task.String(), string(w.ID), fmt.Sprintf("run %d %s", end.Run, end.How))
}

// completeTask marks a task as done and stops its run if it still has one. The end of one member completes a whole
// gang. Endless tasks are never done: they run until their job is cancelled, however a run ends.
func (p *Planner) completeTask(s *stage, index int) {
	if s.spec.Endless {
		return
	}
	p.markTaskDone(s, index)
	if r := s.tasks[index].run; r != nil {
		p.stopRun(r, "another run finished the task")
	}
	if !s.spec.Gang {
		return
	}
	for i := range s.tasks {
		p.markTaskDone(s, i)
	}
}

// findStage returns the job, stage and index of a task. The stage is nil if its occurrence is not open, the job too if it is
// not known.
func (p *Planner) findStage(id croft.TaskID) (*job, *stage, int) {
	j, ok := p.jobs[id.Job]
	if !ok {
		return nil, nil, 0
	}
	if id.Occurrence >= j.openedOccurrences {
		p.openLateOccurrences(j, id.Occurrence)
	}
	s := j.stage(id.Occurrence, id.Step)
	if s == nil || id.Index < 0 || id.Index >= len(s.tasks) {
		return j, nil, 0
	}
	return j, s, id.Index
}

// reconcileRuns updates the runs of a worker from its list, and abandons those that the list should contain but does
// not. While the list of ended runs is cut, a missing run may be one of those that have ended.
func (p *Planner) reconcileRuns(w *worker, e Held) {
	w.listCount++
	orphansBefore := w.orphanRuns
	w.orphanRuns = 0
	for _, a := range e.Report.Active {
		p.updateActiveRun(w, a, e.Sent)
	}
	if w.orphanRuns < orphansBefore {
		p.pool(w.Pool).changed = true
	}
	if w.endsCut = e.Report.MoreEnds; w.endsCut {
		return
	}
	w.allEndsListed = true
	// The executor refuses starts with a lower fencing token than it has seen.
	isMissing := func(r *run) bool {
		return !r.isListed() && (r.fence < e.Order.Fence || (r.verifiableFrom != 0 && r.verifiableFrom < e.Sent))
	}
	for _, r := range filterRuns(w, func(r *run) bool { return r.awaitsList() && !r.isListed() && !isMissing(r) }) {
		p.stopRun(r, startUnanswered)
	}
	for _, r := range filterRuns(w, isMissing) {
		p.log("Vanished", r.stage.id(r.index).String(), string(w.ID), fmt.Sprintf("run %d is listed neither as active nor as ended", r.number))
		p.abandonRun(r)
	}
}

// isListed reports whether the last list of the executor showed the run as active.
func (r *run) isListed() bool { return r.lastList == r.worker.listCount }

// updateActiveRun applies one entry of a list of active runs that was requested at requestedAt.
func (p *Planner) updateActiveRun(w *worker, a croft.ActiveRun, requestedAt croft.Millis) {
	_, s, index := p.findStage(a.Task)
	if s == nil {
		w.orphanRuns++
		p.stopUnknownRun(w, a)
		return
	}
	p.markJobBegan(s.job, w)
	t := &s.tasks[index]
	t.runNumber = max(t.runNumber, a.Run)
	r := w.runs[a.Task]
	if r == nil || r.number < a.Run {
		r = p.adoptRun(w, s, index, a)
	}
	if !r.wasListed() {
		r.crashSuspect = false
		r.recordSuspect()
	}
	r.lastList, r.shownAt = w.listCount, p.now.Elapsed
	if r.number != a.Run {
		return
	}
	if r.phase == phaseStarting {
		r.phase, r.verifiableFrom, r.answeredAt = phaseActive, p.now.Elapsed, p.now.Elapsed
	}
	if r.percent != a.Percent {
		r.progressedAt = p.now.Elapsed
	}
	r.percent, r.gauge = a.Percent, a.Gauge
	if requestedAt >= r.uncertainUntil {
		r.uncertainUntil = 0
	}
	if a.Checkpoint != "" {
		t.checkpoint = a.Checkpoint
	}
	if a.Percent >= servingPercent && t.run == r {
		t.evicted = false
	}
	if (t.done || s.job.ended) && r.phase != phaseStopping {
		p.stopRun(r, "its task or job has ended")
	}
}

// servingPercent is the progress that an endless task reports once it serves requests.
const servingPercent = 100

// adoptRun adds a listed run that a former leader or a delayed order started. If the task has another run, the adopted
// one is stopped.
func (p *Planner) adoptRun(w *worker, s *stage, index int, a croft.ActiveRun) *run {
	if old := w.runs[a.Task]; old != nil {
		p.removeRun(old)
	}
	if w.listCount > 1 {
		p.log("Adopt", a.Task.String(), string(w.ID), fmt.Sprintf("run %d is listed by incarnation %d, earlier lists lacked it", a.Run, w.born))
	}
	r := &run{stage: s, index: index, number: a.Run, worker: w, fence: w.fence, adopted: true, phase: phaseActive, startedAt: p.now.Elapsed, answeredAt: p.now.Elapsed, verifiableFrom: p.now.Elapsed, progressedAt: p.now.Elapsed, uncertainUntil: p.now.Elapsed + p.options.Stop, pace: fullPace}
	p.addRun(r)
	t := &s.tasks[index]
	if t.run != nil && t.run != r {
		p.stopRun(r, "the task has another run")
		return r
	}
	t.run = r
	s.dequeue(index)
	return r
}

// advanceAcks acknowledges the recorded ends of an executor in order, up to the first one whose job state is not stored
// yet; the executor may forget acknowledged ends.
func (p *Planner) advanceAcks(w *worker) {
	for len(w.pendingAcks) > 0 {
		a := w.pendingAcks[0]
		if a.job != nil && a.job.storedSequence < a.sequence {
			return
		}
		w.ackedEnd = a.number
		w.pendingAcks = w.pendingAcks[1:]
	}
}
