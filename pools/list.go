package pools

import "waxwing.example/croft"

// applyVMList applies a change of the VM list; a change that is not newer than the known list is ignored, except a whole
// list of the same version.
func (s State) applyVMList(e croft.VMsListed) (State, []croft.Effect) {
	if e.Delta.Version < s.listVersion || (e.Delta.Version == s.listVersion && !e.Delta.Whole) {
		return s, nil
	}
	s.listVersion = e.Delta.Version
	var effects []croft.Effect
	for _, v := range e.Delta.Changed {
		var more []croft.Effect
		s, more = s.recordVM(v, e.Time)
		effects = append(effects, more...)
	}
	for _, id := range e.Delta.Removed {
		s = s.removeVM(id)
	}
	if e.Delta.Whole {
		s = s.removeUnlisted(e.Delta.Changed)
	}
	return s, effects
}

// recordVM records a listed VM. It ignores an older boot, drops leaving notices of older boots, and records a new
// notice if the list says that the VM is leaving.
func (s State) recordVM(v croft.VM, now croft.Millis) (State, []croft.Effect) {
	old, ok := s.vms.Get(v.ID)
	if ok && (v == old || v.Boot < old.Boot) {
		return s, nil
	}
	s.vms = s.vms.With(v.ID, v)
	if ok && old.Status != croft.VMFailed && v.Status == croft.VMFailed {
		s.failures++
	}
	if notice, noticed := s.notices.Get(v.ID); noticed && v.Boot > notice.Boot {
		s.notices = s.notices.Without(v.ID)
	}
	if !s.members.Has(v.ID) {
		s.unassigned = s.unassigned.With(v.ID, struct{}{})
	}
	s = s.updateUnrecordedRestarts(v.ID).markPoolDirty(v.ID)
	if v.Status == croft.VMLeaving {
		return s.recordNotice(v.ID, v.Boot, croft.LeavingByList, now)
	}
	return s, nil
}

// updateUnrecordedRestarts adds the VM to unrecordedRestarts if it is serving and live with a newer boot than its row names, else
// removes it.
func (s State) updateUnrecordedRestarts(id croft.VMID) State {
	v, listed := s.vms.Get(id)
	m, ok := s.members.Get(id)
	if listed && ok && m.Phase == croft.PhaseServing && v.Boot > m.Boot && v.Status == croft.VMLive {
		s.unrecordedRestarts = s.unrecordedRestarts.With(id, struct{}{})
	} else if s.unrecordedRestarts.Has(id) {
		s.unrecordedRestarts = s.unrecordedRestarts.Without(id)
	}
	return s
}

// removeVM removes a VM that is no longer listed; its member row and its leaving notice stay.
func (s State) removeVM(id croft.VMID) State {
	s.vms = s.vms.Without(id)
	s.unassigned = s.unassigned.Without(id)
	s.unrecordedRestarts = s.unrecordedRestarts.Without(id)
	return s.markPoolDirty(id)
}

// removeUnlisted removes all VMs that a whole list does not contain.
func (s State) removeUnlisted(listed []croft.VM) State {
	if len(listed) == s.vms.Len() {
		return s
	}
	present := make(map[croft.VMID]bool, len(listed))
	for _, v := range listed {
		present[v.ID] = true
	}
	var gone []croft.VMID
	for id := range s.vms.All() {
		if !present[id] {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		s = s.removeVM(id)
	}
	return s
}

// markPoolDirty has the VM's pool recounted at the end of the event.
func (s State) markPoolDirty(id croft.VMID) State {
	m, ok := s.members.Get(id)
	if !ok {
		return s
	}
	s.dirty = s.dirty.With(m.Pool, struct{}{})
	return s
}

// recountDirtyPools recounts the pools that changed in this event.
func (s State) recountDirtyPools(now croft.Millis) State {
	if s.dirty.Len() == 0 {
		return s
	}
	s.changes++
	for id := range s.dirty.All() {
		index, _ := s.pools.Get(id)
		index = s.recount(index, now)
		index.changes = s.changes
		s.pools = s.pools.With(id, index)
	}
	s.dirty = s.dirty.Cleared()
	return s
}

// recount returns a pool's index with its endpoints and its counts of VMs recalculated.
func (s State) recount(index poolIndex, now croft.Millis) poolIndex {
	next := poolIndex{vms: index.vms, incoming: index.incoming, arrived: index.arrived}
	for id := range index.vms.All() {
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
			next.maintaining++
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
