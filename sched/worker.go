package sched

import (
	"cmp"
	"slices"

	"waxwing.example/croft"
)

// pool is the executors and jobs of one pool.
type pool struct {
	id croft.PoolID
	// workers has the workers by name, so that decisions repeat.
	workers []*worker
	jobs    []*job
	demand  demand
	// changed says that something may fit now that did not, and placed when that was last tried.
	changed       bool
	lastPlacement croft.Millis
	// backlogged says that the last pass left tasks waiting.
	backlogged bool
	// lastSummary is the last line of the log on the pool.
	lastSummary string
	// tentative is the room kept for jobs that are being announced.
	tentative []tentativeUse
}

// worker is one executor, over its incarnations.
type worker struct {
	croft.WorkerEntry
	// listed says that the executor is registered.
	listed bool
	// verified says that the lists of this incarnation are known under our fencing token.
	verified     bool
	holdPending  bool
	checkPending bool
	born         int64
	// clockOffset is the executor's clock minus ours.
	clockOffset croft.Millis
	clockKnown  bool
	// leasesEnd is when every lease that was ever granted has ended.
	leasesEnd croft.Millis
	// ackedEnd is the last end that may be forgotten, noted the last one that was taken in.
	ackedEnd, recordedEnd int64
	pendingAcks           []pendingAck
	runs                  map[croft.TaskID]*run
	used                  croft.Resources
	// endlessRuns counts the endless tasks among the runs, and fillers those that fill.
	endlessRuns, fillerRuns int
	// listCount counts the lists that were compared.
	listCount int
	// stoppingRuns counts the runs that are being stopped.
	stoppingRuns int
	// nextHold is when the next hold is due.
	nextHold croft.Millis
	// failedHolds counts holds in a row without an answer.
	failedHolds int
	// consecutiveFailures counts failures since the last success; quarantined is until when it gets no work.
	consecutiveFailures int
	quarantinedUntil    croft.Millis
	// orphanRuns counts runs of ended jobs in the last list; they take room of unknown size.
	orphanRuns int
	// pace is the processor share of the fillers, in percent.
	pace int
	// reserved says that the VM is kept free for a maintenance or a move.
	reserved bool
	// reservedAt is when that began.
	reservedAt croft.Millis
}

// pendingAck is an end that may be forgotten once the job's state is stored.
type pendingAck struct {
	number   int64
	job      *job
	sequence uint64
}

// phase is what is known of a run.
type phase int

const (
	// phaseStarting is ordered and not answered.
	phaseStarting phase = iota
	phaseActive
	phaseStopping
)

// run is one start of a task on a worker.
type run struct {
	stage     *stage
	index     int
	number    int
	worker    *worker
	phase     phase
	startedAt croft.Millis
	// verifiableFrom is when the worker answered the last order for the run: a list asked for later tells
	// whether it is there.
	verifiableFrom croft.Millis
	stopSentAt     croft.Millis
	// evacuated says that it is stopped to empty its executor.
	evacuated bool
	// startUnanswered says that its start got no answer.
	startUnanswered bool
	percent         int
	gauge           int64
	// progressedAt is when the percentage last changed.
	progressedAt croft.Millis
	// lastList is the last list of its worker that showed the run.
	lastList int
	// uncertainUntil is when a stop that a former leader sent for an adopted run would have ended it; lists
	// show runs that are being stopped. It is zero once a later list has shown the run.
	uncertainUntil croft.Millis
	// pace is the processor share of a filler, in percent.
	pace int
}

// leaseSlackPermille is what is added to a lease for an executor's clock that is 2 % slow, in thousandths,
// and orderSlack for orders that were on their way.
const (
	leaseSlackPermille = 30
	orderSlack         = 150 * croft.Millis(1)
)

// grantLease returns the end of a lease by the executor's clock.
func (p *Planner) grantLease(w *worker) croft.Millis {
	if !w.clockKnown {
		return 0
	}
	w.leasesEnd = max(w.leasesEnd, p.latestLeaseEnd())
	return p.now.Elapsed + w.clockOffset + p.options.Lease
}

// latestLeaseEnd returns when a lease granted now has ended.
func (p *Planner) latestLeaseEnd() croft.Millis {
	return p.now.Elapsed + p.options.Lease*(1000+leaseSlackPermille)/1000 + orderSlack
}

// predecessorLeasesEnd returns when everything that a former leader started without being adopted has ended.
func (p *Planner) predecessorLeasesEnd() croft.Millis {
	return p.leaderSince + p.latestLeaseEnd() - p.now.Elapsed
}

// handleWorkersRead takes in news of the registry.
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
}

func (p *Planner) unlist(w *worker) {
	if !w.listed {
		return
	}
	w.listed = false
	p.log("Unlist", string(w.ID), "", "its registration is gone; what runs there is kept until it answers no more")
	p.requestFleet()
}

func (p *Planner) updateWorker(e croft.WorkerEntry) {
	w, ok := p.workers[e.ID]
	if !ok {
		// An executor may run what a former leader or a late order started, until its lease ends.
		w = &worker{runs: map[croft.TaskID]*run{}, leasesEnd: p.latestLeaseEnd(), pace: fullPace}
		w.WorkerEntry = e
		p.workers[e.ID] = w
		p.sortedWorkers = insertWorker(p.sortedWorkers, w)
	}
	if e.Born != 0 && w.born != 0 && e.Born > w.born {
		p.endIncarnation(w, "it registered with a later start")
	}
	if ok && w.Pool != e.Pool {
		po := p.pool(w.Pool)
		po.workers = removeWorker(po.workers, w)
	}
	if e.Draining && !w.Draining {
		p.log("Drain", string(e.ID), "", "the executor reports that it leaves")
	}
	w.WorkerEntry = e
	w.listed = true
	po := p.pool(e.Pool)
	po.workers, po.changed = insertWorker(po.workers, w), true
}

// insertWorker returns a list by name that has the worker once.
func insertWorker(order []*worker, w *worker) []*worker {
	i, found := slices.BinarySearchFunc(order, w, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	if found {
		return order
	}
	return slices.Insert(order, i, w)
}

func removeWorker(order []*worker, w *worker) []*worker {
	return slices.DeleteFunc(order, func(other *worker) bool { return other == w })
}

// endIncarnation takes note that all that ran on a worker has ended.
func (p *Planner) endIncarnation(w *worker, reason string) {
	if len(w.runs) > 0 || w.verified {
		p.log("IncarnationEnded", string(w.ID), "", reason)
	}
	for _, r := range sortedRuns(w) {
		p.abandonRun(r)
	}
	w.verified, w.clockKnown = false, false
	w.ackedEnd, w.recordedEnd, w.pendingAcks = 0, 0, nil
	w.born, w.orphanRuns = 0, 0
	w.leasesEnd = p.now.Elapsed
	w.nextHold = p.now.Elapsed
}

// addRun counts a run on its worker.
func (p *Planner) addRun(r *run) {
	r.worker.runs[r.stage.id(r.index)] = r
	r.worker.used = r.worker.used.Plus(r.needs())
	if r.stage.spec.Endless {
		r.worker.endlessRuns++
	}
	if r.stage.spec.Filler {
		r.worker.fillerRuns++
	}
	if r.stage.runsByWorker == nil {
		r.stage.runsByWorker = map[croft.WorkerID]int{}
	}
	r.stage.runsByWorker[r.worker.ID]++
	r.stage.tasks[r.index].liveRuns++
	r.stage.job.liveRuns++
}

// removeRun forgets a run and frees its room.
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
	r.stage.runsByWorker[w.ID]--
	p.pool(w.Pool).changed = true
	t := &r.stage.tasks[r.index]
	if t.run == r {
		t.run = nil
	}
	t.liveRuns--
	r.stage.job.liveRuns--
	p.removeFinishedJob(r.stage.job)
}

// abandonRun forgets a run and lets its task wait for another.
func (p *Planner) abandonRun(r *run) {
	p.removeRun(r)
	p.requeue(r.stage, r.index)
}

func (r *run) needs() croft.Resources { return r.stage.needs() }

// needs returns what a task of the stage takes of an executor's room.
func (s *stage) needs() croft.Resources {
	needs := s.spec.Needs
	if s.spec.Filler {
		needs.MilliCores = 0
	}
	return needs
}

// expireLeases gives up workers that answered nothing until their leases ended.
func (p *Planner) expireLeases() {
	for _, w := range slices.Clone(p.sortedWorkers) {
		id := w.ID
		if w.verified || p.now.Elapsed < w.leasesEnd {
			continue
		}
		if len(w.runs) > 0 {
			p.endIncarnation(w, "its leases ended without an answer")
		}
		if !w.listed && !w.holdPending {
			delete(p.workers, id)
			p.sortedWorkers = removeWorker(p.sortedWorkers, w)
			po := p.pool(w.Pool)
			po.workers = removeWorker(po.workers, w)
		}
	}
}

// mayHaveUnknownRuns reports whether a worker of the pool may run something that is not known here.
func (p *Planner) mayHaveUnknownRuns(po *pool) bool {
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

// reserve keeps new work from a worker whose VM is to leave.
func (p *Planner) reserve(w *worker) { w.reserved, w.reservedAt = true, p.now.Elapsed }

// unreserve lets the worker on a VM have work again.
func (p *Planner) unreserve(id croft.VMID) {
	if w := p.workerOn(id); w != nil {
		w.reserved = false
	}
}

// schedulable reports whether a worker may be given work.
func (p *Planner) schedulable(w *worker) bool {
	return w.listed && w.verified && w.orphanRuns == 0 && !w.Draining && !w.reserved && w.quarantinedUntil <= p.now.Elapsed
}

// Weights of failures.
const (
	// failureLimit is how many tasks in a row may fail on an executor before it gets no work for a while: a sound one
	// fails below 3 % of them.
	failureLimit = 3
	// baseQuarantine is how long it gets no work, doubled with each further failure.
	baseQuarantine = 2 * croft.Second
	maxQuarantine  = 16 * croft.Second
	// quarantineDivisor bounds the quarantined executors of a pool to one in three, since a job that can never
	// succeed fails everywhere.
	quarantineDivisor = 3
)

func (p *Planner) countQuarantined(po *pool) int {
	n := 0
	for _, w := range po.workers {
		if w.quarantinedUntil > p.now.Elapsed {
			n++
		}
	}
	return n
}

// recordWorkerFailure counts a failure of a worker that another one might not have had.
func (p *Planner) recordWorkerFailure(w *worker) {
	w.consecutiveFailures++
	po := p.pool(w.Pool)
	if w.consecutiveFailures < failureLimit || p.countQuarantined(po) >= len(po.workers)/quarantineDivisor {
		return
	}
	duration := min(baseQuarantine<<min(w.consecutiveFailures-failureLimit, 4), maxQuarantine)
	w.quarantinedUntil = p.now.Elapsed + duration
	p.log("Quarantine", string(w.ID), "", "tasks failed there one after another")
}
