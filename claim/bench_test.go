package claim

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Load of the benchmarks: claims a second over all shards, and batches a second of each shard.
const (
	claimsASecond  = 400
	batchesASecond = 20
)

// fullRing returns the rows that one shard holds after claims at a constant rate for window and margin.
func fullRing(layout Layout, claimsPerSecond float64) []croft.Row {
	seconds := int((layout.Window + layout.Margin) / croft.Second)
	batches := min(seconds*batchesASecond, layout.Slots)
	var rows []croft.Row
	claims := 0
	for seq := range batches {
		b := logBatch{
			Seq:   uint64(seq),
			Nonce: "01234567-89ab-cdef-0123-456789abcdef",
			Taken: croft.Millis(seq) * croft.Second / batchesASecond,
		}
		for ; float64(claims) < claimsPerSecond*float64(seq+1)/batchesASecond; claims++ {
			b.Claims = append(b.Claims, Record{
				Hash: fmt.Sprintf("%032x", claims), Attempt: fmt.Sprintf("%08x-89ab-cdef-0123-456789abcdef", claims),
			})
		}
		rows = append(rows, croft.Row{Key: slotKey(0, seq), Version: uint64(seq + 1), Value: b.encode()})
	}
	return rows
}

// BenchmarkLedger folds the log of one of 8 shards after 11 minutes (window and margin) of 400 claims a second, as an
// entry must when it becomes the shard's owner.
func BenchmarkLedger(b *testing.B) {
	layout := Defaults().Layout
	rows := fullRing(layout, claimsASecond/float64(layout.Shards))
	bytes := 0
	for _, r := range rows {
		bytes += len(r.Key) + len(r.Value)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var l *ledger
	for b.Loop() {
		l = newLedger(layout)
		for _, r := range rows {
			assert.NilError(b, l.addRow(r))
		}
		assert.Assert(b, l.fold())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(len(rows)), "rows")
	b.ReportMetric(float64(bytes), "table-bytes")
	b.ReportMetric(float64(len(rows)/scanPageSize+1), "reads")
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
	b.ReportMetric(float64(len(l.claims)), "claims")
	runtime.KeepAlive(l)
}

// BenchmarkCommit commits batches of one shard at its share of 400 claims a second; ns/op is the owner's processor
// time for one batch.
func BenchmarkCommit(b *testing.B) {
	table := &nullTable{}
	now := croft.Millis(1_000_000)
	w := newWriter(0, Defaults().Layout, table, fixedClock{&now}, func() string { return "n" })
	ctx := context.Background()
	assert.NilError(b, w.catchUp(ctx))
	n := 0
	for b.Loop() {
		for range 2 {
			n++
			w.queue = append(w.queue, newPendingClaim(Record{Hash: fmt.Sprintf("%032x", n), Attempt: "a"}))
		}
		assert.NilError(b, w.step(ctx))
		now += croft.Second / batchesASecond
	}
}

// fixedClock returns the instant that a test or benchmark has set.
type fixedClock struct{ now *croft.Millis }

func (c fixedClock) Now() croft.Millis                         { return *c.now }
func (c fixedClock) Elapsed() croft.Millis                     { return *c.now }
func (c fixedClock) Sleep(context.Context, croft.Millis) error { return nil }

// nullTable accepts every commit and stores nothing.
type nullTable struct {
	croft.Table
	version uint64
}

func (t *nullTable) Scan(context.Context, croft.Range) ([]croft.Row, error) { return nil, nil }

func (t *nullTable) Commit(context.Context, []croft.Op) (uint64, error) {
	t.version++
	return t.version, nil
}
