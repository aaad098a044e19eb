package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"waxwing.example/croft"
)

// pool is the planner's state of one pool: its executors, its jobs and what they need.
type pool struct {
	id croft.PoolID
	// workers is sorted by ID, to make decisions reproducible.
	workers []*worker
	// jobs are the jobs that have not ended.
	jobs   []*job
	demand demand
	// changed reports that a waiting task may fit since the last placement pass, which was at lastPlacement.
	changed       bool
	lastPlacement croft.Millis
	// backlogged reports that the last placement pass left tasks waiting.
	backlogged bool
	// windowCut reports that the limit of starts in flight has cut the last placement pass short.
	windowCut bool
	// lastSummary is the last summary of the pool that was logged.
	lastSummary string
	// tentative is the capacity that the current placement pass holds for jobs whose announcement is not stored.
	tentative []tentativeUse
	// heldByCap counts the stages that the last placement pass left waiting for the caps of their organisations.
	heldByCap int
	backfill  backfill
}

// worker is the planner's state of one executor, over all its incarnations.
type worker struct {
	croft.WorkerEntry
	// listed reports that the executor is registered.
	listed bool
	// missingSince is when the first of the lists of VMs was requested that lack the executor, zero if the last one had it.
	missingSince croft.Millis
	// verified reports that this incarnation has answered a hold in this term, so that its runs are known.
	verified bool
	// fence is the fencing token of orders to this incarnation. It is higher than that of any order to a former one, which a
	// new incarnation under the same ID would carry out if it arrived late.
	fence uint64
	// needsFence reports that a former incarnation may have ended since fence was chosen: the next hold has a higher one, and
	// answers to earlier holds show nothing about the present incarnation.
	needsFence bool
	// ended reports that the incarnation that answered last has ended, and no other one has answered since.
	ended bool
	// holdPending and checkPending report that a hold, or a check beside it, is not answered yet.
	holdPending  bool
	checkPending bool
	// born is the start time of the incarnation that answered last, which identifies it; zero if none has answered. It may be
	// earlier than that of a former one, since the time of day may be set back.
	born int64
	// clockOffset is the executor's clock minus the planner's, if clockKnown.
	clockOffset croft.Millis
	clockKnown  bool
	// leasesEnd is when all leases have ended that any leader may have granted to the executor.
	leasesEnd croft.Millis
	// ackedEnd is the number of the last ended run that the executor may forget, and recordedEnd that of the last one
	// that the planner has recorded. pendingAcks are those in between.
	ackedEnd, recordedEnd int64
	pendingAcks           []pendingAck
	// allEndsListed reports that a list of this incarnation had all ended runs that were not acknowledged. Before that, the
	// executor may have ended runs of former leaders that are not known here.
	allEndsListed bool
	// endsCut reports that the last list of ended runs may not have had all of them.
	endsCut bool
	// runs has the runs that the executor may have, and used the sum of their needs.
	runs map[croft.TaskID]*run
	used croft.Resources
	// endlessRuns and fillerRuns count the runs of endless tasks and of fillers.
	endlessRuns, fillerRuns int
	// aliveAt is when the executor last answered.
	aliveAt croft.Millis
	// suspects are the runs of tasks that may have crashed other executors, until they have survived.
	suspects []*run
	// clearedUntil is until when nothing starts on the executor but a suspect, which waits for the other runs to survive.
	clearedUntil croft.Millis
	// listCount counts the lists of runs that were applied.
	listCount int
	// stoppingRuns counts the runs that were ordered to stop.
	stoppingRuns int
	// nextHold is the earliest time of the next hold.
	nextHold croft.Millis
	// failedHolds counts consecutive holds without an answer.
	failedHolds int
	// consecutiveFailures counts failures since the last success; the worker gets no work until quarantinedUntil.
	consecutiveFailures int
	quarantinedUntil    croft.Millis
	// orphanRuns counts the runs in the last list whose job is not known; what they use is not known either.
	orphanRuns int
	// pace is the processor share of the worker's fillers, in percent.
	pace int
	// reserved reports that the worker gets no new work because its VM is to be maintained or moved.
	reserved bool
	// vmOrdered reports that the move or the maintenance of its VM has been ordered, which ends the executor.
	vmOrdered bool
	// reservedAt is when the worker was last reserved.
	reservedAt croft.Millis
}

// pendingAck is an ended run that the executor may forget once the job's change with this sequence is stored.
type pendingAck struct {
	// number is the executor's number of the end.
	number   int64
	job      *job
	sequence uint64
}

// phase is the state of a run as the planner knows it.
type phase int

const (
	// phaseStarting means that the start is ordered and not answered.
	phaseStarting phase = iota
	phaseActive
	phaseStopping
)

// run is one attempt to run a task on a worker.
type run struct {
	stage *stage
	// index is the index of the task in the stage, and number the run number.
	index  int
	number int
	worker *worker
	// fence is the fencing token of the start.
	fence     uint64
	phase     phase
	startedAt croft.Millis
	// answeredAt is when the start was answered or a list first showed the run, zero before.
	answeredAt croft.Millis
	// shownAt is when an answer or a list last showed that the run had begun, zero if none has.
	shownAt croft.Millis
	// verifiableFrom is when the last order for the run took effect: a list that is requested later shows whether the
	// run exists. It is zero while that order is unanswered.
	verifiableFrom croft.Millis
	// stopSentAt is when the last stop was sent.
	stopSentAt croft.Millis
	// evacuated reports that the run is stopped to empty its executor.
	evacuated bool
	// startUnanswered reports that the outcome of the start is unknown.
	startUnanswered bool
	// adopted reports that a former leader, or a delayed order, started the run.
	adopted bool
	// crashSuspect reports that an incarnation of the executor went down just after the run was started, unless the run began in the
	// next one.
	crashSuspect bool
	// startedAsSuspect reports that the task had crashed executors before the run was started, so that it was started apart
	// from others.
	startedAsSuspect bool
	// percent is the reported progress, and gauge the reported tail latency of an endless task in milliseconds.
	percent int
	gauge   int64
	// progressedAt is when percent last changed.
	progressedAt croft.Millis
	// lastList is the number of the worker's last list that showed the run, zero if none has. Such a run has begun in the
	// incarnation that listed it; any other one may begin, or have begun, in a later one.
	lastList int
	// uncertainUntil is set for an adopted run, which lists show as active although a former leader may have stopped it:
	// a list that is requested at this time or later shows whether the run continues. It is zero once such a list has shown
	// the run.
	uncertainUntil croft.Millis
	// pace is the processor share of a filler, in percent.
	pace int
}

// leaseSlackPermille lengthens the leases that the planner waits for, since the clock of an executor may be 2 % slow;
// orderSlack adds the time that orders may be on their way.
const (
	leaseSlackPermille = 30
	orderSlack         = 150 * croft.Millis(1)
)

// grantLease returns the end of a new lease by the executor's clock and records that the executor may hold the lease.
// It returns zero, which leaves the lease unchanged, if that clock is not known.
func (p *Planner) grantLease(w *worker) croft.Millis {
	if !w.clockKnown {
		return 0
	}
	w.leasesEnd = max(w.leasesEnd, p.latestLeaseEnd())
	return p.now.Elapsed + w.clockOffset + p.options.Lease
}

// latestLeaseEnd returns when a lease that is granted now has certainly ended.
func (p *Planner) latestLeaseEnd() croft.Millis {
	return p.now.Elapsed + p.options.Lease*(1000+leaseSlackPermille)/1000 + orderSlack
}

// predecessorLeasesEnd returns when all leases that former leaders granted have certainly ended. A former leader that is
// cut off from the store grants leases until vmOrdersFrom to the executors that it still reaches.
func (p *Planner) predecessorLeasesEnd() croft.Millis {
	return max(p.leaderSince, p.vmOrdersFrom) + p.latestLeaseEnd() - p.now.Elapsed
}

// handleWorkersRead applies changes of the registry of executors.
func (p *Planner) handleWorkersRead(changes croft.WorkerChanges) {
	if changes.Whole {
		listed := make(map[croft.WorkerID]bool, len(changes.Entries))
		for _, e := range changes.Entries {
			listed[e.ID] = true
		}
		for _, w := range p.sortedWorkers {
			if !listed[w.ID] {
				p.unlist(w)
			}
		}
	}
	for _, e := range changes.Entries {
		p.updateWorker(e)
	}
	for _, id := range changes.Unusable {
		if w, ok := p.workers[id]; ok {
			p.unlist(w)
		}
	}
	p.countDataCentres()
}

// unlist records that an executor is not registered any more.
func (p *Planner) unlist(w *worker) {
	if !w.listed {
		return
	}
	w.listed = false
	p.log("Unlist", string(w.ID), "", "its registration is gone; its runs are kept until its leases expire without an answer")
	p.requestFleet()
}

// updateWorker adds or updates a registered executor.
func (p *Planner) updateWorker(e croft.WorkerEntry) {
	w, ok := p.workers[e.ID]
	if !ok {
		// The executor may have runs that a former leader or a delayed order started, until their leases end.
		w = &worker{runs: map[croft.TaskID]*run{}, fence: p.newestFence, leasesEnd: max(p.latestLeaseEnd(), p.predecessorLeasesEnd()), pace: fullPace}
		w.WorkerEntry = e
		p.workers[e.ID] = w
		p.sortedWorkers = insertWorker(p.sortedWorkers, w)
	}
	if e.Born != w.Born && e.Born != w.born && e.Born != 0 {
		p.handleNewRegistration(w, e.Born)
	}
	if ok && w.Pool != e.Pool {
		po := p.pool(w.Pool)
		po.workers = removeWorker(po.workers, w)
	}
	if e.Draining && !w.Draining {
		p.log("Drain", string(e.ID), "", "the executor reports that it is draining")
	}
	w.WorkerEntry = e
	w.listed = true
	po := p.pool(e.Pool)
	po.workers, po.changed = insertWorker(po.workers, w), true
}

// handleNewRegistration applies the registration of an incarnation that has not answered yet. It may be older than the one that
// has answered last, if its start time is earlier: only its own answer to a new hold shows which one is present.
func (p *Planner) handleNewRegistration(w *worker, born int64) {
	if w.born != 0 && born > w.born {
		p.endUnexpectedly(w, "the executor registered with a later start time", (*run).wasListed)
	}
	w.verified, w.needsFence, w.nextHold = false, true, p.now.Elapsed
	// A former leader may have started runs on the new incarnation.
	w.leasesEnd = max(w.leasesEnd, p.predecessorLeasesEnd())
}

// insertWorker adds a worker to a list that is sorted by ID, unless the list already has it.
func insertWorker(workers []*worker, w *worker) []*worker {
	i, found := slices.BinarySearchFunc(workers, w, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	if found {
		return workers
	}
	return slices.Insert(workers, i, w)
}

// removeWorker removes a worker from a list.
func removeWorker(workers []*worker, w *worker) []*worker {
	return slices.DeleteFunc(workers, func(other *worker) bool { return other == w })
}

// endIncarnation records that an executor's incarnation has ended, together with those of its runs for which hasEnded holds, and
// requeues their tasks. The others may be in the next incarnation, or begin there, since orders name only the executor's ID: they
// are kept until a list that answers a higher fencing token lacks them, or until all leases have ended.
func (p *Planner) endIncarnation(w *worker, reason string, hasEnded func(*run) bool) {
	// A hold that is pending may be answered by the incarnation that has ended.
	w.needsFence = w.needsFence || !w.ended || w.holdPending
	ended := filterRuns(w, hasEnded)
	if w.ended && len(ended) == 0 {
		return
	}
	if len(w.runs) > 0 || w.verified {
		p.log("IncarnationEnded", string(w.ID), fmt.Sprint(w.born), reason+describeUnlisted(w))
	}
	for _, r := range ended {
		p.abandonRun(r)
	}
	if len(w.runs) > 0 {
		p.keepRuns(w)
	}
	w.verified, w.clockKnown, w.ended = false, false, true
	w.ackedEnd, w.recordedEnd, w.pendingAcks = 0, 0, nil
	w.allEndsListed, w.endsCut = false, false
	w.orphanRuns = 0
	w.nextHold = p.now.Elapsed
}

// keepRuns keeps the runs on an executor that may begin, or have begun, in its next incarnation, which knows nothing of the stops
// that the former one has accepted and whose leases would begin anew.
func (p *Planner) keepRuns(w *worker) {
	w.leasesEnd = max(w.leasesEnd, p.latestLeaseEnd())
	w.suspects = nil
	for _, r := range sortedRuns(w) {
		r.lastList, r.verifiableFrom = 0, 0
		if r.stage.spec.Gang {
			p.stopGang(r.stage)
		}
	}
	p.requeueDuplicable(w)
}

// endLeases records that no order to an executor that ran nothing at an instant can begin a run any more, neither one of this
// leader nor one of a former leader, so that nothing has to wait for the end of its leases.
func (p *Planner) endLeases(w *worker, at croft.Millis) {
	if w.ended && len(w.runs) == 0 && at >= p.vmOrdersFrom {
		w.leasesEnd = min(w.leasesEnd, p.now.Elapsed)
	}
}

// The runs that have ended with an incarnation of their executor, by what shows its end.

// wasListed reports that a list has shown the run, so that it ends with the incarnation that had it.
func (r *run) wasListed() bool { return r.lastList != 0 }

// wasShownBefore returns a function that reports that a run was last shown to have begun before an instant, at which its executor
// ran nothing.
func wasShownBefore(at croft.Millis) func(*run) bool {
	return func(r *run) bool { return r.shownAt != 0 && r.shownAt <= at }
}

// isAny matches the runs of an executor that carries out no order any more, as another one has taken its place.
func (r *run) isAny() bool { return true }

// describeUnlisted names the runs of an executor that no list has shown, with what is known of their starts: any of them may be
// in another incarnation than the one that is known.
func describeUnlisted(w *worker) string {
	var unlisted []string
	for _, r := range filterRuns(w, func(r *run) bool { return !r.wasListed() }) {
		start := "on its way"
		switch {
		case r.answeredAt != 0:
			start = "answered"
		case r.startUnanswered:
			start = "without an answer"
		}
		unlisted = append(unlisted, fmt.Sprintf("%s run %d (start %s)", r.stage.id(r.index), r.number, start))
	}
	if len(unlisted) == 0 {
		return ""
	}
	return fmt.Sprintf("; no list has shown %d of its %d runs: %s", len(unlisted), len(w.runs), strings.Join(unlisted[:min(len(unlisted), maxLoggedRuns)], ", "))
}

// addRun adds a run to its worker, stage, task and job.
func (p *Planner) addRun(r *run) {
	r.worker.runs[r.stage.id(r.index)] = r
	r.worker.used = r.worker.used.Plus(r.needs())
	if r.stage.spec.Endless {
		r.worker.endlessRuns++
	}
	if r.stage.spec.Filler {
		r.worker.fillerRuns++
	}
	r.recordSuspect()
	r.stage.countRuns(r.worker.ID, 1)
	r.stage.liveRuns++
	r.stage.tasks[r.index].liveRuns++
	r.stage.job.liveRuns++
	p.addUse(r.stage)
}

// removeRun removes a run and releases its capacity.
func (p *Planner) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.stage.id(r.index))
	w.used = w.used.Minus(r.needs())
	if r.stage.spec.Endless {
		w.endlessRuns--
	}
	if r.stage.spec.Filler {
		w.fillerRuns--
	}
	if r.phase == phaseStopping {
		w.stoppingRuns--
	}
	w.suspects = slices.DeleteFunc(w.suspects, func(other *run) bool { return other == r })
	r.stage.countRuns(w.ID, -1)
	r.stage.liveRuns--
	p.pool(w.Pool).changed = true
	t := &r.stage.tasks[r.index]
	if t.run == r {
		t.run = nil
	}
	t.liveRuns--
	r.stage.job.liveRuns--
	p.releaseUse(r.stage)
	p.releaseOccurrences(r.stage.job)
	p.removeFinishedJob(r.stage.job)
}

// abandonRun removes a run whose end was not listed and requeues its task.
func (p *Planner) abandonRun(r *run) {
	r.stage.tasks[r.index].unlistedEnd = true
	p.withdrawRun(r)
	if r.crashSuspect {
		p.recordCrash(r)
	}
}

// withdrawRun removes a run that has not begun and requeues its task.
func (p *Planner) withdrawRun(r *run) {
	p.removeRun(r)
	p.requeue(r.stage, r.index)
}

func (r *run) needs() croft.Resources { return r.stage.needs() }

// needs returns the capacity that a task of the stage takes; fillers only use processor time that others leave.
func (s *stage) needs() croft.Resources {
	needs := s.spec.Needs
	if s.spec.Filler {
		needs.MilliCores = 0
	}
	return needs
}

// expireLeases ends the incarnations that did not answer until their leases ended, and removes workers that are not
// registered any more.
func (p *Planner) expireLeases() {
	for _, w := range slices.Clone(p.sortedWorkers) {
		id := w.ID
		if w.verified || p.now.Elapsed < w.leasesEnd {
			continue
		}
		if len(w.runs) > 0 {
			p.endIncarnation(w, "its leases expired without an answer", (*run).isAny)
		}
		if !w.listed && !w.holdPending {
			delete(p.workers, id)
			p.sortedWorkers = removeWorker(p.sortedWorkers, w)
			po := p.pool(w.Pool)
			po.workers = removeWorker(po.workers, w)
		}
	}
}

// mayHaveUnknownRuns reports whether executors of a pool may have runs that former leaders started and that this
// planner has not seen yet.
func (p *Planner) mayHaveUnknownRuns(po *pool) bool {
	if slices.ContainsFunc(po.workers, p.mayHaveUnknownEnds) {
		return true
	}
	if p.now.Elapsed >= p.predecessorLeasesEnd() {
		return false
	}
	if !p.fleet.loaded {
		return true
	}
	for _, w := range po.workers {
		if !w.verified && p.now.Elapsed < w.leasesEnd {
			return true
		}
	}
	return slices.ContainsFunc(p.fleet.unregistered, func(vm croft.FleetVM) bool { return vm.Pool == po.id })
}

// mayHaveUnknownEnds reports whether an executor has listed some ended runs and may have others, which it lists once those are
// acknowledged. Its runs count until its leases end, also if it does not answer any more.
func (p *Planner) mayHaveUnknownEnds(w *worker) bool {
	return w.recordedEnd > 0 && !w.allEndsListed && p.now.Elapsed < w.leasesEnd
}

// reserve keeps new work from a worker whose VM is to be maintained or moved.
func (p *Planner) reserve(w *worker) { w.reserved, w.reservedAt = true, p.now.Elapsed }

// unreserve lets the worker on a VM get work again, also one that the last list does not show there: it may be back under its ID.
func (p *Planner) unreserve(id croft.VMID) {
	for _, w := range p.sortedWorkers {
		if w.reserved && p.fleet.lastVM[w.ID] == id {
			w.reserved, w.vmOrdered = false, false
		}
	}
}

// schedulable reports whether a worker may get new work.
func (p *Planner) schedulable(w *worker) bool {
	return w.listed && w.verified && w.isRegistrationCurrent() && w.orphanRuns == 0 && !w.Draining && !w.reserved && w.quarantinedUntil <= p.now.Elapsed
}

// isRegistrationCurrent reports that the registration is that of the incarnation that answered last. One of a former incarnation says nothing
// of the present labels and capacity, or of whether it is draining.
func (w *worker) isRegistrationCurrent() bool { return w.Born == 0 || w.Born == w.born }

// isDraining reports that the incarnation that answered last has registered that it is draining.
func (w *worker) isDraining() bool { return w.Draining && w.isRegistrationCurrent() }

// Limits of the quarantine of executors on which tasks fail.
const (
	// failureLimit is the number of consecutive failures that starts a quarantine; on a sound executor fewer than 3 %
	// of the tasks fail.
	failureLimit = 3
	// baseQuarantine is the duration of the first quarantine; each further failure doubles it, up to maxQuarantine.
	baseQuarantine = 2 * croft.Second
	maxQuarantine  = 16 * croft.Second
	// quarantineDivisor limits the quarantined executors of a pool to one in three, since the tasks of a job that can
	// never succeed fail on all of them.
	quarantineDivisor = 3
)

// countQuarantined returns the number of quarantined workers in a pool.
func (p *Planner) countQuarantined(po *pool) int {
	n := 0
	for _, w := range po.workers {
		if w.quarantinedUntil > p.now.Elapsed {
			n++
		}
	}
	return n
}

// recordWorkerFailure counts a failure that may be due to the worker, and quarantines it after several in a row.
func (p *Planner) recordWorkerFailure(w *worker) {
	w.consecutiveFailures++
	po := p.pool(w.Pool)
	if w.consecutiveFailures < failureLimit || p.countQuarantined(po) >= len(po.workers)/quarantineDivisor {
		return
	}
	duration := min(baseQuarantine<<min(w.consecutiveFailures-failureLimit, 4), maxQuarantine)
	w.quarantinedUntil = p.now.Elapsed + duration
	p.log("Quarantine", string(w.ID), "", fmt.Sprintf("%d consecutive failures; no new work for %d ms", w.consecutiveFailures, duration))
}
