package admit

import "waxwing.example/croft"

const (
	// headroom is the rate up to which a class is in profile, as a multiple of its mean.
	headroom = 1.25
	// burstDepth is what a burst may take ahead, in milliseconds of the class's mean: five times the mean for five seconds.
	burstDepth = 18_750
	// peakRate is the highest rate in profile, as a multiple of the mean: five times it, with the headroom.
	peakRate = 5 * headroom
	// peakDepth is what may come at once, in milliseconds of the class's mean.
	peakDepth = 1000
	// debtDepth is how far beyond its profile a class is remembered, in milliseconds of its mean.
	debtDepth = 1000
	// leastShare is the rate that stays in profile during a flood of the class, as a part of its mean.
	leastShare = 0.02
)

// profile marks the requests of a class as in or out of its declared rate by token buckets for its mean and
// its peak (RFC 2698, A Two Rate Three Color Marker), and one for the least that holds also in a flood.
//
// Unlike the RFC's, the bucket of the mean is charged for what is out of profile too: a class that goes on
// asking for more than its rate stays out as a whole, instead of taking its mean rate from the bursts of others.
type profile struct {
	// cost of a request in milliseconds of the class's mean, zero for a class without a profile.
	cost float64
	// mean, peak and least are the levels of the buckets in the same unit.
	mean  float64
	peak  float64
	least float64
	// filled is when the buckets were last filled, zero before the first request.
	filled croft.Millis
}

// set takes a rate in thousandths of a request a second; what was used of the profile stays used.
func (p *profile) set(rate int64) {
	p.cost = 0
	if rate > 0 {
		p.cost = 1e6 / float64(rate)
	}
}

// take charges a request and reports whether it is in profile.
func (p *profile) take(now croft.Millis) bool {
	if p.cost == 0 {
		return true
	}
	p.fill(now)
	inside := p.mean >= 0 && p.peak >= p.cost
	p.mean = max(p.mean-p.cost, -max(debtDepth, p.cost))
	if inside {
		p.peak -= p.cost
		return true
	}
	if p.least < p.cost {
		return false
	}
	p.least -= p.cost
	return true
}

func (p *profile) fill(now croft.Millis) {
	if p.filled == 0 {
		p.mean = burstDepth
		p.peak = p.peakDepth()
		p.filled = now
	}
	span := float64(max(now-p.filled, 0))
	p.filled = max(p.filled, now)
	p.mean = min(p.mean+span*headroom, burstDepth)
	p.peak = min(p.peak+span*peakRate, p.peakDepth())
	p.least = min(p.least+span*leastShare, p.cost)
}

// peakDepth lets at least two requests of a slow class come at once.
func (p *profile) peakDepth() float64 { return max(peakDepth, 2*p.cost) }
