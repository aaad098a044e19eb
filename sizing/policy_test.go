package sizing

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

const interval = 150 * croft.Millis(1)

// play returns the demand after samples with these needs, while the pool has as many VMs as it needs, and the time after them.
func play(p Policy, needs ...int) (Demand, croft.Millis) {
	var d Demand
	now := croft.Millis(0)
	for _, need := range needs {
		now += interval
		d = d.With(p, now, Sample{Need: need, Most: need * (100 + p.MaxGrowthPercent) / 100, Minimum: 1, Available: d.Current})
	}
	return d, now
}

// The load of a turn that begins: the need of a pool rises by half within a second. Guards against VMs that are ordered only once
// the tasks for them wait.
func TestRisingNeedIsAnticipated(t *testing.T) {
	rising := []int{20, 20, 20, 20, 26, 32, 40, 50}
	byWork, _ := play(ByBacklog(), rising...)
	assert.Equal(t, byWork.Current, 50)
	byGrowth, _ := play(ByConcurrency(), rising...)
	assert.Equal(t, byGrowth.Current, 75)
}

// Guards against VMs that are ordered for growth beyond what the caps of organisations allow to run.
func TestGrowthIsBounded(t *testing.T) {
	d := Demand{}.With(ByConcurrency(), interval, Sample{Need: 40, Most: 44, Minimum: 1})
	assert.Equal(t, d.Current, 44)
	d = d.With(ByConcurrency(), 2*interval, Sample{Need: 50, Most: 44, Minimum: 60})
	assert.Equal(t, d.Current, 60)
}

// The load of a turn that ends. Guards against VMs that stay in a pool that does not need them, and against VMs that are released
// in a pause of a second and needed again.
func TestSurplusIsReleasedAfterADelay(t *testing.T) {
	p := ByConcurrency()
	d, now := play(p, 100, 100, 100, 100, 100, 40)
	assert.Assert(t, !d.HasSurplus(p, now, 100), "the need has just fallen")
	for range 7 {
		now += interval
		d = d.With(p, now, Sample{Need: 40, Most: 60, Minimum: 1, Available: 100})
	}
	assert.Assert(t, d.HasSurplus(p, now, 100))
	assert.Assert(t, d.HasSurplus(p, now, 52))
	assert.Assert(t, !d.HasSurplus(p, now, 51), "a margin stays")
	baseline := ByBacklog()
	assert.Assert(t, !d.HasSurplus(baseline, now, 60), "most of the peak stays")
}
