package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

var (
	_ croft.Claimer = (*Claimer)(nil)
	_ croft.Claimer = None{}
)

type fixedView struct{ view *croft.View }

func (f fixedView) View() *croft.View { return f.view }

// localRemote is a Remote that calls the claimers in this process, and loses a quarter of the answers unless it is
// lossless.
type localRemote struct {
	mu       sync.Mutex
	claimers map[croft.EntryID]*Claimer
	random   *rand.Rand
	calls    int
	lossless bool
}

func (r *localRemote) ClaimBatch(ctx context.Context, peer croft.Peer, batch Batch) (BatchResult, error) {
	r.mu.Lock()
	r.calls++
	loseAnswer := !r.lossless && r.random.Intn(4) == 0
	owner := r.claimers[peer.ID]
	r.mu.Unlock()
	result := owner.ServeBatch(ctx, batch)
	if loseAnswer {
		return BatchResult{}, errors.New("answer lost")
	}
	return result, nil
}

// startClaimers runs claimers whose rosters contain all of them, except that the last one's contains only itself.
func startClaimers(t *testing.T, count int, table croft.Table) []*Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	remote := &localRemote{claimers: map[croft.EntryID]*Claimer{}, random: rand.New(rand.NewSource(7))}
	var entries []croft.Peer
	for i := range count {
		entries = append(entries, croft.Peer{ID: croft.EntryID(fmt.Sprint("e", i))})
	}
	var claimers []*Claimer
	for i, e := range entries {
		view := &croft.View{Self: e, Entries: entries}
		if i == count-1 {
			view.Entries = entries[i:]
		}
		c := New(Options{
			Table:          table,
			Clock:          clock.NewSystem(),
			Viewer:         fixedView{view},
			Remote:         remote,
			Layout:         Layout{Shards: 4},
			CommitInterval: 5,
			Writes:         2000,
			ProbeInterval:  5,
		})
		remote.claimers[e.ID] = c
		claimers = append(claimers, c)
	}
	for _, c := range claimers {
		running.Go(func() { _ = c.Run(ctx) })
	}
	return claimers
}

func newRequest(key string) croft.Request {
	now := clock.NewSystem().Now()
	return croft.Request{Class: croft.Class{Service: "s", Kind: "k"}, Key: key, Deadline: now + 20*croft.Second}
}

// TestRacingEntriesGrantEachKeyOnce guards against two entries granting the same key: all attempts race at once,
// while the table and the remote calls lose answers.
func TestRacingEntriesGrantEachKeyOnce(t *testing.T) {
	const keys, entries, attempts = 60, 3, 2
	table := newMemTable()
	random := rand.New(rand.NewSource(11))
	table.fault = func() fault {
		if random.Intn(10) == 0 {
			return faultAnswerLost
		}
		return faultNone
	}
	claimers := startClaimers(t, entries, table)
	var mu sync.Mutex
	won := map[string]int{}
	other := map[string]int{}
	var racing sync.WaitGroup
	for n := range keys * entries * attempts {
		racing.Go(func() {
			key := fmt.Sprint("k", n%keys)
			err := claimers[n%entries].Claim(context.Background(), newRequest(key), fmt.Sprint("a", n))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won[key]++
				return
			}
			other[fmt.Sprintf("%T", err)]++
		})
	}
	racing.Wait()
	t.Log(other, table.commits, "commits")
	counted := map[string]int64{}
	for _, c := range claimers {
		counted["granted"] += c.counters.granted.Value()
		counted["held"] += c.counters.held.Value()
		counted["refused"] += c.counters.refused.Value()
		counted["commits"] += c.counters.commits.Value()
	}
	assert.Equal(t, counted["granted"], int64(keys))
	assert.Equal(t, counted["held"], int64(keys*(entries*attempts-1)))
	assert.Equal(t, counted["refused"], int64(0))
	assert.Assert(t, counted["commits"] > 0)
	assert.Equal(t, len(won), keys)
	for key, count := range won {
		assert.Equal(t, count, 1, key)
	}
	assert.Equal(t, other["*croft.ClaimedError"], keys*(entries*attempts-1))
}

// TestReleaseLetsTheNextAttemptRun checks that a claim can be repeated by its holder, is refused to others, and is
// granted to another attempt at another entry after its release.
func TestReleaseLetsTheNextAttemptRun(t *testing.T) {
	c := startClaimers(t, 2, newMemTable())
	ctx := context.Background()
	assert.NilError(t, c[0].Claim(ctx, newRequest("k"), "a1"))
	assert.NilError(t, c[0].Claim(ctx, newRequest("k"), "a1"))
	var held *croft.ClaimedError
	assert.Assert(t, errors.As(c[1].Claim(ctx, newRequest("k"), "a2"), &held))
	assert.Equal(t, held.Attempt, "a1")
	c[0].Release(ctx, newRequest("k"), "a1")
	for n := 0; c[1].Claim(ctx, newRequest("k"), fmt.Sprint("b", n)) != nil; n++ {
		assert.Assert(t, n < 10000)
	}
}

// TestOutageOpensCircuitUntilTableAnswers checks that claims are refused immediately while the table is down, and
// are granted again once it answers.
func TestOutageOpensCircuitUntilTableAnswers(t *testing.T) {
	table := newMemTable()
	var mu sync.Mutex
	down := true
	table.fault = func() fault {
		mu.Lock()
		defer mu.Unlock()
		if down {
			return faultDown
		}
		return faultNone
	}
	c := startClaimers(t, 1, table)[0]
	ctx := context.Background()
	var none *croft.NoClaimError
	assert.Assert(t, errors.As(c.Claim(ctx, newRequest("k"), "a0"), &none))
	assert.Assert(t, c.circuitOpen.Load())
	assert.ErrorContains(t, c.Claim(ctx, newRequest("k"), "a1"), "does not answer")
	mu.Lock()
	down = false
	mu.Unlock()
	for n := 0; c.Claim(ctx, newRequest("k"), fmt.Sprint("b", n)) != nil; n++ {
		assert.NilError(t, clock.NewSystem().Sleep(ctx, 1))
		assert.Assert(t, n < 10000)
	}
}

// TestLayoutMismatchRefusesClaims guards against entries that compute different shards for a key and so both grant
// it: an entry whose layout differs from the stored one must refuse every claim.
func TestLayoutMismatchRefusesClaims(t *testing.T) {
	table := newMemTable()
	startClaimers(t, 1, table)
	other := New(Options{Table: table, Clock: clock.NewSystem(), Layout: Layout{Shards: 8}})
	assert.NilError(t, startClaimers(t, 1, table)[0].Claim(context.Background(), newRequest("k"), "a"))
	var mismatch *LayoutError
	for range other.options.FailureThreshold {
		err := other.ensureLayout(context.Background())
		assert.Assert(t, errors.As(err, &mismatch))
		other.recordTableResult(err)
	}
	err := other.Claim(context.Background(), newRequest("k"), "b")
	assert.ErrorContains(t, err, `differs from the one in force, which is {"Shards":4,"Slots":16384,`)
	assert.Equal(t, other.counters.refused.Value(), int64(1))
}

// TestStaleWriterCountsOneConflict lets two writers that read the same log propose the same batch number: the second
// gets one conflict, then commits its claim in the following batch.
func TestStaleWriterCountsOneConflict(t *testing.T) {
	ctx := context.Background()
	table := newMemTable()
	now := croft.Millis(1000)
	writers := make([]*writer, 2)
	for i := range writers {
		writers[i] = newWriter(0, smallLayout, table, fixedClock{&now}, func() string { return fmt.Sprint("n", i) })
		assert.NilError(t, writers[i].step(ctx))
	}
	for i, w := range writers {
		pending := newPendingClaim(Record{Hash: fmt.Sprint("h", i), Attempt: "a"})
		assert.Assert(t, w.enqueue(pending))
		for !w.idle() {
			assert.NilError(t, w.step(ctx))
		}
		assert.Assert(t, (<-pending.result).granted)
		assert.Equal(t, w.conflicts, i)
		assert.Equal(t, w.commits, 1+i)
	}
}
