package roster

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

// forgetAfter is how long an entry that is not heard is still probed, in milliseconds.
const forgetAfter = 10 * croft.Minute

// Reduce takes one event into the roster; events of other concerns leave it as it is.
func Reduce(s State, e croft.Event) (State, []croft.Effect) {
	switch ev := e.(type) {
	case croft.Tick:
		return s.tick(ev)
	case croft.PeerMessageReceived:
		return s.heard(ev)
	case croft.PeerProbeFailed:
		return s.silent(ev), nil
	case croft.TrafficCounted:
		return s.counted(ev), nil
	}
	return s, nil
}

func (s State) heard(e croft.PeerMessageReceived) (State, []croft.Effect) {
	if e.Peer.ID == s.self.ID || e.Peer.ID == "" {
		return s, nil
	}
	s, known := s.replaceSameAddress(e.Peer, e.When())
	m, found := s.members.Get(e.Peer.ID)
	if !found {
		m = Member{Learned: e.When()}
	}
	fresh := m.Heard == 0
	changed := fresh || m.Peer != e.Peer
	m.Peer = e.Peer
	m.Heard = e.When()
	m.Misses = 0
	m, demand := m.withWanted(e.Wanted)
	if e.Count > 0 {
		m.Count = e.Count
	}
	s.members = s.members.Set(e.Peer.ID, m)
	s = s.withoutUnknown(e.Peer.ID)
	s = s.learn(e.Known, e.When())
	var effects []croft.Effect
	if fresh {
		effects = append(effects, aliveDecision(e.Peer, "heard at "+e.Peer.Address))
	}
	s, revived := s.beats(e)
	if changed || demand || known || len(revived) > 0 {
		s = s.refreshed()
	}
	return s, append(effects, revived...)
}

func aliveDecision(peer croft.Peer, reason string) croft.Effect {
	return croft.Decision{Action: "Roster", Subject: string(peer.ID), Choice: "Alive", Reason: reason}
}

// beats marks the entries alive whose heartbeat counts have grown.
func (s State) beats(e croft.PeerMessageReceived) (State, []croft.Effect) {
	var effects []croft.Effect
	// The order of a map must not show in what the reducer does.
	for _, id := range slices.Sorted(maps.Keys(e.Beats)) {
		m, found := s.members.Get(id)
		if !found {
			s = s.withUnknown(id)
			continue
		}
		if e.Beats[id] <= m.Beat || m.Misses >= missesToSilent {
			continue
		}
		if m.Heard == 0 {
			effects = append(effects, aliveDecision(m.Peer, "its heartbeats were told by "+string(e.Peer.ID)))
		}
		m.Beat = e.Beats[id]
		m.Heard = e.When()
		s.members = s.members.Set(id, m)
	}
	return s, effects
}

// replaceSameAddress drops members whose listener is now another entry's: they were replaced.
func (s State) replaceSameAddress(peer croft.Peer, now croft.Millis) (State, bool) {
	dropped := false
	it := s.members.Iterator()
	for !it.Done() {
		id, m, _ := it.Next()
		if id == peer.ID || m.Peer.Address != peer.Address || m.Heard >= now {
			continue
		}
		s.members = s.members.Delete(id)
		dropped = true
	}
	return s, dropped
}

// learn adds entries that another one knows, to be probed before they count as alive.
func (s State) learn(known []croft.Peer, now croft.Millis) State {
	for _, p := range known {
		if p.ID == s.self.ID || p.ID == "" || p.Address == "" {
			continue
		}
		if _, found := s.members.Get(p.ID); found {
			continue
		}
		s.members = s.members.Set(p.ID, Member{Peer: p, Learned: now})
		s = s.withoutUnknown(p.ID)
	}
	return s
}

// withUnknown notes an entry to ask for.
func (s State) withUnknown(id croft.EntryID) State {
	if id == s.self.ID || len(s.unknown) >= maxUnknown || slices.Contains(s.unknown, id) {
		return s
	}
	s.unknown = append(slices.Clip(s.unknown), id)
	return s
}

func (s State) withoutUnknown(id croft.EntryID) State {
	i := slices.Index(s.unknown, id)
	if i >= 0 {
		s.unknown = slices.Concat(s.unknown[:i], s.unknown[i+1:])
	}
	return s
}

func (m Member) withWanted(told map[croft.PoolID]int) (Member, bool) {
	wanted := maps.Clone(m.Wanted)
	if wanted == nil {
		wanted = make(map[croft.PoolID]int, len(told))
	}
	maps.Copy(wanted, told)
	if maps.Equal(wanted, m.Wanted) {
		return m, false
	}
	m.Wanted = wanted
	return m, true
}

// silent counts a probe without an answer; after a few the entry is left out until it speaks
// itself, whatever others tell of it.
func (s State) silent(e croft.PeerProbeFailed) State {
	m, found := s.members.Get(e.ID)
	if !found {
		return s
	}
	m.Misses++
	if e.Refused {
		m.Misses = missesToSilent
	}
	gone := m.Heard > 0 && m.Misses >= missesToSilent
	if gone {
		m = m.withoutHeard(e.When())
	}
	s.members = s.members.Set(e.ID, m)
	if gone {
		return s.refreshed()
	}
	return s
}

func (m Member) withoutHeard(now croft.Millis) Member {
	m.Heard = 0
	m.Learned = now
	m.Wanted = nil
	return m
}

func (s State) counted(e croft.TrafficCounted) State {
	before := s
	s.wanted = maps.Clone(e.Wanted)
	if s.wanted == nil {
		s.wanted = map[croft.PoolID]int{}
	}
	s = s.withPast()
	for p := range s.wanted {
		if s.Share(p) != before.Share(p) {
			s.serial++
			break
		}
	}
	return s
}
