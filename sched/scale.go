package sched

import (
	"cmp"
	"slices"

	"waxwing.example/croft"
)

// Parameters of moves between pools.
const (
	// scaleInterval is how often the sizes of the pools are compared; a move takes over a second.
	scaleInterval = 150 * croft.Millis(1)
	// backlogTarget is the time within which a pool should complete all the work that it has: under a steady load, a
	// pool that just keeps up has work for about the duration of its tasks.
	backlogTarget = 600 * croft.Millis(1)
	// emptyTimeout is how long the runs on a VM that is to be moved may take to end.
	emptyTimeout = 3 * croft.Second
	// arrivalTimeout is how long after the platform's acceptance a moving VM counts for its new pool.
	arrivalTimeout = 6 * croft.Second
	// lendMarginPercent is by how much the lender's supply must exceed the borrower's after a move, so that VMs do not
	// move back and forth.
	lendMarginPercent = 15
	// reservePercent of an equal share of all VMs stays in a pool that lends: its own demand will rise again, and a VM
	// takes over a second to return.
	reservePercent = 50
	// maxReleasesInProgress bounds the moves to spare pools at a time. The platform accepts some tens of orders a second, and those
	// beyond keep VMs from work and delay the orders for pools that are short.
	maxReleasesInProgress = 48
	// durationWeight is the weight of the newest task in the moving average of a queue's task durations.
	durationWeight = 0.02
)

// recordDuration adds the duration of a finished run, and its relative error, to the moving averages of its queue.
func (p *Planner) recordDuration(r *run) {
	if r == nil || r.stage.spec.Endless {
		return
	}
	id := r.stage.job.record.Queue
	duration := float64(p.now.Elapsed - r.startedAt)
	p.recordDurationError(id, duration, float64(p.expectedDuration(r.stage)))
	if mean, ok := p.meanDurations[id]; ok {
		p.meanDurations[id] = mean + durationWeight*(duration-mean)
		return
	}
	p.meanDurations[id] = duration
}

// expectedDuration returns how long a task of a stage is expected to take.
func (p *Planner) expectedDuration(s *stage) croft.Millis {
	if mean, ok := p.meanDurations[s.job.record.Queue]; ok {
		return croft.Millis(mean)
	}
	return s.spec.Estimate
}

// scalePools moves VMs to the pools that need them.
func (p *Planner) scalePools() {
	if !p.mayOrderVMs() {
		return
	}
	p.planMoves()
	p.advanceMoves()
}

// planMoves compares the demand and the VMs of the pools, at most once per scaleInterval, and begins moves.
func (p *Planner) planMoves() {
	if p.now.Elapsed < p.nextScale || !p.jobsLoaded {
		return
	}
	p.nextScale = p.now.Elapsed + scaleInterval
	p.expireTombstones()
	capped := p.cappedDemand()
	var pools []*pool
	for _, po := range p.sortedPools {
		if !p.poolRule(po.id).Spare {
			p.assessDemand(po, capped[po.id])
			pools = append(pools, po)
		}
	}
	// The pool with the largest deficit is served first; what excess jobs need comes last.
	slices.SortFunc(pools, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(b.demand.contract-p.availableVMs(b), a.demand.contract-p.availableVMs(a)), cmp.Compare(b.demand.Current-p.availableVMs(b), a.demand.Current-p.availableVMs(a)), cmp.Compare(a.id, b.id))
	})
	for _, po := range pools {
		for deficit := po.demand.Current - p.availableVMs(po); deficit > 0; deficit-- {
			if !p.borrowVM(po, pools) {
				break
			}
		}
	}
	if short := p.shortestPool(pools); short != nil {
		p.lendSurplusVMs(short, pools)
		return
	}
	for _, po := range pools {
		for range p.sizing.MaxReleases {
			if p.releasesInProgress() >= maxReleasesInProgress {
				return
			}
			p.releaseSurplusVM(po)
		}
	}
}

// releasesInProgress counts the moves to spare pools.
func (p *Planner) releasesInProgress() int {
	n := 0
	for _, m := range p.moves {
		if p.poolRule(m.to).Spare {
			n++
		}
	}
	return n
}

// shortestPool returns the pool with the largest deficit of VMs, nil if none has one.
func (p *Planner) shortestPool(pools []*pool) *pool {
	var shortest *pool
	most := 0
	for _, po := range pools {
		if deficit := po.demand.Current - p.availableVMs(po); deficit > most {
			shortest, most = po, deficit
		}
	}
	return shortest
}

// lendSurplusVMs begins the moves of VMs that other pools would release to the spare pool to one that is short.
func (p *Planner) lendSurplusVMs(short *pool, pools []*pool) {
	for _, po := range pools {
		if po == short || p.refusedMoves[moveRoute{po.id, short.id}] || p.availableVMs(short) >= short.demand.Current {
			continue
		}
		if id, ok := p.surplusVM(po); ok {
			p.beginMove(id, short.id)
		}
	}
}

// scaleResources returns the resources times a factor, divided by a divisor.
func scaleResources(r croft.Resources, factor, divisor int64) croft.Resources {
	return croft.Resources{
		MilliCores:   r.MilliCores * factor / divisor,
		MemoryMB:     r.MemoryMB * factor / divisor,
		Accelerators: r.Accelerators * factor / divisor,
	}
}

// meanCapacity returns the mean capacity of the executors in a pool.
func (p *Planner) meanCapacity(po *pool) croft.Resources {
	var sum croft.Resources
	n := int64(0)
	for _, w := range po.workers {
		if w.listed {
			sum = sum.Plus(w.Room)
			n++
		}
	}
	if n == 0 {
		return croft.Resources{}
	}
	return scaleResources(sum, 1, n)
}

// vmsNeeded returns how many VMs of the given capacity are needed to provide the resources in need.
func vmsNeeded(need, capacity croft.Resources) int {
	n := int64(0)
	for _, pair := range [][2]int64{{need.MilliCores, capacity.MilliCores}, {need.MemoryMB, capacity.MemoryMB}, {need.Accelerators, capacity.Accelerators}} {
		if pair[1] > 0 {
			n = max(n, (pair[0]+pair[1]-1)/pair[1])
		}
	}
	return int(n)
}

// availableVMs counts the VMs of a pool that accept work or are moving to it.
func (p *Planner) availableVMs(po *pool) int {
	n := 0
	for _, w := range po.workers {
		if w.listed && !w.Draining && !w.reserved {
			n++
		}
	}
	for _, m := range p.moves {
		if m.to == po.id {
			n++
		}
	}
	return n
}

// borrowVM begins the move of a VM to a pool, from a spare pool or else from the pool with the best supply. It reports
// whether there was one.
func (p *Planner) borrowVM(po *pool, pools []*pool) bool {
	if id, ok := p.findSpareVM(po); ok {
		p.beginMove(id, po.id)
		return true
	}
	var lender *pool
	minRemaining := len(p.fleet.vms) * reservePercent / 100 / max(len(pools), 1)
	best := po.supplyRatio(p.availableVMs(po)+1) * (100 + lendMarginPercent) / 100
	for _, other := range pools {
		remaining := p.availableVMs(other) - 1
		if other == po || remaining < minRemaining || p.refusedMoves[moveRoute{other.id, po.id}] {
			continue
		}
		supply := other.supplyRatio(remaining)
		// A pool that keeps enough VMs for its own demand lends one even if its supply is not better by the margin.
		if supply > best || (lender == nil && remaining >= other.demand.Current && p.availableVMs(po) < po.demand.Current) {
			lender, best = other, max(supply, best)
		}
	}
	if lender == nil {
		return false
	}
	id, ok := p.leastBusyVM(lender)
	if !ok {
		return false
	}
	p.beginMove(id, po.id)
	return true
}

// supplyRatio returns which part of its demand a pool would have with some number of VMs, without that of excess jobs.
func (po *pool) supplyRatio(vms int) float64 {
	return float64(vms) / float64(max(po.demand.contract, 1))
}

// findSpareVM returns a VM of a spare pool that can move to a pool.
func (p *Planner) findSpareVM(po *pool) (croft.VMID, bool) {
	for _, id := range p.fleet.vmIDs {
		vm := p.fleet.vms[id]
		if vm.State == croft.FleetUp && p.poolRule(vm.Pool).Spare && p.hasNoPlannedAction(id) && !p.refusedMoves[moveRoute{vm.Pool, po.id}] {
			return id, true
		}
	}
	return "", false
}

// hasNoPlannedAction reports whether a VM is not moving, and neither chosen nor unavailable for a maintenance.
func (p *Planner) hasNoPlannedAction(id croft.VMID) bool {
	if _, moving := p.moves[id]; moving {
		return false
	}
	for _, w := range p.waves {
		_, prepared := w.prepared[id]
		_, unavailable := w.unavailableSince[id]
		if prepared || unavailable {
			return false
		}
	}
	return true
}

// leastBusyVM returns the VM of a pool with the fewest runs, among those without endless tasks: it must become empty
// before it moves.
func (p *Planner) leastBusyVM(po *pool) (croft.VMID, bool) {
	var best croft.VMID
	fewest := -1
	for _, w := range po.workers {
		id, ok := p.fleet.byWorker[w.ID]
		if !ok || !p.schedulable(w) || !p.hasNoPlannedAction(id) || hasEndless(w) {
			continue
		}
		if n := len(w.runs); fewest < 0 || n < fewest {
			best, fewest = id, n
		}
	}
	return best, fewest >= 0
}

func hasEndless(w *worker) bool { return w.endlessRuns > 0 }

// releaseSurplusVM begins the move of one VM to the spare pool if a pool has had a surplus for some time.
func (p *Planner) releaseSurplusVM(po *pool) {
	spare, ok := p.sparePool()
	if !ok || p.refusedMoves[moveRoute{po.id, spare}] {
		return
	}
	if id, ok := p.surplusVM(po); ok {
		p.beginMove(id, spare)
	}
}

// surplusVM returns a VM without runs of a pool that has had a surplus for some time.
func (p *Planner) surplusVM(po *pool) (croft.VMID, bool) {
	if !po.demand.HasSurplus(p.sizing, p.now.Elapsed, p.availableVMs(po)) {
		return "", false
	}
	id, ok := p.leastBusyVM(po)
	return id, ok && len(p.workerOn(id).runs) == 0
}

// sparePool returns the first spare pool of the configuration.
func (p *Planner) sparePool() (croft.PoolID, bool) {
	for _, r := range p.config.Pools {
		if r.Spare {
			return r.ID, true
		}
	}
	return "", false
}
