package conf

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func configReceived(now croft.Millis, version uint64, fresh bool) croft.ConfigReceived {
	return croft.ConfigReceived{
		At:     croft.At{Time: now},
		Config: croft.Config{Version: version},
		Fresh:  fresh,
	}
}

// A read of the platform or a peer's configuration may be stale, so entries receive versions in any order. An entry must
// never go back to a lower version. The test reduces events in random order and replaces some entries by empty ones.
func TestVersionNeverDecreases(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		const entries = 3
		states := make([]State, entries)
		now := croft.Millis(1_000_000)
		accepted := uint64(1)
		unreachable := false
		// served is the version that each entry last served requests with.
		served := make([]uint64, entries)
		reduce := func(i int, e croft.Event) {
			before := states[i]
			next, effects := Reduce(before, e, Inputs{PlatformReachable: !unreachable})
			assert.Assert(t, next.Config().Version >= before.Config().Version)
			assert.Assert(t, next.Ready() || !before.Ready())
			for _, f := range effects {
				if fetch, isFetch := f.(croft.FetchConfig); isFetch {
					counts["asked"]++
					assert.Equal(t, fetch.Above, next.Config().Version)
				}
			}
			if next.Ready() && !before.Ready() {
				counts["ready"]++
				assert.Assert(t, next.Config().Version > 0)
			}
			states[i] = next
			if next.Ready() {
				assert.Assert(t, next.Config().Version >= served[i])
				served[i] = next.Config().Version
			}
		}
		entry := func(t *rapid.T) int { return rapid.IntRange(0, entries-1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { accepted++ },
			"cut":    func(*rapid.T) { unreachable = !unreachable },
			"old": func(t *rapid.T) {
				reduce(entry(t), configReceived(now, rapid.Uint64Range(0, accepted).Draw(t, "version"), false))
			},
			"fresh": func(t *rapid.T) {
				if unreachable {
					t.Skip("cut")
				}
				i := entry(t)
				reduce(i, configReceived(now, accepted, true))
				assert.Equal(t, states[i].Config().Version, accepted)
			},
			"hear": func(t *rapid.T) {
				from := states[entry(t)].Config().Version
				reduce(entry(t), croft.PeerMessageReceived{
					At:   croft.At{Time: now},
					Peer: croft.Peer{ID: "p", Address: "127.0.0.1:1", ConfigVersion: from},
				})
			},
			"fetch": func(t *rapid.T) {
				reduce(entry(t), configReceived(now, states[entry(t)].Config().Version, false))
			},
			"tick": func(t *rapid.T) {
				now += croft.Millis(rapid.IntRange(1, 3000).Draw(t, "span"))
				reduce(entry(t), croft.Tick{At: croft.At{Time: now}, Seed: rapid.Uint64().Draw(t, "seed")})
			},
			"replace": func(t *rapid.T) {
				i := entry(t)
				states[i], served[i] = State{}, 0
				counts["replaced"]++
			},
		})
	})
	t.Log(counts)
	for _, name := range []string{"asked", "ready", "replaced"} {
		assert.Assert(t, counts[name] > 0, "never %s", name)
	}
}

func TestNewEntryWaitsForAConfirmedReadWhileThePlatformAnswers(t *testing.T) {
	s, _ := Reduce(State{}, configReceived(1000, 3, false), Inputs{PlatformReachable: true})
	for now := croft.Millis(1000); now < 1000+2*announcedWait; now += 500 {
		s, _ = Reduce(s, croft.Tick{At: croft.At{Time: now}}, Inputs{PlatformReachable: true})
		assert.Assert(t, !s.Ready())
	}
	s, _ = Reduce(s, configReceived(90_000, 4, true), Inputs{PlatformReachable: true})
	assert.Assert(t, s.Ready())
	assert.Equal(t, s.Config().Version, uint64(4))
}

func TestNewEntryServesWithThePeersConfigDuringAnOutage(t *testing.T) {
	unreachable := Inputs{}
	s, _ := Reduce(State{}, configReceived(1000, 3, false), unreachable)
	s, effects := Reduce(s, croft.PeerMessageReceived{
		At:    croft.At{Time: 1100},
		Peer:  croft.Peer{ID: "a", ConfigVersion: 2, Address: "127.0.0.1:1"},
		Known: []croft.Peer{{ID: "b", ConfigVersion: 5, Address: "127.0.0.1:2"}},
	}, unreachable)
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0], croft.Effect(croft.FetchConfig{Address: "127.0.0.1:2", Above: 3}))
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: 1000 + platformWait}}, unreachable)
	assert.Assert(t, !s.Ready(), "version 5 was announced but not received")
	s, _ = Reduce(s, configReceived(7000, 5, false), unreachable)
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: 7001}}, unreachable)
	assert.Assert(t, s.Ready())
}

func TestPlatformIsPolledMoreOftenBeforeServing(t *testing.T) {
	in := Inputs{PlatformReachable: true}
	countPolls := func(s State) int {
		polls := 0
		for now := croft.Millis(10_000); now < 70_000; now += 100 {
			var effects []croft.Effect
			s, effects = Reduce(s, croft.Tick{At: croft.At{Time: now}, Seed: uint64(now) * 7919}, in)
			polls += len(effects)
		}
		return polls
	}
	serving, _ := Reduce(State{}, configReceived(0, 1, true), in)
	polls := countPolls(serving)
	assert.Assert(t, polls >= 15 && polls <= 18, "%d polls", polls)
	assert.Equal(t, countPolls(State{}), 60)
}

// If every entry passed a new version on, the messages of one change would grow with the square of the number of
// entries. Counts the notices and fetches of one change at 90 entries.
func TestOnlyTheAcceptingEntryNotifiesPeers(t *testing.T) {
	const entries = 90
	in := Inputs{PlatformReachable: true}
	accepted := configReceived(1000, 7, false)
	accepted.Accepted = true
	_, effects := Reduce(State{}, accepted, in)
	assert.Equal(t, len(effects), 2)
	notice, isNotice := effects[1].(croft.NotifyPeers)
	assert.Assert(t, isNotice && len(notice.News) == 0)
	fetches := 0
	for range entries - 1 {
		s, fetchEffects := Reduce(State{}, croft.PeerMessageReceived{
			At: croft.At{Time: 1001}, Peer: croft.Peer{ID: "a", ConfigVersion: 7, Address: "127.0.0.1:1"},
		}, in)
		fetches += len(fetchEffects)
		s, updateEffects := Reduce(s, configReceived(1002, 7, false), in)
		assert.Equal(t, s.Config().Version, uint64(7))
		assert.Equal(t, len(updateEffects), 1, "only the log line")
		_, repeatEffects := Reduce(s, croft.PeerMessageReceived{
			At: croft.At{Time: 1003}, Peer: croft.Peer{ID: "b", ConfigVersion: 7, Address: "127.0.0.1:2"},
		}, in)
		assert.Equal(t, len(repeatEffects), 0)
	}
	assert.Equal(t, fetches, entries-1)
}

// The baseline goes back to whatever version a stale read returns, and logs it.
func TestBaselineRevertsToAStaleRead(t *testing.T) {
	s := New(Options{LastRead: true})
	var effects []croft.Effect
	for _, version := range []uint64{4, 4, 3} {
		s, effects = Reduce(s, configReceived(1, version, true), Inputs{PlatformReachable: true})
	}
	assert.Equal(t, s.Config().Version, uint64(3))
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0], croft.Effect(croft.Decision{
		Action: "Configure", Subject: "version 3", Choice: "in force", Reason: "the last version read, after version 4",
	}))
}
