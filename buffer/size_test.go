package buffer

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// simulate runs a pool with random failures of VMs and racks, in steps of an hour, and returns the share of hours in which
// enough VMs were up, in parts per million.
func simulate(n Need, vms, years int, seed uint64) int64 {
	rnd := rand.New(rand.NewPCG(seed, 1))
	racks := (vms + n.PerRack - 1) / n.PerRack
	repairedAt := make([]int, vms)
	goodHours, hours := 0, years*365*24
	for hour := range hours {
		for r := range racks {
			if rnd.Float64() < RackFailures/24 {
				for i := r * n.PerRack; i < min(vms, (r+1)*n.PerRack); i++ {
					repairedAt[i] = max(repairedAt[i], hour+int(RackRepairDays*24))
				}
			}
		}
		up := 0
		for i := range repairedAt {
			if repairedAt[i] <= hour && rnd.Float64() < n.Failures/24 {
				repairedAt[i] = hour + int(RepairDays*24)
			}
			if repairedAt[i] <= hour {
				up++
			}
		}
		if up-n.WaveSize >= n.Serving {
			goodHours++
		}
	}
	return int64(goodHours) * 1_000_000 / int64(hours)
}

// TestSizeMeetsAvailabilityTargetWithFewerVMs compares Size and FixedSize in simulated pools. Size must always meet the
// availability target, with fewer VMs where the fixed share is too large; elsewhere the fixed share must miss the target.
func TestSizeMeetsAvailabilityTargetWithFewerVMs(t *testing.T) {
	for _, c := range []struct {
		name  string
		pools int
		need  Need
		fewer bool
	}{
		{"5 small pools", 5, Need{Serving: 8, Promise: 990_000, WaveSize: 1, Failures: PriorFailures, PerRack: 2, Racks: 5}, false},
		{"75 large pools", 75, Need{Serving: 58, Promise: 990_000, WaveSize: 2, Failures: PriorFailures, PerRack: 2, Racks: 35}, true},
		{"75 large pools, few failures", 75, Need{Serving: 58, Promise: 990_000, WaveSize: 2, Failures: PriorFailures / 4, PerRack: 2, Racks: 35}, true},
		{"75 large pools, many failures", 75, Need{Serving: 58, Promise: 990_000, WaveSize: 2, Failures: PriorFailures * 4, PerRack: 2, Racks: 35}, false},
	} {
		calculated, fixed := Size(c.need), FixedSize(c.need)
		calculatedShare, fixedShare := simulate(c.need, calculated, 40, 7), simulate(c.need, fixed, 40, 7)
		t.Logf("%s: calculated %d VMs, %d ppm of hours; fixed 20 %% %d VMs, %d ppm", c.name, calculated*c.pools, calculatedShare, fixed*c.pools, fixedShare)
		assert.Assert(t, calculatedShare >= c.need.Promise, "%s: %d ppm", c.name, calculatedShare)
		if c.fewer {
			assert.Assert(t, calculated < fixed)
		} else {
			assert.Assert(t, fixedShare < c.need.Promise, "the fixed share meets the availability target with %d VMs", fixed)
		}
	}
}
