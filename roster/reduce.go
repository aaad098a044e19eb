package roster

import (
	"maps"

	"waxwing.example/croft"
)

// forgetAfter is how long an entry that is not heard is still probed, in milliseconds.
const forgetAfter = 10 * croft.Minute

// knownPerMessage is the most other entries named in one message.
const knownPerMessage = 4

// Reduce takes one event into the roster; events of other concerns leave it as it is.
func Reduce(s State, e croft.Event) (State, []croft.Effect) {
	switch ev := e.(type) {
	case croft.Tick:
		return s.tick(ev)
	case croft.PeerHeard:
		return s.heard(ev)
	case croft.PeerSilent:
		return s.silent(ev), nil
	case croft.TrafficCounted:
		return s.counted(ev), nil
	}
	return s, nil
}

func (s State) heard(e croft.PeerHeard) (State, []croft.Effect) {
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
	m, demand := m.withNews(e.News)
	s.members = s.members.Set(e.Peer.ID, m)
	s = s.learn(e.Known, e.When())
	if changed || demand || known {
		s = s.refreshed()
	}
	if !fresh {
		return s, nil
	}
	return s, []croft.Effect{croft.Decision{
		Action: "Roster", Subject: string(e.Peer.ID), Choice: "Alive", Reason: "heard at " + e.Peer.Address,
	}}
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
	}
	return s
}

func (m Member) withNews(news []croft.News) (Member, bool) {
	changed := false
	for _, n := range news {
		if n.Used == nil || n.Used.Entry != m.Peer.ID {
			continue
		}
		if m.Wanted[n.Used.Pool] == n.Used.Wanted {
			continue
		}
		wanted := maps.Clone(m.Wanted)
		if wanted == nil {
			wanted = map[croft.PoolID]int{}
		}
		wanted[n.Used.Pool] = n.Used.Wanted
		m.Wanted = wanted
		changed = true
	}
	return m, changed
}

func (s State) silent(e croft.PeerSilent) State {
	m, found := s.members.Get(e.ID)
	if !found || m.Heard == 0 || s.isAlive(m, e.When()) {
		return s
	}
	m.Heard = 0
	m.Learned = e.When()
	m.Wanted = nil
	s.members = s.members.Set(e.ID, m)
	return s.refreshed()
}

func (s State) counted(e croft.TrafficCounted) State {
	if maps.Equal(s.wanted, e.Wanted) {
		return s
	}
	s.wanted = maps.Clone(e.Wanted)
	if s.wanted == nil {
		s.wanted = map[croft.PoolID]int{}
	}
	s.serial++
	return s
}
