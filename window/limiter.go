package window

import (
	"fmt"
	"math"

	"waxwing.example/croft"
)

// Unlimited is the limit until there is a sign of overload.
const Unlimited = math.MaxInt

// Parameters of the limit. A start is given up 350 ms after it was sent, and a healthy executor answers within 2 ms.
const (
	// signWindow is the time within which unanswered starts count as simultaneous: starts that were sent together are
	// given up together, apart from the time that they waited for a connection.
	signWindow = 500 * croft.Millis(1)
	// minExecutors and minRacks are the numbers of executors and racks in which starts must go unanswered at the same time. Two
	// racks may fail together, as they may share power or a switch.
	minExecutors = 4
	minRacks     = 3
	// minDataCentres is the number of data centres in which starts must go unanswered, if there are as many.
	minDataCentres = 2
	// unansweredPercent is the share of the starts that must go unanswered. A healthy leader was measured to have 177 unanswered
	// orders in 12 s while executors failed, at most 5 % of its orders; an overloaded one had 400 to 600 in 2 s, over half.
	unansweredPercent = 20
	// decreaseDivisor divides the limit at a sign of overload. The limit begins at minLimit and rises to the quotient with the
	// answers: a new leader with a backlog has thousands of starts in flight, which halving alone reduced in 5 s only.
	decreaseDivisor = 2
	// decreaseInterval is the minimum time between decreases: starts in flight at a decrease are given up until then and show
	// nothing about the lower limit.
	decreaseInterval = croft.Second
	// increaseInterval is the minimum time between increases of the limit by one above that value: at 10 a second, a leader that can have 100 in
	// flight exceeds its capacity once in 5 s.
	increaseInterval = 100 * croft.Millis(1)
	// slowAnswer is the time from which on an answer counts as slow: 50 times the usual, and less than the 200 ms after which
	// TCP sends a lost packet again. While answers are slow, the limit does not increase.
	slowAnswer = 100 * croft.Millis(1)
	// minLimit is the lowest limit: the number of tasks of a usual step.
	minLimit = 8
	// quietPeriod is the time without a sign of overload, and without a start that the limit prevented, after which the limit
	// is lifted.
	quietPeriod = 10 * croft.Second
	// overloadPeriod is how long a sign of overload lasts: under lasting overload the next one follows decreaseInterval and
	// at most the time of a start later.
	overloadPeriod = 2 * croft.Second
)

// unanswered is a start without an answer.
type unanswered struct {
	at         croft.Millis
	executor   croft.WorkerID
	rack       croft.RackID
	dataCentre croft.DataCentre
}

// Limiter is the limit of one leader's starts in flight. It is not safe for concurrent use.
type Limiter struct {
	// dataCentres is the number of data centres that have executors, zero if it is not known.
	dataCentres int
	limit       int
	// threshold is the decreased value, up to which the limit rises by one with each answer.
	threshold int
	// recentUnanswered and recentAnswers are the starts of the last signWindow.
	recentUnanswered []unanswered
	recentAnswers    []croft.Millis
	// peaks has the highest numbers in flight since peaksFrom and in the signWindow before.
	peaks     [2]int
	peaksFrom croft.Millis
	// signed reports that there has been a sign of overload, the last one at lastSign for the reason signReason.
	signed     bool
	lastSign   croft.Millis
	signReason string
	// prevented reports that the limit has prevented a start since the last increase; lastPrevented is when an answer last followed that.
	prevented     bool
	lastPrevented croft.Millis
	lastIncrease  croft.Millis
	lastSlow      croft.Millis
}

// New returns a Limiter without a limit.
func New() *Limiter { return &Limiter{limit: Unlimited} }

// SetDataCentres records in how many data centres there are executors: where there is only one, racks alone show whether executors
// are unrelated.
func (l *Limiter) SetDataCentres(n int) { l.dataCentres = n }

// May reports whether another start may be sent while this many are in flight.
func (l *Limiter) May(inFlight int) bool {
	if inFlight >= l.limit {
		l.prevented = true
		return false
	}
	l.peaks[0] = max(l.peaks[0], inFlight+1)
	return true
}

// Answered records that a start was answered, whatever the answer, this long after it was sent.
func (l *Limiter) Answered(at, took croft.Millis) {
	l.advance(at)
	l.recentAnswers = append(l.recentAnswers, at)
	if l.limit == Unlimited {
		return
	}
	if took >= slowAnswer {
		l.lastSlow = at
	}
	if l.prevented {
		l.lastPrevented = at
	}
	switch {
	case at-max(l.lastSign, l.lastPrevented) >= quietPeriod:
		l.limit = Unlimited
	case l.prevented && l.mayIncrease(at):
		l.limit++
		l.lastIncrease, l.prevented = at, false
	}
}

// mayIncrease reports whether the limit may rise by one: answers are not slow, and below the threshold nothing else is required.
func (l *Limiter) mayIncrease(at croft.Millis) bool {
	since := max(l.lastSlow, l.lastSign)
	if l.limit >= l.threshold {
		since = max(since, l.lastIncrease)
	}
	return at-since >= increaseInterval
}

// Unanswered records that a start to an executor was given up without an answer. It lowers the limit if this is a sign of overload.
func (l *Limiter) Unanswered(at croft.Millis, executor croft.WorkerID, rack croft.RackID, dataCentre croft.DataCentre) {
	l.advance(at)
	if l.signed && at-l.lastSign < decreaseInterval {
		return
	}
	l.recentUnanswered = append(l.recentUnanswered, unanswered{at: at, executor: executor, rack: rack, dataCentre: dataCentre})
	reason, overloaded := l.assess()
	if !overloaded {
		return
	}
	allowed := l.limit
	if allowed == Unlimited {
		allowed = max(l.peaks[0], l.peaks[1])
	}
	l.limit, l.threshold = minLimit, max(allowed/decreaseDivisor, minLimit)
	l.signed, l.lastSign, l.signReason = true, at, fmt.Sprintf("%s, with up to %d in flight", reason, allowed)
	l.recentUnanswered, l.recentAnswers = nil, nil
	l.prevented = false
}

// Limit returns how many starts may be in flight, Unlimited if there is no limit.
func (l *Limiter) Limit() int { return l.limit }

// Overloaded reports whether there was a sign of overload shortly before an instant.
func (l *Limiter) Overloaded(at croft.Millis) bool { return l.signed && at-l.lastSign < overloadPeriod }

// Reason returns what the last sign of overload was, empty if there has been none.
func (l *Limiter) Reason() string { return l.signReason }

// assess describes the unanswered starts of the last signWindow and reports whether they are a sign of overload rather than of
// executors that are unreachable.
func (l *Limiter) assess() (string, bool) {
	type place struct {
		dataCentre croft.DataCentre
		rack       croft.RackID
		// executor is set if the rack is not known, so that the executor counts as one by itself.
		executor croft.WorkerID
	}
	executors, racks, dataCentres := map[croft.WorkerID]bool{}, map[place]bool{}, map[croft.DataCentre]bool{}
	for _, u := range l.recentUnanswered {
		at := place{dataCentre: u.dataCentre, rack: u.rack}
		if u.rack == "" {
			at.executor = u.executor
		}
		executors[u.executor], racks[at], dataCentres[u.dataCentre] = true, true, true
	}
	lost, total := len(l.recentUnanswered), len(l.recentUnanswered)+len(l.recentAnswers)
	overloaded := len(executors) >= minExecutors && len(racks) >= minRacks &&
		len(dataCentres) >= min(minDataCentres, max(l.dataCentres, 1)) && lost*100 >= total*unansweredPercent
	return fmt.Sprintf("%d of %d starts in %d ms went unanswered, to %d executors in %d racks and %d data centres",
		lost, total, signWindow, len(executors), len(racks), len(dataCentres)), overloaded
}

// advance drops what is older than signWindow.
func (l *Limiter) advance(at croft.Millis) {
	for len(l.recentUnanswered) > 0 && at-l.recentUnanswered[0].at > signWindow {
		l.recentUnanswered = l.recentUnanswered[1:]
	}
	for len(l.recentAnswers) > 0 && at-l.recentAnswers[0] > signWindow {
		l.recentAnswers = l.recentAnswers[1:]
	}
	if at-l.peaksFrom > signWindow {
		l.peaks = [2]int{0, l.peaks[0]}
		l.peaksFrom = at
	}
}
