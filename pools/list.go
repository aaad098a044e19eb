package pools

import "waxwing.example/croft"

// list applies a delta of the VM list; an older list than the known one is ignored.
func (s State) list(e croft.VMsListed) (State, []croft.Effect) {
	if e.Delta.Version < s.listed || (e.Delta.Version == s.listed && !e.Delta.Whole) {
		return s, nil
	}
	s.listed = e.Delta.Version
	var effects []croft.Effect
	for _, v := range e.Delta.Changed {
		var f []croft.Effect
		s, f = s.learnVM(v, e.Time)
		effects = append(effects, f...)
	}
	for _, id := range e.Delta.Removed {
		s = s.forgetVM(id)
	}
	if e.Delta.Whole {
		s = s.forgetMissing(e.Delta.Changed)
	}
	return s, effects
}

func (s State) learnVM(v croft.VM, now croft.Millis) (State, []croft.Effect) {
	old, ok := s.vms.Get(v.ID)
	if ok && (v == old || v.Boot < old.Boot) {
		return s, nil
	}
	s.vms = s.vms.With(v.ID, v)
	if ok && old.Status != croft.VMFailed && v.Status == croft.VMFailed {
		s.failed++
	}
	if k, marked := s.marks.Get(v.ID); marked && v.Boot > k.Boot {
		s.marks = s.marks.Without(v.ID)
	}
	if !s.members.Has(v.ID) {
		s.fresh = s.fresh.With(v.ID, struct{}{})
	}
	s = s.compareBoot(v.ID).touch(v.ID)
	if v.Status == croft.VMLeaving {
		return s.mark(v.ID, v.Boot, croft.LeavingByList, now)
	}
	return s, nil
}

// compareBoot notes a VM that restarted while it served.
func (s State) compareBoot(id croft.VMID) State {
	v, listed := s.vms.Get(id)
	m, ok := s.members.Get(id)
	if listed && ok && m.Phase == croft.PhaseServing && v.Boot > m.Boot && v.Status == croft.VMLive {
		s.unconfirmed = s.unconfirmed.With(id, struct{}{})
	} else if s.unconfirmed.Has(id) {
		s.unconfirmed = s.unconfirmed.Without(id)
	}
	return s
}

func (s State) forgetVM(id croft.VMID) State {
	s.vms = s.vms.Without(id)
	s.fresh = s.fresh.Without(id)
	s.unconfirmed = s.unconfirmed.Without(id)
	return s.touch(id)
}

func (s State) forgetMissing(listed []croft.VM) State {
	if len(listed) == s.vms.Len() {
		return s
	}
	there := make(map[croft.VMID]bool, len(listed))
	for _, v := range listed {
		there[v.ID] = true
	}
	var gone []croft.VMID
	for id := range s.vms.All() {
		if !there[id] {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		s = s.forgetVM(id)
	}
	return s
}

// touch has the index of the VM's pool follow a change, at the end of the event.
func (s State) touch(id croft.VMID) State {
	m, ok := s.members.Get(id)
	if !ok {
		return s
	}
	s.dirty = s.dirty.With(m.Pool, struct{}{})
	return s
}

// refresh counts the pools again that changed in this event.
func (s State) refresh(now croft.Millis) State {
	if s.dirty.Len() == 0 {
		return s
	}
	s.changes++
	for id := range s.dirty.All() {
		g, _ := s.index.Get(id)
		g = s.count(g, now)
		g.counted = s.changes
		s.index = s.index.With(id, g)
	}
	s.dirty = s.dirty.Cleared()
	return s
}

func (s State) count(g group, now croft.Millis) group {
	next := group{vms: g.vms, incoming: g.incoming, arrived: g.arrived}
	for id := range g.vms.All() {
		m, _ := s.members.Get(id)
		v, listed := s.vms.Get(id)
		if !listed || v.Status != croft.VMLive {
			next.failed++
		}
		switch m.Phase {
		case croft.PhaseDraining:
			next.draining++
		case croft.PhaseAway:
			next.away++
		case croft.PhaseServing:
		}
		if m.Target != "" {
			next.moving++
		}
		if m.Purpose == croft.PurposeMaintain {
			next.maintain++
		}
		if !s.Usable(id, now) {
			continue
		}
		next.endpoints = append(next.endpoints, croft.Endpoint{
			VM:         id,
			Pool:       m.Pool,
			DataCentre: v.DataCentre,
			Rack:       v.Rack,
			Address:    v.Address,
			Boot:       v.Boot,
		})
	}
	return next
}
