package sched

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

// fleet is what the platform's list of VMs said last.
type fleet struct {
	// loaded says that a list was read since the takeover.
	loaded bool
	vms    map[croft.VMID]croft.FleetVM
	// vmIDs has the VMs by name, so that decisions repeat.
	vmIDs    []croft.VMID
	byWorker map[croft.WorkerID]croft.VMID
	// unregistered are VMs that are up with an executor that is not registered.
	unregistered []croft.FleetVM
	requestedAt  croft.Millis
	// listRequestedAt is when the last list that came was asked for.
	listRequestedAt croft.Millis
	requestPending  bool
	refreshWanted   bool
	// departures are executors whose VM was ordered away, by when the platform took the order.
	departures map[croft.WorkerID]departure
}

// departure is an order for a VM that the platform took.
type departure struct {
	vm croft.VMID
	at croft.Millis
}

// Spans of the list of VMs; each reading is charged, and the platform bounds them to some tens a second.
const (
	fleetListInterval = 400 * croft.Millis(1)
	// fleetSearchInterval is the pause while a wave waits for VMs that are not up: an executor that is back
	// shows them sooner, but VMs of a spare pool have none. It is the time of a maintenance.
	fleetSearchInterval = 2 * croft.Second
	// fleetListTimeout is when a list without an answer is asked for again.
	fleetListTimeout = 4 * croft.Second
)

// mayOrderVMs reports whether VMs may be ordered about: no former leader may any more, and a list
// has shown all that it ordered.
func (p *Planner) mayOrderVMs() bool {
	return p.now.Elapsed >= p.vmOrdersFrom && p.fleet.loaded && p.fleet.listRequestedAt >= p.vmOrdersFrom
}

func (p *Planner) requestFleet() { p.fleet.refreshWanted = true }

func (p *Planner) pollFleet() {
	f := &p.fleet
	if f.requestPending && p.now.Elapsed-f.requestedAt > fleetListTimeout {
		f.requestPending = false
	}
	if !f.loaded || p.anyWaveVMUnavailable() || len(p.moves)+len(f.departures) > 0 {
		f.refreshWanted = true
	}
	if p.now.Elapsed-f.requestedAt >= fleetSearchInterval && p.anyWaveAwaitsVMs() {
		f.refreshWanted = true
	}
	if p.now.Elapsed >= p.vmOrdersFrom && f.requestedAt < p.vmOrdersFrom {
		// Whatever the former leader ordered until now is in a list that is asked for now.
		f.refreshWanted, f.requestPending, f.requestedAt = true, false, 0
	}
	if !f.refreshWanted || f.requestPending || (f.requestedAt != 0 && p.now.Elapsed-f.requestedAt < fleetListInterval) {
		return
	}
	f.refreshWanted, f.requestPending, f.requestedAt = false, true, p.now.Elapsed
	p.emit(ListFleet{Asked: p.now.Elapsed})
}

// recordDeparture notes that the platform took an order that ends a VM's executor. It takes one that was
// carried out before in the same way, and then the executor is a new one that goes on: only a list
// that is asked for from here on tells which.
func (p *Planner) recordDeparture(id croft.VMID) {
	if w := p.workerOn(id); w != nil {
		if p.fleet.departures == nil {
			p.fleet.departures = map[croft.WorkerID]departure{}
		}
		p.fleet.departures[w.ID] = departure{vm: id, at: p.now.Elapsed}
	}
	p.requestFleet()
}

// applyDepartures settles the orders that a list tells about.
func (p *Planner) applyDepartures(e FleetRead) {
	for _, id := range slices.Sorted(maps.Keys(p.fleet.departures)) {
		d := p.fleet.departures[id]
		if e.Asked < d.at {
			continue
		}
		delete(p.fleet.departures, id)
		w, ok := p.workers[id]
		if !ok {
			continue
		}
		w.reserved = false
		vm, listed := p.fleet.vms[d.vm]
		if listed && vm.State == croft.FleetUp && vm.Worker == id {
			p.log("Stays", string(id), string(d.vm), "the order had been carried out before")
			continue
		}
		p.endIncarnation(w, "its VM left by our order")
		w.listed = false
	}
}

func (p *Planner) handleFleetRead(e FleetRead) {
	f := &p.fleet
	f.requestPending = false
	if e.VMs == nil {
		return
	}
	f.loaded, f.listRequestedAt = true, e.Asked
	f.vms = make(map[croft.VMID]croft.FleetVM, len(e.VMs))
	f.byWorker = make(map[croft.WorkerID]croft.VMID, len(e.VMs))
	f.unregistered = nil
	for _, vm := range e.VMs {
		f.vms[vm.ID] = vm
		if vm.Worker == "" {
			continue
		}
		f.byWorker[vm.Worker] = vm.ID
		if w, ok := p.workers[vm.Worker]; vm.State == croft.FleetUp && !ok && !p.poolRule(vm.Pool).Spare {
			f.unregistered = append(f.unregistered, vm)
		} else if ok && vm.State != croft.FleetUp && !w.verified {
			p.endIncarnation(w, "its VM is "+string(vm.State))
		}
	}
	for _, w := range p.sortedWorkers {
		if _, ok := f.byWorker[w.ID]; !ok && !w.verified {
			p.endIncarnation(w, "no VM has it any more")
		}
	}
	slices.SortFunc(f.unregistered, func(a, b croft.FleetVM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	f.vmIDs = sortedVMs(f.vms)
	p.applyDepartures(e)
	p.recordReturnedVMs(e)
	p.completeMoves(e)
}
