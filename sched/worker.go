package sched

import (
	"cmp"
	"slices"

	"waxwing.example/croft"
)

// pool is the executors and jobs of one pool.
type pool struct {
	id croft.PoolID
	// order has the workers by name, so that decisions repeat.
	order  []*worker
	jobs   []*job
	demand demand
	// changed says that something may fit now that did not, and placed when that was last tried.
	changed bool
	placed  croft.Millis
	// short says that the last pass left tasks waiting.
	short bool
	// said is the last line of the log on the pool.
	said string
	// tentative is the room kept for jobs that are being announced.
	tentative []tentativeRoom
}

// worker is one executor, over its incarnations.
type worker struct {
	croft.WorkerEntry
	// listed says that the executor is registered.
	listed bool
	// verified says that the lists of this incarnation are known under our fencing token.
	verified bool
	holding  bool
	checking bool
	born     int64
	// ahead is the executor's clock minus ours.
	ahead      croft.Millis
	clockKnown bool
	// granted is when every lease that was ever granted has ended.
	granted croft.Millis
	// seen is the last end that may be forgotten, noted the last one that was taken in.
	seen, noted int64
	acks        []ack
	runs        map[croft.TaskID]*run
	used        croft.Resources
	// endless counts the endless tasks among the runs, and fillers those that fill.
	endless, fillers int
	// lists counts the lists that were compared.
	lists int
	// stopping counts the runs that are being stopped.
	stopping int
	// nextHold is when the next hold is due.
	nextHold croft.Millis
	// misses counts holds in a row without an answer.
	misses int
	// failures counts failures since the last success; quarantined is until when it gets no work.
	failures    int
	quarantined croft.Millis
	// orphans counts runs of ended jobs in the last list; they take room of unknown size.
	orphans int
	// pace is the processor share of the fillers, in percent.
	pace int
	// reserved says that the VM is kept free for a maintenance or a move.
	reserved bool
	// reservedAt is when that began.
	reservedAt croft.Millis
}

// ack is an end that may be forgotten once the job's state is stored.
type ack struct {
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
	stage  *stage
	index  int
	number int
	worker *worker
	phase  phase
	began  croft.Millis
	// known is when the worker answered the last order for the run: a list asked for later tells
	// whether it is there.
	known   croft.Millis
	stopped croft.Millis
	// evacuated says that it is stopped to empty its executor.
	evacuated bool
	// unanswered says that its start got no answer.
	unanswered bool
	percent    int
	gauge      int64
	// moved is when the percentage last changed.
	moved croft.Millis
	// listed is the last list of its worker that showed the run.
	listed int
	// doubted is when a stop that a former leader sent for an adopted run would have ended it; lists
	// show runs that are being stopped. It is zero once a later list has shown the run.
	doubted croft.Millis
	// pace is the processor share of a filler, in percent.
	pace int
}

// leaseSlack is what is added to a lease for an executor's clock that is 2 % slow, in thousandths,
// and graceSlack for orders that were on their way.
const (
	leaseSlack = 30
	graceSlack = 150 * croft.Millis(1)
)

// until returns the end of a lease by the executor's clock.
func (p *Planner) until(w *worker) croft.Millis {
	if !w.clockKnown {
		return 0
	}
	w.granted = max(w.granted, p.longestLease())
	return p.now.Elapsed + w.ahead + p.options.Lease
}

// longestLease returns when a lease granted now has ended.
func (p *Planner) longestLease() croft.Millis {
	return p.now.Elapsed + p.options.Lease*(1000+leaseSlack)/1000 + graceSlack
}

// firstLease returns when everything that a former leader started without being adopted has ended.
func (p *Planner) firstLease() croft.Millis { return p.took + p.longestLease() - p.now.Elapsed }

// takeWorkers takes in news of the registry.
func (p *Planner) takeWorkers(changes croft.WorkerChanges) {
	if changes.Whole {
		there := make(map[croft.WorkerID]bool, len(changes.Entries))
		for _, e := range changes.Entries {
			there[e.ID] = true
		}
		for _, w := range p.workerOrder {
			if !there[w.ID] {
				p.unlist(w)
			}
		}
	}
	for _, e := range changes.Entries {
		p.takeWorker(e)
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
	p.askFleet()
}

func (p *Planner) takeWorker(e croft.WorkerEntry) {
	w, ok := p.workers[e.ID]
	if !ok {
		// An executor may run what a former leader or a late order started, until its lease ends.
		w = &worker{runs: map[croft.TaskID]*run{}, granted: p.longestLease(), pace: fullPace}
		w.WorkerEntry = e
		p.workers[e.ID] = w
		p.workerOrder = withWorker(p.workerOrder, w)
	}
	if e.Born != 0 && w.born != 0 && e.Born > w.born {
		p.endIncarnation(w, "it registered with a later start")
	}
	if ok && w.Pool != e.Pool {
		po := p.pool(w.Pool)
		po.order = withoutWorker(po.order, w)
	}
	if e.Draining && !w.Draining {
		p.log("Drain", string(e.ID), "", "the executor reports that it leaves")
	}
	w.WorkerEntry = e
	w.listed = true
	po := p.pool(e.Pool)
	po.order, po.changed = withWorker(po.order, w), true
}

// withWorker returns a list by name that has the worker once.
func withWorker(order []*worker, w *worker) []*worker {
	at, there := slices.BinarySearchFunc(order, w, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	if there {
		return order
	}
	return slices.Insert(order, at, w)
}

func withoutWorker(order []*worker, w *worker) []*worker {
	return slices.DeleteFunc(order, func(other *worker) bool { return other == w })
}

// endIncarnation takes note that all that ran on a worker has ended.
func (p *Planner) endIncarnation(w *worker, reason string) {
	if len(w.runs) > 0 || w.verified {
		p.log("IncarnationEnded", string(w.ID), "", reason)
	}
	for _, r := range sortedRuns(w) {
		p.giveUp(r)
	}
	w.verified, w.clockKnown = false, false
	w.seen, w.noted, w.acks = 0, 0, nil
	w.born, w.orphans = 0, 0
	w.granted = p.now.Elapsed
	w.nextHold = p.now.Elapsed
}

// add counts a run on its worker.
func (p *Planner) add(r *run) {
	r.worker.runs[r.stage.id(r.index)] = r
	r.worker.used = r.worker.used.Plus(r.needs())
	if r.stage.spec.Endless {
		r.worker.endless++
	}
	if r.stage.spec.Filler {
		r.worker.fillers++
	}
	if r.stage.on == nil {
		r.stage.on = map[croft.WorkerID]int{}
	}
	r.stage.on[r.worker.ID]++
	r.stage.tasks[r.index].runs++
	r.stage.job.runs++
}

// drop forgets a run and frees its room.
func (p *Planner) drop(r *run) {
	w := r.worker
	delete(w.runs, r.stage.id(r.index))
	w.used = w.used.Minus(r.needs())
	if r.stage.spec.Endless {
		w.endless--
	}
	if r.stage.spec.Filler {
		w.fillers--
	}
	if r.phase == phaseStopping {
		w.stopping--
	}
	r.stage.on[w.ID]--
	p.pool(w.Pool).changed = true
	t := &r.stage.tasks[r.index]
	if t.run == r {
		t.run = nil
	}
	t.runs--
	r.stage.job.runs--
	p.forgetJob(r.stage.job)
}

// giveUp forgets a run and lets its task wait for another.
func (p *Planner) giveUp(r *run) {
	p.drop(r)
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
	for _, w := range slices.Clone(p.workerOrder) {
		id := w.ID
		if w.verified || p.now.Elapsed < w.granted {
			continue
		}
		if len(w.runs) > 0 {
			p.endIncarnation(w, "its leases ended without an answer")
		}
		if !w.listed && !w.holding {
			delete(p.workers, id)
			p.workerOrder = withoutWorker(p.workerOrder, w)
			po := p.pool(w.Pool)
			po.order = withoutWorker(po.order, w)
		}
	}
}

// mayHideRuns reports whether a worker of the pool may run something that is not known here.
func (p *Planner) mayHideRuns(po *pool) bool {
	if p.now.Elapsed >= p.firstLease() {
		return false
	}
	if !p.fleet.complete {
		return true
	}
	for _, w := range po.order {
		if !w.verified && p.now.Elapsed < w.granted {
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

// usable reports whether a worker may be given work.
func (p *Planner) usable(w *worker) bool {
	return w.listed && w.verified && w.orphans == 0 && !w.Draining && !w.reserved && w.quarantined <= p.now.Elapsed
}

// Weights of failures.
const (
	// failureLimit is how many tasks in a row may fail on an executor before it gets no work for a while: a sound one
	// fails below 3 % of them.
	failureLimit = 3
	// quarantineSpan is how long it gets no work, doubled with each further failure.
	quarantineSpan    = 2 * croft.Second
	quarantineLongest = 16 * croft.Second
	// quarantineShare bounds the quarantined executors of a pool to one in three, since a job that can never
	// succeed fails everywhere.
	quarantineShare = 3
)

func (p *Planner) quarantinedIn(po *pool) int {
	n := 0
	for _, w := range po.order {
		if w.quarantined > p.now.Elapsed {
			n++
		}
	}
	return n
}

// countFailure counts a failure of a worker that another one might not have had.
func (p *Planner) countFailure(w *worker) {
	w.failures++
	po := p.pool(w.Pool)
	if w.failures < failureLimit || p.quarantinedIn(po) >= len(po.order)/quarantineShare {
		return
	}
	span := min(quarantineSpan<<min(w.failures-failureLimit, 4), quarantineLongest)
	w.quarantined = p.now.Elapsed + span
	p.log("Quarantine", string(w.ID), "", "tasks failed there one after another")
}
