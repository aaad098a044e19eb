package roster

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

// Limits of the content of a message; what one message leaves out is sent in later ones.
const (
	maxHeartbeatsPerMessage = 12
	maxPoolsPerMessage      = 12
	// maxPeersPerMessage limits the peers described unasked to an entry that considers fewer entries alive.
	maxPeersPerMessage = 12
	// maxAsked limits the entries whose descriptions are requested, or sent on request, in one message.
	maxAsked = 6
)

// Limits of the failure detector.
const (
	// maxMissedRounds is how many rounds of heartbeats an entry may miss before it counts as silent.
	maxMissedRounds = 6
	// maxMissedProbes is the number of consecutive unanswered probes after which an entry counts as silent.
	maxMissedProbes = 2
	// nearIntervalPerEntry and farIntervalPerEntry, times the number of known entries, are the least intervals between
	// probes in this data centre and of the others. They lengthen the intervals of a large roster, so that the bytes
	// that each entry sends stay bounded.
	nearIntervalPerEntry = 40 * croft.Millis(1)
	farIntervalPerEntry  = 80 * croft.Millis(1)
)

// MessageContent is the content of a message to another entry, apart from the sender's description of itself.
type MessageContent struct {
	// Known are descriptions of entries that the receiver requested or may not know.
	Known []croft.Peer
	// Ask lists entries that the sender knows only by their heartbeats and whose descriptions it requests.
	Ask []croft.EntryID
	// Beats are heartbeat counters by entry.
	Beats map[croft.EntryID]uint64
	// Count is how many entries the sender considers alive.
	Count int
	// Wanted is the sender's demand for slots by pool, sent only within a data centre.
	Wanted map[croft.PoolID]int
}

// Message returns the content of a message to a peer; asked lists the entries whose descriptions that peer requested.
// The random seed selects which heartbeats, descriptions and pools are included where not all fit.
func (s State) Message(now croft.Millis, to croft.Peer, asked []croft.EntryID, seed uint64) MessageContent {
	others := s.aliveMembers()
	c := MessageContent{
		Known: s.peersToSend(others, to, asked, seed),
		Ask:   s.undescribed,
		// An entry's own heartbeat counter is its clock in seconds.
		Beats: map[croft.EntryID]uint64{s.self.ID: uint64(now / croft.Second)},
		Count: len(s.alive),
	}
	for i := range min(maxHeartbeatsPerMessage, len(others)) {
		m := others[rotatedIndex(seed, i, len(others))]
		c.Beats[m.Peer.ID] = m.Heartbeat
	}
	if to.DataCentre == s.self.DataCentre {
		c.Wanted = s.demandToSend(seed)
	}
	return c
}

// rotatedIndex returns an index below count: offset places after the random one that the seed gives, wrapping around.
func rotatedIndex(seed uint64, offset, count int) int {
	return int((seed%uint64(count) + uint64(offset)) % uint64(count))
}

// aliveMembers returns the other entries that are considered alive, sorted by ID.
func (s State) aliveMembers() []Member {
	alive := make([]Member, 0, s.members.Len())
	it := s.members.Iterator()
	for !it.Done() {
		if _, m, _ := it.Next(); m.LastSeen > 0 {
			alive = append(alive, m)
		}
	}
	return alive
}

// peersToSend returns the descriptions that the peer asked for. If the peer considers fewer entries alive than this
// entry does, it adds up to maxPeersPerMessage others.
func (s State) peersToSend(others []Member, to croft.Peer, asked []croft.EntryID, seed uint64) []croft.Peer {
	var known []croft.Peer
	for _, id := range asked[:min(len(asked), maxAsked)] {
		if m, found := s.members.Get(id); found && m.LastSeen > 0 {
			known = append(known, m.Peer)
		}
	}
	if m, _ := s.members.Get(to.ID); m.AliveCount >= len(s.alive) {
		return known
	}
	for i := range min(maxPeersPerMessage, len(others)) {
		if p := others[rotatedIndex(seed, i, len(others))].Peer; p.ID != to.ID {
			known = append(known, p)
		}
	}
	return known
}

// demandToSend returns this entry's demand for up to maxPoolsPerMessage pools.
func (s State) demandToSend(seed uint64) map[croft.PoolID]int {
	pools := slices.Sorted(maps.Keys(s.demand))
	demand := make(map[croft.PoolID]int, maxPoolsPerMessage)
	for i := range min(maxPoolsPerMessage, len(pools)) {
		p := pools[rotatedIndex(seed, i, len(pools))]
		demand[p] = s.demand[p]
	}
	return demand
}
