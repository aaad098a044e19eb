package sched

import (
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
)

// fleet is the platform's last list of VMs and the state of requests for it.
type fleet struct {
	// loaded reports that a list has been received in this term.
	loaded bool
	vms    map[croft.VMID]croft.FleetVM
	// vmIDs is sorted, to make decisions reproducible.
	vmIDs    []croft.VMID
	byWorker map[croft.WorkerID]croft.VMID
	// lastWorker has the executor that ran on each VM in the last list that had the VM.
	lastWorker map[croft.VMID]croft.WorkerID
	// lastVM has the VM that ran each executor in the last list that had the executor.
	lastVM map[croft.WorkerID]croft.VMID
	// unregistered are the VMs that are up and whose executor is not registered.
	unregistered []croft.FleetVM
	// requestedAt is when a list was last requested.
	requestedAt croft.Millis
	// listRequestedAt is when the last list that was received had been requested.
	listRequestedAt croft.Millis
	// requestPending reports that a request is unanswered, and refreshWanted that another one is to be sent.
	requestPending bool
	refreshWanted  bool
	// departures has the accepted order for an executor's VM, until a list shows whether the order has ended the executor.
	departures map[croft.WorkerID]departure
}

// departure is an order for a VM that the platform has accepted, and when.
type departure struct {
	vm croft.VMID
	at croft.Millis
}

// Intervals of requests for the list of VMs: the platform charges for each and allows some tens of them a second.
const (
	// fleetListInterval is the minimum time between two requests.
	fleetListInterval = 400 * croft.Millis(1)
	// fleetSearchInterval is the interval while a wave waits for VMs that are not up, about the duration of a maintenance,
	// or while the list lacks an executor that does not answer.
	// The executor of such a VM registers earlier than that, but VMs of a spare pool have none.
	fleetSearchInterval = 2 * croft.Second
	// fleetListTimeout is the time after which an unanswered request is sent again.
	fleetListTimeout = 4 * croft.Second
)

// mayOrderVMs reports whether VMs may be moved or maintained: no former leader may send such orders any more, and a list
// has been received that shows the effect of all orders that former leaders sent.
func (p *Planner) mayOrderVMs() bool {
	return p.now.Elapsed >= p.vmOrdersFrom && p.fleet.loaded && p.fleet.listRequestedAt >= p.vmOrdersFrom
}

// requestFleet asks for a new list of VMs as soon as the interval allows.
func (p *Planner) requestFleet() { p.fleet.refreshWanted = true }

// pollFleet requests the list of VMs if it is wanted or due.
func (p *Planner) pollFleet() {
	f := &p.fleet
	if f.requestPending && p.now.Elapsed-f.requestedAt > fleetListTimeout {
		f.requestPending = false
	}
	if !f.loaded || p.anyWaveVMUnavailable() || len(p.moves)+len(f.departures) > 0 {
		f.refreshWanted = true
	}
	if p.now.Elapsed-f.requestedAt >= fleetSearchInterval && (p.anyWaveAwaitsVMs() || p.anyExecutorMissing()) {
		f.refreshWanted = true
	}
	if p.now.Elapsed >= p.vmOrdersFrom && f.requestedAt < p.vmOrdersFrom {
		// A list that is requested from now on shows everything that a former leader has ordered.
		f.refreshWanted, f.requestPending, f.requestedAt = true, false, 0
	}
	if !f.refreshWanted || f.requestPending || (f.requestedAt != 0 && p.now.Elapsed-f.requestedAt < fleetListInterval) {
		return
	}
	f.refreshWanted, f.requestPending, f.requestedAt = false, true, p.now.Elapsed
	p.emit(ListFleet{RequestedAt: p.now.Elapsed})
}

// orderVM orders the move or the maintenance of a VM in the name of this leader.
func (p *Planner) orderVM(order croft.FleetOrder) {
	order.Holder, order.Fence = p.options.Holder, p.fencingToken
	if w := p.workerOn(order.VM); w != nil {
		w.vmOrdered = true
	}
	p.emit(OrderVM{Order: order})
}

// recordDeparture records that the platform has accepted an order that ends the executor of a VM. The platform also
// accepts an order that it carried out earlier; in that case the executor has restarted since and keeps running. Only a
// list that is requested from now on shows which is the case.
func (p *Planner) recordDeparture(id croft.VMID) {
	if w := p.workerOn(id); w != nil {
		if p.fleet.departures == nil {
			p.fleet.departures = map[croft.WorkerID]departure{}
		}
		p.fleet.departures[w.ID] = departure{vm: id, at: p.now.Elapsed}
	}
	p.requestFleet()
}

// departureTimeout is how long lists may lack the VM of an accepted order before its executor is no longer waited for.
const departureTimeout = 6 * croft.Second

// applyDepartures resolves the departures with a list that was requested after them: executors that the list shows on
// the same VM, which is up, keep running, and the incarnations of the others have ended. A list that lacks the VM shows neither.
func (p *Planner) applyDepartures(e FleetRead) {
	for _, id := range slices.Sorted(maps.Keys(p.fleet.departures)) {
		d := p.fleet.departures[id]
		if e.RequestedAt < d.at {
			continue
		}
		w, ok := p.workers[id]
		vm, listed := p.fleet.vms[d.vm]
		if ok && !listed && e.RequestedAt-d.at < departureTimeout {
			continue
		}
		delete(p.fleet.departures, id)
		if !ok {
			continue
		}
		w.reserved, w.vmOrdered = false, false
		if !listed {
			p.log("Stays", string(id), string(d.vm), "lists lack its VM; its runs are kept until its leases expire without an answer")
			continue
		}
		if vm.Worker == id && !endsExecutor(vm.State) {
			p.log("Stays", string(id), string(d.vm), "the platform had carried out the order earlier; the executor has restarted since and keeps running")
			continue
		}
		p.endIncarnation(w, fmt.Sprintf("the platform carried out our order to move or maintain its VM %s", d.vm), wasShownBefore(e.RequestedAt))
		p.endLeases(w, e.RequestedAt)
		w.listed = false
	}
}

// applyVMState ends the incarnation of an executor that does not answer and whose VM did not run it when the list was requested.
func (p *Planner) applyVMState(w *worker, state croft.FleetState, requestedAt croft.Millis) {
	if w.verified {
		return
	}
	switch {
	case state == croft.FleetDown:
		p.endUnexpectedly(w, "its VM is "+string(state), wasShownBefore(requestedAt))
	case endsExecutor(state):
		p.endIncarnation(w, "its VM is "+string(state), wasShownBefore(requestedAt))
	default:
		return
	}
	p.endLeases(w, requestedAt)
}

// endsExecutor reports whether nothing runs on a VM in a state.
func endsExecutor(state croft.FleetState) bool {
	return state == croft.FleetDown || state == croft.FleetMoving || state == croft.FleetMaintenance
}

// handleFleetRead applies a list of VMs.
func (p *Planner) handleFleetRead(e FleetRead) {
	f := &p.fleet
	f.requestPending = f.requestPending && e.RequestedAt < f.requestedAt
	if e.VMs == nil {
		return
	}
	if e.RequestedAt < max(f.listRequestedAt, p.leaderSince) {
		p.log("Superseded", "VMs", "", fmt.Sprintf("a list that was requested %d ms ago is older than this term or than the list in use", p.now.Elapsed-e.RequestedAt))
		return
	}
	f.loaded, f.listRequestedAt = true, e.RequestedAt
	f.vms = make(map[croft.VMID]croft.FleetVM, len(e.VMs))
	f.byWorker = make(map[croft.WorkerID]croft.VMID, len(e.VMs))
	f.unregistered = nil
	if f.lastWorker == nil {
		f.lastWorker, f.lastVM = map[croft.VMID]croft.WorkerID{}, map[croft.WorkerID]croft.VMID{}
	}
	for _, vm := range e.VMs {
		f.vms[vm.ID], f.lastWorker[vm.ID] = vm, vm.Worker
		if vm.Worker == "" {
			continue
		}
		f.byWorker[vm.Worker], f.lastVM[vm.Worker] = vm.ID, vm.ID
		if w, ok := p.workers[vm.Worker]; ok {
			p.applyVMState(w, vm.State, e.RequestedAt)
		} else if vm.State == croft.FleetUp && !p.poolRule(vm.Pool).Spare {
			f.unregistered = append(f.unregistered, vm)
		}
	}
	p.endMissingExecutors(e)
	slices.SortFunc(f.unregistered, func(a, b croft.FleetVM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.vmIDs = sortedVMs(f.vms)
	p.forgetEndedExecutors()
	p.applyDepartures(e)
	p.applyListToWaves(e)
	p.completeMoves(e)
}

// vmOf returns the VM that runs an executor, or one of its own if no list has had it.
func (p *Planner) vmOf(w *worker) croft.VMID {
	if id, ok := p.fleet.lastVM[w.ID]; ok {
		return id
	}
	return croft.VMID(w.ID)
}

// forgetEndedExecutors drops what was known of VMs that the list lacks and whose executors are gone too.
func (p *Planner) forgetEndedExecutors() {
	f := &p.fleet
	maps.DeleteFunc(f.lastVM, func(id croft.WorkerID, _ croft.VMID) bool {
		_, running := f.byWorker[id]
		return !running && p.workers[id] == nil
	})
	maps.DeleteFunc(f.lastWorker, func(id croft.VMID, worker croft.WorkerID) bool {
		_, listed := f.vms[id]
		return !listed && p.workers[worker] == nil
	})
}

// missingConfirmation is for how long lists must lack an executor that is not registered, before it counts as ended.
const missingConfirmation = 2 * croft.Second

// endMissingExecutors ends the incarnations of executors that do not answer and that are not in the list: at once if the list
// has the VM that ran one. A list that lacks that VM may be incomplete, so the executor's registration has to be gone too, and
// for a while; otherwise its leases have to end.
func (p *Planner) endMissingExecutors(e FleetRead) {
	f := &p.fleet
	for _, w := range p.sortedWorkers {
		if _, running := f.byWorker[w.ID]; running {
			w.missingSince = 0
			continue
		}
		if w.missingSince == 0 {
			w.missingSince = e.RequestedAt
		}
		if w.verified {
			continue
		}
		if vm, listed := f.vms[f.lastVM[w.ID]]; listed && vm.Worker != "" {
			p.endUnexpectedly(w, "its VM runs another executor", (*run).isAny)
			p.endLeases(w, p.now.Elapsed)
		} else if listed {
			p.endUnexpectedly(w, "its VM does not run this executor", wasShownBefore(e.RequestedAt))
			p.endLeases(w, e.RequestedAt)
		} else if !w.listed && e.RequestedAt-w.missingSince >= missingConfirmation {
			p.endUnexpectedly(w, fmt.Sprintf("its registration is gone, and lists have lacked its VM for %d ms", e.RequestedAt-w.missingSince), wasShownBefore(e.RequestedAt))
			p.endLeases(w, e.RequestedAt)
		}
	}
}

// anyExecutorMissing reports whether the last list lacked an executor that does not answer and has runs.
func (p *Planner) anyExecutorMissing() bool {
	return slices.ContainsFunc(p.sortedWorkers, func(w *worker) bool { return w.missingSince != 0 && !w.verified && len(w.runs) > 0 })
}
