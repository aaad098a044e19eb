package conf

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func learned(now croft.Millis, version uint64, fresh bool) croft.ConfigReceived {
	return croft.ConfigReceived{
		At:     croft.At{Time: now},
		Config: croft.Config{Version: version},
		Fresh:  fresh,
	}
}

// TestVersionNeverFalls reduces random orders of events, with replaced entries that boot empty.
func TestVersionNeverFalls(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		const entries = 3
		states := make([]State, entries)
		now := croft.Millis(1_000_000)
		accepted := uint64(1)
		cut := false
		// served is the version that each entry served by last.
		served := make([]uint64, entries)
		event := func(i int, e croft.Event) {
			before := states[i]
			next, effects := Reduce(before, e, Inputs{PlatformReachable: !cut})
			assert.Assert(t, next.Config().Version >= before.Config().Version)
			assert.Assert(t, next.Ready() || !before.Ready())
			for _, f := range effects {
				if fetch, asks := f.(croft.FetchConfig); asks {
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
			"cut":    func(*rapid.T) { cut = !cut },
			"old": func(t *rapid.T) {
				event(entry(t), learned(now, rapid.Uint64Range(0, accepted).Draw(t, "version"), false))
			},
			"fresh": func(t *rapid.T) {
				if cut {
					t.Skip("cut")
				}
				i := entry(t)
				event(i, learned(now, accepted, true))
				assert.Equal(t, states[i].Config().Version, accepted)
			},
			"hear": func(t *rapid.T) {
				from := states[entry(t)].Config().Version
				event(entry(t), croft.PeerMessageReceived{
					At:   croft.At{Time: now},
					Peer: croft.Peer{ID: "p", Address: "127.0.0.1:1", ConfigVersion: from},
				})
			},
			"fetch": func(t *rapid.T) {
				event(entry(t), learned(now, states[entry(t)].Config().Version, false))
			},
			"tick": func(t *rapid.T) {
				now += croft.Millis(rapid.IntRange(1, 3000).Draw(t, "span"))
				event(entry(t), croft.Tick{At: croft.At{Time: now}, Seed: rapid.Uint64().Draw(t, "seed")})
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

func TestNewEntryDoesNotServeAnOldReadWhileThePlatformAnswers(t *testing.T) {
	s, _ := Reduce(State{}, learned(1000, 3, false), Inputs{PlatformReachable: true})
	for now := croft.Millis(1000); now < 1000+2*heardSpan; now += 500 {
		s, _ = Reduce(s, croft.Tick{At: croft.At{Time: now}}, Inputs{PlatformReachable: true})
		assert.Assert(t, !s.Ready())
	}
	s, _ = Reduce(s, learned(90_000, 4, true), Inputs{PlatformReachable: true})
	assert.Assert(t, s.Ready())
	assert.Equal(t, s.Config().Version, uint64(4))
}

func TestNewEntryServesByItsPeersDuringAnOutage(t *testing.T) {
	cut := Inputs{}
	s, _ := Reduce(State{}, learned(1000, 3, false), cut)
	s, effects := Reduce(s, croft.PeerMessageReceived{
		At:    croft.At{Time: 1100},
		Peer:  croft.Peer{ID: "a", ConfigVersion: 2, Address: "127.0.0.1:1"},
		Known: []croft.Peer{{ID: "b", ConfigVersion: 5, Address: "127.0.0.1:2"}},
	}, cut)
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0], croft.Effect(croft.FetchConfig{Address: "127.0.0.1:2", Above: 3}))
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: 1000 + bootSpan}}, cut)
	assert.Assert(t, !s.Ready(), "version 5 is known of")
	s, _ = Reduce(s, learned(7000, 5, false), cut)
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: 7001}}, cut)
	assert.Assert(t, s.Ready())
}

func TestPlatformIsPolledMoreOftenBeforeServing(t *testing.T) {
	in := Inputs{PlatformReachable: true}
	count := func(s State) int {
		polls := 0
		for now := croft.Millis(10_000); now < 70_000; now += 100 {
			var effects []croft.Effect
			s, effects = Reduce(s, croft.Tick{At: croft.At{Time: now}, Seed: uint64(now) * 7919}, in)
			polls += len(effects)
		}
		return polls
	}
	serving, _ := Reduce(State{}, learned(0, 1, true), in)
	polls := count(serving)
	assert.Assert(t, polls >= 15 && polls <= 18, "%d polls", polls)
	assert.Equal(t, count(State{}), 60)
}

// TestOnlyTheAcceptingEntryTells counts the messages of one change at 90 entries.
func TestOnlyTheAcceptingEntryTells(t *testing.T) {
	const entries = 90
	in := Inputs{PlatformReachable: true}
	accepted := learned(1000, 7, false)
	accepted.Accepted = true
	_, effects := Reduce(State{}, accepted, in)
	assert.Equal(t, len(effects), 2)
	tell, tells := effects[1].(croft.NotifyPeers)
	assert.Assert(t, tells && len(tell.News) == 0)
	fetches := 0
	for range entries - 1 {
		s, asked := Reduce(State{}, croft.PeerMessageReceived{
			At: croft.At{Time: 1001}, Peer: croft.Peer{ID: "a", ConfigVersion: 7, Address: "127.0.0.1:1"},
		}, in)
		fetches += len(asked)
		s, told := Reduce(s, learned(1002, 7, false), in)
		assert.Equal(t, s.Config().Version, uint64(7))
		assert.Equal(t, len(told), 1, "only the log line")
		_, again := Reduce(s, croft.PeerMessageReceived{
			At: croft.At{Time: 1003}, Peer: croft.Peer{ID: "b", ConfigVersion: 7, Address: "127.0.0.1:2"},
		}, in)
		assert.Equal(t, len(again), 0)
	}
	assert.Equal(t, fetches, entries-1)
}
