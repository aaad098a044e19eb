package window

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// place is where an executor is.
type place struct {
	executor   croft.WorkerID
	rack       croft.RackID
	dataCentre croft.DataCentre
}

// placeOf returns the place of an executor: four in each rack, ten racks in each data centre.
func placeOf(i int) place {
	return place{croft.WorkerID(fmt.Sprintf("w%d", i)), croft.RackID(fmt.Sprintf("r%d", i/4)), croft.DataCentre(fmt.Sprintf("d%d", i/40))}
}

// lose records starts at one instant that were not answered.
func lose(l *Limiter, at croft.Millis, executors ...int) {
	for _, i := range executors {
		p := placeOf(i)
		l.Unanswered(at, p.executor, p.rack, p.dataCentre)
	}
}

// unrelated are executors in different racks of three data centres.
var unrelated = []int{0, 10, 41, 55, 82, 99}

// newLimiter returns a Limiter for executors in three data centres that has had up to 100 starts in flight.
func newLimiter() *Limiter {
	l := New()
	l.SetDataCentres(3)
	l.May(99)
	return l
}

func TestNothingIsLimitedWithoutASign(t *testing.T) {
	l := newLimiter()
	for at := range croft.Millis(60_000) {
		l.Answered(at, 2)
	}
	assert.Assert(t, l.May(100_000))
	assert.Equal(t, l.Limit(), Unlimited)
	assert.Assert(t, !l.Overloaded(60_000))
}

// Guards against a leader that goes on sending hundreds of starts of which most are not answered.
func TestUnansweredStartsOnUnrelatedExecutorsLowerTheLimit(t *testing.T) {
	l := newLimiter()
	lose(l, 1000, unrelated...)
	assert.Equal(t, l.Limit(), minLimit)
	assert.Assert(t, l.Overloaded(1000))
	assert.Assert(t, l.May(minLimit-1) && !l.May(minLimit))
	assert.Assert(t, strings.Contains(l.Reason(), "4 of 4 starts"), l.Reason())
	assert.Assert(t, !l.Overloaded(1000+overloadPeriod))
}

// Guards against a limit because of executors that are unreachable: what fails together for another reason than the leader is one
// executor, one rack, two racks, or one data centre.
func TestRelatedExecutorsAreNoSignOfOverload(t *testing.T) {
	for name, executors := range map[string][]int{
		"one executor":    {5, 5, 5, 5, 5, 5, 5, 5},
		"one rack":        {4, 5, 6, 7, 4, 5, 6, 7},
		"two racks":       {4, 5, 6, 7, 84, 85, 86, 87},
		"one data centre": {0, 5, 10, 15, 20, 25, 30, 35},
		"few executors":   {0, 41, 82},
	} {
		l := newLimiter()
		lose(l, 1000, executors...)
		assert.Equal(t, l.Limit(), Unlimited, name)
		assert.Assert(t, !l.Overloaded(1000), name)
	}
}

// Where all executors are in one data centre, racks alone tell.
func TestRacksTellInASingleDataCentre(t *testing.T) {
	l := newLimiter()
	l.SetDataCentres(1)
	lose(l, 1000, 0, 5, 10, 15)
	assert.Equal(t, l.Limit(), minLimit)
}

// Guards against a limit for a healthy leader, which has some 5 % of its starts unanswered while executors fail here and there.
func TestFewUnansweredAmongManyAreNoSignOfOverload(t *testing.T) {
	l := newLimiter()
	for range 100 {
		l.Answered(900, 2)
	}
	lose(l, 1000, unrelated...)
	assert.Equal(t, l.Limit(), Unlimited)
}

// Failures of unrelated executors at different times are not related to the leader.
func TestFailuresAtDifferentTimesAreNoSignOfOverload(t *testing.T) {
	l := newLimiter()
	for i, executor := range append(unrelated, unrelated...) {
		lose(l, croft.Millis(i)*200, executor)
	}
	assert.Equal(t, l.Limit(), Unlimited)
}

// serve has starts answered from one instant until before another, once in each millisecond, while the limit prevents others.
func serve(l *Limiter, from, until, took croft.Millis) {
	for at := from; at < until; at++ {
		l.May(l.Limit())
		l.Answered(at, took)
	}
}

// Guards against a limit that is too low for the leader: starts that were in flight at a sign of overload are given up after it and
// are no further signs.
func TestStartsInFlightAtASignAreNoFurtherSigns(t *testing.T) {
	l := newLimiter()
	for range 10 {
		lose(l, 1000, unrelated...)
		lose(l, 1000+decreaseInterval-1, unrelated...)
	}
	serve(l, 2000, 2042, 2)
	assert.Equal(t, l.Limit(), 50)
	lose(l, 2600, unrelated...)
	serve(l, 2700, 2800, 2)
	assert.Equal(t, l.Limit(), 25)
}

// Guards against a leader whose starts in flight decrease over seconds: the limit begins at its minimum, and rises to half of what it
// was with the answers and slowly from there.
func TestLimitRisesFastToTheDecreasedValue(t *testing.T) {
	l := newLimiter()
	lose(l, 1000, unrelated...)
	serve(l, 1001, 1000+increaseInterval, 2)
	assert.Equal(t, l.Limit(), minLimit, "answers right after the sign are of starts before it")
	serve(l, 1000+increaseInterval, 1000+increaseInterval+42, 2)
	assert.Equal(t, l.Limit(), 50)
	serve(l, 2000, 3000, 2)
	assert.Equal(t, l.Limit(), 60)
}

// The limit rises only while it prevents starts that would be answered in time.
func TestLimitRisesOnlyWhileItPreventsStarts(t *testing.T) {
	l := newLimiter()
	lose(l, 1000, unrelated...)
	for at := croft.Millis(1001); at <= 2000; at++ {
		l.Answered(at, 2)
	}
	assert.Equal(t, l.Limit(), minLimit, "nothing was prevented")
	serve(l, 2001, 3000, slowAnswer)
	assert.Equal(t, l.Limit(), minLimit, "answers were slow")
}

func TestLimitIsLiftedAfterAQuietPeriod(t *testing.T) {
	l := newLimiter()
	lose(l, 1000, unrelated...)
	l.May(l.Limit())
	l.Answered(5000, 2)
	l.Answered(5000+quietPeriod-1, 2)
	assert.Assert(t, l.Limit() != Unlimited)
	l.Answered(5000+quietPeriod, 2)
	assert.Equal(t, l.Limit(), Unlimited)
}
