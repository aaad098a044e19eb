package model

import (
	"fmt"
	"testing"

	"waxwing.example/croft"
)

// BenchmarkDay simulates ten seconds of load that peaks in one of four pools after another, and reports the total time
// for each task started. It does so with as many executors as the sites have now, with as many as they are to grow to
// and with 1000, some twenty times the first number; the load is in proportion.
func BenchmarkDay(b *testing.B) {
	for _, workers := range []int{48, 350, 1000} {
		b.Run(fmt.Sprintf("executors=%d", workers), func(b *testing.B) {
			b.ReportAllocs()
			starts := 0
			for i := range b.N {
				report := Run(Options{
					Seed: uint64(i), Pools: 4, WorkersPerPool: workers / 5, Spares: workers / 5, LoadDuration: 10 * croft.Second, QuietDuration: 5 * croft.Second,
					JobsPerSecond: float64(workers) / 12, Peaks: true,
				})
				starts += report.Starts
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(starts), "µs/start")
		})
	}
}
