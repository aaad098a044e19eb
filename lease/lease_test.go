package lease

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// field is a table and the entries that lease from it, in lock step.
type field struct {
	now     croft.Millis
	rows    map[string]croft.Row
	version uint64
	commits int
	states  map[croft.EntryID]State
	peers   []croft.Peer
	pools   []croft.Pool
	dead    map[croft.EntryID]bool
	due     []delayed
}

type delayed struct {
	at    croft.Millis
	entry croft.EntryID
	event func(at croft.At) croft.Event
	apply func() func(at croft.At) croft.Event
}

func newField(entries, pools int, options Options) *field {
	f := &field{
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

// run steps all entries each 100 ms; a commit takes effect after 20 ms and is answered after 20 ms more.
func (f *field) run(span croft.Millis) {
	for end := f.now + span; f.now < end; f.now += 20 {
		var later []delayed
		due := f.due
		f.due = nil
		for _, d := range due {
			switch {
			case d.at > f.now:
				later = append(later, d)
			case d.apply != nil:
				f.due = append(f.due, delayed{at: f.now + 20, entry: d.entry, event: d.apply()})
			default:
				f.reduce(d.entry, d.event(croft.At{Time: f.now}))
			}
		}
		f.due = append(f.due, later...)
		for i, p := range f.peers {
			if (f.now/20+croft.Millis(i))%5 == 0 {
				f.reduce(p.ID, croft.Tick{At: croft.At{Time: f.now}, Seed: 7})
			}
		}
	}
}

func (f *field) reduce(id croft.EntryID, e croft.Event) {
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
			f.due = append(f.due, delayed{at: f.now + 20, entry: id, apply: func() func(croft.At) croft.Event { return f.commit(x) }})
		case croft.ScanRows:
			f.due = append(f.due, delayed{at: f.now + 20, entry: id, apply: func() func(croft.At) croft.Event { return f.scan(x) }})
		}
	}
}

func (f *field) commit(c croft.Commit) func(croft.At) croft.Event {
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

func (f *field) scan(x croft.ScanRows) func(croft.At) croft.Event {
	e := croft.RowsRead{Prefix: x.Prefix, Whole: x.Since == 0}
	for k, r := range f.rows {
		if len(k) >= len(x.Prefix) && k[:len(x.Prefix)] == x.Prefix && r.Version > x.Since {
			e.Rows = append(e.Rows, r)
		}
	}
	return func(at croft.At) croft.Event { e.At = at; return e }
}

// holders returns how many pools are planned for by one live entry, and fails where there are two.
func (f *field) holders(t *testing.T) int {
	held := 0
	for _, p := range f.pools {
		n := 0
		for _, x := range f.peers {
			if !f.dead[x.ID] && f.states[x.ID].Holds(x.ID, p.ID, f.now) {
				n++
			}
		}
		assert.Assert(t, n <= 1, "pool %s has %d planners", p.ID, n)
		held += n
	}
	return held
}

func (f *field) conflicts() int {
	n := 0
	for _, s := range f.states {
		n += s.Conflicts()
	}
	return n
}

// takeovers ends the holder of the first pool a few times and returns takeovers, conflicts and the longest gap.
func takeovers(t *testing.T, entries, pools int, options Options) (int, int, croft.Millis) {
	f := newField(entries, pools, options)
	f.run(20 * croft.Second)
	assert.Equal(t, f.holders(t), pools)
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
		since := f.now
		for f.holders(t) < pools && f.now < since+croft.Minute {
			f.run(100)
		}
		assert.Equal(t, f.holders(t), pools)
		longest = max(longest, f.now-since)
	}
	return taken, f.conflicts() - before, longest
}

func TestTakeoverDelayByRankAvoidsRaces(t *testing.T) {
	for _, c := range []struct{ entries, pools int }{{9, 20}, {90, 75}} {
		taken, raced, gap := takeovers(t, c.entries, c.pools, Options{Fence: true})
		t.Logf("%d entries without skew: %d pools taken over, %d conflicts, longest gap %d ms", c.entries, taken, raced, gap)
		skewed, lost, wait := takeovers(t, c.entries, c.pools, DefaultOptions())
		t.Logf("%d entries with skew: %d pools taken over, %d conflicts, longest gap %d ms", c.entries, skewed, lost, wait)
		assert.Assert(t, lost*taken < raced*skewed, "skew does not help")
		assert.Assert(t, wait <= TTL+RenewEvery+watchRanks*SkewStep+2*watchEvery+2*croft.Second)
	}
}
