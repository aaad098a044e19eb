package admit

import "waxwing.example/croft"

const (
	// headroom is the rate up to which a class is in profile, as a multiple of its mean.
	headroom = 1.25
	// burstDepth is what a burst may take ahead, in milliseconds of the class's mean: five times the mean for five seconds.
	burstDepth = 18_750
	// debtDepth is how far beyond its profile a class is remembered, in milliseconds of its mean.
	debtDepth = 1000
	// leastShare is the rate that stays in profile during a flood of the class, as a part of its mean.
	leastShare = 0.02
)

// profile marks the requests of a class as in or out of its declared rate by two token buckets, the lower
// of which holds also in a flood (RFC 2698, A Two Rate Three Color Marker).
//
// Unlike the RFC's, the upper bucket is charged for what is out of profile too: a class that goes on asking
// for more than its rate stays out as a whole, instead of taking its mean rate from the bursts of others.
type profile struct {
	// cost of a request in milliseconds of the class's mean, zero for a class without a profile.
	cost  float64
	upper float64
	lower float64
	// filled is when both buckets were last filled, zero before the first request.
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
	inside := p.upper >= 0
	p.upper = max(p.upper-p.cost, -max(debtDepth, p.cost))
	if inside {
		return true
	}
	if p.lower < p.cost {
		return false
	}
	p.lower -= p.cost
	return true
}

func (p *profile) fill(now croft.Millis) {
	if p.filled == 0 {
		p.upper = burstDepth
		p.filled = now
	}
	span := float64(max(now-p.filled, 0))
	p.filled = max(p.filled, now)
	p.upper = min(p.upper+span*headroom, burstDepth)
	p.lower = min(p.lower+span*leastShare, p.cost)
}
