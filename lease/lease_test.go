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

// delayedEvent is a request that takes effect on the table at an instant, or an answer that reaches an entry then.
type delayedEvent struct {
	at    croft.Millis
	entry croft.EntryID
	// event is set for an answer, apply for a request; apply returns the event of its answer.
	event func(at croft.At) croft.Event
	apply func() func(at croft.At) croft.Event
}

func newCluster(entries, pools int, options Options) *cluster {
	c := &cluster{
		now:    1000,
		rows:   map[string]croft.Row{},
		states: map[croft.EntryID]State{},
		dead:   map[croft.EntryID]bool{},
	}
	for i := range entries {
		id := croft.EntryID(fmt.Sprintf("e%d", i))
		c.peers = append(c.peers, croft.Peer{ID: id})
		c.states[id] = New(options)
	}
	for i := range pools {
		c.pools = append(c.pools, croft.Pool{ID: croft.PoolID(fmt.Sprintf("p%d", i))})
	}
	return c
}

// run advances the clock by a duration. Each entry gets a tick every 100 ms; a request takes effect after 20 ms and is
// answered 20 ms later.
func (c *cluster) run(duration croft.Millis) {
	for end := c.now + duration; c.now < end; c.now += 20 {
		var later []delayedEvent
		pending := c.pending
		c.pending = nil
		for _, d := range pending {
			switch {
			case d.at > c.now:
				later = append(later, d)
			case d.apply != nil:
				c.pending = append(c.pending, delayedEvent{at: c.now + 20, entry: d.entry, event: d.apply()})
			default:
				c.reduce(d.entry, d.event(croft.At{Time: c.now}))
			}
		}
		c.pending = append(c.pending, later...)
		for i, p := range c.peers {
			if (c.now/20+croft.Millis(i))%5 == 0 {
				c.reduce(p.ID, croft.Tick{At: croft.At{Time: c.now}, Seed: 7})
			}
		}
	}
}

// reduce applies an event to a live entry and queues the requests it sends.
func (c *cluster) reduce(id croft.EntryID, e croft.Event) {
	if c.dead[id] {
		return
	}
	var alive []croft.Peer
	for _, p := range c.peers {
		if !c.dead[p.ID] {
			alive = append(alive, p)
		}
	}
	s, effects := Reduce(c.states[id], e, Inputs{Self: croft.Peer{ID: id}, Entries: alive, Pools: c.pools, PlatformReachable: true})
	c.states[id] = s
	for _, x := range effects {
		switch x := x.(type) {
		case croft.Commit:
			c.pending = append(c.pending, delayedEvent{at: c.now + 20, entry: id, apply: func() func(croft.At) croft.Event { return c.commit(x) }})
		case croft.ScanRows:
			c.pending = append(c.pending, delayedEvent{at: c.now + 20, entry: id, apply: func() func(croft.At) croft.Event { return c.scan(x) }})
		}
	}
}

// commit applies a commit to the table and returns its outcome.
func (c *cluster) commit(x croft.Commit) func(croft.At) croft.Event {
	e := croft.CommitEnded{Token: x.Token, Outcome: croft.CommitDone}
	c.commits++
	for _, o := range x.Ops {
		if r := c.rows[o.Key]; r.Version != o.Version {
			r.Key = o.Key
			e.Rows = append(e.Rows, r)
			e.Outcome = croft.CommitConflict
		}
	}
	if e.Outcome == croft.CommitDone {
		c.version++
		e.Version = c.version
		for _, o := range x.Ops {
			switch o.Kind {
			case croft.OpPut:
				c.rows[o.Key] = croft.Row{Key: o.Key, Version: c.version, Value: o.Value}
			case croft.OpDelete:
				delete(c.rows, o.Key)
			}
		}
	}
	return func(at croft.At) croft.Event { e.At = at; return e }
}

// scan returns the rows of a prefix that are newer than a version.
func (c *cluster) scan(x croft.ScanRows) func(croft.At) croft.Event {
	e := croft.RowsRead{Prefix: x.Prefix, Whole: x.Since == 0}
	for k, r := range c.rows {
		if len(k) >= len(x.Prefix) && k[:len(x.Prefix)] == x.Prefix && r.Version > x.Since {
			e.Rows = append(e.Rows, r)
		}
	}
	return func(at croft.At) croft.Event { e.At = at; return e }
}

// plannedPools returns how many pools have a live planner, and fails the test if a pool has two.
func (c *cluster) plannedPools(t *testing.T) int {
	planned := 0
	for _, p := range c.pools {
		n := 0
		for _, x := range c.peers {
			if !c.dead[x.ID] && c.states[x.ID].Holds(x.ID, p.ID, c.now) {
				n++
			}
		}
		assert.Assert(t, n <= 1, "pool %s has %d planners", p.ID, n)
		planned += n
	}
	return planned
}

// conflicts returns the number of takeovers of all entries that failed by a conflict.
func (c *cluster) conflicts() int {
	n := 0
	for _, s := range c.states {
		n += s.Conflicts()
	}
	return n
}

// measureTakeovers kills the planner of the first pool three times. It returns the number of pools taken over, the
// conflicts, and the longest time in which a pool had no planner.
func measureTakeovers(t *testing.T, entries, pools int, options Options) (int, int, croft.Millis) {
	c := newCluster(entries, pools, options)
	c.run(20 * croft.Second)
	assert.Equal(t, c.plannedPools(t), pools)
	before := c.conflicts()
	taken := 0
	longest := croft.Millis(0)
	for range 3 {
		var victim croft.EntryID
		for _, p := range c.peers {
			if !c.dead[p.ID] && c.states[p.ID].Holds(p.ID, c.pools[0].ID, c.now) {
				victim = p.ID
			}
		}
		for _, p := range c.pools {
			if c.states[victim].Holds(victim, p.ID, c.now) {
				taken++
			}
		}
		c.dead[victim] = true
		died := c.now
		for c.plannedPools(t) < pools && c.now < died+croft.Minute {
			c.run(100)
		}
		assert.Equal(t, c.plannedPools(t), pools)
		longest = max(longest, c.now-died)
	}
	return taken, c.conflicts() - before, longest
}

// TestTakeoverDelayByRankAvoidsRaces guards against many entries taking over the same pools at once after a planner died:
// with the delay by rank there must be fewer conflicts for each pool taken over than without it, and the time without a
// planner must stay within the sum of the timeouts.
func TestTakeoverDelayByRankAvoidsRaces(t *testing.T) {
	for _, c := range []struct{ entries, pools int }{{9, 20}, {90, 75}} {
		plainTaken, plainConflicts, plainGap := measureTakeovers(t, c.entries, c.pools, Options{Fence: true})
		t.Logf("%d entries without skew: %d pools taken over, %d conflicts, longest time without planner %d ms", c.entries, plainTaken, plainConflicts, plainGap)
		skewedTaken, skewedConflicts, skewedGap := measureTakeovers(t, c.entries, c.pools, DefaultOptions())
		t.Logf("%d entries with skew: %d pools taken over, %d conflicts, longest time without planner %d ms", c.entries, skewedTaken, skewedConflicts, skewedGap)
		assert.Assert(t, skewedConflicts*plainTaken < plainConflicts*skewedTaken, "skew does not reduce the conflicts")
		assert.Assert(t, skewedGap <= TTL+RenewInterval+maxWatchers*SkewStep+2*watchInterval+2*croft.Second)
	}
}
