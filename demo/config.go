package demo

import "waxwing.example/croft"

// The pools of the demo.
const (
	poolClinics croft.PoolID = "clinics"
	poolOffice  croft.PoolID = "office"
)

// vmsPerPool is the number of VMs in each pool at the start.
const vmsPerPool = 4

// newConfig returns a configuration with two pools and five services, three of which are intake services.
func newConfig() croft.Config {
	return croft.Config{
		Pools: []croft.Pool{
			{ID: poolClinics, Promise: 990_000, MinServing: 2, Size: vmsPerPool, WaveSize: 1},
			{ID: poolOffice, Promise: 990_000, MinServing: 2, Size: vmsPerPool, WaveSize: 1},
		},
		Teams: []croft.Team{{ID: "relief", Quota: croft.Resources{MilliCores: 200_000, MemoryMB: 800_000}}},
		Services: []croft.Service{
			intakeService("intake-north"),
			intakeService("intake-coast"),
			intakeService("intake-hills"),
			{ID: "shipping", Team: "relief", Pool: poolOffice, Kinds: []croft.Kind{
				{ID: "promise", Urgency: 0, FloorShare: 200, Deadline: 2 * croft.Second, MeanRate: 5_000},
				{ID: "list", Urgency: 1, FloorShare: 200, Deadline: 5 * croft.Second, Repeatable: true, MeanRate: 5_000},
			}},
			{ID: "admin", Team: "relief", Pool: poolOffice, Kinds: []croft.Kind{
				{ID: "report", Urgency: 2, FloorShare: 100, Deadline: 5 * croft.Second, Repeatable: true, MeanRate: 2_000},
			}},
		},
	}
}

// intakeService returns a service of the pool clinics with urgent readings and less urgent catalogue requests.
func intakeService(id croft.ServiceID) croft.Service {
	return croft.Service{ID: id, Team: "relief", Pool: poolClinics, Kinds: []croft.Kind{
		{ID: "reading", Urgency: 0, FloorShare: 150, Deadline: 2 * croft.Second, Repeatable: true, MeanRate: 10_000},
		{ID: "catalogue", Urgency: 2, FloorShare: 50, Deadline: croft.Second, Repeatable: true, MeanRate: 5_000},
	}}
}
