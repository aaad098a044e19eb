package shares

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// The load of one organisation that submits far more than its share beside others within theirs. Guards against others that pay
// for it, and against capacity that nobody gets.
func TestFairRatesServeOthersFirst(t *testing.T) {
	claims := []Claim{{"heavy", 200, 200}, {"a", 10, 100}, {"b", 30, 100}}
	assert.DeepEqual(t, FairRates(100, claims), map[croft.OrganisationID]float64{"a": 10, "b": 30, "heavy": 60})
	assert.DeepEqual(t, FairRates(300, claims), map[croft.OrganisationID]float64{"a": 10, "b": 30, "heavy": 200})
	assert.DeepEqual(t, FairRates(40, claims), map[croft.OrganisationID]float64{"a": 10, "b": 10, "heavy": 20})
	assert.DeepEqual(t, FairRates(40, nil), map[croft.OrganisationID]float64{})
	// Beyond its contract an organisation gets what others leave of theirs.
	beyond := []Claim{{"heavy", 200, 40}, {"a", 10, 20}, {"b", 30, 20}}
	assert.DeepEqual(t, FairRates(100, beyond), map[croft.OrganisationID]float64{"a": 10, "b": 30, "heavy": 60})
	assert.DeepEqual(t, FairRates(70, beyond), map[croft.OrganisationID]float64{"a": 10, "b": 20, "heavy": 40})
}

// The load of a burst that ends. Guards against jobs that are refused once there is capacity again, and against a fraction that
// falls or rises so fast that jobs admitted by the former one count twice.
func TestRateLimitFollowsTheCapacity(t *testing.T) {
	tracker := NewTracker(5 * croft.Second)
	at := croft.Millis(0)
	arrive := func(jobs int, fraction float64) {
		for range jobs {
			at += Interval / croft.Millis(jobs)
			tracker.Arrived("heavy", at, 1000, fraction)
		}
	}
	fraction := 1.0
	for range 6 {
		arrive(max(int(50*fraction), 1), fraction)
		fraction = tracker.AdmitRate("heavy", at, 25)
	}
	assert.Assert(t, fraction > 0.15 && fraction < 0.4, "100 jobs per second, 25 allowed: %v", fraction)
	for range 4 {
		arrive(5, fraction)
		fraction = tracker.AdmitRate("heavy", at, math.Inf(1))
	}
	assert.Equal(t, fraction, 1.0)
	assert.Equal(t, tracker.AdmitRate("unknown", at, 0), 1.0)
}
