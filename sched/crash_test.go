package sched

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// crash has the executors at these places go down, and the platform show it.
func (b *testBench) crash(workers int, down ...int) []Effect {
	fleet := testFleet(workers)
	var effects []Effect
	for _, i := range down {
		effects = append(effects, b.event(Held{Hold: Hold{Order: croft.HoldOrder{Worker: workerName(i)}, Sent: b.now}, Err: &croft.LostAnswerError{Reason: "closed"}})...)
		fleet[i].State = croft.FleetDown
	}
	return append(effects, b.event(FleetRead{RequestedAt: b.now, VMs: fleet})...)
}

// logsOf returns the log lines of one action.
func logsOf(effects []Effect, action string) []Log {
	var out []Log
	for _, l := range effectsOf[Log](effects) {
		if l.Action == action {
			out = append(out, l)
		}
	}
	return out
}

// A task that crashes its executors can be told from the tasks beside it only by when each was started.
func TestCrashIsLoggedWithTheTasksJustStarted(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	old := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("old", step(1, 1))}}))
	b.event(Started{Start: old[0], Clock: b.now})
	b.now += 1000
	b.answerHold(0, activeRun(old[0].Order.Task, 1))
	row := testJob("young", step(1, 1))
	row.Part = "q.1"
	young := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{row}}))
	b.event(Started{Start: young[0], Clock: b.now})
	b.now += 20
	lines := logsOf(b.crash(1, 0), "Crash")
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, strings.Contains(lines[0].Reason, "1 of its 2 runs had just been started: young.0.0.0 run 1"), lines[0].Reason)
}
