package fakes

import (
	"context"
	"fmt"
	"net/http"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

const (
	// controlRetryMs is the time between two tries to reach an executor, in milliseconds.
	controlRetryMs croft.Millis = 50
	// controlTries is how often a reboot asks a silent executor before it goes on.
	controlTries = 5
)

// worker is a VM as the platform runs it.
type worker struct {
	vm    croft.VM
	tasks map[croft.JobID]*task
	// leave is what the VM's executor is to be told.
	leave bool
	// telling says that somebody is telling it.
	telling   bool
	rebooting bool
}

// OrderVM has the platform act on a VM; an order for another boot is ignored.
func (p *Platform) OrderVM(_ context.Context, order croft.OrderVM) error {
	if err := p.admit(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w, ok := p.workers[order.VM]
	if !ok {
		return rejected(http.StatusNotFound, "VM: %q is not in the list", order.VM)
	}
	if order.Boot != w.vm.Boot {
		return nil
	}
	switch order.Verb {
	case croft.VMDrain:
		p.drain(w)
	case croft.VMReboot:
		p.reboot(w)
	case croft.VMResume:
		return p.resume(w)
	default:
		return rejected(http.StatusBadRequest, "Verb: %q is not Drain, Reboot or Resume", order.Verb)
	}
	return nil
}

func rejected(status int, format string, args ...any) error {
	return &plat.RejectedError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

func (p *Platform) drain(w *worker) {
	if w.vm.Status == croft.VMLive {
		p.putVM(w.vm.WithStatus(croft.VMLeaving))
	}
	p.tell(w, true)
}

func (p *Platform) resume(w *worker) error {
	if w.rebooting {
		return rejected(http.StatusConflict, "VM: %q is rebooting", w.vm.ID)
	}
	if w.vm.Status == croft.VMLeaving {
		p.putVM(w.vm.WithStatus(croft.VMLive))
	}
	p.tell(w, false)
	return nil
}

// tell has the VM's executor told whether to leave, in the background.
func (p *Platform) tell(w *worker, leave bool) {
	changed := w.leave != leave
	w.leave = leave
	if w.telling || w.vm.Address == "" || !changed {
		return
	}
	w.telling = true
	p.spawn(func() { p.keepTelling(w) })
}

// keepTelling tries until the executor knows the newest word, the VM has gone, or Close.
func (p *Platform) keepTelling(w *worker) {
	for {
		p.mu.Lock()
		address, leave := w.vm.Address, w.leave
		p.mu.Unlock()
		err := p.control.leave(p.life, address, leave)
		p.mu.Lock()
		told := err == nil && w.leave == leave
		gone := p.workers[w.vm.ID] != w
		if told || gone {
			w.telling = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if p.options.Clock.Sleep(p.life, controlRetryMs) != nil {
			return
		}
	}
}

func (p *Platform) reboot(w *worker) {
	if w.rebooting {
		return
	}
	w.rebooting = true
	p.drain(w)
	p.spawn(func() { p.carryOutReboot(w) })
}

// carryOutReboot waits for running requests, keeps the VM away, and brings it back as its next boot.
func (p *Platform) carryOutReboot(w *worker) {
	p.mu.Lock()
	address := w.vm.Address
	p.mu.Unlock()
	if address != "" {
		p.awaitIdle(address)
	}
	p.mu.Lock()
	p.takeReports()
	w.tasks = map[croft.JobID]*task{}
	boot := w.vm.Boot + 1
	p.mu.Unlock()
	if p.options.Clock.Sleep(p.life, p.options.RebootMs) != nil {
		return
	}
	if address != "" {
		p.restart(address, boot)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.rebooting = false
	w.leave = false
	if p.life.Err() != nil || p.workers[w.vm.ID] != w {
		return
	}
	back := w.vm.WithStatus(croft.VMLive)
	back.Boot = boot
	p.putVM(back)
}

// awaitIdle waits until the executor leaves and runs nothing, is silent, or the drain limit is over.
func (p *Platform) awaitIdle(address string) {
	until := p.options.Clock.Elapsed() + p.options.DrainLimitMs
	for silent := 0; silent < controlTries && p.options.Clock.Elapsed() < until; {
		status, err := p.control.status(p.life, address)
		if err != nil {
			silent++
		}
		if err == nil && status.Leaving && status.Running == 0 {
			return
		}
		if p.options.Clock.Sleep(p.life, controlRetryMs) != nil {
			return
		}
	}
}

// restart has the executor begin a boot, until it does or Close.
func (p *Platform) restart(address string, boot uint64) {
	for p.control.restart(p.life, address, boot) != nil {
		if p.options.Clock.Sleep(p.life, controlRetryMs) != nil {
			return
		}
	}
}
