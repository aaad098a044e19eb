package sched

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
)

// wave is a set of VMs that are to be maintained.
type wave struct {
	croft.Wave
	// requestedAt is when the operator asked for it, as far as is known.
	requestedAt croft.Millis
	// historyApplied says that what former leaders began is known.
	historyApplied   bool
	begun            map[croft.VMID]bool
	unavailableSince map[croft.VMID]croft.Millis
	orderPending     map[croft.VMID]bool
	// intended are VMs that are to be ordered, and stored those of which the store knows: a successor
	// counts them as away, since their orders may be carried out late.
	intended     map[croft.VMID]bool
	intentStored map[croft.VMID]bool
	// outcomeUnknown are VMs whose order got no answer and may be carried out later.
	outcomeUnknown    map[croft.VMID]bool
	prepared          map[croft.VMID]croft.Millis
	initialReportSent bool
	finished          bool
}

func newWave(w croft.Wave, asked croft.Millis) *wave {
	return &wave{
		Wave: w, requestedAt: asked, begun: map[croft.VMID]bool{}, unavailableSince: map[croft.VMID]croft.Millis{},
		orderPending: map[croft.VMID]bool{}, outcomeUnknown: map[croft.VMID]bool{}, prepared: map[croft.VMID]croft.Millis{},
		intended: map[croft.VMID]bool{}, intentStored: map[croft.VMID]bool{},
	}
}

// Spans of waves.
const (
	// prepareFactor is how many times the allowed number of VMs are emptied at once, so that one is
	// free when the former one is back.
	prepareFactor = 2
	// shortTaskGrace is how long running short tasks are waited for before a maintenance ends them;
	// it covers the longest tasks on record.
	shortTaskGrace = 3 * croft.Second
	// vmOrderRetryPause is the pause before a refused or lost order is sent again.
	vmOrderRetryPause = 300 * croft.Millis(1)
	// wavePacePercent of a wave's time, in percent, is what it may take while pools need their VMs; the
	// rest is for VMs that are down or hard to empty.
	wavePacePercent = 60
)

func (p *Planner) handleWavesRead(e WavesRead) {
	for _, w := range e.Waves {
		old, ok := p.waves[w.Number]
		if ok {
			old.Wave = w
			continue
		}
		asked := p.now.Elapsed
		if e.Whole {
			// Nobody says since when; half of its time may be gone.
			asked -= w.Duration / 2
		}
		p.waves[w.Number] = newWave(w, asked)
		p.requestFleet()
	}
}

// handleWaveRowsRead takes in what former leaders wrote of waves.
func (p *Planner) handleWaveRowsRead(e WaveRowsRead) {
	p.inheritedBegun, p.inheritedOrders = e.Begun, e.Ordered
	if p.inheritedBegun == nil {
		p.inheritedBegun = map[int][]croft.VMID{}
	}
}

// applyHistory adds what former leaders began of a wave.
func (p *Planner) applyHistory(w *wave) {
	if w.historyApplied {
		return
	}
	w.historyApplied = true
	for _, id := range p.inheritedBegun[w.Number] {
		w.begun[id] = true
		// It may be away still.
		w.unavailableSince[id] = p.now.Elapsed
	}
	for _, id := range p.inheritedOrders[w.Number] {
		if !w.begun[id] {
			// Our own order for it settles what became of the former one.
			w.intended[id], w.intentStored[id], w.outcomeUnknown[id] = true, true, true
			w.unavailableSince[id], w.prepared[id] = p.now.Elapsed, p.now.Elapsed
		}
	}
	p.recordUnreportedMaintenance(w)
}

func (p *Planner) anyWaveVMUnavailable() bool {
	for _, w := range p.waves {
		if len(w.unavailableSince) > 0 {
			return true
		}
	}
	return false
}

// anyWaveAwaitsVMs reports whether a wave waits for VMs that the last list did not show up.
func (p *Planner) anyWaveAwaitsVMs() bool {
	for _, w := range p.waves {
		if w.finished {
			continue
		}
		for _, id := range w.VMs {
			if vm, ok := p.fleet.vms[id]; ok && !w.begun[id] && vm.State != croft.FleetUp {
				return true
			}
		}
	}
	return false
}

// isDueForMaintenance reports whether a worker's VM is still to be maintained.
func (p *Planner) isDueForMaintenance(w *worker) bool {
	vm, ok := p.fleet.byWorker[w.ID]
	if !ok {
		return false
	}
	for _, wv := range p.waves {
		if !wv.finished && !wv.begun[vm] && slices.Contains(wv.VMs, vm) {
			return true
		}
	}
	return false
}

func (p *Planner) runWaves() {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		if w.finished || !p.mayOrderVMs() || !p.jobsLoaded || p.inheritedBegun == nil {
			continue
		}
		p.applyHistory(w)
		if !w.initialReportSent {
			w.initialReportSent = true
			p.reportWave(w, false)
		}
		p.prepareVMs(w)
		p.orderMaintenance(w)
		p.finishWaveIfDone(w)
	}
}

// prepareVMs reserves the VMs that are next.
func (p *Planner) prepareVMs(w *wave) {
	for _, id := range sortedVMs(w.prepared) {
		// The executor may have registered after its VM was chosen.
		if wk := p.workerOn(id); wk != nil && !wk.reserved {
			p.reserve(wk)
		}
	}
	late := p.isWaveLate(w)
	for _, id := range p.nextVMs(w) {
		if len(w.prepared) >= max(w.Most*prepareFactor-len(w.unavailableSince), 1) {
			return
		}
		if p.poolShareTaken(w, p.fleet.vms[id]) || (!late && p.poolNeedsAllVMs(p.fleet.vms[id])) {
			continue
		}
		w.prepared[id] = p.now.Elapsed
		if wk := p.workerOn(id); wk != nil {
			p.reserve(wk)
			p.log("Reserve", string(id), string(wk.ID), fmt.Sprintf("next in wave %d", w.Number))
		}
	}
}

func (p *Planner) workerOn(id croft.VMID) *worker {
	vm, ok := p.fleet.vms[id]
	if !ok {
		return nil
	}
	return p.workers[vm.Worker]
}

// nextVMs returns the VMs that may be prepared, those that run least first.
func (p *Planner) nextVMs(w *wave) []croft.VMID {
	var ids []croft.VMID
	for _, id := range w.VMs {
		vm, ok := p.fleet.vms[id]
		_, preparing := w.prepared[id]
		_, moving := p.moves[id]
		if !ok || w.begun[id] || preparing || moving || vm.State != croft.FleetUp {
			continue
		}
		ids = append(ids, id)
	}
	slices.SortStableFunc(ids, func(a, b croft.VMID) int { return p.runsOnVM(a) - p.runsOnVM(b) })
	return ids
}

// poolShareTaken reports whether a pool has a VM away or prepared already while others of the wave
// have none: a wave then passes through the pools side by side.
func (p *Planner) poolShareTaken(w *wave, vm croft.FleetVM) bool {
	if p.poolRule(vm.Pool).Spare {
		return false
	}
	n := 0
	for id := range w.prepared {
		if p.fleet.vms[id].Pool == vm.Pool {
			n++
		}
	}
	return n >= max(w.Most/2, 1)
}

// isWaveLate reports whether a wave would not end in good time at the pace so far.
func (p *Planner) isWaveLate(w *wave) bool {
	target := max(w.Duration*wavePacePercent/100, 1)
	return croft.Millis(len(w.begun)+len(w.prepared)) < croft.Millis(len(w.VMs))*(p.now.Elapsed-w.requestedAt)/target
}

// poolNeedsAllVMs reports whether the pool of a VM needs all that it has at present.
func (p *Planner) poolNeedsAllVMs(vm croft.FleetVM) bool {
	if p.poolRule(vm.Pool).Spare || p.workerOn(vm.ID) == nil {
		return false
	}
	po := p.pool(vm.Pool)
	return p.availableVMs(po) <= po.demand.current
}

// runsOnVM returns how much runs on a VM, in runs.
func (p *Planner) runsOnVM(id croft.VMID) int {
	wk := p.workerOn(id)
	if wk == nil {
		return 0
	}
	return len(wk.runs)
}

// orderMaintenance begins the maintenance of prepared VMs.
func (p *Planner) orderMaintenance(w *wave) {
	for _, id := range sortedVMs(w.prepared) {
		if _, counted := w.unavailableSince[id]; !counted && len(w.unavailableSince) >= w.Most {
			continue
		}
		if w.orderPending[id] || w.prepared[id] > p.now.Elapsed || !p.isReadyForMaintenance(w, id) {
			continue
		}
		w.unavailableSince[id] = p.now.Elapsed
		if !w.intentStored[id] {
			if !w.intended[id] {
				w.intended[id] = true
				p.reportWave(w, false)
			}
			continue
		}
		w.orderPending[id] = true
		p.log("Maintain", string(id), "", fmt.Sprintf("wave %d, %d of %d begun, %d away", w.Number, len(w.begun), len(w.VMs), len(w.unavailableSince)))
		p.emit(OrderVM{Order: croft.FleetOrder{VM: id, Wave: w.Number, Holder: p.options.Holder, Fence: p.fencingToken}})
	}
}

// isReadyForMaintenance reports whether a VM's maintenance would end nothing that should not be ended.
func (p *Planner) isReadyForMaintenance(w *wave, id croft.VMID) bool {
	wk := p.workerOn(id)
	if wk == nil {
		return p.poolRule(p.fleet.vms[id].Pool).Spare || p.now.Elapsed >= p.predecessorLeasesEnd()
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

func (p *Planner) handleVMOrderResult(e Ordered) {
	if e.Order.Pool != "" {
		p.handleMoveResult(e)
		return
	}
	w, ok := p.waves[e.Order.Wave]
	if !ok {
		return
	}
	id := e.Order.VM
	delete(w.orderPending, id)
	delete(w.outcomeUnknown, id)
	var refused *croft.FleetRefusedError
	switch {
	case e.Err == nil:
		p.recordMaintenance(w, id)
	case errors.As(e.Err, &refused):
		p.log("Refused", string(id), "", fmt.Sprintf("maintenance in wave %d: %s", w.Number, refused.Reason))
		delete(w.unavailableSince, id)
		w.clearIntent(id)
		switch refused.Reason {
		case croft.FleetRefusedFence:
			p.stepDown("the platform has seen a higher fencing token")
		case croft.FleetRefusedWave, croft.FleetRefusedForm:
			// The VM is not, or no longer, part of the wave.
			w.begun[id] = true
			p.cancelPreparation(w, id)
		default:
			p.cancelPreparation(w, id)
			p.requestFleet()
		}
	default:
		// The order may have been carried out: it counts as away, and is sent again.
		p.log("Unanswered", string(id), "", fmt.Sprintf("maintenance in wave %d: %v", w.Number, e.Err))
		var unavailable *croft.UnavailableError
		if errors.As(e.Err, &unavailable) {
			delete(w.unavailableSince, id)
		} else {
			w.outcomeUnknown[id] = true
		}
		w.prepared[id] = p.now.Elapsed + vmOrderRetryPause
		p.requestFleet()
	}
}

// recordMaintenance takes note that a VM's maintenance has begun.
func (p *Planner) recordMaintenance(w *wave, id croft.VMID) {
	p.recordDeparture(id)
	w.begun[id] = true
	w.unavailableSince[id] = p.now.Elapsed
	w.clearIntent(id)
	delete(w.prepared, id)
	p.reportWave(w, false)
}

func (p *Planner) cancelPreparation(w *wave, id croft.VMID) {
	delete(w.prepared, id)
	p.unreserve(id)
}

// recordReturnedVMs takes VMs for back that are up in a list asked for after they went.
func (p *Planner) recordReturnedVMs(e FleetRead) {
	for _, w := range p.waves {
		p.recordUnreportedMaintenance(w)
		for id, since := range w.unavailableSince {
			vm, ok := p.fleet.vms[id]
			if w.orderPending[id] || w.outcomeUnknown[id] || e.Asked < since {
				continue
			}
			if !ok || (vm.State == croft.FleetUp && e.Asked >= since+p.options.Maintain/2) || vm.State == croft.FleetDown {
				delete(w.unavailableSince, id)
			}
		}
	}
}

// recordUnreportedMaintenance counts VMs that a former leader sent away without having written it down.
func (p *Planner) recordUnreportedMaintenance(w *wave) {
	for _, id := range w.VMs {
		if p.fleet.vms[id].State == croft.FleetMaintenance && !w.begun[id] && !w.orderPending[id] {
			w.begun[id] = true
			w.unavailableSince[id] = p.fleet.requestedAt
			delete(w.prepared, id)
		}
	}
}

// clearIntent notes that no order for a VM is on its way.
func (w *wave) clearIntent(id croft.VMID) {
	delete(w.intended, id)
	delete(w.intentStored, id)
}

// reportWave has the state of a wave stored and published.
func (p *Planner) reportWave(w *wave, finished bool) {
	p.emit(ReportWave{Number: w.Number, Finished: finished, Begun: sortedVMs(w.begun), Ordered: sortedVMs(w.intended)})
}

func (p *Planner) handleWaveStored(e WaveStored) {
	w, ok := p.waves[e.Number]
	if !ok {
		return
	}
	for _, id := range e.Ordered {
		if w.intended[id] {
			w.intentStored[id] = true
		}
	}
}

// finishWaveIfDone reports a wave whose VMs have all begun, or are gone.
func (p *Planner) finishWaveIfDone(w *wave) {
	for _, id := range w.VMs {
		if _, listed := p.fleet.vms[id]; listed && !w.begun[id] {
			return
		}
	}
	w.finished = true
	p.log("Wave", fmt.Sprint(w.Number), "Finished", fmt.Sprintf("%d VMs", len(w.VMs)))
	p.reportWave(w, true)
}
