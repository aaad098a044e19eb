package pools

import "waxwing.example/croft"

// LeavingNotice records that one incarnation of a VM must receive no further work.
type LeavingNotice struct {
	// Boot is the incarnation that is leaving; the notice covers older ones too.
	Boot uint64
	// Source is where the notice first came from.
	Source croft.LeavingSource
	// Epoch is the newest member row epoch known to drain the VM, zero if no drain is known.
	Epoch uint64
	// Resumed says that a drain of this boot was cancelled; the notice then applies only before Until.
	Resumed bool
	// Until is when the notice of a resumed VM expires.
	Until croft.Millis
}

// appliesTo reports whether the notice keeps a boot of its VM from receiving work.
func (n LeavingNotice) appliesTo(boot uint64, now croft.Millis) bool {
	if boot > n.Boot {
		return false
	}
	return !n.Resumed || now < n.Until
}

// recordNotice records that an incarnation of a VM is leaving. If this was not known and did not come from a peer, it
// returns the message that notifies all peers.
func (s State) recordNotice(id croft.VMID, boot uint64, source croft.LeavingSource, now croft.Millis) (State, []croft.Effect) {
	v, listed := s.vms.Get(id)
	if listed && boot < v.Boot {
		return s, nil
	}
	old, known := s.notices.Get(id)
	if known && old.Boot > boot {
		return s, nil
	}
	member, _ := s.members.Get(id)
	next := LeavingNotice{Boot: boot, Source: source}
	if member.Phase != croft.PhaseServing {
		next.Epoch = member.Epoch
	}
	if known && old.Boot == boot {
		// A resumed VM that the list still shows as leaving is unusable by its listed status, without a notice.
		if !old.Resumed || source == croft.LeavingByList {
			return s, nil
		}
		// The notice may have been sent before the resume, so it applies for a limited time; each further notice extends it.
		next = old
		next.Until = now + unconfirmedNoticeTime
		s.timedNotices = s.timedNotices.With(id, struct{}{})
	}
	s.notices = s.notices.With(id, next)
	s = s.markPoolDirty(id)
	if source == croft.LeavingByPeer {
		return s, nil
	}
	// All peers are notified, since entries of other data centres also use the endpoint when their own lack capacity.
	news := croft.News{Leaving: &croft.LeavingNews{VM: id, Boot: boot}}
	return s, []croft.Effect{croft.NotifyPeers{News: []croft.News{news}}}
}

// updateNotice updates the VM's leaving notice after a change of its member row from before to next: it ends the notice
// when a newer row has the VM serve again.
func (s State) updateNotice(next VersionedMember, before VersionedMember, now croft.Millis) State {
	notice, ok := s.notices.Get(next.VM)
	if !ok {
		return s
	}
	if next.Phase != croft.PhaseServing {
		notice.Epoch = next.Epoch
		notice.Resumed = false
		s.notices = s.notices.With(next.VM, notice)
		return s
	}
	switch {
	case notice.Resumed:
		return s
	case notice.Epoch > 0 && next.Epoch > notice.Epoch:
		notice.Until = 0
	case next.Epoch > before.Epoch+1 && before.Epoch > 0:
		// Between the two rows lies a whole drain that this entry did not observe. The notice may be about a later drain, so
		// it applies for a limited time.
		notice.Until = now + unconfirmedNoticeTime
		s.timedNotices = s.timedNotices.With(next.VM, struct{}{})
	default:
		return s
	}
	notice.Resumed = true
	s.notices = s.notices.With(next.VM, notice)
	return s
}

// expireNotices marks the pools of VMs as dirty whose notices of limited duration have expired or were replaced.
func (s State) expireNotices(now croft.Millis) State {
	for id := range s.timedNotices.All() {
		notice, ok := s.notices.Get(id)
		if ok && notice.Resumed && now < notice.Until {
			continue
		}
		s.timedNotices = s.timedNotices.Without(id)
		s = s.markPoolDirty(id)
	}
	return s
}
