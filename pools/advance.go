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
	v, listed := s.vms.Get(m.VM)
	up := listed && v.Status == croft.VMLive
	booted := listed && v.Boot > m.Boot
	if m.Purpose == croft.PurposeNone {
		return s.resumed(m, up, booted, now)
	}
	if m.Purpose == croft.PurposeHold {
		return m, croft.Decision{}, false
	}
	if reason := undoReason(m, listed && v.Status != croft.VMFailed, now, in); reason != "" {
		next := m.WithPhase(croft.PhaseDraining, croft.PurposeNone, now).WithTarget("")
		return next, decide("Undo", next, reason), true
	}
	switch {
	case m.Purpose == croft.PurposeMove && booted && up:
		next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now).WithPool(m.Target)
		next.Boot = v.Boot
		return next, decide("Moved", next, "drained and restarted"), true
	case m.Phase == croft.PhaseDraining && m.Purpose == croft.PurposeMaintain && s.finished(m, now, in):
		next := m.WithPhase(croft.PhaseAway, croft.PurposeMaintain, now)
		next.Boot = v.Boot
		return next, decide("Restart", next, "drained for maintenance"), true
	case m.Phase == croft.PhaseAway && booted && up:
		next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now)
		next.Boot = v.Boot
		next.Maintained = now
		return next, decide("Maintained", next, "restarted"), true
	}
	return m, croft.Decision{}, false
}

// resumed lets a VM serve again once its executor takes work.
func (s State) resumed(m croft.Member, up, booted bool, now croft.Millis) (croft.Member, croft.Decision, bool) {
	o, _ := s.orders.Get(m.VM)
	taken := o.epoch == m.Epoch && o.verb == croft.VMResume && o.taken > 0
	if !taken && !booted && up && now < m.Since+RebootWithin {
		return m, croft.Decision{}, false
	}
	if !taken && !booted && !up && now < m.Since+RebootWithin && s.listedLeaving(m.VM) {
		return m, croft.Decision{}, false
	}
	next := m.WithPhase(croft.PhaseServing, croft.PurposeNone, now).WithTarget("")
	return next, decide("Resume", next, "drain taken back"), true
}

func (s State) listedLeaving(id croft.VMID) bool {
	v, ok := s.vms.Get(id)
	return ok && v.Status == croft.VMLeaving
}

func undoReason(m croft.Member, alive bool, now croft.Millis, in Inputs) string {
	if !alive {
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
