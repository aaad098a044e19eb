package roster

import (
	"cmp"

	"github.com/benbjohnson/immutable"

	"waxwing.example/croft"
)

// Options are the roster's spans and the addresses it starts from.
type Options struct {
	// Seeds are peer listeners to probe while no entry is known there.
	Seeds []string
	// ProbeNear is the span between probes of entries of the same data centre, in milliseconds.
	ProbeNear croft.Millis
	// ProbeFar is the span between probes of entries of other data centres, in milliseconds.
	ProbeFar croft.Millis
	// SilentNear is the least span after which an unheard entry of the same data centre is thought gone, in milliseconds.
	SilentNear croft.Millis
	// SilentFar is the same span for entries of other data centres, in milliseconds.
	SilentFar croft.Millis
}

// Defaults of Options in milliseconds.
const (
	DefaultProbeNear  croft.Millis = 1500
	DefaultProbeFar   croft.Millis = 4500
	DefaultSilentNear croft.Millis = 6000
	DefaultSilentFar  croft.Millis = 18000
)

// Member is another entry and when it was heard.
type Member struct {
	Peer croft.Peer
	// Heard is when the entry last spoke or its heartbeat count was last seen to grow, zero for never.
	Heard croft.Millis
	// Beat is the entry's highest heartbeat count seen.
	Beat uint64
	// Learned is when the entry was first told of, by itself or by another.
	Learned croft.Millis
	// Misses counts the probes in a row that it did not answer.
	Misses int
	// Count is how many entries it said it thinks alive.
	Count int
	// Wanted is the entry's demand for each pool's slots.
	Wanted map[croft.PoolID]int
}

// State is the immutable roster of one entry.
type State struct {
	options Options
	self    croft.Peer
	members *immutable.SortedMap[croft.EntryID, Member]
	wanted  map[croft.PoolID]int
	// past are the shares of the last counts of demand.
	past []map[croft.PoolID]int
	// unknown are entries whose heartbeats were told by others and of which no more is known.
	unknown    []croft.EntryID
	askedUntil croft.Millis
	// turn counts probes, so that each member has its turn.
	nearTurn uint64
	farTurn  uint64
	seedTurn uint64
	// nextNear and nextFar are when the next probes are due.
	nextNear croft.Millis
	nextFar  croft.Millis
	alive    []croft.Peer
	near     int
	// serial grows whenever the entries alive or the shares may have changed.
	serial uint64
}

// New returns the roster of an entry that knows no other.
func New(self croft.Peer, options Options) State {
	s := State{
		options: options.withDefaults(),
		self:    self,
		members: immutable.NewSortedMap[croft.EntryID, Member](nil),
		wanted:  map[croft.PoolID]int{},
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

// Alive returns the entries thought alive in the order of their ids, this one included; it must not be changed.
func (s State) Alive() []croft.Peer { return s.alive }

// Self returns how this entry describes itself.
func (s State) Self() croft.Peer { return s.self }

// WithSelf returns the roster of the entry under a new description of itself.
func (s State) WithSelf(self croft.Peer) State {
	if self == s.self {
		return s
	}
	s.self = self
	return s.refreshed()
}

// ChangeCount grows whenever the entries alive or the shares may have changed.
func (s State) ChangeCount() uint64 { return s.serial }

// nearSpan is the span between near probes, which grows with the roster to bound its bytes.
func (s State) nearSpan() croft.Millis {
	return max(s.options.ProbeNear, croft.Millis(s.members.Len())*nearSpanPerEntry)
}

func (s State) farSpan() croft.Millis {
	return max(s.options.ProbeFar, croft.Millis(s.members.Len())*farSpanPerEntry)
}

// silentAfter returns the span after which the peer is thought gone: a few of the spans in
// which its heartbeat count comes round.
func (s State) silentAfter(peer croft.Peer) croft.Millis {
	if peer.DataCentre == s.self.DataCentre {
		return max(s.options.SilentNear, roundsToSilent*s.nearSpan()*croft.Millis(s.near))
	}
	turns := croft.Millis(s.members.Len()/beatsPerMessage + 1)
	return max(s.options.SilentFar, roundsToSilent*s.nearSpan()*turns)
}

func (s State) isAlive(m Member, now croft.Millis) bool {
	return m.Heard > 0 && now-m.Heard < s.silentAfter(m.Peer)
}

// refreshed recomputes the entries alive from the members that were marked heard.
func (s State) refreshed() State {
	alive := make([]croft.Peer, 0, s.members.Len()+1)
	placed := false
	s.near = 0
	it := s.members.Iterator()
	for !it.Done() {
		id, m, _ := it.Next()
		if !placed && s.self.ID < id {
			alive = append(alive, s.self)
			placed = true
		}
		if m.Heard == 0 {
			continue
		}
		alive = append(alive, m.Peer)
		if m.Peer.DataCentre == s.self.DataCentre {
			s.near++
		}
	}
	if !placed {
		alive = append(alive, s.self)
	}
	s.alive = alive
	s.serial++
	return s
}
