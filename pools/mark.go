package pools

import "waxwing.example/croft"

// Mark says that one incarnation of a VM takes no further work.
type Mark struct {
	Boot   uint64
	Source croft.LeavingSource
	// Epoch is the newest member epoch known to drain the VM, zero where no order explains the mark.
	Epoch uint64
	// Resumed says that an order was taken back for this boot, after which only Until keeps the VM out.
	Resumed bool
	// Until is when a mark of a resumed VM ends.
	Until croft.Millis
}

func (m Mark) holds(boot uint64, now croft.Millis) bool {
	if boot > m.Boot {
		return false
	}
	return !m.Resumed || now < m.Until
}

// mark records that a VM's incarnation leaves, and returns the news where it was not known.
func (s State) mark(id croft.VMID, boot uint64, source croft.LeavingSource, now croft.Millis) (State, []croft.Effect) {
	v, listed := s.vms.Get(id)
	if listed && boot < v.Boot {
		return s, nil
	}
	old, marked := s.marks.Get(id)
	if marked && old.Boot > boot {
		return s, nil
	}
	member, _ := s.members.Get(id)
	next := Mark{Boot: boot, Source: source}
	if member.Phase != croft.PhaseServing {
		next.Epoch = member.Epoch
	}
	if marked && old.Boot == boot {
		// The list's own status keeps a resumed VM out while the list says so.
		if !old.Resumed || source == croft.LeavingByList {
			return s, nil
		}
		// The word may be older than the resume: it holds for a while and is renewed by each further refusal.
		next = old
		next.Until = now + hintSpan
		s.hints = s.hints.With(id, struct{}{})
	}
	s.marks = s.marks.With(id, next)
	s = s.touch(id)
	if source == croft.LeavingByPeer {
		return s, nil
	}
	// Entries of other data centres use the endpoint too where their own are short.
	news := croft.News{Leaving: &croft.LeavingNews{VM: id, Boot: boot}}
	return s, []croft.Effect{croft.TellPeers{News: []croft.News{news}}}
}

// unmark takes a mark back where a newer order let the VM serve again.
func (s State) unmark(m Known, before Known, now croft.Millis) State {
	k, ok := s.marks.Get(m.VM)
	if !ok {
		return s
	}
	if m.Phase != croft.PhaseServing {
		k.Epoch = m.Epoch
		k.Resumed = false
		s.marks = s.marks.With(m.VM, k)
		return s
	}
	switch {
	case k.Resumed:
		return s
	case k.Epoch > 0 && m.Epoch > k.Epoch:
		k.Until = 0
	case m.Epoch > before.Epoch+1 && before.Epoch > 0:
		// A drain came and went unseen; the mark may be of a later one, so it holds for a while yet.
		k.Until = now + hintSpan
		s.hints = s.hints.With(m.VM, struct{}{})
	default:
		return s
	}
	k.Resumed = true
	s.marks = s.marks.With(m.VM, k)
	return s
}

// expire ends the marks whose time is over.
func (s State) expire(now croft.Millis) State {
	for id := range s.hints.All() {
		k, ok := s.marks.Get(id)
		if ok && k.Resumed && now < k.Until {
			continue
		}
		s.hints = s.hints.Without(id)
		s = s.touch(id)
	}
	return s
}
