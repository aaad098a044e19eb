package admit

import (
	"math"

	"waxwing.example/croft"
)

const (
	// headroom is the sustained rate that is in profile, as a multiple of the declared mean rate.
	headroom = 1.25
	// meanBurst is the capacity of the mean-rate bucket, in milliseconds of the mean rate: it lasts for five seconds
	// at five times the mean, (5 - headroom) * 5000.
	meanBurst = 18_750
	// peakRate is the highest rate in profile, as a multiple of the mean rate: five times it, with the headroom.
	peakRate = 5 * headroom
	// peakBurst is the capacity of the peak-rate bucket, in milliseconds of the mean rate.
	peakBurst = 1000
	// shareDeviations is the tolerance of both buckets for an entry's share of a class's requests, which is random, in
	// standard deviations of the number of requests in the bucket.
	shareDeviations = 3
	// maxDebt bounds how far the mean-rate bucket goes below zero, in milliseconds of the mean rate.
	maxDebt = 1000
	// minimumRate is the rate that is always in profile, even during a flood of the class, as a fraction of the mean rate.
	minimumRate = 0.02
)

// profile decides whether requests of a class are within its declared rate. It has token buckets for the mean and
// the peak rate (RFC 2698, A Two Rate Three Color Marker), and a third for a minimum rate that is granted even in a flood.
//
// Unlike in the RFC, requests out of profile are charged to the mean-rate bucket too: a class that keeps exceeding
// its rate stays out of profile entirely, instead of claiming its mean rate while other classes have their bursts.
type profile struct {
	// requestCost is the charge for one request in milliseconds of the mean rate, zero for a class without a profile.
	requestCost float64
	// meanLevel, peakLevel and minimumLevel are the levels of the buckets in the same unit.
	meanLevel    float64
	peakLevel    float64
	minimumLevel float64
	// refilledAt is when the buckets were last refilled, zero before the first request.
	refilledAt croft.Millis
}

// setRate sets the mean rate in thousandths of a request a second; the bucket levels stay as they are.
func (p *profile) setRate(rate int64) {
	p.requestCost = 0
	if rate > 0 {
		p.requestCost = 1e6 / float64(rate)
	}
}

// charge charges a request and reports whether it is in profile.
func (p *profile) charge(now croft.Millis) bool {
	if p.requestCost == 0 {
		return true
	}
	p.refill(now)
	conforms := p.meanLevel >= 0 && p.peakLevel >= p.requestCost
	p.meanLevel = max(p.meanLevel-p.requestCost, -max(maxDebt, p.requestCost))
	if conforms {
		p.peakLevel -= p.requestCost
		return true
	}
	if p.minimumLevel < p.requestCost {
		return false
	}
	p.minimumLevel -= p.requestCost
	return true
}

// refill adds to the buckets what they gained since the last refill; the first refill fills those of mean and peak rate.
func (p *profile) refill(now croft.Millis) {
	if p.refilledAt == 0 {
		p.meanLevel = p.capacity(meanBurst)
		p.peakLevel = p.capacity(peakBurst)
		p.refilledAt = now
	}
	elapsed := float64(max(now-p.refilledAt, 0))
	p.refilledAt = max(p.refilledAt, now)
	p.meanLevel = min(p.meanLevel+elapsed*headroom, p.capacity(meanBurst))
	p.peakLevel = min(p.peakLevel+elapsed*peakRate, p.capacity(peakBurst))
	p.minimumLevel = min(p.minimumLevel+elapsed*minimumRate, p.requestCost)
}

// capacity returns the capacity of a bucket for a burst, with the tolerance for a random share of its requests. It is at least
// two requests even for a class with a low rate.
func (p *profile) capacity(burst float64) float64 {
	return max(burst+shareDeviations*math.Sqrt(burst*p.requestCost), 2*p.requestCost)
}
