package conf

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

func TestCheckReportsAllProblemsAtOnce(t *testing.T) {
	assert.NilError(t, Check(sampleConfig(1, 2)))
	c := sampleConfig(1, 2)
	c.Pools[0].WaveSize = 3
	c.Pools[1].ID = "a/b"
	c.Services = append(c.Services, croft.Service{
		ID:   "s",
		Team: "nobody",
		Pool: "nowhere",
		Kinds: []croft.Kind{
			{ID: "k", FloorShare: 1001, Urgency: -1},
			{ID: "k", Deadline: croft.Hour, MeanRate: -1},
		},
	})
	var faults *CheckError
	assert.Assert(t, errors.As(Check(c), &faults))
	var fields []string
	for _, p := range faults.Problems {
		fields = append(fields, p.Field)
	}
	assert.DeepEqual(t, fields, []string{
		"Pools[p0].WaveSize", "Pools[a/b].ID", "Services[s].Team", "Services[s].ID", "Services[s].Pool",
		"Services[s].Kinds[k].ID", "Services[s].Kinds[k].Urgency", "Services[s].Kinds[k].FloorShare",
		"Services[s].Kinds[k].Deadline", "Services[s].Kinds[k].ID", "Services[s].Kinds[k].Deadline",
		"Services[s].Kinds[k].MeanRate",
	})
	assert.ErrorContains(t, faults, "3 VMs away leave fewer than MinServing 2 of Size 4")
	c = sampleConfig(1, 1)
	c.Services[0].Kinds = append(c.Services[0].Kinds, croft.Kind{ID: "l", FloorShare: 901, Deadline: 1})
	assert.ErrorContains(t, Check(c), "Pools[p0]: the floors of its kinds are 1001 thousandths")
}

func TestDiffFormatsOneLinePerChange(t *testing.T) {
	before, after := sampleConfig(1, 2), sampleConfig(2, 1)
	after.Teams = append(after.Teams, croft.Team{ID: "u"})
	var lines []string
	for _, c := range Diff(before, after) {
		lines = append(lines, c.String())
	}
	assert.Equal(t, strings.Join(lines, "\n"), strings.Join([]string{
		"Pool p1: removed {ID:p1 Promise:0 MinServing:2 Size:4 Spare:false WaveSize:1}",
		"Kind s/k: MeanRate 1 -> 2",
		"Team u: added {ID:u Quota:{MilliCores:0 MemoryMB:0 Accelerators:0}}",
	}, "\n"))
	assert.Equal(t, len(Diff(before, before)), 0)
}
