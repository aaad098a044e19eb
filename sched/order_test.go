package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// A start without an answer waited for the long hold of its executor, up to two seconds, before its
// task was started elsewhere.
func TestUnansweredStartIsSettledBesideTheLongHold(t *testing.T) {
	b := newBench(t)
	b.lead(1, 2)
	b.advance(50)
	starts := of[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 1))}}))
	on := starts[0].Order.Worker
	stops := of[Stop](b.event(Started{Start: starts[0], Err: &croft.LostAnswerError{Reason: "test"}}))
	assert.Equal(t, len(stops), 1)
	b.event(Stopped{Stop: stops[0]})
	var checks []Hold
	for range 6 {
		for _, h := range of[Hold](b.advance(50)) {
			if h.Check {
				checks = append(checks, h)
			}
		}
	}
	assert.Equal(t, len(checks), 1)
	assert.Equal(t, checks[0].Order.Worker, on)
	again := of[Start](b.event(Holding{Hold: checks[0], Report: croft.HoldReport{Clock: b.now, Born: 7}}))
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Order.Run, 2)
}
