package audit

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// sample returns a configuration without findings.
func sample() croft.QueueConfig {
	return croft.QueueConfig{
		Version: 7, BodyBytes: 1000, RequiresKeys: true,
		Pools: []croft.PoolRule{{ID: "lens"}, {ID: "spare", Spare: true}},
		Queues: []croft.Queue{
			{ID: "a", Host: "h", Prefix: "/a/", Pool: "lens", Stretch: 1.5, Latency: 600},
			{ID: "b", Host: "h", Prefix: "/b/", Pool: "lens", Latency: 600},
		},
		Organisations: []croft.Organisation{
			{ID: "red", Keys: keys("red-1", "red-2"), Weight: 4, Cap: croft.Resources{MilliCores: 9000}},
			{ID: "blue", Keys: keys("blue-1"), Weight: 1},
		},
	}
}

func keys(texts ...string) []croft.KeyDigest {
	var digests []croft.KeyDigest
	for _, text := range texts {
		digests = append(digests, croft.DigestKey(text))
	}
	return digests
}

// exampleJob needs 1 core for 1 s in each of two tasks.
func exampleJob(milliCores int64) *croft.JobSpec {
	return &croft.JobSpec{Steps: []croft.Step{{Count: 2, Estimate: croft.Second, Needs: croft.Resources{MilliCores: milliCores}}}}
}

// Each case makes one mistake in the sample; it guards against a rule that does not find its mistake, or that names another entry.
func TestCheckNamesEachMistake(t *testing.T) {
	inForce := sample()
	cases := []struct {
		name string
		edit func(*croft.QueueConfig, *Options)
		want string
	}{
		{"a version in force already", func(_ *croft.QueueConfig, o *Options) { o.InForce = &inForce }, "Error OldVersion configuration "},
		{"a queue without ID", func(c *croft.QueueConfig, _ *Options) { c.Queues[1].ID = "" }, "Error EmptyID queue "},
		{"two queues of one ID", func(c *croft.QueueConfig, _ *Options) { c.Queues[1].ID = "a" }, "Error DuplicateID queue a"},
		{"two pools of one ID", func(c *croft.QueueConfig, _ *Options) { c.Pools = append(c.Pools, c.Pools[0]) }, "Error DuplicateID pool lens"},
		{"two organisations of one ID", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].ID = "red" }, "Error DuplicateID organisation red"},
		{"a negative priority", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Priority = -1 }, "Error NegativeAmount queue a"},
		{"negative attempts", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].MostAttempts = -1 }, "Error NegativeAmount queue a"},
		{"a negative stretch", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Stretch = -1 }, "Error NegativeAmount queue a"},
		{"a negative latency", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Latency = -1 }, "Error NegativeAmount queue a"},
		{"a negative cap", func(c *croft.QueueConfig, _ *Options) { c.Organisations[0].Cap.MemoryMB = -1 }, "Error NegativeAmount organisation red"},
		{"no host", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Host = "" }, "Error MissingHost queue a"},
		{"a host with a port", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Host = "h:80" }, "Error HostWithPort queue a"},
		{"no prefix", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Prefix = "" }, "Error InvalidPrefix queue a"},
		{"a prefix that no path has", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Prefix = "a/" }, "Error InvalidPrefix queue a"},
		{"a pool that does not exist", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Pool = "lenses" }, "Error UnknownPool queue a"},
		{"a queue of the spare pool", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Pool = "spare" }, "Error SparePool queue a"},
		{"a queue that is hidden", func(c *croft.QueueConfig, _ *Options) { c.Queues[1].Prefix = "/a/" }, "Error HiddenQueue queue b"},
		{"a queue without an objective", func(c *croft.QueueConfig, _ *Options) { c.Queues[1].Latency = 0 }, "Contradiction NoObjective queue b"},
		{"a stretch below 1", func(c *croft.QueueConfig, _ *Options) { c.Queues[0].Stretch = 0.5 }, "Contradiction ShortStretch queue a"},
		{"two spare pools", func(c *croft.QueueConfig, _ *Options) {
			c.Pools = append(c.Pools, croft.PoolRule{ID: "s2", Spare: true})
		}, "Error SeveralSpares configuration "},
		{"a pool without queues", func(c *croft.QueueConfig, _ *Options) { c.Pools = append(c.Pools, croft.PoolRule{ID: "p2"}) }, "Warning UnusedPool pool p2"},
		{"a weight of zero", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].Weight = 0 }, "Error InvalidWeight organisation blue"},
		{"a negative weight", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].Weight = -2 }, "Error InvalidWeight organisation blue"},
		{"an organisation without keys", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].Keys = nil }, "Error NoKeys organisation blue"},
		{"an empty key", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].Keys = keys("blue-1", "") }, "Error EmptyKey organisation blue"},
		{"a key given twice", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].Keys = keys("blue-1", "blue-1") }, "Warning RepeatedKey organisation blue"},
		{"a key of two organisations", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].Keys = keys("blue-1", "red-2") }, "Error SharedKey organisation blue"},
		{"only keys of others", func(c *croft.QueueConfig, _ *Options) { c.Organisations[1].Keys = keys("red-1", "red-2") },
			"Error SharedKey organisation blue, Error NoOwnKey organisation blue"},
		{"keys needed but none given", func(c *croft.QueueConfig, _ *Options) { c.Organisations = nil }, "Contradiction NoOrganisation configuration "},
		{"a job larger than a body", func(_ *croft.QueueConfig, o *Options) { o.Job, o.JobBytes = exampleJob(1), 1001 }, "Contradiction SmallBody configuration "},
		{"a cap below a task", func(_ *croft.QueueConfig, o *Options) { o.Job = exampleJob(9001) }, "Contradiction CapBelowJob organisation red"},
		{"a weight above the cap's rate", func(_ *croft.QueueConfig, o *Options) { o.Job = exampleJob(1126) }, "Warning CapBelowWeight organisation red"},
	}
	for _, c := range cases {
		config, options := sample(), Options{}
		c.edit(&config, &options)
		var got []string
		for _, f := range Check(config, options) {
			got = append(got, fmt.Sprintf("%s %s %s %s", f.Level, f.Rule, f.Kind, f.ID))
		}
		assert.Equal(t, strings.Join(got, ", "), c.want, c.name)
	}
}

// Guards against findings about valid configurations, at the bounds of the rules as well.
func TestCheckAcceptsValidConfigurations(t *testing.T) {
	older, open := sample(), sample()
	older.Version = 6
	open.RequiresKeys, open.Organisations = false, nil
	nested := sample()
	nested.Queues[1].Prefix = "/a/b/"
	endless := exampleJob(9000)
	endless.Steps[0].Endless = true
	for name, c := range map[string]struct {
		config  croft.QueueConfig
		options Options
	}{
		"a higher version": {sample(), Options{InForce: &older}}, "no organisations": {open, Options{}}, "nested prefixes": {nested, Options{}},
		"a job at its limits": {sample(), Options{Job: exampleJob(1125), JobBytes: 1000}}, "an endless job": {sample(), Options{Job: endless}},
	} {
		assert.Equal(t, len(Check(c.config, c.options)), 0, "%s: %v", name, Check(c.config, c.options))
	}
}

// Guards against differences that are missed, and against keys or their digests in the output.
func TestDiffNamesEachDifferenceAndNoKey(t *testing.T) {
	before, after := sample(), sample()
	after.Version = 8
	after.Queues[0].Priority = 3
	after.Queues[1] = croft.Queue{ID: "c", Host: "h", Prefix: "/c/", Pool: "lens"}
	after.Pools[0].EnforcesCapacity = true
	after.Organisations[0].Keys = keys("red-2", "red-3", "red-4")
	after.Organisations[1] = croft.Organisation{ID: "green", Keys: keys("green-1"), Weight: 2}
	var lines []string
	for _, c := range Diff(before, after) {
		lines = append(lines, c.String())
	}
	assert.DeepEqual(t, lines, []string{
		"changed: configuration: Version 7 -> 8",
		"changed: queue a: Priority 0 -> 3",
		"added: queue c: h/c/ in pool lens",
		"removed: queue b: h/b/ in pool lens",
		"changed: pool lens: EnforcesCapacity false -> true",
		"changed: organisation red: Keys 2 -> 3 (2 added, 1 removed)",
		"added: organisation green: weight 2, number of keys 1",
		"removed: organisation blue: weight 1, number of keys 1",
	})
	slices.Reverse(before.Organisations[0].Keys)
	assert.Equal(t, len(Diff(before, sample())), 0, "the order of keys has no effect")
}
