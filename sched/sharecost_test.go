package sched

import (
	"fmt"
	"testing"

	"waxwing.example/croft"
)

// BenchmarkBacklog measures a placement pass, and the publication of the loads, with 350 executors, 30,000 waiting tasks and
// some organisations, none as the baseline.
func BenchmarkBacklog(b *testing.B) {
	const executors, waitingJobs = 350, 3750
	for _, organisations := range []int{0, 20, 160} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			p := newBacklog(executors, waitingJobs, organisations)
			b.Run("pass", func(b *testing.B) {
				for b.Loop() {
					p.now.Elapsed++
					p.placePool(p.pool(testPool))
				}
			})
			b.Run("loads", func(b *testing.B) {
				for b.Loop() {
					p.now.Elapsed += loadInterval
					p.effects = nil
					p.publishLoads()
				}
			})
		})
	}
}

// newBacklog returns a planner with busy executors and waiting jobs of 8 tasks.
func newBacklog(executors, waitingJobs, organisations int) *Planner {
	config := testConfig()
	for i := range organisations {
		config.Config.Organisations = append(config.Config.Organisations, croft.Organisation{ID: orgName(i), Weight: 1})
	}
	bench := newTestBench(&testing.T{})
	bench.takeLeadership(1, executors)
	config.Config.Version = 2
	bench.event(config)
	var rows []JobRow
	for i := range executors*32/8 + waitingJobs {
		row := testJob(croft.JobID(fmt.Sprint(i)), step(8, 2))
		row.Progress.Announced = true
		if organisations > 0 {
			row.Record.Organisation = orgName(i * i % organisations)
		}
		rows = append(rows, row)
	}
	bench.event(JobsRead{Jobs: rows})
	return bench.planner
}
