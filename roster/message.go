package roster

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

// Bounds of what one message carries, the rest of which has its chance in the next ones, and of silence.
const (
	beatsPerMessage = 12
	poolsPerMessage = 12
	// knownToFewer is the most entries named to one that knows fewer.
	knownToFewer = 12
	// maxUnknown is the most entries that are asked for.
	maxUnknown = 6
	// roundsToSilent is how many rounds of heartbeats an entry may miss.
	roundsToSilent = 6
	// missesToSilent is the number of unanswered probes after which an entry is left out.
	missesToSilent = 2
	// nearSpanPerEntry and farSpanPerEntry stretch the probes with the roster, in milliseconds.
	nearSpanPerEntry = 40 * croft.Millis(1)
	farSpanPerEntry  = 80 * croft.Millis(1)
)

// MessageContent is what a message to another entry carries besides the sender's own description.
type MessageContent struct {
	Known []croft.Peer
	// Ask names entries of which no more is known than that they are alive.
	Ask    []croft.EntryID
	Beats  map[croft.EntryID]uint64
	Count  int
	Wanted map[croft.PoolID]int
}

// Message returns what a message carries to a peer: heartbeat counts of entries from a random
// one on, entries that the peer may not know or asked for, and this entry's demand for the entries near it.
func (s State) Message(now croft.Millis, to croft.Peer, asked []croft.EntryID, seed uint64) MessageContent {
	heard := s.heardMembers()
	c := MessageContent{
		Known: s.knownToTell(heard, to, asked, seed),
		Ask:   s.unknown,
		Beats: map[croft.EntryID]uint64{s.self.ID: uint64(now / croft.Second)},
		Count: len(s.alive),
	}
	for i := range min(beatsPerMessage, len(heard)) {
		m := heard[wrapped(seed, i, len(heard))]
		c.Beats[m.Peer.ID] = m.Beat
	}
	if to.DataCentre == s.self.DataCentre {
		c.Wanted = s.wantedToTell(seed)
	}
	return c
}

// wrapped is the place that lies so many behind a random one.
func wrapped(seed uint64, behind, count int) int {
	return int((seed%uint64(count) + uint64(behind)) % uint64(count))
}

func (s State) heardMembers() []Member {
	heard := make([]Member, 0, s.members.Len())
	it := s.members.Iterator()
	for !it.Done() {
		if _, m, _ := it.Next(); m.Heard > 0 {
			heard = append(heard, m)
		}
	}
	return heard
}

func (s State) knownToTell(heard []Member, to croft.Peer, asked []croft.EntryID, seed uint64) []croft.Peer {
	var known []croft.Peer
	for _, id := range asked[:min(len(asked), maxUnknown)] {
		if m, found := s.members.Get(id); found && m.Heard > 0 {
			known = append(known, m.Peer)
		}
	}
	if m, _ := s.members.Get(to.ID); m.Count >= len(s.alive) {
		return known
	}
	for i := range min(knownToFewer, len(heard)) {
		if p := heard[wrapped(seed, i, len(heard))].Peer; p.ID != to.ID {
			known = append(known, p)
		}
	}
	return known
}

func (s State) wantedToTell(seed uint64) map[croft.PoolID]int {
	pools := slices.Sorted(maps.Keys(s.wanted))
	wanted := make(map[croft.PoolID]int, poolsPerMessage)
	for i := range min(poolsPerMessage, len(pools)) {
		p := pools[wrapped(seed, i, len(pools))]
		wanted[p] = s.wanted[p]
	}
	return wanted
}
