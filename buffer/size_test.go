package buffer

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// years simulates a pool of held VMs, a step an hour, and returns the share of hours with the VMs needed, in parts per million.
func years(n Need, held, years int, seed uint64) int64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	racks := (held + n.PerRack - 1) / n.PerRack
	back := make([]int, held)
	good, hours := 0, years*365*24
	for hour := range hours {
		for r := range racks {
			if rnd.Float64() < RackFailures/24 {
				for i := r * n.PerRack; i < min(held, (r+1)*n.PerRack); i++ {
					back[i] = max(back[i], hour+int(RackRepairDays*24))
				}
			}
		}
		up := 0
		for i := range back {
			if back[i] <= hour && rnd.Float64() < n.Failures/24 {
				back[i] = hour + int(RepairDays*24)
			}
			if back[i] <= hour {
				up++
			}
		}
		if up-n.WaveSize >= n.Serving {
			good++
		}
	}
	return int64(good) * 1_000_000 / int64(hours)
}

// TestMeasuredBufferKeepsThePromiseWithFewerVMs compares both sizes at the brief's pools and the target's.
func TestMeasuredBufferKeepsThePromiseWithFewerVMs(t *testing.T) {
	for _, c := range []struct {
		name  string
		pools int
		need  Need
		fewer bool
	}{
		{"brief, 5 pools", 5, Need{Serving: 8, Promise: 990_000, WaveSize: 1, Failures: PriorFailures, PerRack: 2, Racks: 5}, false},
		{"target, 75 pools", 75, Need{Serving: 58, Promise: 990_000, WaveSize: 2, Failures: PriorFailures, PerRack: 2, Racks: 35}, true},
		{"target, few failures", 75, Need{Serving: 58, Promise: 990_000, WaveSize: 2, Failures: PriorFailures / 4, PerRack: 2, Racks: 35}, true},
		{"target, many failures", 75, Need{Serving: 58, Promise: 990_000, WaveSize: 2, Failures: PriorFailures * 4, PerRack: 2, Racks: 35}, false},
	} {
		measured, fixed := Size(c.need), Fixed(c.need)
		kept, base := years(c.need, measured, 40, 7), years(c.need, fixed, 40, 7)
		t.Logf("%s: measured %d VMs, %d ppm of hours; fixed 20 %% %d VMs, %d ppm", c.name, measured*c.pools, kept, fixed*c.pools, base)
		assert.Assert(t, kept >= c.need.Promise, "%s: %d ppm", c.name, kept)
		if c.fewer {
			assert.Assert(t, measured < fixed)
		} else {
			assert.Assert(t, base < c.need.Promise, "the fixed share keeps the promise with %d VMs", fixed)
		}
	}
}
