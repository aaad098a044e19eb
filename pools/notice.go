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
func (m LeavingNotice) appliesTo(boot uint64, now croft.Millis) bool {
	if boot > m.Boot {
		return false
	}
	return !m.Resumed || now < m.Until
}

// recordNotice records that an incarnation of a VM is leaving. It returns the message for the peers if that is new and
// did not come from a peer.
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
		// While the list says that a resumed VM is leaving, its status there alone makes the VM unusable.
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
	// Entries of other data centres also use the endpoint when their own endpoints lack capacity.
	news := croft.News{Leaving: &croft.LeavingNews{VM: id, Boot: boot}}
	return s, []croft.Effect{croft.TellPeers{News: []croft.News{news}}}
}

// updateNotice updates the VM's leaving notice after a change of its member row from before to m: it ends the notice
// when a newer row has the VM serve again.
func (s State) updateNotice(m Known, before Known, now croft.Millis) State {
	k, ok := s.notices.Get(m.VM)
	if !ok {
		return s
	}
	if m.Phase != croft.PhaseServing {
		k.Epoch = m.Epoch
		k.Resumed = false
		s.notices = s.notices.With(m.VM, k)
		return s
	}
	switch {
	case k.Resumed:
		return s
	case k.Epoch > 0 && m.Epoch > k.Epoch:
		k.Until = 0
	case m.Epoch > before.Epoch+1 && before.Epoch > 0:
		// The epochs skipped hold a whole drain that was not observed. The notice may be about a later drain, so it applies
		// for a limited time.
		k.Until = now + unconfirmedNoticeTime
		s.timedNotices = s.timedNotices.With(m.VM, struct{}{})
	default:
		return s
	}
	k.Resumed = true
	s.notices = s.notices.With(m.VM, k)
	return s
}

// expireNotices has the pools of VMs recounted whose notices of limited duration have expired.
func (s State) expireNotices(now croft.Millis) State {
	for id := range s.timedNotices.All() {
		k, ok := s.notices.Get(id)
		if ok && k.Resumed && now < k.Until {
			continue
		}
		s.timedNotices = s.timedNotices.Without(id)
		s = s.markPoolDirty(id)
	}
	return s
}
