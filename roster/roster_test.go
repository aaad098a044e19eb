package roster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func testPeer(n int) croft.Peer {
	return croft.Peer{
		ID:         croft.EntryID(fmt.Sprintf("e%d", n)),
		DataCentre: croft.DataCentre(fmt.Sprintf("d%d", n%2)),
		Address:    fmt.Sprintf("127.1.0.%d:1", n),
	}
}

func receiveFrom(s State, n int, now croft.Millis) State {
	return receiveFromWithDemand(s, n, now, nil)
}

func receiveFromWithDemand(s State, n int, now croft.Millis, wanted map[croft.PoolID]int) State {
	s, _ = Reduce(s, croft.PeerMessageReceived{At: croft.At{Time: now}, Peer: testPeer(n), Wanted: wanted})
	return s
}

func TestSilentEntryIsExcludedAndStillProbed(t *testing.T) {
	s := receiveFrom(New(testPeer(0), Options{}), 2, 100)
	assert.Equal(t, len(s.Alive()), 2)
	silent := 100 + s.silentAfter(testPeer(2))
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: silent - 1}})
	assert.Equal(t, len(s.Alive()), 2)
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: silent}})
	assert.Equal(t, len(s.Alive()), 1)
	_, effects := Reduce(s, croft.Tick{At: croft.At{Time: 20_000}})
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0], croft.Effect(croft.ProbePeer{Peer: testPeer(2)}))
}

// An entry that does not answer this one's probes is excluded from the shares, even if others report its heartbeats.
func TestUnansweredProbesExcludeAnEntryUntilItsOwnMessage(t *testing.T) {
	s := receiveFrom(receiveFrom(New(testPeer(0), Options{}), 2, 100), 4, 100)
	for range maxMissedProbes {
		s, _ = Reduce(s, croft.PeerProbeFailed{At: croft.At{Time: 200}, ID: testPeer(2).ID})
	}
	assert.Equal(t, len(s.Alive()), 2)
	message := croft.PeerMessageReceived{At: croft.At{Time: 300}, Peer: testPeer(4), Beats: map[croft.EntryID]uint64{testPeer(2).ID: 99}}
	s, _ = Reduce(s, message)
	assert.Equal(t, len(s.Alive()), 2)
	assert.Equal(t, len(receiveFrom(s, 2, 400).Alive()), 3)
}

func TestEntryReplacedAtItsAddressIsDropped(t *testing.T) {
	s := receiveFrom(New(testPeer(0), Options{}), 2, 100)
	replacement := testPeer(2)
	replacement.ID = "e2-again"
	s, _ = Reduce(s, croft.PeerMessageReceived{At: croft.At{Time: 200}, Peer: replacement})
	assert.Equal(t, len(s.Alive()), 2)
	assert.Equal(t, s.Alive()[1].ID, croft.EntryID("e2-again"))
}

func TestSeedsAreProbedUntilTheyAnswer(t *testing.T) {
	s := New(testPeer(0), Options{Seeds: []string{testPeer(0).Address, testPeer(1).Address}})
	s, effects := Reduce(s, croft.Tick{At: croft.At{Time: 1}})
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0], croft.Effect(croft.ProbePeer{Peer: croft.Peer{Address: testPeer(1).Address}}))
	s = receiveFrom(s, 1, 2)
	_, effects = Reduce(s, croft.Tick{At: croft.At{Time: 5000}})
	assert.Equal(t, effects[0], croft.Effect(croft.ProbePeer{Peer: testPeer(1)}))
}

// When a flood of requests reaches two entries at once, each sees its own demand rise before it receives the other's.
// Until then neither may raise its share, or the two shares would exceed the pool's slots.
func TestSharesSumToAtMostTheFullShareWhileDemandRisesEverywhere(t *testing.T) {
	a := receiveFromWithDemand(New(testPeer(0), Options{}), 2, 100, map[croft.PoolID]int{"p": 10})
	b := receiveFromWithDemand(New(testPeer(2), Options{}), 0, 100, map[croft.PoolID]int{"p": 10})
	recordDemand := func(wanted int) {
		counted := croft.TrafficCounted{Wanted: map[croft.PoolID]int{"p": wanted}}
		a, _ = Reduce(a, counted)
		b, _ = Reduce(b, counted)
		assert.Assert(t, a.Share("p")+b.Share("p") <= fullShare)
	}
	recordDemand(10)
	for range shareHistory - 1 {
		recordDemand(300)
	}
	a = receiveFromWithDemand(a, 2, 200, map[croft.PoolID]int{"p": 300})
	b = receiveFromWithDemand(b, 0, 200, map[croft.PoolID]int{"p": 300})
	for range shareHistory {
		recordDemand(300)
	}
	assert.Equal(t, a.Share("p"), fullShare/2)
}

// The shares of entries that know each other's demand must add up to all of a pool's slots, less
// only what rounding takes.
func TestSharesSumToAtMostTheFullShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "entries")
		wanted := rapid.SliceOfN(rapid.IntRange(0, 400), count, count).Draw(t, "wanted")
		sum := 0
		for i := range count {
			s := New(testPeer(i), Options{})
			s, _ = Reduce(s, croft.TrafficCounted{Wanted: map[croft.PoolID]int{"p": wanted[i]}})
			for j := range count {
				s = receiveFromWithDemand(s, j, 100, map[croft.PoolID]int{"p": wanted[j]})
			}
			assert.Equal(t, len(s.Alive()), count)
			sum += s.Share("p")
		}
		assert.Assert(t, sum <= fullShare, "sum %d", sum)
		assert.Assert(t, sum > fullShare-2*count-1, "sum %d", sum)
	})
}
