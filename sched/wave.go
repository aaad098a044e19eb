package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"waxwing.example/croft"
)

// wave is the planner's state of a maintenance wave: a set of VMs to be maintained, a few at a time.
type wave struct {
	croft.Wave
	// requestedAt is when the operator requested the wave, or an estimate of that.
	requestedAt croft.Millis
	// historyApplied reports that what former leaders stored about the wave has been applied.
	historyApplied bool
	// begun are the VMs whose maintenance has begun, with how that is known.
	begun map[croft.VMID]evidence
	// missingSince has the VMs that the newest list lacks, and when the first of the lists that lack them was requested.
	missingSince map[croft.VMID]croft.Millis
	// departed are the VMs that have left for good: lists lacked them until the wave's deadline, and then the platform
	// refused two orders for them; missingRefusedAt is when it refused the first one.
	departed         map[croft.VMID]bool
	missingRefusedAt map[croft.VMID]croft.Millis
	// unavailableSince has the VMs that count as unavailable and since when; the wave limits their number.
	unavailableSince map[croft.VMID]croft.Millis
	// orderPending are the VMs whose order is unanswered.
	orderPending map[croft.VMID]bool
	// intended are the VMs that are to be ordered, and intentStored those of them whose intent is stored. Orders
	// are sent only for the latter, so that a successor counts them as unavailable: their orders may take effect late.
	intended     map[croft.VMID]bool
	intentStored map[croft.VMID]bool
	// outcomeUnknown are the VMs whose order was lost or not answered and may take effect later.
	outcomeUnknown map[croft.VMID]bool
	// unansweredAt is when an order of this leader was last lost or not answered.
	unansweredAt map[croft.VMID]croft.Millis
	// prepared are the VMs that are being emptied, with the earliest time of their order.
	prepared map[croft.VMID]croft.Millis
	// refusals counts the refused orders for each VM that were not due to its being busy, and retryAt is from when on a VM
	// whose order was refused may be prepared again.
	refusals          map[croft.VMID]int
	retryAt           map[croft.VMID]croft.Millis
	initialReportSent bool
	finished          bool
	// finishedAt is when the wave was last finished.
	finishedAt croft.Millis
}

// evidence is how the planner knows that the maintenance of a VM has begun; log lines name it.
type evidence string

const (
	// evidenceAccepted means that the platform accepted an order of this leader.
	evidenceAccepted evidence = "Accepted"
	// evidenceStored means that a former leader stored it.
	evidenceStored evidence = "Stored"
)

// newWave returns the state of a wave of which nothing has begun.
func newWave(w croft.Wave, requestedAt croft.Millis) *wave {
	return &wave{
		Wave: w, requestedAt: requestedAt, begun: map[croft.VMID]evidence{}, unavailableSince: map[croft.VMID]croft.Millis{},
		orderPending: map[croft.VMID]bool{}, outcomeUnknown: map[croft.VMID]bool{}, prepared: map[croft.VMID]croft.Millis{},
		intended: map[croft.VMID]bool{}, intentStored: map[croft.VMID]bool{}, refusals: map[croft.VMID]int{}, retryAt: map[croft.VMID]croft.Millis{},
		missingSince: map[croft.VMID]croft.Millis{}, departed: map[croft.VMID]bool{}, unansweredAt: map[croft.VMID]croft.Millis{}, missingRefusedAt: map[croft.VMID]croft.Millis{},
	}
}

// maxNamedVMs is the maximum number of VMs that a log line names.
const maxNamedVMs = 10

// handleWavesRead adds or updates waves.
func (p *Planner) handleWavesRead(e WavesRead) {
	for _, w := range e.Waves {
		old, ok := p.waves[w.Number]
		if ok {
			p.changeWave(old, w)
			continue
		}
		requestedAt := p.now.Elapsed
		if e.Whole {
			// The time of the request is not known; half of the duration may have passed.
			requestedAt -= w.Duration / 2
		}
		p.waves[w.Number] = newWave(w, requestedAt)
		p.log("Wave", fmt.Sprint(w.Number), "Requested", fmt.Sprintf("maintenance of %d VMs within %d ms, at most %d unavailable", len(w.VMs), w.Duration, w.MaxUnavailable))
		p.requestFleet()
	}
}

// changeWave applies a new request for a known wave: VMs that it no longer names are released, and it is resumed if it names
// VMs that are still to be maintained.
func (p *Planner) changeWave(w *wave, request croft.Wave) {
	w.Wave = request
	p.releasePrepared(w, func(id croft.VMID) bool { return !slices.Contains(request.VMs, id) })
	if !slices.ContainsFunc(request.VMs, func(id croft.VMID) bool { return !w.isSettled(id) }) {
		return
	}
	if w.finished {
		w.requestedAt = p.now.Elapsed
	}
	p.reopenWave(w)
	p.requestFleet()
}

// handleWaveRowsRead records what former leaders stored about waves, at the start of the term or, for a single wave, when a
// write of a former leader is found later; that wave is reported anew with both.
func (p *Planner) handleWaveRowsRead(e WaveRowsRead) {
	if p.inheritedBegun == nil {
		p.inheritedBegun, p.inheritedOrders, p.inheritedDeparted = map[int][]croft.VMID{}, map[int][]croft.VMID{}, map[int][]croft.VMID{}
		p.inheritedRequested = map[int]croft.Millis{}
	}
	maps.Copy(p.inheritedBegun, e.Begun)
	maps.Copy(p.inheritedOrders, e.Ordered)
	maps.Copy(p.inheritedDeparted, e.Departed)
	maps.Copy(p.inheritedRequested, e.Requested)
	for number := range e.Begun {
		if w, ok := p.waves[number]; ok {
			w.historyApplied, w.initialReportSent, w.finished = false, false, false
		}
	}
}

// applyHistory applies what former leaders began and ordered in a wave.
func (p *Planner) applyHistory(w *wave) {
	if w.historyApplied {
		return
	}
	w.historyApplied = true
	if requested := p.inheritedRequested[w.Number]; requested != 0 {
		// Clocks differ and may jump.
		age := min(max(p.now.Wall-requested, 0), w.Duration)
		w.requestedAt = min(w.requestedAt, p.now.Elapsed-age)
	}
	for _, id := range p.inheritedBegun[w.Number] {
		w.begun[id] = evidenceStored
		// It may still be unavailable.
		w.unavailableSince[id] = p.now.Elapsed
	}
	for _, id := range p.inheritedOrders[w.Number] {
		if !w.hasBegun(id) {
			// The outcome of the former leader's order is unknown; ordering the VM again resolves it.
			w.intended[id], w.intentStored[id], w.outcomeUnknown[id] = true, true, true
			w.unavailableSince[id], w.prepared[id] = p.now.Elapsed, p.now.Elapsed
		}
	}
	for _, id := range p.inheritedDeparted[w.Number] {
		if _, listed := p.fleet.vms[id]; !listed {
			w.departed[id] = true
		}
	}
	if begun, ordered := len(p.inheritedBegun[w.Number]), len(p.inheritedOrders[w.Number]); begun+ordered > 0 {
		p.log("Wave", fmt.Sprint(w.Number), "Resumed", fmt.Sprintf("former leaders stored that the maintenance of %d of %d VMs has begun and that of %d may have been ordered", begun, len(w.VMs), ordered))
	}
	p.countVMsInMaintenance(w)
}

// hasBegun reports whether the maintenance of a VM has begun.
func (w *wave) hasBegun(id croft.VMID) bool { return w.begun[id] != "" }

// isSettled reports whether nothing is left to do for a VM of the wave: its maintenance has begun, or it has left for good.
func (w *wave) isSettled(id croft.VMID) bool { return w.hasBegun(id) || w.departed[id] }

// recordBegun records that the maintenance of a VM has begun.
func (p *Planner) recordBegun(w *wave, id croft.VMID, how evidence) {
	w.begun[id] = how
	p.log("Begun", string(id), string(how), fmt.Sprintf("maintenance in wave %d: %d of %d VMs; its state in the list of %d ms ago was %q",
		w.Number, len(w.begun), len(w.VMs), p.now.Elapsed-p.fleet.listRequestedAt, p.fleet.vms[id].State))
}

// anyWaveVMUnavailable reports whether any VM counts as unavailable for a wave.
func (p *Planner) anyWaveVMUnavailable() bool {
	for _, w := range p.waves {
		if len(w.unavailableSince) > 0 {
			return true
		}
	}
	return false
}

// anyWaveAwaitsVMs reports whether an unfinished wave has VMs still to be maintained that the last list lacked or that were
// not up in it, or one that was finished not long ago has VMs that have left and may be listed again.
func (p *Planner) anyWaveAwaitsVMs() bool {
	for _, w := range p.waves {
		if w.finished {
			if len(w.departed) > 0 && p.now.Elapsed-w.finishedAt < w.Duration {
				return true
			}
			continue
		}
		for _, id := range w.VMs {
			if !w.isSettled(id) && p.fleet.vms[id].State != croft.FleetUp {
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
		if !wv.finished && !wv.hasBegun(vm) && slices.Contains(wv.VMs, vm) {
			return true
		}
	}
	return false
}

// runWaves advances all unfinished waves.
func (p *Planner) runWaves() {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		if !p.mayOrderVMs() || !p.jobsLoaded || p.inheritedBegun == nil {
			continue
		}
		if w.finished {
			// Orders without an answer, for VMs that the wave no longer names, are still to be settled.
			p.orderMaintenance(w)
			continue
		}
		p.applyHistory(w)
		if p.finishWaveIfDone(w) {
			continue
		}
		if !w.initialReportSent {
			w.initialReportSent = true
			p.reportWave(w, false)
		}
		p.prepareVMs(w)
		p.orderMaintenance(w)
	}
}

// missingFactor times the duration of a maintenance is missingTime.
const missingFactor = 2

// missingTime returns how long a VM that lists lack counts as unavailable, and for how long lists have to lack a VM at least
// before it may count as having left.
func (p *Planner) missingTime() croft.Millis { return missingFactor * p.options.Maintain }

// applyListToWaves updates which VMs of the waves are missing and which count as unavailable. A VM is available again if a
// list that was requested late enough shows it as up or down.
func (p *Planner) applyListToWaves(e FleetRead) {
	for _, w := range p.waves {
		p.recordMissingVMs(w, e)
		p.countVMsInMaintenance(w)
		for id, since := range w.unavailableSince {
			vm, listed := p.fleet.vms[id]
			if w.orderPending[id] || w.outcomeUnknown[id] || e.RequestedAt < since {
				continue
			}
			away := e.RequestedAt - since
			if vm.State == croft.FleetDown || (vm.State == croft.FleetUp && away >= p.options.Maintain/2) || (!listed && away >= p.missingTime()) {
				delete(w.unavailableSince, id)
			}
		}
	}
}

// recordMissingVMs records which VMs of a wave a list lacks. That does not show that they have left: a list may be incomplete.
func (p *Planner) recordMissingVMs(w *wave, e FleetRead) {
	for _, id := range w.VMs {
		_, listed := p.fleet.vms[id]
		_, missing := w.missingSince[id]
		switch {
		case !listed && !missing:
			w.missingSince[id] = e.RequestedAt
			if !w.isSettled(id) {
				p.log("Missing", string(id), "", fmt.Sprintf("the list of VMs lacks it; wave %d waits for it", w.Number))
			}
		case listed && (missing || w.departed[id]):
			delete(w.missingSince, id)
			delete(w.missingRefusedAt, id)
			if !w.hasBegun(id) {
				p.log("Listed", string(id), "", fmt.Sprintf("the list of VMs has it again; it is to be maintained in wave %d", w.Number))
			}
			if w.departed[id] {
				delete(w.departed, id)
				p.reopenWave(w)
				p.reportWave(w, false)
			}
		}
	}
}

// reopenWave resumes a wave that was finished, since VMs of it are still to be maintained.
func (p *Planner) reopenWave(w *wave) {
	if w.finished {
		w.finished, w.initialReportSent = false, false
		p.log("Wave", fmt.Sprint(w.Number), "Reopened", "VMs of it are still to be maintained")
	}
}

// deadline returns when the maintenance of all VMs of the wave should have begun.
func (w *wave) deadline() croft.Millis { return w.requestedAt + w.Duration }

// maySettleMissing reports whether a VM that lists lack may be ordered, to learn whether it has left for good: until the wave's
// deadline it may come back, and no other wave may have it in maintenance.
func (p *Planner) maySettleMissing(w *wave, id croft.VMID) bool {
	since, missing := w.missingSince[id]
	if !missing || p.fleet.listRequestedAt < max(w.deadline(), since+p.missingTime()) {
		return false
	}
	for _, other := range p.waves {
		if _, unavailable := other.unavailableSince[id]; unavailable && other.hasBegun(id) {
			return false
		}
	}
	return true
}

// countVMsInMaintenance counts the VMs of a wave that the list shows in maintenance as unavailable, but not as begun: the list
// does not show for which wave they are in maintenance, and only the platform's answer to an order does.
func (p *Planner) countVMsInMaintenance(w *wave) {
	for _, id := range w.VMs {
		if _, counted := w.unavailableSince[id]; !counted && p.fleet.vms[id].State == croft.FleetMaintenance {
			w.unavailableSince[id] = p.fleet.listRequestedAt
		}
	}
}

// reportWave emits the effect that stores and publishes the state of a wave.
func (p *Planner) reportWave(w *wave, finished bool) {
	p.emit(ReportWave{Number: w.Number, Finished: finished, Begun: sortedVMs(w.begun), Ordered: sortedVMs(w.intended), Departed: sortedVMs(w.departed), Requested: p.now.Wall - (p.now.Elapsed - w.requestedAt)})
}

// handleWaveStored records which intended orders are stored, so that they may be sent.
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

// finishWaveIfDone ends a wave once the maintenance of all its VMs has begun, except those that have left for good. It reports
// whether it did.
func (p *Planner) finishWaveIfDone(w *wave) bool {
	for _, id := range w.VMs {
		if !w.isSettled(id) {
			return false
		}
	}
	w.finished, w.finishedAt = true, p.now.Elapsed
	p.releasePrepared(w, func(croft.VMID) bool { return true })
	p.log("Wave", fmt.Sprint(w.Number), "Finished", describeFinishedWave(w))
	p.reportWave(w, true)
	return true
}

// describeFinishedWave counts the VMs of a wave by how the planner knows that their maintenance has begun, and names some of
// those that have left.
func describeFinishedWave(w *wave) string {
	counts := map[evidence]int{}
	for _, id := range w.VMs {
		if w.hasBegun(id) {
			counts[w.begun[id]]++
		}
	}
	reason := fmt.Sprintf("of %d VMs", len(w.VMs))
	for _, how := range slices.Sorted(maps.Keys(counts)) {
		reason += fmt.Sprintf(", %d %s", counts[how], strings.ToLower(string(how)))
	}
	if left := sortedVMs(w.departed); len(left) > 0 {
		reason += fmt.Sprintf(", %d left for good: %v", len(left), left[:min(len(left), maxNamedVMs)])
	}
	return reason
}
