package fakes

import (
	"context"

	"waxwing.example/croft"
)

// vmChange is one change of the VM list.
type vmChange struct {
	Time    croft.Millis
	VM      croft.VM
	Removed bool
}

// vmChangeLog has all changes of the VM list; the version of a change is its position, counted from one.
type vmChangeLog struct{ changes []vmChange }

func (l *vmChangeLog) add(change vmChange) { l.changes = append(l.changes, change) }

// delta returns the changes after a version and up to an instant; only the latest change of each VM counts.
func (l *vmChangeLog) delta(since uint64, until croft.Millis) croft.VMDelta {
	latest := map[croft.VMID]vmChange{}
	order := []croft.VMID{}
	version := uint64(0)
	for i, c := range l.changes {
		if c.Time > until {
			break
		}
		version = uint64(i) + 1
		if version <= since {
			continue
		}
		if _, seen := latest[c.VM.ID]; !seen {
			order = append(order, c.VM.ID)
		}
		latest[c.VM.ID] = c
	}
	d := croft.VMDelta{Version: version, Whole: since == 0}
	for _, id := range order {
		c := latest[id]
		switch {
		case !c.Removed:
			d.Changed = append(d.Changed, c.VM)
		case !d.Whole:
			d.Removed = append(d.Removed, id)
		}
	}
	return d
}

// PutVM adds a VM to the list or replaces it there, and returns it as listed; Boot zero is replaced by the VM's next boot.
func (p *Platform) PutVM(vm croft.VM) croft.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm.Boot == 0 {
		vm.Boot = 1
		if w, ok := p.workers[vm.ID]; ok {
			vm.Boot = w.vm.Boot + 1
		}
	}
	p.putVM(vm)
	return vm
}

func (p *Platform) putVM(vm croft.VM) {
	p.generateReports()
	w, ok := p.workers[vm.ID]
	if !ok {
		w = &worker{tasks: map[croft.JobID]*task{}}
		p.workers[vm.ID] = w
	}
	if w.vm.Boot != vm.Boot || vm.Status == croft.VMFailed {
		w.tasks = map[croft.JobID]*task{}
	}
	if ok && w.vm == vm {
		return
	}
	w.vm = vm
	p.list.add(vmChange{Time: p.options.Clock.Now(), VM: vm})
}

// RemoveVM removes a VM from the list; it returns false if the list has no such VM.
func (p *Platform) RemoveVM(id croft.VMID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if !ok {
		return false
	}
	p.generateReports()
	delete(p.workers, id)
	p.list.add(vmChange{Time: p.options.Clock.Now(), VM: w.vm, Removed: true})
	return true
}

// SetVMStatus changes the status of a VM in the list; it returns false if the list has no such VM.
func (p *Platform) SetVMStatus(id croft.VMID, status croft.VMStatus) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[id]
	if ok {
		p.putVM(w.vm.WithStatus(status))
	}
	return ok
}

// ListVMs returns the changes after a version of the list, or the whole list for zero, delayed by ListLagMs.
func (p *Platform) ListVMs(_ context.Context, since uint64) (croft.VMDelta, error) {
	if err := p.injectFaults(); err != nil {
		return croft.VMDelta{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	until := p.options.Clock.Now() - p.options.ListLagMs
	if p.faults.OldList {
		until = min(until, p.listFrozenAt)
	}
	return p.list.delta(since, until), nil
}
