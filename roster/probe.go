package roster

import (
	"waxwing.example/croft"
)

// askSpan is how long entries of which little is known are asked for before others have their turn, in milliseconds.
const askSpan = 30 * croft.Second

// tick marks the silent, forgets the long silent and sends the probes that are due.
func (s State) tick(e croft.Tick) (State, []croft.Effect) {
	s, effects := s.expire(e.When())
	if e.When() >= s.askedUntil {
		s.askedUntil = e.When() + askSpan
		s.unknown = nil
	}
	if e.When() >= s.nextNear {
		s.nextNear = e.When() + s.nearSpan()
		s, effects = s.probe(effects, true)
	}
	if e.When() >= s.nextFar {
		s.nextFar = e.When() + s.farSpan()
		s, effects = s.probe(effects, false)
		s, effects = s.probeSeed(effects)
	}
	return s, effects
}

func (s State) expire(now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	changed := false
	it := s.members.Iterator()
	for !it.Done() {
		id, m, _ := it.Next()
		switch {
		case m.Heard > 0 && !s.isAlive(m, now):
			effects = append(effects, croft.Decision{
				Action: "Roster", Subject: string(id), Choice: "Silent", Reason: "not heard in time",
			})
			s.members = s.members.Set(id, m.withoutHeard(now))
			changed = true
		case m.Heard == 0 && now-m.Learned > forgetAfter:
			s.members = s.members.Delete(id)
		}
	}
	if changed {
		s = s.refreshed()
	}
	return s, effects
}

// probe asks the next member in turn, of this data centre or of another.
func (s State) probe(effects []croft.Effect, near bool) (State, []croft.Effect) {
	var peers []croft.Peer
	it := s.members.Iterator()
	for !it.Done() {
		_, m, _ := it.Next()
		if (m.Peer.DataCentre == s.self.DataCentre) == near {
			peers = append(peers, m.Peer)
		}
	}
	if len(peers) == 0 {
		return s, effects
	}
	turn := &s.farTurn
	if near {
		turn = &s.nearTurn
	}
	*turn++
	return s, append(effects, croft.ProbePeer{Peer: peers[*turn%uint64(len(peers))]})
}

// probeSeed asks the next seed address where no member is known.
func (s State) probeSeed(effects []croft.Effect) (State, []croft.Effect) {
	known := map[string]bool{s.self.Address: true}
	it := s.members.Iterator()
	for !it.Done() {
		_, m, _ := it.Next()
		known[m.Peer.Address] = m.Heard > 0
	}
	var unknown []string
	for _, a := range s.options.Seeds {
		if !known[a] {
			unknown = append(unknown, a)
		}
	}
	if len(unknown) == 0 {
		return s, effects
	}
	s.seedTurn++
	address := unknown[s.seedTurn%uint64(len(unknown))]
	return s, append(effects, croft.ProbePeer{Peer: croft.Peer{Address: address}})
}
