package roster

import (
	"fmt"

	"waxwing.example/croft"
)

// askInterval is the time between two resets of the list of requested descriptions. Otherwise entries that no peer
// describes would fill the list, which holds maxAsked, and others could not be requested.
const askInterval = 30 * croft.Second

// tick marks entries silent, forgets those that have been silent for long and sends the probes that are due.
func (s State) tick(e croft.Tick) (State, []croft.Effect) {
	s, effects := s.expire(e.When())
	if e.When() >= s.nextAskReset {
		s.nextAskReset = e.When() + askInterval
		s.undescribed = nil
	}
	if e.When() >= s.nextNear {
		s.nextNear = e.When() + s.nearInterval()
		s, effects = s.probeNext(effects, true)
	}
	if e.When() >= s.nextFar {
		s.nextFar = e.When() + s.farInterval()
		s, effects = s.probeNext(effects, false)
		s, effects = s.probeSeed(effects)
	}
	return s, effects
}

// expire marks entries silent that have not been seen for too long, and deletes those silent longer than forgetAfter.
func (s State) expire(now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	changed := false
	it := s.members.Iterator()
	for !it.Done() {
		id, m, _ := it.Next()
		switch {
		case m.LastSeen > 0 && !s.isAlive(m, now):
			effects = append(effects, croft.Decision{
				Action: "Roster", Subject: string(id), Choice: "Silent",
				Reason: fmt.Sprintf("no message or newer heartbeat for %d ms", now-m.LastSeen),
			})
			s.members = s.members.Set(id, m.markedSilent(now))
			changed = true
		case m.LastSeen == 0 && now-m.SilentSince > forgetAfter:
			s.members = s.members.Delete(id)
		}
	}
	if changed {
		s = s.withAliveRecomputed()
	}
	return s, effects
}

// probeNext probes the members in round-robin order: those of this data centre if near is set, else those of the other
// data centres.
func (s State) probeNext(effects []croft.Effect, near bool) (State, []croft.Effect) {
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

// probeSeed probes, in round-robin order, the seed addresses at which no entry is known to be alive.
func (s State) probeSeed(effects []croft.Effect) (State, []croft.Effect) {
	known := map[string]bool{s.self.Address: true}
	it := s.members.Iterator()
	for !it.Done() {
		_, m, _ := it.Next()
		known[m.Peer.Address] = m.LastSeen > 0
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
