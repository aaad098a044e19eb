package conf

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

// Applied to any known version, an update must yield the sender's configuration. A receiver whose configuration has the
// same version number but different content must detect that by the hash.
func TestUpdateYieldsTheSenderConfig(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		var s State
		versions := []croft.Config{{}}
		for range rapid.IntRange(1, 12).Draw(t, "versions") {
			c := sampleConfig(rapid.Int64Range(0, 9).Draw(t, "rate"), rapid.IntRange(1, 4).Draw(t, "pools"))
			c = c.WithVersion(uint64(len(versions)))
			versions = append(versions, c)
			s, _ = Reduce(s, croft.ConfigReceived{Config: c}, Inputs{})
		}
		known := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "known")]
		u, higher := s.UpdateFrom(known.Version)
		assert.Equal(t, higher, known.Version < s.Config().Version)
		if !higher {
			return
		}
		got, fits := u.Apply(known)
		assert.Assert(t, fits)
		assert.Equal(t, Hash(got), Hash(s.Config()))
		if u.Whole.Version > 0 {
			counts["whole"]++
			return
		}
		counts["change"]++
		damaged := known
		damaged.Teams = append([]croft.Team{{ID: "other"}}, known.Teams...)
		_, fits = u.Apply(damaged)
		assert.Assert(t, !fits)
	})
	assert.Assert(t, counts["whole"] > 0 && counts["change"] > 0, "%v", counts)
}

// targetSizeConfig returns a configuration of the target size: 75 pools and services, 300 kinds and 160 teams.
func targetSizeConfig() croft.Config {
	var c croft.Config
	for i := range 160 {
		c.Teams = append(c.Teams, croft.Team{
			ID: croft.TeamID(fmt.Sprintf("team-%03d", i)), Quota: croft.Resources{MilliCores: 1_000_000, MemoryMB: 4_000_000},
		})
	}
	for i := range 75 {
		id := fmt.Sprintf("pool-%03d", i)
		c.Pools = append(c.Pools, croft.Pool{ID: croft.PoolID(id), Promise: 999_000, MinServing: 60, Size: 75, WaveSize: 4})
		s := croft.Service{ID: croft.ServiceID("service-" + id), Team: c.Teams[i].ID, Pool: croft.PoolID(id)}
		for k := range 4 {
			s.Kinds = append(s.Kinds, croft.Kind{
				ID: croft.KindID(fmt.Sprintf("kind-%d", k)), Urgency: k, FloorShare: 200, Deadline: 2000, MeanRate: 40_000,
			})
		}
		c.Services = append(c.Services, s)
	}
	return Normalize(c.WithVersion(1))
}

// BenchmarkUpdate measures an update that changes one service at the target size, and its bytes as a delta and as a
// whole configuration.
func BenchmarkUpdate(b *testing.B) {
	first := targetSizeConfig()
	second := targetSizeConfig().WithVersion(2)
	second.Services[7].Kinds[0].MeanRate++
	s, _ := Reduce(State{}, croft.ConfigReceived{Config: first}, Inputs{})
	s, _ = Reduce(s, croft.ConfigReceived{Config: second}, Inputs{})
	var u Update
	for b.Loop() {
		u, _ = s.UpdateFrom(1)
		if _, fits := u.Apply(first); !fits {
			b.Fatal("does not fit")
		}
	}
	b.ReportMetric(float64(len(encode(u))), "change-bytes")
	b.ReportMetric(float64(len(encode(Update{Whole: second}))), "whole-bytes")
}
