package pools

import (
	"fmt"

	"waxwing.example/croft"
)

// advance takes the next step of a VM that is draining or in phase Away, if this entry plans for its pool: it writes the
// next member row, or sends the platform the order that the row waits for.
func (s State) advance(id croft.VMID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	m, _ := s.members.Get(id)
	checks, plans := s.fencingChecks(m.Pool, now, in)
	if !plans || s.busy.Has(id) || m.Phase == croft.PhaseServing {
		return s, nil
	}
	if next, decision, ok := s.nextRow(m.Member, now, in); ok {
		return s.commitRow(next, checks, "", decision, now, in)
	}
	return s.sendOrder(m.Member, now, in)
}

// nextRow returns the VM's next member row and its log entry, and whether the VM is ready for it.
func (s State) nextRow(m croft.Member, now croft.Millis, in Inputs) (croft.Member, croft.Decision, bool) {
	switch m.Purpose {
	case croft.PurposeNone:
		return s.nextResumeRow(m, now)
	case croft.PurposeHold:
		return m, croft.Decision{}, false
	}
	if reason := s.undoReason(m, now, in); reason != "" {
		next := m.WithPhase(croft.PhaseDraining, croft.PurposeNone, now).WithTarget("")
		return next, newDecision("Undo", next, reason), true
	}
	if m.Purpose == croft.PurposeMaintain {
		return s.nextMaintenanceRow(m, now, in)
	}
	boot, up := s.restarted(m)
	if !up {
		return m, croft.Decision{}, false
	}
	next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now).WithPool(m.Target)
	next.Boot = boot
	return next, newDecision("Moved", next, "VM drained and restarted"), true
}

// nextMaintenanceRow returns the row that begins the restart of a drained VM, or the row that has a restarted VM serve
// again, with its log entry and whether the VM is ready for it.
func (s State) nextMaintenanceRow(m croft.Member, now croft.Millis, in Inputs) (croft.Member, croft.Decision, bool) {
	boot, up := s.restarted(m)
	if m.Phase == croft.PhaseAway && up {
		next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now)
		next.Boot = boot
		next.Maintained = now
		return next, newDecision("Maintained", next, "restarted"), true
	}
	if m.Phase == croft.PhaseDraining && s.drainFinished(m, now, in) {
		v, _ := s.vms.Get(m.VM)
		next := m.WithPhase(croft.PhaseAway, croft.PurposeMaintain, now)
		next.Boot = max(m.Boot, v.Boot)
		return next, newDecision("Restart", next, "drained for maintenance"), true
	}
	return m, croft.Decision{}, false
}

// restarted returns the VM's listed boot, and whether the VM is live with a newer boot than its row has.
func (s State) restarted(m croft.Member) (uint64, bool) {
	v, ok := s.vms.Get(m.VM)
	return v.Boot, ok && v.Status == croft.VMLive && v.Boot > m.Boot
}

// nextResumeRow returns the row that has a VM serve again after its drain was cancelled. The VM is ready for it once the
// platform accepted the resume order, the VM restarted, or UndoAfter has passed. A failed or unlisted VM is ready at once;
// it receives work again when the list shows it as live.
func (s State) nextResumeRow(m croft.Member, now croft.Millis) (croft.Member, croft.Decision, bool) {
	o, _ := s.orders.Get(m.VM)
	accepted := o.epoch == m.Epoch && o.verb == croft.VMResume && o.accepted > 0
	v, listed := s.vms.Get(m.VM)
	gone := !listed || v.Status == croft.VMFailed
	if !accepted && !gone && v.Boot <= m.Boot && now < m.Since+UndoAfter {
		return m, croft.Decision{}, false
	}
	next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now).WithTarget("")
	next.Boot = max(m.Boot, v.Boot)
	return next, newDecision("Resume", next, "drain cancelled"), true
}

// undoReason returns why a move or maintenance must be undone, empty if it may go on.
func (s State) undoReason(m croft.Member, now croft.Millis, in Inputs) string {
	v, listed := s.vms.Get(m.VM)
	if (!listed || v.Status == croft.VMFailed) && !s.restarting(m, now) {
		return "VM failed or left the VM list"
	}
	if now >= m.Since+UndoAfter {
		return fmt.Sprintf("%s not finished within %d ms", m.Purpose, UndoAfter)
	}
	if m.Purpose != croft.PurposeMove {
		return ""
	}
	if _, ok := in.Config.Pool(m.Target); !ok {
		return fmt.Sprintf("pool %s is no longer declared", m.Target)
	}
	return ""
}

// restarting reports whether the VM may be failed or unlisted only because the ordered reboot is in progress.
func (s State) restarting(m croft.Member, now croft.Millis) bool {
	o, ok := s.orders.Get(m.VM)
	return ok && o.epoch == m.Epoch && o.verb == croft.VMReboot && o.accepted > 0 && now < o.accepted+RestartGrace
}

// drainFinished reports whether the platform accepted the drain, MinDrainTime has passed since, and no task remains placed
// on the VM. An accepted reboot implies that.
func (s State) drainFinished(m croft.Member, now croft.Millis, in Inputs) bool {
	o, ok := s.orders.Get(m.VM)
	if !ok || o.epoch != m.Epoch || o.accepted == 0 {
		return false
	}
	if o.verb == croft.VMReboot {
		return true
	}
	return now >= o.accepted+MinDrainTime && (in.Load == nil || in.Load.Tasks(m.VM) == 0)
}

// sendOrder sends the platform the order that the row waits for. While the row still waits for the same order, it repeats
// the order orderResendAfter after the last send if it was not accepted, and AcceptedResendAfter after it otherwise.
func (s State) sendOrder(m croft.Member, now croft.Millis, in Inputs) (State, []croft.Effect) {
	verb := s.nextVerb(m, now, in)
	old, ok := s.orders.Get(m.VM)
	if ok && old.epoch == m.Epoch && old.verb == verb {
		resendAfter := orderResendAfter
		if old.accepted > 0 {
			resendAfter = AcceptedResendAfter
		}
		if now < old.sent+resendAfter {
			return s, nil
		}
	}
	s.serial++
	next := order{
		token: fmt.Sprintf("pools/order/%s/%d/%s", in.Self.ID, s.serial, m.VM),
		epoch: m.Epoch,
		boot:  m.Boot,
		verb:  verb,
		sent:  now,
	}
	if ok && old.epoch == m.Epoch && old.verb == verb {
		next.accepted = old.accepted
	}
	s.orders = s.orders.With(m.VM, next)
	return s, []croft.Effect{croft.OrderVM{Token: next.token, VM: m.VM, Boot: m.Boot, Verb: verb}}
}

// nextVerb returns the order that the member row waits for.
func (s State) nextVerb(m croft.Member, now croft.Millis, in Inputs) croft.VMVerb {
	switch {
	case m.Purpose == croft.PurposeNone:
		return croft.VMResume
	case m.Phase == croft.PhaseAway:
		return croft.VMReboot
	case m.Purpose == croft.PurposeMove && (s.rebootOrdered(m) || s.drainFinished(m, now, in)):
		return croft.VMReboot
	}
	return croft.VMDrain
}

// rebootOrdered reports whether the reboot that follows the drain was ordered in this phase, whether accepted or not.
func (s State) rebootOrdered(m croft.Member) bool {
	o, ok := s.orders.Get(m.VM)
	return ok && o.epoch == m.Epoch && o.verb == croft.VMReboot
}

// applyOrderResult records that the platform accepted the last order for a VM; failures and results of earlier orders are
// ignored.
func (s State) applyOrderResult(e croft.OrderEnded) State {
	const prefix = "pools/order/"
	if len(e.Token) <= len(prefix) || e.Token[:len(prefix)] != prefix {
		return s
	}
	id := croft.VMID(e.Token[lastSlashIndex(e.Token)+1:])
	o, ok := s.orders.Get(id)
	if !ok || o.token != e.Token || e.Failed != "" {
		return s
	}
	if o.accepted == 0 {
		o.accepted = e.Time
	}
	s.orders = s.orders.With(id, o)
	return s
}

func lastSlashIndex(text string) int {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '/' {
			return i
		}
	}
	return -1
}
