package demo

import "waxwing.example/croft"

// The pools of the demo.
const (
	clinics croft.PoolID = "clinics"
	office  croft.PoolID = "office"
)

// vmsPerPool is the number of VMs that each pool has at first.
const vmsPerPool = 4

// config declares two pools and five services, three of them the intake of old firms.
func config() croft.Config {
	return croft.Config{
		Pools: []croft.Pool{
			{ID: clinics, Promise: 990_000, MinServing: 2, Size: vmsPerPool, WaveSize: 1},
			{ID: office, Promise: 990_000, MinServing: 2, Size: vmsPerPool, WaveSize: 1},
		},
		Teams: []croft.Team{{ID: "relief", Quota: croft.Resources{MilliCores: 200_000, MemoryMB: 800_000}}},
		Services: []croft.Service{
			intake("intake-north"),
			intake("intake-coast"),
			intake("intake-hills"),
			{ID: "shipping", Team: "relief", Pool: office, Kinds: []croft.Kind{
				{ID: "promise", Urgency: 0, FloorShare: 200, Deadline: 2 * croft.Second, MeanRate: 5_000},
				{ID: "list", Urgency: 1, FloorShare: 200, Deadline: 5 * croft.Second, Repeatable: true, MeanRate: 5_000},
			}},
			{ID: "admin", Team: "relief", Pool: office, Kinds: []croft.Kind{
				{ID: "report", Urgency: 2, FloorShare: 100, Deadline: 5 * croft.Second, Repeatable: true, MeanRate: 2_000},
			}},
		},
	}
}

func intake(id croft.ServiceID) croft.Service {
	return croft.Service{ID: id, Team: "relief", Pool: clinics, Kinds: []croft.Kind{
		{ID: "reading", Urgency: 0, FloorShare: 150, Deadline: 2 * croft.Second, Repeatable: true, MeanRate: 10_000},
		{ID: "catalogue", Urgency: 2, FloorShare: 50, Deadline: croft.Second, Repeatable: true, MeanRate: 5_000},
	}}
}
