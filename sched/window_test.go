package sched

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/window"
)

// answerStarts delivers the results of starts at the current time and returns the effects of that.
func (b *testBench) answerStarts(starts []Start, err error) []Effect {
	var effects []Effect
	for _, s := range starts {
		effects = append(effects, b.event(Started{Start: s, Clock: b.now, Err: err})...)
	}
	return effects
}

// overload has 48 starts on 12 executors of three racks in flight, none of which is answered.
func (b *testBench) overload() []Effect {
	starts := effectsOf[Start](b.takeLeadership(1, 16, testJob("a", step(48, 16))))
	assert.Equal(b.t, len(starts), 48)
	b.now += 350
	return b.answerStarts(starts, errLost)
}

// submit has a job stored and announced, and returns the starts that follow.
func (b *testBench) submit(id croft.JobID, steps ...croft.Step) []Start {
	effects := b.event(JobsRead{Jobs: []JobRow{testJob(id, steps...)}})
	for _, c := range effectsOf[Commit](effects) {
		if !announces(c) {
			b.version++
			effects = append(effects, b.event(Committed{Commit: c, Version: b.version})...)
		}
	}
	return effectsOf[Start](effects)
}

// Guards against a leader that goes on sending all starts at once although most are not answered: it stopped tasks that might be
// running, started them again, and served half of the load.
func TestOverloadBoundsTheStartsInFlight(t *testing.T) {
	b := newTestBench(t)
	effects := b.overload()
	reports := effectsOf[ReportWindow](effects)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0], ReportWindow{Limit: 8, Overloaded: true})
	// Tasks that may not start yet wait, and start as others are answered.
	starts := b.submit("b", step(100, 1))
	assert.Equal(t, len(starts), 8)
	assert.Assert(t, b.planner.pools[testPool].backlogged)
	started := len(starts)
	for len(starts) > 0 {
		starts = effectsOf[Start](b.answerStarts(starts, nil))
		started += len(starts)
		// Up to half of what was in flight, as answers show that more can be.
		assert.Assert(t, b.planner.window.inFlight <= min(b.planner.window.limiter.Limit(), 24))
	}
	assert.Equal(t, started, 100)
}

// Guards against a limit because of executors that are unreachable: a rack that does not answer says nothing about the leader.
func TestUnreachableRackDoesNotBoundStarts(t *testing.T) {
	b := newTestBench(t)
	starts := effectsOf[Start](b.takeLeadership(1, 16, testJob("a", step(48, 16))))
	b.now += 350
	var lost, answered []Start
	for _, s := range starts {
		if b.planner.workers[s.Order.Worker].Rack == "r0" {
			lost = append(lost, s)
		} else {
			answered = append(answered, s)
		}
	}
	assert.Assert(t, len(lost) > 0 && len(answered) > 0)
	effects := append(b.answerStarts(lost, errLost), b.answerStarts(answered, nil)...)
	assert.Equal(t, len(effectsOf[ReportWindow](effects)), 0)
	assert.Equal(t, len(b.submit("b", step(100, 1))), 100)
}

// Without a sign of overload nothing is limited or reported.
func TestNoLimitWithoutASignOfOverload(t *testing.T) {
	b := newTestBench(t)
	effects := b.takeLeadership(1, 16, testJob("a", step(1000, 1)))
	assert.Equal(t, len(effectsOf[Start](effects)), 1000)
	effects = append(effects, b.answerStarts(effectsOf[Start](effects), nil)...)
	effects = append(effects, b.advance(croft.Second)...)
	assert.Equal(t, len(effectsOf[ReportWindow](effects)), 0)
}

// Guards against a limit on what keeps executors and jobs consistent: stops, holds and commits are sent whatever is in flight.
func TestLimitAppliesToStartsOnly(t *testing.T) {
	b := newTestBench(t)
	effects := b.overload()
	assert.Equal(t, len(effectsOf[Stop](effects)), 48)
	assert.Equal(t, len(b.submit("b", step(100, 1))), 8)
	b.now += stopRetryInterval
	effects = b.event(b.renewed(), JobsCancelled{IDs: []croft.JobID{"b"}})
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	assert.Assert(t, len(effectsOf[Stop](effects)) >= 48+8, "%d stops", len(effectsOf[Stop](effects)))
	assert.Assert(t, len(effectsOf[Hold](effects))+len(effectsOf[Commit](effects)) > 0)
}

// A gang that is larger than the limit starts as a whole, or it would wait for ever.
func TestGangStartsAsAWholeUnderALimit(t *testing.T) {
	b := newTestBench(t)
	b.overload()
	gang := step(40, 1)
	gang.Gang = true
	assert.Equal(t, len(b.submit("b", gang)), 40)
	assert.Equal(t, len(b.submit("c", step(10, 1))), 0)
}

// Guards against a limit that only the first pool's tasks use.
func TestPoolsTakeTurnsUnderALimit(t *testing.T) {
	b := newTestBench(t)
	b.overload()
	b.planner.pool("other")
	first := b.planner.orderedPools()[0].id
	assert.Equal(t, len(b.submit("b", step(100, 1))), 8)
	assert.Assert(t, b.planner.orderedPools()[0].id != first)
}

// The log says when the limit changes by half, and the end of the overload is reported.
func TestWindowIsLoggedAndItsEndReported(t *testing.T) {
	b := newTestBench(t)
	effects := b.overload()
	var lines []string
	for _, l := range effectsOf[Log](effects) {
		if l.Action == "Window" {
			lines = append(lines, l.Choice+" "+l.Reason)
		}
	}
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, strings.HasPrefix(lines[0], "8 ") && strings.Contains(lines[0], "3 racks"), lines[0])
	effects = b.advance(3 * croft.Second)
	reports := effectsOf[ReportWindow](effects)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0], ReportWindow{Limit: 8})
	// A new term begins without a limit.
	b.event(LeadershipLost{})
	assert.Equal(t, b.planner.window.limiter.Limit(), window.Unlimited)
}
