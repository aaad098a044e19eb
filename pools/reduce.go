package pools

import (
	"strings"

	"waxwing.example/croft"
)

// Reduce returns the state after an event and the effects it asks for.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	switch e := e.(type) {
	case croft.Tick:
		s, effects = s.tick(e, in)
	case croft.VMsListed:
		s, effects = s.applyVMList(e)
	case croft.RowsRead:
		s, effects = s.applyRows(e)
	case croft.CommitEnded:
		s, effects = s.applyCommitResult(e, in)
	case croft.OrderEnded:
		s = s.applyOrderResult(e)
	case croft.EndpointLeaving:
		s, effects = s.recordNotice(e.VM, e.Boot, e.Source, e.Time)
	case croft.PeerMessageReceived:
		s, effects = s.applyPeerNews(e)
	case croft.CommandReceived:
		s, effects = s.handleCommand(e, in)
	}
	return s.recountDirtyPools(e.When()), effects
}

// tick scans the member rows, resends commits, and takes the due steps of the VMs of pools that this entry plans for.
func (s State) tick(e croft.Tick, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	if e.Time >= s.lastScan+scanInterval {
		s.lastScan = e.Time
		effects = append(effects, croft.ScanRows{Prefix: croft.MemberPrefix, Since: s.previousScanVersion})
	}
	if e.Time < s.lastStep+stepInterval {
		return s, effects
	}
	s.lastStep = e.Time
	s = s.expireNotices(e.Time)
	s, more := s.resendCommits(e.Time)
	effects = append(effects, more...)
	if !in.PlatformReachable || !s.Loaded() {
		return s, effects
	}
	s, more = s.assignNewVMs(e.Time, in)
	effects = append(effects, more...)
	s, more = s.recordRestarts(e.Time, in)
	effects = append(effects, more...)
	for id := range s.active.All() {
		s, more = s.advance(id, e.Time, in)
		effects = append(effects, more...)
	}
	return s, effects
}

// applyPeerNews records the leaving notices received from another entry.
func (s State) applyPeerNews(e croft.PeerMessageReceived) (State, []croft.Effect) {
	for _, n := range e.News {
		if n.Leaving != nil {
			s, _ = s.recordNotice(n.Leaving.VM, n.Leaving.Boot, croft.LeavingByPeer, e.Time)
		}
	}
	return s, nil
}

// applyRows records member rows; a scan of all of them also moves the scan positions on.
func (s State) applyRows(e croft.RowsRead) (State, []croft.Effect) {
	if !strings.HasPrefix(e.Prefix, croft.MemberPrefix) {
		return s, nil
	}
	var effects []croft.Effect
	newest := s.lastScanVersion
	for _, r := range e.Rows {
		var more []croft.Effect
		s, more = s.recordRow(r, e.Time)
		effects = append(effects, more...)
		newest = max(newest, r.Version)
	}
	if e.Prefix != croft.MemberPrefix {
		return s, effects
	}
	// Each scan starts where the scan before the last one ended, so that a row written between
	// two pages of a scan is read by the next one.
	s.previousScanVersion = s.lastScanVersion
	s.lastScanVersion = newest
	s.loaded = s.loaded || e.Whole
	return s, effects
}

// recordRow records a member row and updates the indexes and the VM's leaving notice; a row that is not newer than the
// known one is ignored.
func (s State) recordRow(r croft.Row, now croft.Millis) (State, []croft.Effect) {
	if !strings.HasPrefix(r.Key, croft.MemberPrefix) || r.Version == 0 {
		return s, nil
	}
	m, ok := decodeMember(r)
	if !ok {
		return s, nil
	}
	before, known := s.members.Get(m.VM)
	if known && r.Version <= before.Version {
		return s, nil
	}
	next := VersionedMember{Member: m, Version: r.Version}
	s.members = s.members.With(m.VM, next)
	s.unassigned = s.unassigned.Without(m.VM)
	s = s.reindex(before, next).updateUnrecordedRestarts(m.VM)
	if m.Phase == croft.PhaseServing && m.Purpose == croft.PurposeNone {
		s.active = s.active.Without(m.VM)
		s.orders = s.orders.Without(m.VM)
	} else {
		s.active = s.active.With(m.VM, struct{}{})
	}
	s = s.updateNotice(next, before, now)
	if m.Phase == croft.PhaseDraining && m.Purpose != croft.PurposeNone {
		return s.recordNotice(m.VM, m.Boot, croft.LeavingByOrder, now)
	}
	return s, nil
}

// reindex moves a VM from the index of its old pool to that of its new one, updates the counts of moves, and marks the
// pools as dirty.
func (s State) reindex(before, next VersionedMember) State {
	if before.Pool != "" && before.Pool != next.Pool {
		index, _ := s.pools.Get(before.Pool)
		index.vms = index.vms.Without(next.VM)
		s.pools = s.pools.With(before.Pool, index)
		s.dirty = s.dirty.With(before.Pool, struct{}{})
	}
	if before.Target != next.Target {
		s = s.addIncoming(before.Target, -1).addIncoming(next.Target, 1)
	}
	index, _ := s.pools.Get(next.Pool)
	index.vms = index.vms.With(next.VM, struct{}{})
	if before.Pool != "" && before.Pool != next.Pool {
		index.arrived++
	}
	s.pools = s.pools.With(next.Pool, index)
	s.dirty = s.dirty.With(next.Pool, struct{}{})
	return s
}

// addIncoming changes the count of VMs that are moving to a pool.
func (s State) addIncoming(pool croft.PoolID, change int) State {
	if pool == "" {
		return s
	}
	index, _ := s.pools.Get(pool)
	index.incoming += change
	s.pools = s.pools.With(pool, index)
	return s
}
