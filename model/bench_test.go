package model

import (
	"fmt"
	"testing"

	"waxwing.example/croft"
)

// BenchmarkDay simulates ten seconds of peaking load in four pools at the present size of the sites, at the size they
// are to grow to and at ten times the first, with load in proportion; it reports the total cost of a start.
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
