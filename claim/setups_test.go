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

// slowTable delays each commit, as a network would.
type slowTable struct {
	*memTable
	delay time.Duration
}

func (t slowTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	time.Sleep(t.delay)
	return t.memTable.Commit(ctx, ops)
}

// BenchmarkCommitSetups compares commits a second and the latency of claims for different numbers of shards and commit
// intervals, with and without forwarding, at 9 entries and 400 claims a second.
func BenchmarkCommitSetups(b *testing.B) {
	for _, s := range []commitSetup{
		{16, 50, true}, {16, 50, false}, {16, 100, true}, {16, 100, false}, {16, 200, true}, {16, 200, false},
		{8, 50, true}, {8, 100, true}, {4, 25, true},
	} {
		b.Run(fmt.Sprintf("shards=%d/gap=%d/forwards=%t", s.shards, s.commitInterval, s.forwarding), func(b *testing.B) {
			for b.Loop() {
				s.measure(b)
			}
		})
	}
}

// commitSetup holds the options that BenchmarkCommitSetups varies.
type commitSetup struct {
	shards         int
	commitInterval croft.Millis
	forwarding     bool
}

func (s commitSetup) measure(b *testing.B) {
	const entries, seconds = 9, 4
	table := slowTable{memTable: newMemTable(), delay: 5 * time.Millisecond}
	claimers, stop := s.startClaimers(table, entries)
	defer stop()
	var mu sync.Mutex
	var latencies []time.Duration
	refused := 0
	var running sync.WaitGroup
	loadStart := time.Now()
	for n := range claimsASecond * seconds {
		time.Sleep(time.Until(loadStart.Add(time.Duration(n) * time.Second / claimsASecond)))
		running.Go(func() {
			startedAt := time.Now()
			err := claimers[n%entries].Claim(context.Background(), newRequest(fmt.Sprint("k", n)), fmt.Sprint("a", n))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				return
			}
			latencies = append(latencies, time.Since(startedAt))
		})
	}
	running.Wait()
	slices.Sort(latencies)
	commits := int64(0)
	conflicts := int64(0)
	for _, c := range claimers {
		commits += c.counters.commits.Value()
		conflicts += c.counters.conflicts.Value()
	}
	elapsed := time.Since(loadStart).Seconds()
	b.ReportMetric(float64(commits)/elapsed, "commits/s")
	b.ReportMetric(float64(conflicts)/elapsed, "conflicts/s")
	b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "median-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(refused), "refused")
}

// startClaimers runs claimers that all know each other, and returns them with a function that stops them.
func (s commitSetup) startClaimers(table croft.Table, count int) ([]*Claimer, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	remote := &localRemote{claimers: map[croft.EntryID]*Claimer{}, random: rand.New(rand.NewSource(7)), lossless: true}
	var view croft.View
	for i := range count {
		view.Entries = append(view.Entries, croft.Peer{ID: croft.EntryID(fmt.Sprint("e", i))})
	}
	var claimers []*Claimer
	for _, e := range view.Entries {
		o := Options{
			Table: table, Clock: clock.NewSystem(), CommitInterval: s.commitInterval, Layout: Layout{Shards: s.shards},
			Viewer: fixedView{&croft.View{Self: e, Entries: view.Entries}},
		}
		if s.forwarding {
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
