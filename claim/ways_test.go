package claim

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"time"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// slowTable answers after a span, as one that is reached over a network does.
type slowTable struct {
	*memTable
	span time.Duration
}

func (t slowTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	time.Sleep(t.span)
	return t.memTable.Commit(ctx, ops)
}

// BenchmarkWays compares the table's writes a second and the latency of a claim, with 9 entries and 400 claims a second.
func BenchmarkWays(b *testing.B) {
	for _, w := range []way{
		{16, 50, true}, {16, 50, false}, {16, 100, true}, {16, 100, false}, {16, 200, true}, {16, 200, false},
		{8, 50, true}, {8, 100, true}, {4, 25, true},
	} {
		b.Run(fmt.Sprintf("shards=%d/gap=%d/forwards=%t", w.shards, w.gap, w.forwards), func(b *testing.B) {
			for b.Loop() {
				w.measure(b)
			}
		})
	}
}

// way is one way to commit claims.
type way struct {
	shards   int
	gap      croft.Millis
	forwards bool
}

func (w way) measure(b *testing.B) {
	const entries, seconds = 9, 4
	table := slowTable{memTable: newMemTable(), span: 5 * time.Millisecond}
	claimers, stop := w.start(table, entries)
	defer stop()
	var mu sync.Mutex
	var spans []time.Duration
	refused := 0
	var running sync.WaitGroup
	began := time.Now()
	for n := range claimsASecond * seconds {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / claimsASecond)))
		running.Go(func() {
			asked := time.Now()
			err := claimers[n%entries].Claim(context.Background(), request(fmt.Sprint("k", n)), fmt.Sprint("a", n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				return
			}
			spans = append(spans, time.Since(asked))
		})
	}
	running.Wait()
	slices.Sort(spans)
	commits := int64(0)
	conflicts := int64(0)
	for _, c := range claimers {
		commits += c.counters.commits.Value()
		conflicts += c.counters.conflicts.Value()
	}
	taken := time.Since(began).Seconds()
	b.ReportMetric(float64(commits)/taken, "commits/s")
	b.ReportMetric(float64(conflicts)/taken, "conflicts/s")
	b.ReportMetric(float64(spans[len(spans)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(spans[len(spans)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(refused), "refused")
}

// start runs entries that know each other.
func (w way) start(table croft.Table, count int) ([]*Claimer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	remote := &peers{claimers: map[croft.EntryID]*Claimer{}, random: rand.New(rand.NewSource(7)), loseNone: true}
	var view croft.View
	for i := range count {
		view.Entries = append(view.Entries, croft.Peer{ID: croft.EntryID(fmt.Sprint("e", i))})
	}
	var claimers []*Claimer
	for _, e := range view.Entries {
		o := Options{
			Table: table, Clock: clock.NewSystem(), Gap: w.gap, Layout: Layout{Shards: w.shards},
			Viewer: fixedView{&croft.View{Self: e, Entries: view.Entries}},
		}
		if w.forwards {
			o.Remote = remote
		}
		c := New(o)
		remote.claimers[e.ID] = c
		claimers = append(claimers, c)
	}
	for _, c := range claimers {
		running.Go(func() { _ = c.Run(ctx) })
	}
	return claimers, func() { cancel(); running.Wait() }
}
