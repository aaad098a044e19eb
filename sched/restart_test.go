package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Guards against a task that crashes executors for ever: each executor was back under its id, and its first answer was taken for a
// sign that the former incarnation had survived the start.
func TestCrashesCountWhenExecutorsRestartUnderTheirIDs(t *testing.T) {
	for _, registers := range []bool{true, false} {
		b := newTestBench(t)
		const workers = 8
		b.takeLeadership(1, workers)
		b.event(WaveRowsRead{})
		born := map[croft.WorkerID]int64{}
		effects := b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", step(1, 4))}}))
		starts := 0
		var next []Effect
		apply := func(events ...Event) { next = append(next, b.confirm(b.event(events...))...) }
		for range 400 {
			for _, s := range effectsOf[Start](effects) {
				starts++
				apply(Started{Start: s, Clock: b.now})
				b.now += 700
				born[s.Order.Worker] += 1000
				if registers {
					entry := *b.planner.workers[s.Order.Worker]
					entry.Born = born[s.Order.Worker]
					apply(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry.WorkerEntry}}})
					b.now += 50
					apply(b.renewed())
				}
			}
			for i := range workers {
				id := workerName(i)
				hold := Hold{Order: b.holdOrder(id), Sent: b.now}
				if b.planner.workers[id].verified {
					hold.Order.Wait = holdWait
				}
				apply(Held{Hold: hold, Report: croft.HoldReport{Clock: b.now, Born: max(born[id], firstIncarnation)}})
			}
			b.now += 50
			apply(b.renewed())
			effects, next = next, nil
		}
		assert.Equal(t, starts, maxCrashes)
	}
}

// Guards against a job that is shown as failed without a failed run: a run that the next incarnation of an executor had begun counted as
// the reason for the end of the former one.
func TestCrashOfTheFormerIncarnationIsNotPutDownToARunOfTheNext(t *testing.T) {
	b := newIncarnationBench(t)
	b.apply(b.event(Started{Start: b.start, Clock: b.now}))
	b.register(secondIncarnation)
	b.answer(secondIncarnation, b.run())
	assert.Equal(t, b.planner.jobs["j"].stages[0].tasks[0].crashes, 0)
	assert.Equal(t, b.planner.jobs["j"].stages[0].tasks[0].suspect, false)
}

// Guards against a task that may run twice and that waits for the leases of its executor all the same, since that had registered
// again before it was cut off.
func TestTaskThatMayRunTwiceIsCopiedWhenItsExecutorHasRestarted(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.event(WaveRowsRead{})
	duplicable := step(1, 60)
	duplicable.Duplicates = true
	starts := effectsOf[Start](b.confirm(b.event(JobsRead{Jobs: []JobRow{testJob("j", duplicable)}})))
	assert.Equal(t, len(starts), 1)
	b.confirm(b.event(Started{Start: starts[0], Clock: b.now}))
	b.now += 200
	entry := b.planner.workers[starts[0].Order.Worker].WorkerEntry
	entry.Born = secondIncarnation
	effects := b.confirm(b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}}))
	for range 60 {
		effects = append(effects, b.confirm(b.advance(50))...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 1)
}

// Guards against executors that never get work again: the move of a VM was dropped while its executor was down, and the executor, which
// was back under its id later, stayed reserved for that move.
func TestExecutorThatWasDownWhenItsMoveWasDroppedGetsWork(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.event(WaveRowsRead{})
	b.planner.beginMove(vmName(0), "other")
	b.event(Held{Hold: Hold{Order: b.holdOrder(workerName(0)), Sent: b.now}, Err: errLost})
	vms := testFleet(2)
	vms[0].State, vms[0].Worker = croft.FleetDown, ""
	b.event(FleetRead{RequestedAt: b.now, VMs: vms})
	for end := b.now + emptyTimeout + 100; b.now < end; {
		b.advance(50)
	}
	assert.Equal(t, len(b.planner.moves), 0)
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(2)})
	b.born[0] = secondIncarnation
	b.answerHold(0)
	b.answerHold(0)
	assert.Assert(t, b.planner.schedulable(b.planner.workers[workerName(0)]))
}
