package sched

import (
	"errors"
	"fmt"
	"slices"

	"waxwing.example/croft"
)

// Parameters of the maintenance of VMs.
const (
	// prepareFactor times the number of VMs that may be unavailable is how many are emptied ahead, so that one is empty
	// when another one returns.
	prepareFactor = 2
	// shortTaskGrace is how long the maintenance of a VM waits for its short tasks; it covers the longest ones on
	// record.
	shortTaskGrace = 3 * croft.Second
	// prepareTimeout is how long a VM may take to be emptied. It gets work again for prepareRetryPause then: its endless tasks
	// can't move while others of their steps wait for room, which may be what it has.
	prepareTimeout    = 15 * croft.Second
	prepareRetryPause = 3 * croft.Second
	// vmOrderRetryPause is the pause before an order for a VM without a clear answer is sent again.
	vmOrderRetryPause = 300 * croft.Millis(1)
	// lateOrderTime is how long after an order without an answer it may still be carried out.
	lateOrderTime = 15 * croft.Second
	// refusalPause is the pause before a refused order is repeated, longer than the interval of lists of VMs. It doubles
	// up to maxRefusalDoublings times with each refusal for another reason than that the VM is busy.
	refusalPause        = 500 * croft.Millis(1)
	maxRefusalDoublings = 4
	// wavePacePercent of a wave's duration is what it may take while the pools need their VMs; the rest is for VMs that
	// are down or slow to empty.
	wavePacePercent = 60
)

// prepareVMs chooses the next VMs of a wave and reserves their executors, so that they get no new work.
func (p *Planner) prepareVMs(w *wave) {
	for _, id := range sortedVMs(w.prepared) {
		if p.now.Elapsed-w.prepared[id] > prepareTimeout && !w.intended[id] && !w.orderPending[id] {
			p.log("Release", string(id), "", fmt.Sprintf("it could not be emptied within %d ms for wave %d; again after %d ms", prepareTimeout, w.Number, prepareRetryPause))
			w.retryAt[id] = p.now.Elapsed + prepareRetryPause
			p.cancelPreparation(w, id)
			continue
		}
		// The executor may have registered after its VM was chosen.
		if wk := p.workerOn(id); wk != nil && !wk.reserved {
			p.reserve(wk)
		}
	}
	late := p.isWaveLate(w)
	for _, id := range p.nextVMs(w) {
		if len(w.prepared) >= max(w.MaxUnavailable*prepareFactor-len(w.unavailableSince), 1) {
			return
		}
		if p.poolShareTaken(w, p.fleet.vms[id]) || (!late && p.poolNeedsAllVMs(p.fleet.vms[id])) {
			continue
		}
		w.prepared[id] = p.now.Elapsed
		if wk := p.workerOn(id); wk != nil {
			p.reserve(wk)
			p.log("Reserve", string(id), string(wk.ID), fmt.Sprintf("no new work: its VM is to be maintained next in wave %d", w.Number))
		}
	}
}

// anyExecutorUnplaced reports whether an executor is registered that no list of VMs has had: its VM is not known.
func (p *Planner) anyExecutorUnplaced() bool {
	return slices.ContainsFunc(p.sortedWorkers, func(w *worker) bool { return w.listed && p.fleet.lastVM[w.ID] == "" })
}

// workerOn returns the worker on a VM by the last list that had the VM, or nil if it is not known.
func (p *Planner) workerOn(id croft.VMID) *worker { return p.workers[p.fleet.lastWorker[id]] }

// nextVMs returns the VMs of a wave that may be prepared, those with the fewest runs first.
func (p *Planner) nextVMs(w *wave) []croft.VMID {
	var ids []croft.VMID
	for _, id := range w.VMs {
		_, preparing := w.prepared[id]
		_, moving := p.moves[id]
		if w.isSettled(id) || preparing || moving || p.now.Elapsed < w.retryAt[id] {
			continue
		}
		if p.fleet.vms[id].State == croft.FleetUp || p.maySettleMissing(w, id) {
			ids = append(ids, id)
		}
	}
	slices.SortStableFunc(ids, func(a, b croft.VMID) int { return p.runsOnVM(a) - p.runsOnVM(b) })
	return ids
}

// poolShareTaken reports whether half of the VMs that may be unavailable at once are already being prepared in the pool
// of a VM. This limit makes a wave advance in several pools in parallel. Spare pools have no such limit.
func (p *Planner) poolShareTaken(w *wave, vm croft.FleetVM) bool {
	if p.poolRule(vm.Pool).Spare {
		return false
	}
	preparing := 0
	for id := range w.prepared {
		if p.fleet.vms[id].Pool == vm.Pool {
			preparing++
		}
	}
	return preparing >= max(w.MaxUnavailable/2, 1)
}

// isWaveLate reports whether a wave is behind the pace at which it would end within wavePacePercent of its duration.
func (p *Planner) isWaveLate(w *wave) bool {
	target := max(w.Duration*wavePacePercent/100, 1)
	return croft.Millis(len(w.begun)+len(w.departed)+len(w.prepared)) < croft.Millis(len(w.VMs))*(p.now.Elapsed-w.requestedAt)/target
}

// poolNeedsAllVMs reports whether the pool of a VM has no more VMs than it needs.
func (p *Planner) poolNeedsAllVMs(vm croft.FleetVM) bool {
	if p.poolRule(vm.Pool).Spare || p.workerOn(vm.ID) == nil {
		return false
	}
	po := p.pool(vm.Pool)
	return p.availableVMs(po) <= po.demand.Current
}

// runsOnVM returns the number of runs on a VM.
func (p *Planner) runsOnVM(id croft.VMID) int {
	wk := p.workerOn(id)
	if wk == nil {
		return 0
	}
	return len(wk.runs)
}

// orderMaintenance orders the maintenance of prepared VMs as far as the wave's limit allows.
func (p *Planner) orderMaintenance(w *wave) {
	for _, id := range sortedVMs(w.prepared) {
		others := len(w.unavailableSince)
		if _, counted := w.unavailableSince[id]; counted {
			others--
		}
		if others >= w.MaxUnavailable && !w.outcomeUnknown[id] {
			continue
		}
		if w.orderPending[id] || w.prepared[id] > p.now.Elapsed || !p.isReadyForMaintenance(w, id) {
			continue
		}
		w.unavailableSince[id] = p.now.Elapsed
		if !w.intentStored[id] {
			if !w.intended[id] {
				w.intended[id] = true
				p.reportWave(w, w.finished)
			}
			continue
		}
		w.orderPending[id] = true
		p.log("Maintain", string(id), "", fmt.Sprintf("wave %d: %d of %d VMs begun, %d unavailable", w.Number, len(w.begun), len(w.VMs), len(w.unavailableSince)))
		p.orderVM(croft.FleetOrder{VM: id, Wave: w.Number})
	}
}

// isReadyForMaintenance reports whether a prepared VM may be maintained now: it runs no endless task whose step limits
// the unavailable ones, and other tasks have ended or had shortTaskGrace to do so. If its runs are not
// known, all leases that its executor may hold must have expired.
func (p *Planner) isReadyForMaintenance(w *wave, id croft.VMID) bool {
	if p.fleet.vms[id].State == croft.FleetMaintenance {
		// Nothing runs on it. An order is only sent to learn whether an earlier one has been carried out.
		return w.outcomeUnknown[id]
	}
	wk := p.workerOn(id)
	if wk == nil {
		vm, listed := p.fleet.vms[id]
		if !listed && p.anyExecutorUnplaced() {
			return false
		}
		return p.poolRule(vm.Pool).Spare || p.now.Elapsed >= p.predecessorLeasesEnd()
	}
	if !wk.verified {
		return len(wk.runs) == 0 && p.now.Elapsed >= wk.leasesEnd
	}
	for _, r := range wk.runs {
		if r.stage.spec.Endless && r.stage.spec.MayMiss > 0 {
			return false
		}
		if p.now.Elapsed-w.prepared[id] < shortTaskGrace {
			return false
		}
	}
	return true
}

// handleVMOrderResult applies the answer to an order to move or maintain a VM.
func (p *Planner) handleVMOrderResult(e Ordered) {
	if e.Order.Fence != p.fencingToken && e.Err != nil {
		p.log("Superseded", string(e.Order.VM), "", fmt.Sprintf("the answer to an order of a former term: %v", e.Err))
		return
	}
	if e.Order.Pool != "" {
		p.handleMoveResult(e)
		return
	}
	w, ok := p.waves[e.Order.Wave]
	if !ok {
		return
	}
	id := e.Order.VM
	var refused *croft.FleetRefusedError
	delete(w.orderPending, id)
	switch {
	case e.Err == nil:
		delete(w.outcomeUnknown, id)
		delete(w.unansweredAt, id)
		p.recordMaintenance(w, id)
	case errors.As(e.Err, &refused):
		p.handleRefusedMaintenance(w, id, refused.Reason)
	default:
		// The order may have been carried out: it is sent again, and the VM counts as unavailable unless the platform
		// certainly did not accept it.
		p.log("Unanswered", string(id), "", fmt.Sprintf("maintenance in wave %d: %v", w.Number, e.Err))
		var unavailable *croft.UnavailableError
		switch {
		case !errors.As(e.Err, &unavailable):
			w.outcomeUnknown[id], w.unansweredAt[id] = true, p.now.Elapsed
		case !w.outcomeUnknown[id]:
			delete(w.unavailableSince, id)
		}
		w.prepared[id] = p.now.Elapsed + vmOrderRetryPause
		p.requestFleet()
	}
}

// handleRefusedMaintenance releases a VM for other work until its order is repeated after a pause. A refusal only says that
// this order did nothing: the VM may be busy for a while, or the platform may not know of the wave yet.
func (p *Planner) handleRefusedMaintenance(w *wave, id croft.VMID, reason croft.FleetRefusal) {
	pause := refusalPause
	if reason != croft.FleetRefusedBusy {
		pause <<= min(w.refusals[id], maxRefusalDoublings)
		w.refusals[id]++
	}
	p.log("Refused", string(id), "", fmt.Sprintf("maintenance in wave %d: %s; again after %d ms", w.Number, reason, pause))
	if reason == croft.FleetRefusedFence {
		p.stepDown(fmt.Sprintf("the platform refused fencing token %d for VM %s: it has seen a higher one", p.fencingToken, id))
		return
	}
	if at, ok := w.unansweredAt[id]; ok && p.now.Elapsed-at < lateOrderTime {
		// The refusal is of the repeated order; the one without an answer may still be carried out.
		w.prepared[id] = p.now.Elapsed + pause
		return
	}
	delete(w.outcomeUnknown, id)
	delete(w.unavailableSince, id)
	w.clearIntent(id)
	p.cancelPreparation(w, id)
	if p.maySettleMissing(w, id) && (reason == croft.FleetRefusedBusy || reason == croft.FleetRefusedForm) {
		first, refusedBefore := w.missingRefusedAt[id]
		if refusedBefore && p.now.Elapsed >= first+p.missingTime() && p.fleet.listRequestedAt > first {
			w.departed[id] = true
			p.log("Departed", string(id), "", fmt.Sprintf("wave %d does not wait for it any more: lists have lacked it for %d ms, and the platform refused its orders", w.Number, p.fleet.listRequestedAt-w.missingSince[id]))
			p.reportWave(w, false)
			return
		}
		if !refusedBefore {
			w.missingRefusedAt[id] = p.now.Elapsed
		}
		pause = max(pause, p.missingTime())
	}
	w.retryAt[id] = p.now.Elapsed + pause
	p.requestFleet()
}

// recordMaintenance records that the maintenance of a VM has begun.
func (p *Planner) recordMaintenance(w *wave, id croft.VMID) {
	p.recordDeparture(id)
	p.recordBegun(w, id, evidenceAccepted)
	w.unavailableSince[id] = p.now.Elapsed
	w.clearIntent(id)
	delete(w.prepared, id)
	p.reportWave(w, w.finished)
}

// cancelPreparation lets a VM that was chosen for a maintenance get work again.
func (p *Planner) cancelPreparation(w *wave, id croft.VMID) {
	delete(w.prepared, id)
	p.unreserve(id)
}

// releasePrepared releases the prepared VMs of a wave that match, unless an order for them is unanswered.
func (p *Planner) releasePrepared(w *wave, match func(croft.VMID) bool) {
	for _, id := range sortedVMs(w.prepared) {
		if match(id) && !w.orderPending[id] && !w.outcomeUnknown[id] {
			delete(w.unavailableSince, id)
			w.clearIntent(id)
			p.cancelPreparation(w, id)
		}
	}
}

// clearIntent records that no order for a VM may take effect any more.
func (w *wave) clearIntent(id croft.VMID) {
	delete(w.intended, id)
	delete(w.intentStored, id)
}
