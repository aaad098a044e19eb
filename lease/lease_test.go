package lease

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// cluster simulates a table and the entries that write to it, with one clock.
type cluster struct {
	now     croft.Millis
	rows    map[string]croft.Row
	version uint64
	commits int
	states  map[croft.EntryID]State
	peers   []croft.Peer
	pools   []croft.Pool
	dead    map[croft.EntryID]bool
	pending []delayedEvent
}

// delayedEvent is a request that takes effect on the table, or the answer that reaches an entry, at an instant.
type delayedEvent struct {
	at    croft.Millis
	entry croft.EntryID
	event func(at croft.At) croft.Event
	apply func() func(at croft.At) croft.Event
}

func newCluster(entries, pools int, options Options) *cluster {
	f := &cluster{
		now:    1000,
		rows:   map[string]croft.Row{},
		states: map[croft.EntryID]State{},
		dead:   map[croft.EntryID]bool{},
	}
	for i := range entries {
		id := croft.EntryID(fmt.Sprintf("e%d", i))
		f.peers = append(f.peers, croft.Peer{ID: id})
		f.states[id] = New(options)
	}
	for i := range pools {
		f.pools = append(f.pools, croft.Pool{ID: croft.PoolID(fmt.Sprintf("p%d", i))})
	}
	return f
}

// run advances the clock by a duration. Each entry gets a tick every 100 ms; a request takes effect after 20 ms and is
// answered 20 ms later.
func (f *cluster) run(duration croft.Millis) {
	for end := f.now + duration; f.now < end; f.now += 20 {
		var later []delayedEvent
		pending := f.pending
		f.pending = nil
		for _, d := range pending {
			switch {
			case d.at > f.now:
				later = append(later, d)
			case d.apply != nil:
				f.pending = append(f.pending, delayedEvent{at: f.now + 20, entry: d.entry, event: d.apply()})
			default:
				f.reduce(d.entry, d.event(croft.At{Time: f.now}))
			}
		}
		f.pending = append(f.pending, later...)
		for i, p := range f.peers {
			if (f.now/20+croft.Millis(i))%5 == 0 {
				f.reduce(p.ID, croft.Tick{At: croft.At{Time: f.now}, Seed: 7})
			}
		}
	}
}

// reduce applies an event to a live entry and queues the requests it sends.
func (f *cluster) reduce(id croft.EntryID, e croft.Event) {
	if f.dead[id] {
		return
	}
	var alive []croft.Peer
	for _, p := range f.peers {
		if !f.dead[p.ID] {
			alive = append(alive, p)
		}
	}
	s, effects := Reduce(f.states[id], e, Inputs{Self: croft.Peer{ID: id}, Entries: alive, Pools: f.pools, Reachable: true})
	f.states[id] = s
	for _, x := range effects {
		switch x := x.(type) {
		case croft.Commit:
			f.pending = append(f.pending, delayedEvent{at: f.now + 20, entry: id, apply: func() func(croft.At) croft.Event { return f.commit(x) }})
		case croft.ScanRows:
			f.pending = append(f.pending, delayedEvent{at: f.now + 20, entry: id, apply: func() func(croft.At) croft.Event { return f.scan(x) }})
		}
	}
}

// commit applies a commit to the table and returns its outcome.
func (f *cluster) commit(c croft.Commit) func(croft.At) croft.Event {
	e := croft.CommitEnded{Token: c.Token, Outcome: croft.CommitDone}
	f.commits++
	for _, o := range c.Ops {
		if r := f.rows[o.Key]; r.Version != o.Version {
			r.Key = o.Key
			e.Rows = append(e.Rows, r)
			e.Outcome = croft.CommitConflict
		}
	}
	if e.Outcome == croft.CommitDone {
		f.version++
		e.Version = f.version
		for _, o := range c.Ops {
			switch o.Kind {
			case croft.OpPut:
				f.rows[o.Key] = croft.Row{Key: o.Key, Version: f.version, Value: o.Value}
			case croft.OpDelete:
				delete(f.rows, o.Key)
			}
		}
	}
	return func(at croft.At) croft.Event { e.At = at; return e }
}

// scan returns the rows of a prefix that are newer than a version.
func (f *cluster) scan(x croft.ScanRows) func(croft.At) croft.Event {
	e := croft.RowsRead{Prefix: x.Prefix, Whole: x.Since == 0}
	for k, r := range f.rows {
		if len(k) >= len(x.Prefix) && k[:len(x.Prefix)] == x.Prefix && r.Version > x.Since {
			e.Rows = append(e.Rows, r)
		}
	}
	return func(at croft.At) croft.Event { e.At = at; return e }
}

// ledPools returns how many pools have a live leader, and fails the test if a pool has two.
func (f *cluster) ledPools(t *testing.T) int {
	led := 0
	for _, p := range f.pools {
		n := 0
		for _, x := range f.peers {
			if !f.dead[x.ID] && f.states[x.ID].Holds(x.ID, p.ID, f.now) {
				n++
			}
		}
		assert.Assert(t, n <= 1, "pool %s has %d leaders", p.ID, n)
		led += n
	}
	return led
}

// conflicts returns the conflicts of all entries.
func (f *cluster) conflicts() int {
	n := 0
	for _, s := range f.states {
		n += s.Conflicts()
	}
	return n
}

// measureTakeovers kills the leader of the first pool three times. It returns the number of pools taken over, the
// conflicts, and the longest time in which a pool had no leader.
func measureTakeovers(t *testing.T, entries, pools int, options Options) (int, int, croft.Millis) {
	f := newCluster(entries, pools, options)
	f.run(20 * croft.Second)
	assert.Equal(t, f.ledPools(t), pools)
	before := f.conflicts()
	taken := 0
	longest := croft.Millis(0)
	for range 3 {
		var victim croft.EntryID
		for _, p := range f.peers {
			if !f.dead[p.ID] && f.states[p.ID].Holds(p.ID, f.pools[0].ID, f.now) {
				victim = p.ID
			}
		}
		for _, p := range f.pools {
			if f.states[victim].Holds(victim, p.ID, f.now) {
				taken++
			}
		}
		f.dead[victim] = true
		died := f.now
		for f.ledPools(t) < pools && f.now < died+croft.Minute {
			f.run(100)
		}
		assert.Equal(t, f.ledPools(t), pools)
		longest = max(longest, f.now-died)
	}
	return taken, f.conflicts() - before, longest
}

// TestTakeoverDelayByRankAvoidsRaces guards against many entries taking over the same pools at once after a leader died:
// with the delay by rank there must be fewer conflicts for each pool taken over than without it, and the time without a
// leader must stay within the sum of the timeouts.
func TestTakeoverDelayByRankAvoidsRaces(t *testing.T) {
	for _, c := range []struct{ entries, pools int }{{9, 20}, {90, 75}} {
		plainTaken, plainConflicts, plainGap := measureTakeovers(t, c.entries, c.pools, Options{Fence: true})
		t.Logf("%d entries without skew: %d pools taken over, %d conflicts, longest time without leader %d ms", c.entries, plainTaken, plainConflicts, plainGap)
		skewedTaken, skewedConflicts, skewedGap := measureTakeovers(t, c.entries, c.pools, DefaultOptions())
		t.Logf("%d entries with skew: %d pools taken over, %d conflicts, longest time without leader %d ms", c.entries, skewedTaken, skewedConflicts, skewedGap)
		assert.Assert(t, skewedConflicts*plainTaken < plainConflicts*skewedTaken, "skew does not reduce the conflicts")
		assert.Assert(t, skewedGap <= TTL+RenewInterval+maxWatchers*SkewStep+2*watchInterval+2*croft.Second)
	}
}
