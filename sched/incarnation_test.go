package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// incarnationBench has two executors, one of which has been ordered to start the only task of a job.
type incarnationBench struct {
	*testBench
	start Start
	// busy is the place of that executor.
	busy int
	// holds are the holds of that executor that are not answered yet.
	holds []Hold
	// restarts are the starts since the first one.
	restarts []Start
}

func newIncarnationBench(t *testing.T) *incarnationBench {
	t.Helper()
	b := &incarnationBench{testBench: newTestBench(t)}
	b.takeLeadership(1, 2)
	b.event(WaveRowsRead{})
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 60))}}))
	assert.Equal(t, len(starts), 1)
	b.start = starts[0]
	b.busy = placeOf(b.start.Order.Worker)
	pending := croft.HoldOrder{Worker: b.start.Order.Worker, Fence: b.start.Order.Fence, Wait: holdWait}
	b.holds = []Hold{{Order: pending, Sent: b.now}}
	return b
}

// apply confirms the commits among effects and records the holds and starts.
func (b *incarnationBench) apply(effects []Effect) {
	effects = b.confirm(effects)
	for _, h := range effectsOf[Hold](effects) {
		if h.Order.Worker == b.start.Order.Worker {
			b.holds = append(b.holds, h)
		}
	}
	b.restarts = append(b.restarts, effectsOf[Start](effects)...)
}

// pass lets time pass, in which the executor answers nothing.
func (b *incarnationBench) pass(duration croft.Millis) {
	for end := b.now + duration; b.now < end; {
		b.apply(b.advance(50))
	}
}

// register has the executor register with a start time.
func (b *incarnationBench) register(born int64) {
	entry := testWorkers(2)[b.busy]
	entry.Born = born
	b.apply(b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}}))
}

// answer has an incarnation of the executor that has these runs answer all holds for a second.
func (b *incarnationBench) answer(born int64, runs ...croft.ActiveRun) {
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
func (b *incarnationBench) loseHold() {
	lost := b.holds[0]
	b.holds = nil
	b.apply(b.event(Held{Hold: lost, Err: errLost}))
}

// The start times of incarnations of the executor; testBench.answerHold answers as the first one.
const firstIncarnation, secondIncarnation, thirdIncarnation = 7, 99, 150

func (b *incarnationBench) run() croft.ActiveRun {
	return activeRun(b.start.Order.Task, b.start.Order.Run)
}

// Guards against running a task twice: an executor was back under its id and had registered while the start of a task was on
// its way to it. The task was started elsewhere, and the new incarnation carried out the first start too.
func TestStartOnItsWayMayReachTheNextIncarnation(t *testing.T) {
	b := newIncarnationBench(t)
	b.register(secondIncarnation)
	b.pass(300)
	assert.Equal(t, len(b.restarts), 0)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.answer(secondIncarnation, b.run())
	assert.Equal(t, len(b.restarts), 0)
	assert.Assert(t, b.planner.jobs["j"].stages[0].tasks[0].run != nil)
}

// Guards against running a task twice: a start was answered by the new incarnation of an executor before its registration was read,
// which was taken as the end of that run.
func TestAnsweredStartMayBeInTheNextIncarnation(t *testing.T) {
	b := newIncarnationBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.register(secondIncarnation)
	b.answer(secondIncarnation, b.run())
	assert.Equal(t, len(b.restarts), 0)
}

// Guards against running a task twice: the hold that first showed a later incarnation ended all runs, also those it listed.
func TestHoldThatShowsTheNextIncarnationEndsOnlyRunsOfTheFormerOne(t *testing.T) {
	b := newIncarnationBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.pass(survivalTime)
	// Another start is answered, so that the executor counts as having survived the first one.
	row := testJob("other", step(1, 1))
	row.Part = "q.1"
	others := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{row}}))
	assert.Equal(t, others[0].Order.Worker, b.start.Order.Worker)
	b.apply(b.event(Started{Start: others[0], Clock: b.now}))
	b.pass(50)
	b.answer(secondIncarnation, b.run(), activeRun(others[0].Order.Task, 1))
	assert.Equal(t, len(b.restarts), 0)
}

// Guards against running a task twice: its start was on its way to an executor whose VM was listed as down, and which was back
// under its id when the start arrived.
func TestStartOnItsWayToAVMThatIsDownMayReachTheNextIncarnation(t *testing.T) {
	b := newIncarnationBench(t)
	b.loseHold()
	vms := testFleet(2)
	vms[b.busy].State = croft.FleetDown
	b.apply(b.event(FleetRead{RequestedAt: b.now, VMs: vms}))
	b.pass(300)
	assert.Equal(t, len(b.restarts), 0)
	b.apply(b.event(Started{Start: b.start, Err: errLost}))
	b.pass(croft.Second)
	assert.Equal(t, len(b.restarts), 0)
}

// A task that the former incarnation of an executor has listed is started again as soon as the next one has answered.
func TestTaskOfTheFormerIncarnationStartsAgainAtOnce(t *testing.T) {
	b := newIncarnationBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.pass(50)
	b.apply(b.answerHold(b.busy, b.run()))
	b.answer(secondIncarnation)
	assert.Equal(t, len(b.restarts), 1)
}

// A start that the next incarnation has not received, and cannot receive any more, is repeated.
func TestStartThatTheNextIncarnationLacksIsRepeated(t *testing.T) {
	b := newIncarnationBench(t)
	b.register(secondIncarnation)
	b.pass(50)
	b.answer(secondIncarnation)
	assert.Equal(t, len(b.restarts), 1)
}

// pendingHold returns the hold with a higher fencing token, which is sent although the one to the former incarnation is pending.
func (b *incarnationBench) pendingHold() Hold {
	b.pass(50)
	hold := b.holds[len(b.holds)-1]
	assert.Assert(b.t, hold.Order.Fence > b.start.Order.Fence)
	b.holds = nil
	return hold
}

// Guards against losing what the next incarnation of an executor has done: the hold that its former incarnation had kept the first
// hold to the next one, with a higher fencing token, waiting for up to 1.6 s. Until then late orders are carried out there, among
// them holds that acknowledge ends of the former incarnation.
func TestHoldOfTheFormerIncarnationDelaysNoHoldToTheNextOne(t *testing.T) {
	b := newIncarnationBench(t)
	b.register(secondIncarnation)
	b.pass(100)
	assert.Equal(t, len(b.holds), 2)
	assert.Assert(t, b.holds[1].Order.Fence > b.start.Order.Fence)
}

// Guards against running a task twice: an incarnation lacked the run and had ended when its answer was read; the next one, which had seen
// no fencing token, carried the start out.
func TestAnswerOfAnIncarnationThatHasEndedSinceShowsNothing(t *testing.T) {
	ends := map[string]func(b *incarnationBench){
		"by its registration": func(b *incarnationBench) { b.register(thirdIncarnation) },
		"by a list of VMs": func(b *incarnationBench) {
			vms := testFleet(2)
			vms[b.busy].State = croft.FleetDown
			b.apply(b.event(FleetRead{RequestedAt: b.now, VMs: vms}))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			b := newIncarnationBench(t)
			b.apply(b.event(Started{Start: b.start, Err: errLost}))
			b.register(secondIncarnation)
			hold := b.pendingHold()
			b.now += 20
			end(b)
			b.now += 20
			b.apply(b.event(Held{Hold: hold, Report: croft.HoldReport{Clock: b.now, Born: secondIncarnation}}))
			b.pass(100)
			assert.Equal(t, len(b.restarts), 0)
		})
	}
}

// Guards against running a task twice: at a takeover, an executor had registered again when the first answer of its former incarnation
// was read, and the new one still carried out a start of the former leader.
func TestFirstAnswerOfAnIncarnationThatHasEndedSinceShowsNothing(t *testing.T) {
	b := newTestBench(t)
	b.fence = 2_000_000
	b.event(LeadershipAcquired{Fence: b.fence, Term: 2})
	b.event(testConfig())
	entries := testWorkers(2)
	entries[0].Born, entries[1].Born = firstIncarnation, firstIncarnation
	b.event(WorkersRead{Changes: croft.WorkerChanges{Version: 1, Whole: true, Entries: entries}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(2)})
	row := testJob("j", step(1, 60))
	row.Progress.Announced = true
	b.event(JobsRead{Whole: true, Jobs: []JobRow{row}})
	b.event(WaveRowsRead{})
	b.answerHold(1)
	entries[0].Born = secondIncarnation
	b.event(WorkersRead{Changes: croft.WorkerChanges{Version: 2, Entries: entries[:1]}})
	first := Hold{Order: b.holdOrder(workerName(0)), Sent: b.now - 5}
	effects := b.confirm(b.event(Held{Hold: first, Report: croft.HoldReport{Clock: b.now, Born: firstIncarnation}}))
	for range 5 {
		effects = append(effects, b.confirm(b.advance(50))...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
}

// Guards against taking the answer to a hold of an earlier term of this entry, whose fencing token others may have passed, for one of
// the present term.
func TestHoldOfAFormerTermShowsNothing(t *testing.T) {
	b := newTestBench(t)
	b.event(LeadershipAcquired{Fence: 2_000_000, Term: 2})
	b.event(testConfig())
	b.event(WorkersRead{Changes: croft.WorkerChanges{Version: 1, Whole: true, Entries: testWorkers(1)}})
	b.event(JobsRead{Whole: true})
	former := croft.HoldOrder{Worker: workerName(0), Fence: 1_000_000}
	b.event(Held{Hold: Hold{Order: former, Sent: b.now}, Report: croft.HoldReport{Clock: b.now, Born: firstIncarnation}})
	assert.Assert(t, !b.planner.workers[workerName(0)].verified)
}

// Guards against holds that are sent in a loop: start times that went back were ignored, and the next hold was sent at once.
func TestIncarnationsThatAnswerInTurnAreNotSentHoldsInALoop(t *testing.T) {
	b := newIncarnationBench(t)
	holds := 0
	for end := b.now + croft.Second; b.now < end; b.now++ {
		for range 3 {
			pending := b.holds
			b.holds = nil
			for _, h := range pending {
				holds++
				born := int64(secondIncarnation - holds%2)
				b.apply(b.event(Held{Hold: h, Report: croft.HoldReport{Clock: b.now, Born: born}}))
			}
		}
		if b.now%375 == 0 {
			b.apply(b.event(b.renewed()))
		}
	}
	assert.Assert(t, holds < 20, "%d holds in a second", holds)
}

// Guards against running a task twice: its start was carried out seconds late by an incarnation whose clock had begun anew, so that its
// lease lasted longer than the leader had granted, on an executor that was cut off.
func TestLeasesMayBeginWithTheNextIncarnation(t *testing.T) {
	b := newIncarnationBench(t)
	b.apply(b.event(Started{Start: b.start, Err: errLost}))
	b.pass(3 * croft.Second)
	b.register(secondIncarnation)
	carriedOut := b.now
	for len(b.restarts) == 0 && b.now < carriedOut+20*croft.Second {
		pending := b.holds
		b.holds = nil
		for _, h := range pending {
			b.apply(b.event(Held{Hold: h, Err: errLost}))
		}
		b.pass(50)
	}
	assert.Equal(t, len(b.restarts), 1)
	assert.Assert(t, b.now >= carriedOut+10*croft.Second, "started elsewhere %d ms after the late start", b.now-carriedOut)
}

// Guards against starts on an executor without the label in Requires: it had restarted as one of another kind, and the registration of
// its former incarnation was still the last one.
func TestNothingStartsByTheRegistrationOfAFormerIncarnation(t *testing.T) {
	b := newIncarnationBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.register(firstIncarnation)
	b.apply(b.answerHold(b.busy, b.run()))
	b.answer(secondIncarnation)
	b.restarts = nil
	labelled := step(3, 20)
	labelled.Requires = "a"
	row := testJob("labelled", labelled)
	row.Part = "q.1"
	b.apply(b.event(JobsRead{Jobs: []JobRow{row}}))
	for _, s := range b.restarts {
		assert.Assert(t, s.Order.Worker != b.start.Order.Worker, "started by the labels of the former incarnation")
	}
	b.restarts = nil
	b.register(secondIncarnation)
	b.pass(placeInterval)
	assert.Assert(t, len(b.restarts) > 0)
}

// Guards against stopping too many tasks of a step: the former incarnation of an executor had registered that it was draining, and a task
// that the next one served was stopped for that while another one was away.
func TestDrainingEndsWithAnIncarnation(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	b.event(WaveRowsRead{})
	serving := step(2, 40)
	serving.Endless, serving.MayMiss = true, 1
	starts := effectsOf[Start](b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", serving)}})))
	assert.Equal(t, len(starts), 2)
	drained, away := starts[0], starts[1]
	b.confirm(b.event(Started{Start: away, Clock: b.now}))
	entry := b.planner.workers[drained.Order.Worker].WorkerEntry
	entry.Born, entry.Draining = firstIncarnation, true
	b.confirm(b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}}))
	b.confirm(b.event(Started{Start: drained, Clock: b.now}))
	b.confirm(b.event(Held{Hold: Hold{Order: b.holdOrder(away.Order.Worker), Sent: b.now}, Err: errLost}))
	var effects []Effect
	for range 4 {
		hold := Hold{Order: b.holdOrder(drained.Order.Worker), Sent: b.now}
		report := croft.HoldReport{Clock: b.now, Born: secondIncarnation, Active: []croft.ActiveRun{activeRun(drained.Order.Task, 1)}}
		effects = append(effects, b.confirm(b.event(Held{Hold: hold, Report: report}))...)
		effects = append(effects, b.confirm(b.advance(50))...)
	}
	for _, s := range effectsOf[Stop](effects) {
		assert.Assert(t, s.Order.Task != drained.Order.Task, "stopped although another task of its step is away")
	}
}

// Guards against a leader that steps down because of itself: the next incarnation refuses its own former fencing token. The start has
// not been carried out then, and the task starts again.
func TestRefusalOfAFormerFencingTokenEndsNoTerm(t *testing.T) {
	b := newIncarnationBench(t)
	b.register(secondIncarnation)
	hold := b.pendingHold()
	b.apply(b.event(Started{Start: b.start, Err: &croft.RunRefusedError{Reason: croft.RefusedFence}}))
	assert.Assert(t, b.planner.leading)
	b.apply(b.event(Held{Hold: hold, Report: croft.HoldReport{Clock: b.now, Born: secondIncarnation}}))
	b.pass(100)
	assert.Equal(t, len(b.restarts), 1)
	effects := b.event(Started{Start: b.restarts[0], Err: &croft.RunRefusedError{Reason: croft.RefusedFence}})
	assert.Equal(t, len(effectsOf[StepDown](effects)), 1)
}

// Guards against a run that goes on for ever: a former incarnation had accepted the stop of a start without an answer, and the next one,
// which had carried the start out, was not sent it again.
func TestStopOfAFormerIncarnationIsRepeated(t *testing.T) {
	for _, answeredLate := range []bool{false, true} {
		b := newIncarnationBench(t)
		stops := effectsOf[Stop](b.event(Started{Start: b.start, Err: errLost}))
		assert.Equal(t, len(stops), 1)
		if !answeredLate {
			b.apply(b.event(Stopped{Stop: stops[0]}))
		}
		b.register(secondIncarnation)
		hold := b.pendingHold()
		if answeredLate {
			b.apply(b.event(Stopped{Stop: stops[0]}))
		}
		report := croft.HoldReport{Clock: b.now, Born: secondIncarnation, Active: []croft.ActiveRun{b.run()}}
		effects := b.event(Held{Hold: hold, Report: report})
		for range 20 {
			effects = append(effects, b.advance(50)...)
		}
		repeated := effectsOf[Stop](effects)
		assert.Assert(t, len(repeated) > 0)
		assert.Assert(t, repeated[0].Order.Fence > stops[0].Order.Fence)
	}
}

// elsewhere returns how many restarts were on other executors than that of the first start.
func (b *incarnationBench) elsewhere() int {
	n := 0
	for _, s := range b.restarts {
		if s.Order.Worker != b.start.Order.Worker {
			n++
		}
	}
	return n
}

// Guards against running a task twice: an incarnation had accepted the stop of a start without an answer, and the next one, which knows
// nothing of the stop, carries the start out.
func TestStoppedStartMayReachTheNextIncarnation(t *testing.T) {
	b := newIncarnationBench(t)
	stops := effectsOf[Stop](b.event(Started{Start: b.start, Err: errLost}))
	assert.Equal(t, len(stops), 1)
	b.now++
	checks := effectsOf[Hold](b.event(Stopped{Stop: stops[0]}))
	assert.Equal(t, len(checks), 1)
	b.now++
	b.apply(b.event(Held{Hold: checks[0], Report: croft.HoldReport{Clock: b.now, Born: firstIncarnation}}))
	assert.Equal(t, len(b.restarts), 1)
	again := b.restarts[0]
	b.apply(b.event(Started{Start: again, Clock: b.now}))
	if again.Order.Worker == b.start.Order.Worker {
		b.answer(firstIncarnation, activeRun(again.Order.Task, again.Order.Run))
	}
	b.register(secondIncarnation)
	b.pass(300)
	assert.Equal(t, b.elsewhere(), 0)
}

// Guards against running a task twice: an incarnation refuses a start by its fencing token, and the one after it, which has seen none,
// carries the start out.
func TestStartMayReachTheIncarnationAfterTheNext(t *testing.T) {
	b := newIncarnationBench(t)
	b.apply(b.event(Started{Start: b.start, Err: errLost}))
	b.register(secondIncarnation)
	b.apply(b.event(Held{Hold: b.pendingHold(), Report: croft.HoldReport{Clock: b.now, Born: secondIncarnation}}))
	b.pass(50)
	assert.Equal(t, len(b.restarts), 1)
	again := b.restarts[0]
	b.apply(b.event(Started{Start: again, Clock: b.now}))
	b.answer(secondIncarnation, activeRun(again.Order.Task, again.Order.Run))
	b.register(thirdIncarnation)
	b.pass(300)
	assert.Equal(t, b.elsewhere(), 0)
}

// Guards against running a task twice: a start of a former leader is on its way to an executor that is down when that leader's time is
// over, and is carried out when the executor is back.
func TestStartOfAFormerLeaderMayReachAnExecutorThatWasDown(t *testing.T) {
	b := newTestBench(t)
	b.fence = 2_000_000
	formerEnds := b.now + 1800
	b.event(LeadershipAcquired{Fence: b.fence, Term: 2, VMOrdersFrom: formerEnds})
	b.event(testConfig())
	b.event(WorkersRead{Changes: croft.WorkerChanges{Version: 1, Whole: true, Entries: testWorkers(2)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(2)})
	row := testJob("j", step(1, 60))
	row.Progress.Announced = true
	b.event(JobsRead{Whole: true, Jobs: []JobRow{row}})
	b.event(WaveRowsRead{})
	b.answerHold(1)
	var effects []Effect
	for b.now < formerEnds+100 {
		effects = append(effects, b.confirm(b.advance(50))...)
	}
	vms := testFleet(2)
	vms[0].State = croft.FleetDown
	effects = append(effects, b.confirm(b.event(FleetRead{RequestedAt: b.now, VMs: vms}))...)
	for range 5 {
		effects = append(effects, b.confirm(b.advance(50))...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
}

// Guards against running a task twice: a check acknowledged ends of the former incarnation of its executor, so that the next one forgot
// its own, which have the same numbers.
func TestChecksAcknowledgeNoEnds(t *testing.T) {
	b := newIncarnationBench(t)
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
	checks := checksIn(b.holds)
	assert.Assert(t, len(checks) > 0)
	for _, c := range checks {
		assert.Equal(t, c.Order.Seen, int64(0))
	}
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
