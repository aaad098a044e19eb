package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// The processor share of fillers shrinks within two seconds when a serving task exceeds its tail latency target, and
// grows slowly afterwards.
func TestFillersYieldToServingTasks(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	serving := step(1, 8)
	serving.Endless, serving.TailTarget = true, 100
	filler := step(1, 64)
	filler.Filler = true
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("s", serving), testJob("f", filler)}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	w := b.planner.workers[workerName(0)]
	assert.Equal(t, len(w.runs), 2)
	report := func(tail int64) []Pace {
		b.advance(500)
		run := activeRun(croft.TaskID{Job: "s"}, 1)
		run.Gauge = tail
		return effectsOf[Pace](b.answerHold(0, run, activeRun(croft.TaskID{Job: "f"}, 1)))
	}
	assert.Equal(t, len(report(50)), 0)
	shares := []int{}
	for range 4 {
		for _, p := range report(150) {
			shares = append(shares, p.Order.Percent)
		}
	}
	assert.DeepEqual(t, shares, []int{33, 11, 3, 1})
	assert.Equal(t, report(40)[0].Order.Percent, 11)
	assert.Equal(t, w.holdWaitAt(b.now), pacedHoldWait)
}
