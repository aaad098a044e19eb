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

// TestMain sets defaults for rapid, so that each run checks the same cases; flags on the command line override them.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "150", "rapid.nofailfile": "true"}
	for name, value := range defaults {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

var smallLayout = Layout{Shards: 1, Slots: 4, Window: 100, Margin: 20}

// grantedClaim is a claim that was granted to a caller.
type grantedClaim struct {
	attempt string
	when    croft.Millis
}

// exclusionAudit checks that a claim is never granted to two attempts within the window.
type exclusionAudit struct {
	window croft.Millis
	grants map[string]grantedClaim
}

func (a *exclusionAudit) recordGrant(key, attempt string, when croft.Millis) error {
	last, found := a.grants[key]
	if found && last.attempt != attempt && when <= last.when+a.window {
		return fmt.Errorf("%s: %s at %d, then %s at %d", key, last.attempt, last.when, attempt, when)
	}
	a.grants[key] = grantedClaim{attempt: attempt, when: when}
	return nil
}

// claimCall is a claim that a simulated caller made at an entry.
type claimCall struct {
	key      string
	pending  *pendingClaim
	calledAt croft.Millis
	entry    int
}

// cluster is a model of entries that write to one shard's log. TestNoTwoAttemptsHoldOneClaim runs its methods claim, step,
// release, replaceEntry, advanceClock and applyDelayed in random order.
type cluster struct {
	t         *rapid.T
	clock     *clock.Manual
	table     *memTable
	entries   []*writer
	pending   []claimCall
	granted   []claimCall
	audit     *exclusionAudit
	lastID    int
	counts    map[string]int
	nextFault fault
}

func newCluster(t *rapid.T, counts map[string]int) *cluster {
	c := &cluster{
		t:      t,
		clock:  clock.NewManual(1_000_000),
		table:  newMemTable(),
		audit:  &exclusionAudit{window: smallLayout.Window, grants: map[string]grantedClaim{}},
		counts: counts,
	}
	c.table.fault = func() fault {
		f := c.nextFault
		c.nextFault = faultNone
		return f
	}
	for range 3 {
		c.entries = append(c.entries, c.newEntry())
	}
	return c
}

func (c *cluster) newEntry() *writer {
	fresh := newWriter(0, smallLayout, c.table, c.clock, func() string {
		c.lastID++
		return fmt.Sprintf("n%d", c.lastID)
	})
	fresh.pageSize = 2
	return fresh
}

func (c *cluster) drawEntry() int { return rapid.IntRange(0, len(c.entries)-1).Draw(c.t, "entry") }

func (c *cluster) claim(*rapid.T) {
	i := c.drawEntry()
	c.lastID++
	call := claimCall{
		key:      fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(c.t, "key")),
		calledAt: c.clock.Now(),
		entry:    i,
		pending:  newPendingClaim(Record{Attempt: fmt.Sprintf("a%d", c.lastID)}),
	}
	call.pending.record.Hash = call.key
	c.entries[i].enqueue(call.pending)
	// A claim whose forwarding fails may be committed by two entries.
	if rapid.Bool().Draw(c.t, "twice") {
		other := newPendingClaim(call.pending.record)
		c.entries[c.drawEntry()].enqueue(other)
	}
	c.pending = append(c.pending, call)
}

func (c *cluster) step(*rapid.T) {
	c.nextFault = rapid.SampledFrom([]fault{
		faultNone, faultNone, faultNone, faultNone, faultNone, faultNone, faultDown, faultAnswerLost, faultDelayed,
	}).Draw(c.t, "fault")
	c.table.readLag = rapid.SampledFrom([]int{0, 0, 1, 3, 50}).Draw(c.t, "old")
	err := c.entries[c.drawEntry()].step(context.Background())
	c.nextFault = faultNone
	if err != nil {
		c.counts["failed"]++
	}
	c.collectOutcomes()
}

func (c *cluster) collectOutcomes() {
	var unresolved []claimCall
	for _, call := range c.pending {
		select {
		case o := <-call.pending.result:
			c.checkOutcome(call, o)
		default:
			unresolved = append(unresolved, call)
		}
	}
	c.pending = unresolved
}

func (c *cluster) checkOutcome(call claimCall, o outcome) {
	now := c.clock.Now()
	switch {
	case o.granted && now-call.calledAt < smallLayout.Margin:
		c.counts["granted"]++
		if err := c.audit.recordGrant(call.key, call.pending.record.Attempt, now); err != nil {
			c.t.Fatal(err)
		}
		c.granted = append(c.granted, call)
	case o.holder != "":
		c.counts["held"]++
	default:
		c.counts["refused"]++
	}
}

func (c *cluster) release(t *rapid.T) {
	if len(c.granted) == 0 {
		t.Skip("nothing granted")
	}
	call := c.granted[len(c.granted)-1]
	c.granted = c.granted[:len(c.granted)-1]
	c.entries[c.drawEntry()].enqueueRelease(call.pending.record)
	if c.audit.grants[call.key].attempt == call.pending.record.Attempt {
		delete(c.audit.grants, call.key)
		c.counts["released"]++
	}
}

func (c *cluster) replaceEntry(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "spared") > 0 {
		t.Skip("spared")
	}
	i := c.drawEntry()
	c.entries[i] = c.newEntry()
	c.counts["replaced"]++
}

func (c *cluster) advanceClock(*rapid.T) {
	c.clock.Advance(croft.Millis(rapid.SampledFrom([]int{1, 1, 3, 10, 40}).Draw(c.t, "span")))
}

func (c *cluster) applyDelayed(*rapid.T) { c.table.applyDelayed() }

// TestNoTwoAttemptsHoldOneClaim guards the exclusion that the package comment argues for: random claims, releases,
// table faults, stale reads, delayed commits and restarted entries must not grant one claim to two attempts.
func TestNoTwoAttemptsHoldOneClaim(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, counts)
		t.Repeat(map[string]func(*rapid.T){
			"claim":   c.claim,
			"claim2":  c.claim,
			"step":    c.step,
			"step2":   c.step,
			"step3":   c.step,
			"step4":   c.step,
			"step5":   c.step,
			"release": c.release,
			"replace": c.replaceEntry,
			"pass":    c.advanceClock,
			"land":    c.applyDelayed,
		})
	})
	t.Log(counts)
	for _, name := range []string{"granted", "held", "refused", "released", "replaced", "failed"} {
		assert.Assert(t, counts[name] > 0, "never %s", name)
	}
}

// TestAuditRejectsGrantsOfNone checks that the audit detects a claimer that grants a claim twice.
func TestAuditRejectsGrantsOfNone(t *testing.T) {
	var claimer croft.Claimer = None{}
	a := exclusionAudit{window: 100, grants: map[string]grantedClaim{}}
	assert.NilError(t, claimer.Claim(context.Background(), croft.Request{Key: "k"}, "a1"))
	assert.NilError(t, a.recordGrant("k", "a1", 10))
	assert.NilError(t, claimer.Claim(context.Background(), croft.Request{Key: "k"}, "a2"))
	assert.ErrorContains(t, a.recordGrant("k", "a2", 60), "a1 at 10, then a2 at 60")
}

// TestGroupCommitBoundsWrites counts the commits for ten seconds of evenly spaced claims: with group commit they must
// be bounded by the commit interval and the number of shards, not by the number of claims.
func TestGroupCommitBoundsWrites(t *testing.T) {
	const claims, duration = 4000, 10 * croft.Second
	for _, interval := range []croft.Millis{0, 50, 100, 200} {
		layout := Defaults().Layout
		table := newMemTable()
		c := clock.NewManual(0)
		var shards []*writer
		for i := range layout.Shards {
			shards = append(shards, newWriter(i, layout, table, c, func() string { return "n" }))
		}
		granted := commitEvenLoad(c, shards, claims, duration, interval)
		assert.Equal(t, granted, claims)
		t.Logf("gap %d ms: %d commits for %d claims in %d s", interval, table.commits, claims, duration/croft.Second)
		if interval == 100 {
			assert.Assert(t, table.commits <= int(duration/interval+1)*layout.Shards, "%d commits", table.commits)
			assert.Assert(t, table.commits < claims/2, "%d commits", table.commits)
		}
	}
}

// commitEvenLoad commits evenly spaced claims at an interval, or each on its own if the interval is zero, and returns
// how many were granted.
func commitEvenLoad(c *clock.Manual, shards []*writer, claims int, duration, interval croft.Millis) int {
	ctx := context.Background()
	var pending []*pendingClaim
	for now := croft.Millis(0); now <= duration+interval; now++ {
		for len(pending) < claims && int(now)*claims >= len(pending)*int(duration) {
			hash, shardHash := hashRequest(croft.Request{Key: fmt.Sprint(len(pending))})
			claim := newPendingClaim(Record{Hash: hash, Attempt: fmt.Sprint("a", len(pending))})
			pending = append(pending, claim)
			s := shards[shardHash%uint64(len(shards))]
			s.enqueue(claim)
			if interval == 0 {
				drain(ctx, s)
			}
		}
		for i, s := range shards {
			if interval > 0 && (now+croft.Millis(i)*interval/croft.Millis(len(shards)))%interval == 0 {
				drain(ctx, s)
			}
		}
		c.Advance(1)
	}
	granted := 0
	for _, claim := range pending {
		if o := <-claim.result; o.granted {
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

// TestFoldStopsAtRowsOfDifferentRounds guards against folding a scan whose pages were read before and after the ring
// wrapped around: slots 0 and 1 hold old batches and slot 2 a new one, so the batches between are missing.
func TestFoldStopsAtRowsOfDifferentRounds(t *testing.T) {
	l := newLedger(smallLayout)
	row := func(seq, version uint64) croft.Row {
		b := logBatch{Seq: seq, Claims: []Record{{Hash: fmt.Sprint("h", seq), Attempt: "a"}}}
		return croft.Row{Key: "r", Version: version, Value: b.encode()}
	}
	for _, r := range []croft.Row{row(0, 1), row(1, 2), row(6, 7), row(3, 4)} {
		assert.NilError(t, l.addRow(r))
	}
	assert.Assert(t, !l.fold())
	for _, r := range []croft.Row{row(4, 5), row(1, 2), row(5, 6)} {
		assert.NilError(t, l.addRow(r))
	}
	assert.Assert(t, l.fold())
	assert.Equal(t, l.nextSeq, uint64(7))
	assert.Equal(t, l.holderOf("h5", 0), "a")
}
