package sched

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

// fleet is what the platform's list of VMs said last.
type fleet struct {
	// complete says that a list was read since the takeover.
	complete bool
	vms      map[croft.VMID]croft.FleetVM
	// order has the VMs by name, so that decisions repeat.
	order    []croft.VMID
	byWorker map[croft.WorkerID]croft.VMID
	// unregistered are VMs that are up with an executor that is not registered.
	unregistered []croft.FleetVM
	asked        croft.Millis
	// shown is when the last list that came was asked for.
	shown  croft.Millis
	asking bool
	wanted bool
	// leaving are executors whose VM was ordered away, by when the platform took the order.
	leaving map[croft.WorkerID]departure
}

// departure is an order for a VM that the platform took.
type departure struct {
	vm croft.VMID
	at croft.Millis
}

// Spans of the list of VMs; each reading is charged, and the platform bounds them to some tens a second.
const (
	fleetPause = 400 * croft.Millis(1)
	// fleetSearch is the pause while a wave waits for VMs that are not up: an executor that is back
	// shows them sooner, but VMs of a spare pool have none. It is the time of a maintenance.
	fleetSearch = 2 * croft.Second
	// fleetOverdue is when a list without an answer is asked for again.
	fleetOverdue = 4 * croft.Second
)

// mayOrderVMs reports whether VMs may be ordered about: no former leader may any more, and a list
// has shown all that it ordered.
func (p *Planner) mayOrderVMs() bool {
	return p.now.Elapsed >= p.vmsFrom && p.fleet.complete && p.fleet.shown >= p.vmsFrom
}

func (p *Planner) askFleet() { p.fleet.wanted = true }

func (p *Planner) pollFleet() {
	f := &p.fleet
	if f.asking && p.now.Elapsed-f.asked > fleetOverdue {
		f.asking = false
	}
	if !f.complete || p.waveAway() || len(p.moves)+len(f.leaving) > 0 {
		f.wanted = true
	}
	if p.now.Elapsed-f.asked >= fleetSearch && p.waveSearches() {
		f.wanted = true
	}
	if p.now.Elapsed >= p.vmsFrom && f.asked < p.vmsFrom {
		// Whatever the former leader ordered until now is in a list that is asked for now.
		f.wanted, f.asking, f.asked = true, false, 0
	}
	if !f.wanted || f.asking || (f.asked != 0 && p.now.Elapsed-f.asked < fleetPause) {
		return
	}
	f.wanted, f.asking, f.asked = false, true, p.now.Elapsed
	p.do(ListFleet{Asked: p.now.Elapsed})
}

// leave notes that the platform took an order that ends a VM's executor. It takes one that was
// carried out before in the same way, and then the executor is a new one that goes on: only a list
// that is asked for from here on tells which.
func (p *Planner) leave(id croft.VMID) {
	if w := p.workerOn(id); w != nil {
		if p.fleet.leaving == nil {
			p.fleet.leaving = map[croft.WorkerID]departure{}
		}
		p.fleet.leaving[w.ID] = departure{vm: id, at: p.now.Elapsed}
	}
	p.askFleet()
}

// depart settles the orders that a list tells about.
func (p *Planner) depart(e FleetRead) {
	for _, id := range slices.Sorted(maps.Keys(p.fleet.leaving)) {
		d := p.fleet.leaving[id]
		if e.Asked < d.at {
			continue
		}
		delete(p.fleet.leaving, id)
		w, ok := p.workers[id]
		if !ok {
			continue
		}
		w.reserved = false
		vm, there := p.fleet.vms[d.vm]
		if there && vm.State == croft.FleetUp && vm.Worker == id {
			p.log("Stays", string(id), string(d.vm), "the order had been carried out before")
			continue
		}
		p.endIncarnation(w, "its VM left by our order")
		w.listed = false
	}
}

func (p *Planner) takeFleet(e FleetRead) {
	f := &p.fleet
	f.asking = false
	if e.VMs == nil {
		return
	}
	f.complete, f.shown = true, e.Asked
	f.vms = make(map[croft.VMID]croft.FleetVM, len(e.VMs))
	f.byWorker = make(map[croft.WorkerID]croft.VMID, len(e.VMs))
	f.unregistered = nil
	for _, vm := range e.VMs {
		f.vms[vm.ID] = vm
		if vm.Worker == "" {
			continue
		}
		f.byWorker[vm.Worker] = vm.ID
		if w, ok := p.workers[vm.Worker]; vm.State == croft.FleetUp && !ok && !p.rule(vm.Pool).Spare {
			f.unregistered = append(f.unregistered, vm)
		} else if ok && vm.State != croft.FleetUp && !w.verified {
			p.endIncarnation(w, "its VM is "+string(vm.State))
		}
	}
	for _, w := range p.workerOrder {
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
	f.order = sortedVMs(f.vms)
	p.depart(e)
	p.checkWaves(e)
	p.arrive(e)
}
