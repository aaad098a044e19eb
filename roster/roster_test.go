package roster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func entry(n int) croft.Peer {
	return croft.Peer{
		ID:         croft.EntryID(fmt.Sprintf("e%d", n)),
		DataCentre: croft.DataCentre(fmt.Sprintf("d%d", n%2)),
		Address:    fmt.Sprintf("127.1.0.%d:1", n),
	}
}

func heard(s State, n int, now croft.Millis) State {
	return heardWanting(s, n, now, nil)
}

func heardWanting(s State, n int, now croft.Millis, wanted map[croft.PoolID]int) State {
	s, _ = Reduce(s, croft.PeerMessageReceived{At: croft.At{Time: now}, Peer: entry(n), Wanted: wanted})
	return s
}

func TestSilentEntryIsLeftOutAndStillProbed(t *testing.T) {
	s := heard(New(entry(0), Options{}), 2, 100)
	assert.Equal(t, len(s.Alive()), 2)
	silent := 100 + s.silentAfter(entry(2))
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: silent - 1}})
	assert.Equal(t, len(s.Alive()), 2)
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: silent}})
	assert.Equal(t, len(s.Alive()), 1)
	_, effects := Reduce(s, croft.Tick{At: croft.At{Time: 20_000}})
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0], croft.Effect(croft.ProbePeer{Peer: entry(2)}))
}

// Whatever others tell: an entry that does not answer here has no share of what is shared here.
func TestUnansweredProbesLeaveAnEntryOutUntilItSpeaks(t *testing.T) {
	s := heard(heard(New(entry(0), Options{}), 2, 100), 4, 100)
	for range missesToSilent {
		s, _ = Reduce(s, croft.PeerProbeFailed{At: croft.At{Time: 200}, ID: entry(2).ID})
	}
	assert.Equal(t, len(s.Alive()), 2)
	told := croft.PeerMessageReceived{At: croft.At{Time: 300}, Peer: entry(4), Beats: map[croft.EntryID]uint64{entry(2).ID: 99}}
	s, _ = Reduce(s, told)
	assert.Equal(t, len(s.Alive()), 2)
	assert.Equal(t, len(heard(s, 2, 400).Alive()), 3)
}

func TestEntryReplacedAtItsAddressIsDropped(t *testing.T) {
	s := heard(New(entry(0), Options{}), 2, 100)
	replacement := entry(2)
	replacement.ID = "e2-again"
	s, _ = Reduce(s, croft.PeerMessageReceived{At: croft.At{Time: 200}, Peer: replacement})
	assert.Equal(t, len(s.Alive()), 2)
	assert.Equal(t, s.Alive()[1].ID, croft.EntryID("e2-again"))
}

func TestSeedsAreProbedUntilHeard(t *testing.T) {
	s := New(entry(0), Options{Seeds: []string{entry(0).Address, entry(1).Address}})
	s, effects := Reduce(s, croft.Tick{At: croft.At{Time: 1}})
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0], croft.Effect(croft.ProbePeer{Peer: croft.Peer{Address: entry(1).Address}}))
	s = heard(s, 1, 2)
	_, effects = Reduce(s, croft.Tick{At: croft.At{Time: 5000}})
	assert.Equal(t, effects[0], croft.Effect(croft.ProbePeer{Peer: entry(1)}))
}

// A flood that reaches both entries at once must not give each of them the greater part.
func TestSharesStayWithinTheWholeWhileDemandRisesEverywhere(t *testing.T) {
	a := heardWanting(New(entry(0), Options{}), 2, 100, map[croft.PoolID]int{"p": 10})
	b := heardWanting(New(entry(2), Options{}), 0, 100, map[croft.PoolID]int{"p": 10})
	count := func(wanted int) {
		counted := croft.TrafficCounted{Wanted: map[croft.PoolID]int{"p": wanted}}
		a, _ = Reduce(a, counted)
		b, _ = Reduce(b, counted)
		assert.Assert(t, a.Share("p")+b.Share("p") <= wholeShare)
	}
	count(10)
	for range sharesKept - 1 {
		count(300)
	}
	a = heardWanting(a, 2, 200, map[croft.PoolID]int{"p": 300})
	b = heardWanting(b, 0, 200, map[croft.PoolID]int{"p": 300})
	for range sharesKept {
		count(300)
	}
	assert.Equal(t, a.Share("p"), wholeShare/2)
}

// Entries that have heard each other's demand never claim more than all slots together.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(t, "entries")
		wanted := rapid.SliceOfN(rapid.IntRange(0, 400), count, count).Draw(t, "wanted")
		sum := 0
		for i := range count {
			s := New(entry(i), Options{})
			s, _ = Reduce(s, croft.TrafficCounted{Wanted: map[croft.PoolID]int{"p": wanted[i]}})
			for j := range count {
				s = heardWanting(s, j, 100, map[croft.PoolID]int{"p": wanted[j]})
			}
			assert.Equal(t, len(s.Alive()), count)
			sum += s.Share("p")
		}
		assert.Assert(t, sum <= wholeShare, "sum %d", sum)
		assert.Assert(t, sum > wholeShare-2*count-1, "sum %d", sum)
	})
}
