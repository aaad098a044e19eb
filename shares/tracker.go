package shares

import (
	"math"

	"waxwing.example/croft"
)

// Parameters of the admitted fraction.
const (
	// Interval is the time between changes of an admitted fraction, that of the publication of the loads.
	Interval = 500 * croft.Millis(1)
	// minRateBins and maxRateBins bound the number of intervals over which a rate is measured, in which an organisation may submit about
	// rateJobs jobs. Of fewer jobs the estimate is too rough; more intervals delay the end of a limit by as much.
	minRateBins = 4
	maxRateBins = 16
	rateJobs    = 3
	// maxStep bounds the factor by which the fraction changes in an interval: jobs that were admitted by the former one still arrive.
	maxStep = 2
	// minAdmitted is the lowest fraction. The rate is estimated from admitted jobs, of which there must be some.
	minAdmitted = 1.0 / 64
	// spendTime is the time in which the remaining burst allowance may be used up.
	spendTime = 1 * croft.Second
	// ignoredFactor shows that entries do not use the fraction, since they hear nothing of it: jobs arrive at this many times the allowed
	// rate, although the fraction is below its inverse. The rate of submissions is then that of accepted jobs.
	ignoredFactor = 4
	// rounding is the error of a token bucket's level that is tolerated.
	rounding = 1e-6
)

// Tracker measures the rates of organisations' jobs, by a token bucket each, and decides what part of their jobs is admitted.
type Tracker struct {
	burst    croft.Millis
	accounts map[croft.OrganisationID]*account
}

// account is what a Tracker knows of one organisation.
type account struct {
	// weight is the contract in jobs per second.
	weight float64
	// tokens is the number of jobs that are not excess now, as of refilledAt.
	tokens     float64
	refilledAt croft.Millis
	bins       [maxRateBins]bin
	// admitted is the fraction, which was last changed at changedAt.
	admitted  float64
	changedAt croft.Millis
}

// bin counts the jobs of one interval.
type bin struct {
	number            int64
	accepted, offered float64
}

// NewTracker returns a Tracker whose organisations may exceed their weight for a burst: by as many jobs as the weight allows in that time.
func NewTracker(burst croft.Millis) *Tracker {
	return &Tracker{burst: burst, accounts: map[croft.OrganisationID]*account{}}
}

// Arrived counts an accepted job of an organisation that may submit weight jobs per second, and reports whether the job is excess; admitted
// is the fraction of such jobs that entries admitted. Calls are in the order of the times.
func (t *Tracker) Arrived(org croft.OrganisationID, at croft.Millis, weight, admitted float64) bool {
	if weight <= 0 {
		return false
	}
	a, ok := t.accounts[org]
	if !ok {
		a = t.newAccount(weight, at)
		t.accounts[org] = a
	}
	a.tokens, a.refilledAt = t.tokensAt(a, at), max(a.refilledAt, at)
	a.weight = weight
	a.count(at, admitted)
	if a.tokens < 1-rounding {
		return true
	}
	a.tokens--
	return false
}

// newAccount returns an account with the whole burst allowance.
func (t *Tracker) newAccount(weight float64, at croft.Millis) *account {
	a := &account{weight: weight, tokens: t.capacity(weight), refilledAt: at, admitted: 1}
	for i := range a.bins {
		// Inherited jobs may have arrived before the clock's zero.
		a.bins[i].number = math.MinInt64
	}
	return a
}

// capacity returns the maximum level of a bucket: at least one job, so that an organisation of a low weight can submit any.
func (t *Tracker) capacity(weight float64) float64 {
	return max(1, weight*float64(t.burst)/float64(croft.Second))
}

// tokensAt returns the level of a bucket at an instant.
func (t *Tracker) tokensAt(a *account, at croft.Millis) float64 {
	refill := a.weight * float64(max(at-a.refilledAt, 0)) / float64(croft.Second)
	return min(a.tokens+refill, t.capacity(a.weight))
}

// count adds a job to the bin of its time.
func (a *account) count(at croft.Millis, admitted float64) {
	number := binNumber(at)
	b := &a.bins[binIndex(number)]
	if b.number > number {
		return
	}
	if b.number != number {
		*b = bin{number: number}
	}
	b.accepted++
	b.offered += 1 / max(admitted, minAdmitted)
}

// binNumber returns the number of the interval of an instant, which may be before the clock's zero.
func binNumber(at croft.Millis) int64 { return int64(math.Floor(float64(at) / float64(Interval))) }

// binIndex returns where the bin of an interval is kept.
func binIndex(number int64) int { return int((number%maxRateBins + maxRateBins) % maxRateBins) }

// Rates are the measured rates of an organisation's jobs, per second.
type Rates struct {
	Accepted float64
	// Offered is the estimated rate of submissions, including those that were not admitted.
	Offered float64
}

// Rates returns the rates of an organisation at an instant.
func (t *Tracker) Rates(org croft.OrganisationID, at croft.Millis) Rates {
	a, ok := t.accounts[org]
	if !ok {
		return Rates{}
	}
	accepted, offered, span := a.sum(at)
	return Rates{Accepted: accepted / span, Offered: offered / span}
}

// sum returns the numbers of recent jobs, accepted and submitted as estimated, and the time in seconds in which they arrived.
func (a *account) sum(at croft.Millis) (accepted, offered, span float64) {
	count := min(max(int64(math.Ceil(rateJobs/a.weight*float64(croft.Second)/float64(Interval))), minRateBins), maxRateBins)
	first := binNumber(at) - count + 1
	for _, b := range a.bins {
		if b.number >= first {
			accepted += b.accepted
			offered += b.offered
		}
	}
	return accepted, offered, float64(at-croft.Millis(first)*Interval) / float64(croft.Second)
}

// target returns the fraction of the jobs that the contract and the rest of the burst allowance permit while capacity is short.
func (t *Tracker) target(a *account, at croft.Millis) float64 {
	tokens := t.tokensAt(a, at)
	accepted, offered, span := a.sum(at)
	if accepted == 0 || tokens >= t.capacity(a.weight)-rounding {
		return 1
	}
	// The last token is kept for the next job.
	allowed := a.weight + max(tokens-1, 0)*float64(croft.Second)/float64(spendTime)
	if accepted/span > ignoredFactor*allowed && accepted < offered/ignoredFactor {
		offered = accepted
	}
	rate := rateOf(accepted, offered, span)
	if rate <= allowed {
		return 1
	}
	return allowed / rate
}

// rateOf returns the rate of submissions. One of the jobs does not count: a single job shows no rate.
func rateOf(accepted, offered, span float64) float64 {
	return offered / span * (accepted - 1) / accepted
}

// Admit returns the fraction of an organisation's jobs to admit; short reports that capacity for them is short. The fraction changes
// at most once in each Interval.
func (t *Tracker) Admit(org croft.OrganisationID, at croft.Millis, short bool) float64 {
	a, ok := t.accounts[org]
	if !ok {
		return 1
	}
	target := 1.0
	if short {
		target = t.target(a, at)
	}
	return a.approach(target, at)
}

// AdmitRate returns the fraction of an organisation's jobs to admit so that an allowed number of them arrives per second. The
// fraction changes at most once in each Interval.
func (t *Tracker) AdmitRate(org croft.OrganisationID, at croft.Millis, allowed float64) float64 {
	a, ok := t.accounts[org]
	if !ok {
		return 1
	}
	target := 1.0
	accepted, offered, span := a.sum(at)
	if accepted > 0 {
		if rate := rateOf(accepted, offered, span); rate > allowed {
			target = allowed / rate
		}
	}
	return a.approach(target, at)
}

// approach changes the admitted fraction towards a target, by maxStep at most, unless it was changed within the Interval.
func (a *account) approach(target float64, at croft.Millis) float64 {
	if at-a.changedAt < Interval && a.changedAt != 0 {
		return a.admitted
	}
	a.changedAt = at
	target = min(max(target, a.admitted/maxStep), a.admitted*maxStep)
	a.admitted = min(max(target, minAdmitted), 1)
	return a.admitted
}

// DropIdle drops the organisations that are as if they had never submitted a job.
func (t *Tracker) DropIdle(at croft.Millis) {
	for org, a := range t.accounts {
		accepted, _, _ := a.sum(at)
		if a.admitted == 1 && accepted == 0 && t.tokensAt(a, at) >= t.capacity(a.weight)-rounding {
			delete(t.accounts, org)
		}
	}
}
