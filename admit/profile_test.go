package admit

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Guards against refusing requests of a class that stays within five times its mean rate: a caller's balancer picks one of
// two entries for each request by chance, so that an entry gets more than its share for some hundred milliseconds.
func TestBurstSpreadByChanceOverEntriesIsInProfile(t *testing.T) {
	const (
		entries  = 2
		meanRate = 6
		interval = croft.Second / (burstFactor * meanRate)
		seeds    = 2000
	)
	outOfProfile := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var profiles [entries]profile
		for i := range profiles {
			profiles[i].setRate(meanRate * 1000 / entries)
		}
		for at := croft.Hour; at < croft.Hour+burstDuration; at += interval {
			if !profiles[rng.IntN(entries)].charge(at) {
				outOfProfile++
			}
		}
	}
	requests := seeds * int(burstDuration/interval)
	// At most one in a thousand, a tenth of what the availability of 99 % allows.
	assert.Assert(t, outOfProfile*1000 <= requests, "%d of %d requests are out of profile", outOfProfile, requests)
}
