package roster

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

// forgetAfter is how long a silent entry is still probed before it is deleted from the roster.
const forgetAfter = 10 * croft.Minute

// Reduce applies one event to the roster and returns the effects; event types that it does not handle change nothing.
func Reduce(s State, e croft.Event) (State, []croft.Effect) {
	switch ev := e.(type) {
	case croft.Tick:
		return s.tick(ev)
	case croft.PeerMessageReceived:
		return s.receiveMessage(ev)
	case croft.PeerProbeFailed:
		return s.recordMissedProbe(ev), nil
	case croft.TrafficCounted:
		return s.recordDemand(ev), nil
	}
	return s, nil
}

// receiveMessage applies a message of another entry: the sender is alive, and its heartbeats, descriptions and demand
// are recorded.
func (s State) receiveMessage(e croft.PeerMessageReceived) (State, []croft.Effect) {
	if e.Peer.ID == s.self.ID || e.Peer.ID == "" {
		return s, nil
	}
	s, dropped := s.dropReplacedAt(e.Peer, e.When())
	m, found := s.members.Get(e.Peer.ID)
	if !found {
		m = Member{SilentSince: e.When()}
	}
	joined := m.LastSeen == 0
	changed := joined || m.Peer != e.Peer
	m.Peer = e.Peer
	m.LastSeen = e.When()
	m.MissedProbes = 0
	m, demandChanged := m.withDemand(e.Wanted)
	if e.Count > 0 {
		m.AliveCount = e.Count
	}
	s.members = s.members.Set(e.Peer.ID, m)
	s = s.withoutUndescribed(e.Peer.ID)
	s = s.addKnown(e.Known, e.When())
	var effects []croft.Effect
	if joined {
		effects = append(effects, aliveDecision(e.Peer, "received a message from "+e.Peer.Address))
	}
	s, revived := s.applyHeartbeats(e)
	if changed || demandChanged || dropped || len(revived) > 0 {
		s = s.withAliveRecomputed()
	}
	return s, append(effects, revived...)
}

// aliveDecision returns the log line about an entry that is now considered alive.
func aliveDecision(peer croft.Peer, reason string) croft.Effect {
	return croft.Decision{Action: "Roster", Subject: string(peer.ID), Choice: "Alive", Reason: reason}
}

// applyHeartbeats marks entries alive whose heartbeat counters have grown, except those that do not
// answer this entry's probes. The descriptions of unknown entries are requested.
func (s State) applyHeartbeats(e croft.PeerMessageReceived) (State, []croft.Effect) {
	var effects []croft.Effect
	// Sorted, because the reducer must be deterministic and map iteration is not.
	for _, id := range slices.Sorted(maps.Keys(e.Beats)) {
		m, found := s.members.Get(id)
		if !found {
			s = s.withUndescribed(id)
			continue
		}
		if e.Beats[id] <= m.Heartbeat || m.MissedProbes >= maxMissedProbes {
			continue
		}
		if m.LastSeen == 0 {
			effects = append(effects, aliveDecision(m.Peer, "a newer heartbeat was reported by "+string(e.Peer.ID)))
		}
		m.Heartbeat = e.Beats[id]
		m.LastSeen = e.When()
		s.members = s.members.Set(id, m)
	}
	return s, effects
}

// dropReplacedAt deletes other members with the address of a peer, since that peer has replaced them, and reports
// whether there were any.
func (s State) dropReplacedAt(peer croft.Peer, now croft.Millis) (State, bool) {
	dropped := false
	it := s.members.Iterator()
	for !it.Done() {
		id, m, _ := it.Next()
		if id == peer.ID || m.Peer.Address != peer.Address || m.LastSeen >= now {
			continue
		}
		s.members = s.members.Delete(id)
		dropped = true
	}
	return s, dropped
}

// addKnown adds entries that a peer described; they count as alive only after a message or a newer heartbeat.
func (s State) addKnown(known []croft.Peer, now croft.Millis) State {
	for _, p := range known {
		if p.ID == s.self.ID || p.ID == "" || p.Address == "" {
			continue
		}
		if _, found := s.members.Get(p.ID); found {
			continue
		}
		s.members = s.members.Set(p.ID, Member{Peer: p, SilentSince: now})
		s = s.withoutUndescribed(p.ID)
	}
	return s
}

// withUndescribed adds an entry to those whose descriptions are requested.
func (s State) withUndescribed(id croft.EntryID) State {
	if id == s.self.ID || len(s.undescribed) >= maxAsked || slices.Contains(s.undescribed, id) {
		return s
	}
	s.undescribed = append(slices.Clip(s.undescribed), id)
	return s
}

// withoutUndescribed removes an entry from those whose descriptions are requested.
func (s State) withoutUndescribed(id croft.EntryID) State {
	i := slices.Index(s.undescribed, id)
	if i >= 0 {
		s.undescribed = slices.Concat(s.undescribed[:i], s.undescribed[i+1:])
	}
	return s
}

// withDemand returns the member with the demand for the reported pools replaced, and whether that changed anything.
func (m Member) withDemand(reported map[croft.PoolID]int) (Member, bool) {
	demand := maps.Clone(m.Demand)
	if demand == nil {
		demand = make(map[croft.PoolID]int, len(reported))
	}
	maps.Copy(demand, reported)
	if maps.Equal(demand, m.Demand) {
		return m, false
	}
	m.Demand = demand
	return m, true
}

// recordMissedProbe counts an unanswered probe. After maxMissedProbes, or a refused connection, the entry counts as
// silent until it sends a message itself, whatever heartbeats others report.
func (s State) recordMissedProbe(e croft.PeerProbeFailed) State {
	m, found := s.members.Get(e.ID)
	if !found {
		return s
	}
	m.MissedProbes++
	if e.Refused {
		m.MissedProbes = maxMissedProbes
	}
	nowSilent := m.LastSeen > 0 && m.MissedProbes >= maxMissedProbes
	if nowSilent {
		m = m.markedSilent(e.When())
	}
	s.members = s.members.Set(e.ID, m)
	if nowSilent {
		return s.withAliveRecomputed()
	}
	return s
}

// markedSilent returns the member as no longer alive and without demand.
func (m Member) markedSilent(now croft.Millis) Member {
	m.LastSeen = 0
	m.SilentSince = now
	m.Demand = nil
	return m
}

// recordDemand replaces this entry's demand by the newest count and records the resulting shares.
func (s State) recordDemand(e croft.TrafficCounted) State {
	before := s
	s.demand = maps.Clone(e.Wanted)
	if s.demand == nil {
		s.demand = map[croft.PoolID]int{}
	}
	s = s.withRecordedShares()
	for p := range s.demand {
		if s.Share(p) != before.Share(p) {
			s.changeCount++
			break
		}
	}
	return s
}
