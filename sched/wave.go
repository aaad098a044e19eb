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
	// asked is when the operator asked for it, as far as is known.
	asked croft.Millis
	// recalled says that what former leaders began is known.
	recalled bool
	begun    map[croft.VMID]bool
	away     map[croft.VMID]croft.Millis
	ordered  map[croft.VMID]bool
	// intended are VMs that are to be ordered, and stored those of which the store knows: a successor
	// counts them as away, since their orders may be carried out late.
	intended map[croft.VMID]bool
	stored   map[croft.VMID]bool
	// unsure are VMs whose order got no answer and may be carried out later.
	unsure   map[croft.VMID]bool
	prepared map[croft.VMID]croft.Millis
	reported bool
	finished bool
}

func newWave(w croft.Wave, asked croft.Millis) *wave {
	return &wave{
		Wave: w, asked: asked, begun: map[croft.VMID]bool{}, away: map[croft.VMID]croft.Millis{},
		ordered: map[croft.VMID]bool{}, unsure: map[croft.VMID]bool{}, prepared: map[croft.VMID]croft.Millis{},
		intended: map[croft.VMID]bool{}, stored: map[croft.VMID]bool{},
	}
}

// Spans of waves.
const (
	// prepareAhead is how many times the allowed number of VMs are emptied at once, so that one is
	// free when the former one is back.
	prepareAhead = 2
	// shortTaskSpan is how long running short tasks are waited for before a maintenance ends them;
	// it covers the longest tasks on record.
	shortTaskSpan = 3 * croft.Second
	// orderPause is the pause before a refused or lost order is sent again.
	orderPause = 300 * croft.Millis(1)
	// paceShare of a wave's time, in percent, is what it may take while pools need their VMs; the
	// rest is for VMs that are down or hard to empty.
	paceShare = 60
)

func (p *Planner) takeWaves(e WavesRead) {
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
		p.askFleet()
	}
}

// takeBegun takes in what former leaders wrote of waves.
func (p *Planner) takeBegun(e WaveRowsRead) {
	p.begun, p.sent = e.Begun, e.Ordered
	if p.begun == nil {
		p.begun = map[int][]croft.VMID{}
	}
}

// recall adds what former leaders began of a wave.
func (p *Planner) recall(w *wave) {
	if w.recalled {
		return
	}
	w.recalled = true
	for _, id := range p.begun[w.Number] {
		w.begun[id] = true
		// It may be away still.
		w.away[id] = p.now.Elapsed
	}
	for _, id := range p.sent[w.Number] {
		if !w.begun[id] {
			// Our own order for it settles what became of the former one.
			w.intended[id], w.stored[id], w.unsure[id] = true, true, true
			w.away[id], w.prepared[id] = p.now.Elapsed, p.now.Elapsed
		}
	}
	p.recallAway(w)
}

func (p *Planner) waveAway() bool {
	for _, w := range p.waves {
		if len(w.away) > 0 {
			return true
		}
	}
	return false
}

// waveSearches reports whether a wave waits for VMs that the last list did not show up.
func (p *Planner) waveSearches() bool {
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

// dueForWave reports whether a worker's VM is still to be maintained.
func (p *Planner) dueForWave(w *worker) bool {
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
		if w.finished || !p.mayOrderVMs() || !p.read || p.begun == nil {
			continue
		}
		p.recall(w)
		if !w.reported {
			w.reported = true
			p.report(w, false)
		}
		p.prepare(w)
		p.order(w)
		p.finishWave(w)
	}
}

// prepare reserves the VMs that are next.
func (p *Planner) prepare(w *wave) {
	for _, id := range sortedVMs(w.prepared) {
		// The executor may have registered after its VM was chosen.
		if wk := p.workerOn(id); wk != nil && !wk.reserved {
			p.reserve(wk)
		}
	}
	late := p.isLate(w)
	for _, id := range p.nextVMs(w) {
		if len(w.prepared) >= max(w.Most*prepareAhead-len(w.away), 1) {
			return
		}
		if p.poolIsShort(w, p.fleet.vms[id]) || (!late && p.poolNeeds(p.fleet.vms[id])) {
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
	slices.SortStableFunc(ids, func(a, b croft.VMID) int { return p.busyOn(a) - p.busyOn(b) })
	return ids
}

// poolIsShort reports whether a pool has a VM away or prepared already while others of the wave
// have none: a wave then passes through the pools side by side.
func (p *Planner) poolIsShort(w *wave, vm croft.FleetVM) bool {
	if p.rule(vm.Pool).Spare {
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

// isLate reports whether a wave would not end in good time at the pace so far.
func (p *Planner) isLate(w *wave) bool {
	span := max(w.Duration*paceShare/100, 1)
	return croft.Millis(len(w.begun)+len(w.prepared)) < croft.Millis(len(w.VMs))*(p.now.Elapsed-w.asked)/span
}

// poolNeeds reports whether the pool of a VM needs all that it has at present.
func (p *Planner) poolNeeds(vm croft.FleetVM) bool {
	if p.rule(vm.Pool).Spare || p.workerOn(vm.ID) == nil {
		return false
	}
	po := p.pool(vm.Pool)
	return p.have(po) <= po.demand.now
}

// busyOn returns how much runs on a VM, in runs.
func (p *Planner) busyOn(id croft.VMID) int {
	wk := p.workerOn(id)
	if wk == nil {
		return 0
	}
	return len(wk.runs)
}

// order begins the maintenance of prepared VMs.
func (p *Planner) order(w *wave) {
	for _, id := range sortedVMs(w.prepared) {
		if _, counted := w.away[id]; !counted && len(w.away) >= w.Most {
			continue
		}
		if w.ordered[id] || w.prepared[id] > p.now.Elapsed || !p.isEmpty(w, id) {
			continue
		}
		w.away[id] = p.now.Elapsed
		if !w.stored[id] {
			if !w.intended[id] {
				w.intended[id] = true
				p.report(w, false)
			}
			continue
		}
		w.ordered[id] = true
		p.log("Maintain", string(id), "", fmt.Sprintf("wave %d, %d of %d begun, %d away", w.Number, len(w.begun), len(w.VMs), len(w.away)))
		p.do(OrderVM{Order: croft.FleetOrder{VM: id, Wave: w.Number, Holder: p.options.Holder, Fence: p.fence}})
	}
}

// isEmpty reports whether a VM's maintenance would end nothing that should not be ended.
func (p *Planner) isEmpty(w *wave, id croft.VMID) bool {
	wk := p.workerOn(id)
	if wk == nil {
		return p.rule(p.fleet.vms[id].Pool).Spare || p.now.Elapsed >= p.firstLease()
	}
	if !wk.verified {
		return len(wk.runs) == 0 && p.now.Elapsed >= wk.granted
	}
	for _, r := range wk.runs {
		if r.stage.spec.Endless && r.stage.spec.MayMiss > 0 {
			return false
		}
		if p.now.Elapsed-w.prepared[id] < shortTaskSpan {
			return false
		}
	}
	return true
}

func (p *Planner) takeOrdered(e Ordered) {
	if e.Order.Pool != "" {
		p.takeMoved(e)
		return
	}
	w, ok := p.waves[e.Order.Wave]
	if !ok {
		return
	}
	id := e.Order.VM
	delete(w.ordered, id)
	delete(w.unsure, id)
	var refused *croft.FleetRefusedError
	switch {
	case e.Err == nil:
		p.maintained(w, id)
	case errors.As(e.Err, &refused):
		p.log("Refused", string(id), "", fmt.Sprintf("maintenance in wave %d: %s", w.Number, refused.Reason))
		delete(w.away, id)
		w.settled(id)
		switch refused.Reason {
		case croft.FleetRefusedFence:
			p.stepDown("the platform has seen a higher fencing token")
		case croft.FleetRefusedWave, croft.FleetRefusedForm:
			// The VM is not, or no longer, part of the wave.
			w.begun[id] = true
			p.release(w, id)
		default:
			p.release(w, id)
			p.askFleet()
		}
	default:
		// The order may have been carried out: it counts as away, and is sent again.
		p.log("Unanswered", string(id), "", fmt.Sprintf("maintenance in wave %d: %v", w.Number, e.Err))
		var unavailable *croft.UnavailableError
		if errors.As(e.Err, &unavailable) {
			delete(w.away, id)
		} else {
			w.unsure[id] = true
		}
		w.prepared[id] = p.now.Elapsed + orderPause
		p.askFleet()
	}
}

// maintained takes note that a VM's maintenance has begun.
func (p *Planner) maintained(w *wave, id croft.VMID) {
	p.leave(id)
	w.begun[id] = true
	w.away[id] = p.now.Elapsed
	w.settled(id)
	delete(w.prepared, id)
	p.report(w, false)
}

func (p *Planner) release(w *wave, id croft.VMID) {
	delete(w.prepared, id)
	p.unreserve(id)
}

// checkWaves takes VMs for back that are up in a list asked for after they went.
func (p *Planner) checkWaves(e FleetRead) {
	for _, w := range p.waves {
		p.recallAway(w)
		for id, since := range w.away {
			vm, ok := p.fleet.vms[id]
			if w.ordered[id] || w.unsure[id] || e.Asked < since {
				continue
			}
			if !ok || (vm.State == croft.FleetUp && e.Asked >= since+p.options.Maintain/2) || vm.State == croft.FleetDown {
				delete(w.away, id)
			}
		}
	}
}

// recallAway counts VMs that a former leader sent away without having written it down.
func (p *Planner) recallAway(w *wave) {
	for _, id := range w.VMs {
		if p.fleet.vms[id].State == croft.FleetMaintenance && !w.begun[id] && !w.ordered[id] {
			w.begun[id] = true
			w.away[id] = p.fleet.asked
			delete(w.prepared, id)
		}
	}
}

// settled notes that no order for a VM is on its way.
func (w *wave) settled(id croft.VMID) {
	delete(w.intended, id)
	delete(w.stored, id)
}

// report has the state of a wave stored and published.
func (p *Planner) report(w *wave, finished bool) {
	p.do(ReportWave{Number: w.Number, Finished: finished, Begun: sortedVMs(w.begun), Ordered: sortedVMs(w.intended)})
}

func (p *Planner) takeWaveStored(e WaveStored) {
	w, ok := p.waves[e.Number]
	if !ok {
		return
	}
	for _, id := range e.Ordered {
		if w.intended[id] {
			w.stored[id] = true
		}
	}
}

// finishWave reports a wave whose VMs have all begun, or are gone.
func (p *Planner) finishWave(w *wave) {
	for _, id := range w.VMs {
		if _, there := p.fleet.vms[id]; there && !w.begun[id] {
			return
		}
	}
	w.finished = true
	p.log("Wave", fmt.Sprint(w.Number), "Finished", fmt.Sprintf("%d VMs", len(w.VMs)))
	p.report(w, true)
}
