package roster

import (
	"cmp"

	"github.com/benbjohnson/immutable"

	"waxwing.example/croft"
)

// Options are the seed addresses, intervals and timeouts of the roster; a zero value stands for its default.
type Options struct {
	// Seeds are addresses of peer listeners that are probed while no entry is known there.
	Seeds []string
	// ProbeNear is the least interval between probes of entries in the same data centre.
	ProbeNear croft.Millis
	// ProbeFar is the least interval between probes of entries in other data centres.
	ProbeFar croft.Millis
	// SilentNear is the least time after which an entry of the same data centre counts as silent if it neither sends a
	// message nor has its heartbeat counter grow.
	SilentNear croft.Millis
	// SilentFar is the least such time for entries of other data centres.
	SilentFar croft.Millis
}

// Defaults of Options.
const (
	DefaultProbeNear  croft.Millis = 1500
	DefaultProbeFar   croft.Millis = 4500
	DefaultSilentNear croft.Millis = 6000
	DefaultSilentFar  croft.Millis = 18000
)

// Member is what is known of another entry.
type Member struct {
	Peer croft.Peer
	// LastSeen is when the entry last sent a message or its heartbeat counter was last seen to grow, zero while it is
	// not considered alive.
	LastSeen croft.Millis
	// Heartbeat is the highest value received of the entry's heartbeat counter.
	Heartbeat uint64
	// SilentSince is when the entry became known or was last found silent; it has no meaning while the entry is alive.
	SilentSince croft.Millis
	// MissedProbes counts the consecutive probes that the entry did not answer.
	MissedProbes int
	// AliveCount is how many entries the member considers alive, by its last message.
	AliveCount int
	// Demand is the entry's demand for slots by pool.
	Demand map[croft.PoolID]int
}

// State is the immutable roster of one entry.
type State struct {
	options Options
	self    croft.Peer
	// members are the other known entries, alive or silent.
	members *immutable.SortedMap[croft.EntryID, Member]
	// demand is this entry's demand for slots by pool.
	demand map[croft.PoolID]int
	// pastShares are this entry's shares at the last counts of demand, the newest last.
	pastShares []map[croft.PoolID]int
	// undescribed are entries that are known only by heartbeats that others reported; their descriptions are requested.
	undescribed []croft.EntryID
	// nextAskReset is when undescribed is cleared next.
	nextAskReset croft.Millis
	// nearTurn, farTurn and seedTurn count the probes in this data centre, of other data centres and of seed addresses,
	// for the round-robin order.
	nearTurn uint64
	farTurn  uint64
	seedTurn uint64
	// nextNear and nextFar are when the next probes are due.
	nextNear croft.Millis
	nextFar  croft.Millis
	// alive are the entries considered alive, including this one, sorted by ID.
	alive []croft.Peer
	// nearAlive is the number of other entries of this data centre that are considered alive.
	nearAlive int
	// changeCount grows whenever the entries considered alive or the shares may have changed.
	changeCount uint64
}

// New returns the roster of an entry that knows no other entry.
func New(self croft.Peer, options Options) State {
	s := State{
		options: options.withDefaults(),
		self:    self,
		members: immutable.NewSortedMap[croft.EntryID, Member](nil),
		demand:  map[croft.PoolID]int{},
	}
	s.alive = []croft.Peer{self}
	return s
}

func (o Options) withDefaults() Options {
	o.ProbeNear = cmp.Or(o.ProbeNear, DefaultProbeNear)
	o.ProbeFar = cmp.Or(o.ProbeFar, DefaultProbeFar)
	o.SilentNear = cmp.Or(o.SilentNear, DefaultSilentNear)
	o.SilentFar = cmp.Or(o.SilentFar, DefaultSilentFar)
	return o
}

// Alive returns the entries considered alive, including this one, sorted by ID; callers must not modify it.
func (s State) Alive() []croft.Peer { return s.alive }

// Self returns this entry's description of itself.
func (s State) Self() croft.Peer { return s.self }

// WithSelf returns the roster with a new description of this entry.
func (s State) WithSelf(self croft.Peer) State {
	if self == s.self {
		return s
	}
	s.self = self
	return s.withAliveRecomputed()
}

// ChangeCount returns a counter that grows whenever the entries considered alive or the shares may have changed.
func (s State) ChangeCount() uint64 { return s.changeCount }

// nearInterval returns the interval between probes in this data centre, which grows with the number of members.
func (s State) nearInterval() croft.Millis {
	return max(s.options.ProbeNear, croft.Millis(s.members.Len())*nearIntervalPerEntry)
}

// farInterval returns the interval between probes of other data centres, which grows with the number of members.
func (s State) farInterval() croft.Millis {
	return max(s.options.ProbeFar, croft.Millis(s.members.Len())*farIntervalPerEntry)
}

// silentAfter returns the time after which a peer counts as silent that neither sends a message nor has its heartbeat
// counter grow: maxMissedRounds rounds, but no less than the configured minimum. In this data centre a round is the time
// to probe every other live entry once. For a peer of another data centre it is the time for as many probes in this data
// centre as it takes messages to carry the heartbeats of all members.
func (s State) silentAfter(peer croft.Peer) croft.Millis {
	if peer.DataCentre == s.self.DataCentre {
		return max(s.options.SilentNear, maxMissedRounds*s.nearInterval()*croft.Millis(s.nearAlive))
	}
	messagesPerRound := croft.Millis(s.members.Len()/maxHeartbeatsPerMessage + 1)
	return max(s.options.SilentFar, maxMissedRounds*s.nearInterval()*messagesPerRound)
}

func (s State) isAlive(m Member, now croft.Millis) bool {
	return m.LastSeen > 0 && now-m.LastSeen < s.silentAfter(m.Peer)
}

// withAliveRecomputed returns the state with alive, nearAlive and changeCount updated after a change of members or self.
func (s State) withAliveRecomputed() State {
	alive := make([]croft.Peer, 0, s.members.Len()+1)
	placed := false
	s.nearAlive = 0
	it := s.members.Iterator()
	for !it.Done() {
		id, m, _ := it.Next()
		if !placed && s.self.ID < id {
			alive = append(alive, s.self)
			placed = true
		}
		if m.LastSeen == 0 {
			continue
		}
		alive = append(alive, m.Peer)
		if m.Peer.DataCentre == s.self.DataCentre {
			s.nearAlive++
		}
	}
	if !placed {
		alive = append(alive, s.self)
	}
	s.alive = alive
	s.changeCount++
	return s
}
