package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// lifetimeBench has two executors, one of which has been ordered to start the only task of a job.
type lifetimeBench struct {
	*testBench
	start Start
	// busy is the place of that executor.
	busy int
	// holds are the holds of that executor that are not answered yet.
	holds []Hold
	// restarts are the starts since the first one.
	restarts []Start
}

func newLifetimeBench(t *testing.T) *lifetimeBench {
	t.Helper()
	b := &lifetimeBench{testBench: newTestBench(t)}
	b.takeLeadership(1, 2)
	b.event(WaveRowsRead{})
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 60))}}))
	assert.Equal(t, len(starts), 1)
	b.start = starts[0]
	for workerName(b.busy) != b.start.Order.Worker {
		b.busy++
	}
	pending := croft.HoldOrder{Worker: b.start.Order.Worker, Fence: b.start.Order.Fence, Wait: holdWait}
	b.holds = []Hold{{Order: pending, Sent: b.now}}
	return b
}

// apply confirms the commits among effects and records the holds and starts.
func (b *lifetimeBench) apply(effects []Effect) {
	effects = b.confirm(effects)
	for _, h := range effectsOf[Hold](effects) {
		if h.Order.Worker == b.start.Order.Worker {
			b.holds = append(b.holds, h)
		}
	}
	b.restarts = append(b.restarts, effectsOf[Start](effects)...)
}

// pass lets time pass, in which the executor answers nothing.
func (b *lifetimeBench) pass(duration croft.Millis) {
	for end := b.now + duration; b.now < end; {
		b.apply(b.advance(50))
	}
}

// register has the executor register with a start time.
func (b *lifetimeBench) register(born int64) {
	entry := testWorkers(2)[b.busy]
	entry.Born = born
	b.apply(b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}}))
}

// answer has a lifetime of the executor that has these runs answer all holds for a second.
func (b *lifetimeBench) answer(born int64, runs ...croft.ActiveRun) {
	for range 20 {
		pending := b.holds
		b.holds = nil
		for _, h := range pending {
			b.apply(b.event(Held{Hold: h, Report: croft.HoldReport{Clock: b.now, Born: born, Active: runs}}))
		}
		b.pass(50)
	}
}

// loseHold has the pending hold of the executor fail, as the executor is down.
func (b *lifetimeBench) loseHold() {
	lost := b.holds[0]
	b.holds = nil
	b.apply(b.event(Held{Hold: lost, Err: &croft.LostAnswerError{Reason: "test"}}))
}

// The start times of two lifetimes of the executor; testBench.answerHold answers as the first one.
const firstLifetime, secondLifetime = 7, 99

func (b *lifetimeBench) run() croft.ActiveRun {
	return activeRun(b.start.Order.Task, b.start.Order.Run)
}

// Guards against running a task twice: an executor was back under its id and had registered while the start of a task was on
// its way to it. The task was started elsewhere, and the new lifetime carried out the first start too.
func TestStartOnItsWayMayReachTheNextLifetime(t *testing.T) {
	b := newLifetimeBench(t)
	b.register(secondLifetime)
	b.pass(300)
	assert.Equal(t, len(b.restarts), 0)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.answer(secondLifetime, b.run())
	assert.Equal(t, len(b.restarts), 0)
	assert.Assert(t, b.planner.jobs["j"].stages[0].tasks[0].run != nil)
}

// Guards against running a task twice: a start was answered by the new lifetime of an executor before its registration was read,
// which was taken as the end of that run.
func TestAnsweredStartMayBeInTheNextLifetime(t *testing.T) {
	b := newLifetimeBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.register(secondLifetime)
	b.answer(secondLifetime, b.run())
	assert.Equal(t, len(b.restarts), 0)
}

// Guards against running a task twice: the hold that first showed a later lifetime ended all runs, also those it listed.
func TestHoldThatShowsTheNextLifetimeEndsOnlyRunsOfTheFormerOne(t *testing.T) {
	b := newLifetimeBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.pass(survivalTime)
	// Another start is answered, so that the executor counts as having survived the first one.
	row := testJob("other", step(1, 1))
	row.Part = "q.1"
	others := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{row}}))
	assert.Equal(t, others[0].Order.Worker, b.start.Order.Worker)
	b.apply(b.event(Started{Start: others[0], Clock: b.now}))
	b.pass(50)
	b.answer(secondLifetime, b.run(), activeRun(others[0].Order.Task, 1))
	assert.Equal(t, len(b.restarts), 0)
}

// Guards against running a task twice: its start was on its way to an executor whose VM was listed as down, and which was back
// under its id when the start arrived.
func TestStartOnItsWayToAVMThatIsDownMayReachTheNextLifetime(t *testing.T) {
	b := newLifetimeBench(t)
	b.loseHold()
	vms := testFleet(2)
	vms[b.busy].State = croft.FleetDown
	b.apply(b.event(FleetRead{RequestedAt: b.now, VMs: vms}))
	b.pass(300)
	assert.Equal(t, len(b.restarts), 0)
	b.apply(b.event(Started{Start: b.start, Err: &croft.LostAnswerError{Reason: "test"}}))
	b.pass(croft.Second)
	assert.Equal(t, len(b.restarts), 0)
}

// A task that the former lifetime of an executor has listed is started again as soon as the next one has answered.
func TestTaskOfTheFormerLifetimeStartsAgainAtOnce(t *testing.T) {
	b := newLifetimeBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.pass(50)
	b.apply(b.answerHold(b.busy, b.run()))
	b.answer(secondLifetime)
	assert.Equal(t, len(b.restarts), 1)
}

// A start that the next lifetime has not received, and cannot receive any more, is repeated.
func TestStartThatTheNextLifetimeLacksIsRepeated(t *testing.T) {
	b := newLifetimeBench(t)
	b.register(secondLifetime)
	b.pass(50)
	b.answer(secondLifetime)
	assert.Equal(t, len(b.restarts), 1)
}

// Guards against running a task twice: a check acknowledged ends of the former lifetime of its executor, so that the next one forgot
// its own, which have the same numbers.
func TestChecksAcknowledgeNoEnds(t *testing.T) {
	b := newLifetimeBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	row := testJob("other", step(1, 1))
	row.Part = "q.1"
	others := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{row}}))
	assert.Equal(t, others[0].Order.Worker, b.start.Order.Worker)
	b.apply(b.answerHold(b.busy, b.run(), croft.EndedRun{Number: 1, Task: others[0].Order.Task, Run: 1, How: croft.EndDone}))
	assert.Equal(t, b.planner.workers[b.start.Order.Worker].ackedEnd, int64(1))
	b.holds = nil
	b.apply(b.event(JobsCancelled{IDs: []croft.JobID{"j"}}))
	stop := Stop{Order: b.start.Order}
	b.apply(b.event(Stopped{Stop: stop}))
	b.pass(croft.Second)
	var checks []Hold
	for _, h := range b.holds {
		if h.Check {
			checks = append(checks, h)
		}
	}
	assert.Assert(t, len(checks) > 0)
	for _, c := range checks {
		assert.Equal(t, c.Order.Seen, int64(0))
	}
}

// Guards against losing what the next lifetime of an executor has done: the hold that its former lifetime had kept the first hold to
// the next one, with a higher fencing token, waiting for up to 1.6 s. Until then late orders are carried out there, among them a
// hold that acknowledges ends of the former lifetime.
func TestHoldOfTheFormerLifetimeDelaysNoHoldToTheNextOne(t *testing.T) {
	b := newLifetimeBench(t)
	b.register(secondLifetime)
	b.pass(100)
	assert.Equal(t, len(b.holds), 2)
	assert.Assert(t, b.holds[1].Order.Fence > b.start.Order.Fence)
}

// downAtTakeover takes over from a leader that may have started the only task of a job, with two executors, of which the second one
// is listed as down by its VM and may be registered still. It returns the starts.
func downAtTakeover(t *testing.T, registered int, vm croft.FleetVM) []Start {
	t.Helper()
	b := newTestBench(t)
	b.event(LeadershipAcquired{Fence: 10, Term: 2})
	b.event(testConfig())
	b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(registered)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: append(testFleet(1), vm)})
	row := testJob("j", step(1, 1))
	row.Progress.Announced = true
	return effectsOf[Start](append(b.event(JobsRead{Whole: true, Jobs: []JobRow{row}}), b.answerHold(0)...))
}

// Guards against running a task twice: the VM of an executor was down at a takeover, and its registration was gone. The successor
// started the tasks of the former leader, and an order of that one began another run of one as soon as the executor was back.
func TestExecutorThatIsGoneAtATakeoverMayCarryOutLateOrders(t *testing.T) {
	vm := testFleet(2)[1]
	vm.State, vm.Worker = croft.FleetDown, ""
	assert.Equal(t, len(downAtTakeover(t, 1, vm)), 0)
}

// The same with an executor that is registered still.
func TestExecutorThatIsDownAtATakeoverMayCarryOutLateOrders(t *testing.T) {
	vm := testFleet(2)[1]
	vm.State = croft.FleetDown
	assert.Equal(t, len(downAtTakeover(t, 2, vm)), 0)
}
