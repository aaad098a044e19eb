package claim

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

func TestMain(m *testing.M) {
	flag.Parse()
	standard := map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "150", "rapid.nofailfile": "true"}
	for name, value := range standard {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

var smallLayout = Layout{Shards: 1, Slots: 4, Window: 100, Margin: 20}

// grant is a claim that a caller was told of.
type grant struct {
	attempt string
	when    croft.Millis
}

// audit refuses two attempts that hold one claim within the window.
type audit struct {
	window croft.Millis
	grants map[string]grant
}

func (a *audit) granted(key, attempt string, when croft.Millis) error {
	old, found := a.grants[key]
	if found && old.attempt != attempt && when <= old.when+a.window {
		return fmt.Errorf("%s: %s at %d, then %s at %d", key, old.attempt, old.when, attempt, when)
	}
	a.grants[key] = grant{attempt: attempt, when: when}
	return nil
}

type asked struct {
	key    string
	wanted *wanted
	since  croft.Millis
	entry  int
}

// world is a number of entries that claim from one shard's log.
type world struct {
	t        *rapid.T
	clock    *clock.Manual
	table    *memTable
	entries  []*writer
	open     []asked
	won      []asked
	audit    *audit
	attempts int
	counts   map[string]int
	next     fault
}

func newWorld(t *rapid.T, counts map[string]int) *world {
	w := &world{
		t:      t,
		clock:  clock.NewManual(1_000_000),
		table:  newMemTable(),
		audit:  &audit{window: smallLayout.Window, grants: map[string]grant{}},
		counts: counts,
	}
	w.table.fault = func() fault {
		f := w.next
		w.next = faultNone
		return f
	}
	for range 3 {
		w.entries = append(w.entries, w.fresh())
	}
	return w
}

func (w *world) fresh() *writer {
	fresh := newWriter(0, smallLayout, w.table, w.clock, func() string {
		w.attempts++
		return fmt.Sprintf("n%d", w.attempts)
	})
	fresh.limit = 2
	return fresh
}

func (w *world) pick() int { return rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry") }

func (w *world) claim(*rapid.T) {
	i := w.pick()
	w.attempts++
	a := asked{
		key:    fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(w.t, "key")),
		since:  w.clock.Now(),
		entry:  i,
		wanted: newWanted(Record{Attempt: fmt.Sprintf("a%d", w.attempts)}),
	}
	a.wanted.record.Hash = a.key
	w.entries[i].enqueue(a.wanted)
	// A claim that was forwarded in vain is committed by two entries.
	if rapid.Bool().Draw(w.t, "twice") {
		other := newWanted(a.wanted.record)
		w.entries[w.pick()].enqueue(other)
	}
	w.open = append(w.open, a)
}

func (w *world) step(*rapid.T) {
	w.next = rapid.SampledFrom([]fault{
		faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultDown, faultLost, faultLate,
	}).Draw(w.t, "fault")
	w.table.oldBy = rapid.SampledFrom([]int{0, 0, 1, 3, 50}).Draw(w.t, "old")
	err := w.entries[w.pick()].step(context.Background())
	w.next = faultNone
	if err != nil {
		w.counts["failed"]++
	}
	w.settle()
}

func (w *world) settle() {
	var open []asked
	for _, a := range w.open {
		select {
		case v := <-a.wanted.ended:
			w.judge(a, v)
		default:
			open = append(open, a)
		}
	}
	w.open = open
}

func (w *world) judge(a asked, v verdict) {
	now := w.clock.Now()
	switch {
	case v.granted && now-a.since < smallLayout.Margin:
		w.counts["granted"]++
		if err := w.audit.granted(a.key, a.wanted.record.Attempt, now); err != nil {
			w.t.Fatal(err)
		}
		w.won = append(w.won, a)
	case v.holder != "":
		w.counts["held"]++
	default:
		w.counts["refused"]++
	}
}

func (w *world) release(t *rapid.T) {
	if len(w.won) == 0 {
		t.Skip("nothing granted")
	}
	a := w.won[len(w.won)-1]
	w.won = w.won[:len(w.won)-1]
	w.entries[w.pick()].release(a.wanted.record)
	if w.audit.grants[a.key].attempt == a.wanted.record.Attempt {
		delete(w.audit.grants, a.key)
		w.counts["released"]++
	}
}

func (w *world) replace(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "spared") > 0 {
		t.Skip("spared")
	}
	i := w.pick()
	w.entries[i] = w.fresh()
	w.counts["replaced"]++
}

func (w *world) pass(*rapid.T) {
	w.clock.Advance(croft.Millis(rapid.SampledFrom([]int{1, 1, 3, 10, 40}).Draw(w.t, "span")))
}

func (w *world) land(*rapid.T) { w.table.land() }

func TestNoTwoAttemptsHoldAClaim(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, counts)
		t.Repeat(map[string]func(*rapid.T){
			"claim":   w.claim,
			"claim2":  w.claim,
			"step":    w.step,
			"step2":   w.step,
			"step3":   w.step,
			"step4":   w.step,
			"step5":   w.step,
			"release": w.release,
			"replace": w.replace,
			"pass":    w.pass,
			"land":    w.land,
		})
	})
	t.Log(counts)
	for _, name := range []string{"granted", "held", "refused", "released", "replaced", "failed"} {
		assert.Assert(t, counts[name] > 0, "never %s", name)
	}
}

func TestAuditCatchesTheBaseline(t *testing.T) {
	var claimer croft.Claimer = None{}
	a := audit{window: 100, grants: map[string]grant{}}
	assert.NilError(t, claimer.Claim(context.Background(), croft.Request{Key: "k"}, "a1"))
	assert.NilError(t, a.granted("k", "a1", 10))
	assert.NilError(t, claimer.Claim(context.Background(), croft.Request{Key: "k"}, "a2"))
	assert.ErrorContains(t, a.granted("k", "a2", 60), "a1 at 10, then a2 at 60")
}

// TestWritesOfGroupCommit counts the commits for ten seconds of claims that come evenly.
func TestWritesOfGroupCommit(t *testing.T) {
	const claims, span = 4000, 10 * croft.Second
	for _, gap := range []croft.Millis{0, 50, 100, 200} {
		layout := Defaults().Layout
		table := newMemTable()
		c := clock.NewManual(0)
		var shards []*writer
		for i := range layout.Shards {
			shards = append(shards, newWriter(i, layout, table, c, func() string { return "n" }))
		}
		granted := offer(c, shards, claims, span, gap)
		assert.Equal(t, granted, claims)
		t.Logf("gap %d ms: %d commits for %d claims in %d s", gap, table.commits, claims, span/croft.Second)
		if gap == 100 {
			assert.Assert(t, table.commits <= int(span/gap+1)*layout.Shards, "%d commits", table.commits)
			assert.Assert(t, table.commits < claims/2, "%d commits", table.commits)
		}
	}
}

// offer commits claims at a gap, each alone for no gap, and returns how many were granted.
func offer(c *clock.Manual, shards []*writer, claims int, span, gap croft.Millis) int {
	ctx := context.Background()
	var all []*wanted
	for now := croft.Millis(0); now <= span+gap; now++ {
		for len(all) < claims && int(now)*claims >= len(all)*int(span) {
			hash, number := hashOf(croft.Request{Key: fmt.Sprint(len(all))})
			one := newWanted(Record{Hash: hash, Attempt: fmt.Sprint("a", len(all))})
			all = append(all, one)
			s := shards[number%uint64(len(shards))]
			s.enqueue(one)
			if gap == 0 {
				drain(ctx, s)
			}
		}
		for i, s := range shards {
			if gap > 0 && (now+croft.Millis(i)*gap/croft.Millis(len(shards)))%gap == 0 {
				drain(ctx, s)
			}
		}
		c.Advance(1)
	}
	granted := 0
	for _, one := range all {
		if v := <-one.ended; v.granted {
			granted++
		}
	}
	return granted
}

func drain(ctx context.Context, w *writer) {
	for !w.idle() {
		_ = w.step(ctx)
	}
}

// TestMixedPagesAreNotFolded reads slots 0 and 1 from before the ring went round and slot 2 from after.
func TestMixedPagesAreNotFolded(t *testing.T) {
	l := newLedger(smallLayout)
	row := func(seq, version uint64) croft.Row {
		b := logBatch{Seq: seq, Claims: []Record{{Hash: fmt.Sprint("h", seq), Attempt: "a"}}}
		return croft.Row{Key: "r", Version: version, Value: b.encode()}
	}
	for _, r := range []croft.Row{row(0, 1), row(1, 2), row(6, 7), row(3, 4)} {
		assert.NilError(t, l.read(r))
	}
	assert.Assert(t, !l.fold())
	for _, r := range []croft.Row{row(4, 5), row(1, 2), row(5, 6)} {
		assert.NilError(t, l.read(r))
	}
	assert.Assert(t, l.fold())
	assert.Equal(t, l.next, uint64(7))
	assert.Equal(t, l.holds("h5", 0), "a")
}
