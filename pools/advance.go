package pools

import (
	"fmt"

	"waxwing.example/croft"
)

// advance does the next step of a VM that is draining or away, where this entry plans for its pool.
func (s State) advance(id croft.VMID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	m, _ := s.members.Get(id)
	fence, holds := s.fence(m.Pool, now, in)
	if !holds || s.busy.Has(id) || m.Phase == croft.PhaseServing {
		return s, nil
	}
	if next, decision, ok := s.next(m.Member, now, in); ok {
		return s.put(next, fence, "", decision, now, in)
	}
	return s.order(m.Member, now, in)
}

// next returns the row that follows, where the VM is ready for it.
func (s State) next(m croft.Member, now croft.Millis, in Inputs) (croft.Member, croft.Decision, bool) {
	switch m.Purpose {
	case croft.PurposeNone:
		return s.resumed(m, now)
	case croft.PurposeHold:
		return m, croft.Decision{}, false
	}
	if reason := s.undoReason(m, now, in); reason != "" {
		next := m.WithPhase(croft.PhaseDraining, croft.PurposeNone, now).WithTarget("")
		return next, decide("Undo", next, reason), true
	}
	if m.Purpose == croft.PurposeMaintain {
		return s.maintained(m, now, in)
	}
	boot, up := s.restarted(m)
	if !up {
		return m, croft.Decision{}, false
	}
	next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now).WithPool(m.Target)
	next.Boot = boot
	return next, decide("Moved", next, "drained and restarted"), true
}

func (s State) maintained(m croft.Member, now croft.Millis, in Inputs) (croft.Member, croft.Decision, bool) {
	boot, up := s.restarted(m)
	if m.Phase == croft.PhaseAway && up {
		next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now)
		next.Boot = boot
		next.Maintained = now
		return next, decide("Maintained", next, "restarted"), true
	}
	if m.Phase == croft.PhaseDraining && s.finished(m, now, in) {
		v, _ := s.vms.Get(m.VM)
		next := m.WithPhase(croft.PhaseAway, croft.PurposeMaintain, now)
		next.Boot = max(m.Boot, v.Boot)
		return next, decide("Restart", next, "drained for maintenance"), true
	}
	return m, croft.Decision{}, false
}

// restarted returns the VM's boot, and whether it is up in a newer one than the phase began in.
func (s State) restarted(m croft.Member) (uint64, bool) {
	v, ok := s.vms.Get(m.VM)
	return v.Boot, ok && v.Status == croft.VMLive && v.Boot > m.Boot
}

// resumed lets a VM serve again once its executor takes work; a VM that is gone serves when it comes back.
func (s State) resumed(m croft.Member, now croft.Millis) (croft.Member, croft.Decision, bool) {
	o, _ := s.orders.Get(m.VM)
	taken := o.epoch == m.Epoch && o.verb == croft.VMResume && o.taken > 0
	v, listed := s.vms.Get(m.VM)
	gone := !listed || v.Status == croft.VMFailed
	if !taken && !gone && v.Boot <= m.Boot && now < m.Since+UndoAfter {
		return m, croft.Decision{}, false
	}
	next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now).WithTarget("")
	next.Boot = max(m.Boot, v.Boot)
	return next, decide("Resume", next, "drain taken back"), true
}

func (s State) undoReason(m croft.Member, now croft.Millis, in Inputs) string {
	v, listed := s.vms.Get(m.VM)
	if (!listed || v.Status == croft.VMFailed) && !s.restarting(m, now) {
		return "the VM failed"
	}
	if now >= m.Since+UndoAfter {
		return "not ended in time"
	}
	if m.Purpose != croft.PurposeMove {
		return ""
	}
	if _, ok := in.Config.Pool(m.Target); !ok {
		return fmt.Sprintf("pool %s is no longer declared", m.Target)
	}
	return ""
}

// restarting reports whether a restart that was ordered may be why the VM is away.
func (s State) restarting(m croft.Member, now croft.Millis) bool {
	o, ok := s.orders.Get(m.VM)
	return ok && o.epoch == m.Epoch && o.verb == croft.VMReboot && o.taken > 0 && now < o.taken+RestartGrace
}

// finished reports whether the drain was taken, given its time and left no task behind.
func (s State) finished(m croft.Member, now croft.Millis, in Inputs) bool {
	o, ok := s.orders.Get(m.VM)
	if !ok || o.epoch != m.Epoch || o.taken == 0 {
		return false
	}
	if o.verb == croft.VMReboot {
		return true
	}
	return now >= o.taken+DrainSpan && (in.Load == nil || in.Load.Tasks(m.VM) == 0)
}

// order asks the platform for what the phase needs, again where the last order was not taken.
func (s State) order(m croft.Member, now croft.Millis, in Inputs) (State, []croft.Effect) {
	verb := s.verb(m, now, in)
	old, ok := s.orders.Get(m.VM)
	if ok && old.epoch == m.Epoch && old.verb == verb {
		again := orderWithin
		if old.taken > 0 {
			again = RebootWithin
		}
		if now < old.sent+again {
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
		next.taken = old.taken
	}
	s.orders = s.orders.With(m.VM, next)
	return s, []croft.Effect{croft.OrderVM{Token: next.token, VM: m.VM, Boot: m.Boot, Verb: verb}}
}

func (s State) verb(m croft.Member, now croft.Millis, in Inputs) croft.VMVerb {
	switch {
	case m.Purpose == croft.PurposeNone:
		return croft.VMResume
	case m.Phase == croft.PhaseAway:
		return croft.VMReboot
	case m.Purpose == croft.PurposeMove && s.finished(m, now, in):
		return croft.VMReboot
	}
	return croft.VMDrain
}

func (s State) ordered(e croft.OrderEnded) State {
	const prefix = "pools/order/"
	if len(e.Token) <= len(prefix) || e.Token[:len(prefix)] != prefix {
		return s
	}
	id := croft.VMID(e.Token[lastSlash(e.Token)+1:])
	o, ok := s.orders.Get(id)
	if !ok || o.token != e.Token || e.Failed != "" {
		return s
	}
	if o.taken == 0 {
		o.taken = e.Time
	}
	s.orders = s.orders.With(id, o)
	return s
}

func lastSlash(text string) int {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '/' {
			return i
		}
	}
	return -1
}
