package fakes

import (
	"context"
	"fmt"
	"net/http"

	"waxwing.example/croft"
	"waxwing.example/croft/plat"
)

const (
	// controlRetryMs is the interval between two requests to an executor, in milliseconds.
	controlRetryMs croft.Millis = 50
	// maxControlFailures is the number of failed status requests after which a reboot stops waiting for the executor.
	maxControlFailures = 5
)

// worker is a VM in the platform's list, with its tasks and the state of its orders.
type worker struct {
	vm    croft.VM
	tasks map[croft.JobID]*task
	// wantLeaving reports that the VM's executor should be leaving.
	wantLeaving bool
	// notifying reports that a goroutine is sending wantLeaving to the executor.
	notifying bool
	// rebooting reports that a reboot is in progress.
	rebooting bool
}

// OrderVM carries out an order for a VM; it ignores an order for another boot than the VM's current one.
func (p *Platform) OrderVM(_ context.Context, order croft.OrderVM) error {
	if err := p.injectFaults(); err != nil {
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

// rejected returns the platform's error for an invalid request.
func rejected(status int, format string, args ...any) error {
	return &plat.RejectedError{Status: status, Reason: fmt.Sprintf(format, args...)}
}

func (p *Platform) drain(w *worker) {
	if w.vm.Status == croft.VMLive {
		p.putVM(w.vm.WithStatus(croft.VMLeaving))
	}
	p.setLeaving(w, true)
}

func (p *Platform) resume(w *worker) error {
	if w.rebooting {
		return rejected(http.StatusConflict, "VM: %q is rebooting", w.vm.ID)
	}
	if w.vm.Status == croft.VMLeaving {
		p.putVM(w.vm.WithStatus(croft.VMLive))
	}
	p.setLeaving(w, false)
	return nil
}

// setLeaving sets whether the VM's executor should be leaving, and notifies it in the background.
func (p *Platform) setLeaving(w *worker, leave bool) {
	changed := w.wantLeaving != leave
	w.wantLeaving = leave
	if w.notifying || w.vm.Address == "" || !changed {
		return
	}
	w.notifying = true
	p.spawn(func() { p.notifyExecutor(w) })
}

// notifyExecutor sends wantLeaving until the executor has accepted its latest value, the VM is removed, or the platform is
// closed.
func (p *Platform) notifyExecutor(w *worker) {
	for {
		p.mu.Lock()
		address, leave := w.vm.Address, w.wantLeaving
		p.mu.Unlock()
		err := p.control.setLeaving(p.ctx, address, leave)
		p.mu.Lock()
		delivered := err == nil && w.wantLeaving == leave
		removed := p.workers[w.vm.ID] != w
		if delivered || removed {
			w.notifying = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if p.options.Clock.Sleep(p.ctx, controlRetryMs) != nil {
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

// carryOutReboot waits for running requests, keeps the VM offline for RebootMs, and lists it as live with its next boot.
func (p *Platform) carryOutReboot(w *worker) {
	p.mu.Lock()
	address := w.vm.Address
	p.mu.Unlock()
	if address != "" {
		p.awaitIdle(address)
	}
	p.mu.Lock()
	p.generateReports()
	w.tasks = map[croft.JobID]*task{}
	boot := w.vm.Boot + 1
	p.mu.Unlock()
	if p.options.Clock.Sleep(p.ctx, p.options.RebootMs) != nil {
		return
	}
	if address != "" {
		p.restartExecutor(address, boot)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.rebooting = false
	w.wantLeaving = false
	if p.ctx.Err() != nil || p.workers[w.vm.ID] != w {
		return
	}
	restarted := w.vm.WithStatus(croft.VMLive)
	restarted.Boot = boot
	p.putVM(restarted)
}

// awaitIdle waits until the executor is leaving and idle, too many status requests have failed, or the drain limit has
// passed.
func (p *Platform) awaitIdle(address string) {
	until := p.options.Clock.Elapsed() + p.options.DrainLimitMs
	for failures := 0; failures < maxControlFailures && p.options.Clock.Elapsed() < until; {
		status, err := p.control.status(p.ctx, address)
		if err != nil {
			failures++
		}
		if err == nil && status.Leaving && status.Running == 0 {
			return
		}
		if p.options.Clock.Sleep(p.ctx, controlRetryMs) != nil {
			return
		}
	}
}

// restartExecutor makes the executor start a boot, and retries until it responds or the platform is closed.
func (p *Platform) restartExecutor(address string, boot uint64) {
	for p.control.restart(p.ctx, address, boot) != nil {
		if p.options.Clock.Sleep(p.ctx, controlRetryMs) != nil {
			return
		}
	}
}
