package sched

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// decisionsOf returns the log lines about one action for the step that reserveLarge submits.
func decisionsOf(effects []Effect, action string) []croft.Decision {
	var out []croft.Decision
	for _, l := range effectsOf[Log](effects) {
		if l.Action == action && l.Subject == "large.0.0" {
			out = append(out, l.Decision)
		}
	}
	return out
}

// settle confirms the commits that the bench does not, and returns all effects.
func (b *testBench) settle(effects []Effect) []Effect {
	for _, c := range effectsOf[Commit](effects) {
		if !announces(c) {
			b.version++
			effects = append(effects, b.settle(b.event(Committed{Commit: c, Version: b.version}))...)
		}
	}
	return effects
}

// advanceTicks lets some time pass with a tick each 50 ms.
func (b *testBench) advanceTicks(duration croft.Millis) []Effect {
	var effects []Effect
	for ; duration > 0; duration -= 50 {
		effects = append(effects, b.settle(b.advance(50))...)
	}
	return effects
}

// register registers a worker with a changed entry.
func (b *testBench) register(w *worker, change func(*croft.WorkerEntry)) []Effect {
	entry := w.WorkerEntry
	change(&entry)
	return b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{entry}}})
}

// reserveLarge fills two executors with tasks of 4 cores, then submits a job with a large step, and returns the bench with a
// reservation and the lines about it.
func reserveLarge(t *testing.T, large croft.Step) (*testBench, []croft.Decision) {
	t.Helper()
	b := newTestBench(t)
	b.planner.options.Reservations = ReservationsAlways
	b.takeLeadership(1, 2)
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("small", step(32, 4))}}))
	assert.Equal(t, len(starts), 32)
	for _, s := range starts {
		b.settle(b.event(Started{Start: s, Clock: b.now}))
	}
	effects := b.settle(b.event(JobsRead{Jobs: []JobRow{testJob("large", large)}}))
	reserved := decisionsOf(append(effects, b.advanceTicks(450)...), "Reserve")
	assert.Equal(t, len(reserved), 1)
	return b, reserved
}

// Guards against reservations of executors that cannot run the tasks any more, and of those that need none any more.
func TestReservationIsReleased(t *testing.T) {
	for _, c := range []struct {
		name, choice, reason string
		again                bool
		happen               func(b *testBench, w *worker) []Effect
	}{
		{"crash", "Executor", "has ended", true, func(b *testBench, w *worker) []Effect {
			return b.register(w, func(entry *croft.WorkerEntry) { entry.Born = firstIncarnation + 1 })
		}},
		{"drain", "Executor", "is draining", true, func(b *testBench, w *worker) []Effect {
			return b.register(w, func(entry *croft.WorkerEntry) { entry.Draining = true })
		}},
		{"other pool", "Executor", "has moved to pool other", true, func(b *testBench, w *worker) []Effect {
			return b.register(w, func(entry *croft.WorkerEntry) { entry.Pool = "other" })
		}},
		{"move", "Executor", "is to be moved", true, func(b *testBench, w *worker) []Effect {
			b.planner.beginMove(b.planner.vmOf(w), "other")
			return b.advance(50)
		}},
		{"wave", "Executor", "is to be moved or maintained", true, func(b *testBench, w *worker) []Effect {
			wave := testWave(b.planner.vmOf(w))
			// A wave takes VMs of a pool that needs all of them only when it is late.
			wave.Waves[0].Duration = 1
			b.event(WaveRowsRead{}, wave)
			return b.advance(50)
		}},
		{"expiry", "Expired", "have not started", true, func(b *testBench, _ *worker) []Effect { return b.advanceTicks(3000) }},
		{"cancellation", "Ended", "its job has ended", false, func(b *testBench, _ *worker) []Effect {
			return b.event(JobsCancelled{IDs: []croft.JobID{"large"}})
		}},
		{"start", "Started", "started on", false, func(b *testBench, w *worker) []Effect {
			var ends []any
			for i, r := range sortedRuns(w) {
				ends = append(ends, croft.EndedRun{Number: int64(i + 1), Task: r.stage.id(r.index), Run: 1, How: croft.EndDone})
			}
			return append(b.settle(b.answerHold(placeOf(w.ID), ends...)), b.advanceTicks(100)...)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, reserved := reserveLarge(t, step(1, 60))
			w := b.planner.workers[croft.WorkerID(reserved[0].Choice)]
			assert.Assert(t, strings.Contains(b.planner.Describe("large"), "waits for its reservation of "+reserved[0].Choice))
			effects := c.happen(b, w)
			released := decisionsOf(effects, "Release")
			assert.Assert(t, len(released) > 0)
			assert.Equal(t, released[0].Choice, c.choice)
			assert.Assert(t, strings.Contains(released[0].Reason, c.reason), released[0].Reason)
			again := decisionsOf(append(effects, b.advanceTicks(450)...), "Reserve")
			assert.Equal(t, len(again) > 0, c.again)
			if c.choice == "Executor" {
				assert.Assert(t, again[0].Choice != reserved[0].Choice)
			}
		})
	}
}

// Guards against endless tasks and more urgent queues that wait for a reservation, and against others that start in spite of it.
func TestReservationHoldsOnlyAgainstItsOwnPriority(t *testing.T) {
	endless, limited := step(1, 4), step(1, 4)
	endless.Endless, limited.MostPerWorker = true, 1
	for name, c := range map[string]struct {
		step   croft.Step
		queue  croft.QueueID
		starts bool
	}{
		"same queue": {step(1, 4), "q", false}, "limited": {limited, "q", false}, "endless": {endless, "q", true}, "urgent queue": {step(1, 4), "urgent", true},
	} {
		t.Run(name, func(t *testing.T) {
			b, reserved := reserveLarge(t, step(1, 64))
			config := testConfig()
			config.Config.Version = 2
			config.Config.Queues[0].Priority = 1
			config.Config.Queues = append(config.Config.Queues, croft.Queue{ID: "urgent", Pool: testPool, Stretch: 1.6, Latency: 600})
			b.event(config)
			// Two runs end on the reserved executor while the others go on beyond the expected start.
			w := b.planner.workers[croft.WorkerID(reserved[0].Choice)]
			var runs []any
			for i, r := range sortedRuns(w) {
				if i < 2 {
					runs = append(runs, croft.EndedRun{Number: int64(i + 1), Task: r.stage.id(r.index), Run: 1, How: croft.EndDone})
					continue
				}
				runs = append(runs, activeRun(r.stage.id(r.index), 1))
			}
			b.settle(b.answerHold(placeOf(w.ID), runs...))
			row := testJob("other", c.step)
			row.Record.Queue = c.queue
			effects := append(b.settle(b.event(JobsRead{Jobs: []JobRow{row}})), b.advanceTicks(100)...)
			assert.Equal(t, len(startsOf(effects, "other")) == 1, c.starts)
			assert.Equal(t, strings.Contains(b.planner.Describe("other"), "waits behind the reservation of large.0.0"), !c.starts)
		})
	}
}

// reservationMode returns the mode that switches reservations on or off for all deployments.
func reservationMode(on bool) ReservationMode {
	if on {
		return ReservationsAlways
	}
	return ReservationsNever
}

// Guards against deployments without organisations that are placed otherwise than before.
func TestReservationsNeedOrganisations(t *testing.T) {
	b := newTestBench(t)
	b.planner.options.Reservations = ReservationsWithOrganisations
	b.takeLeadership(1, 1)
	assert.Assert(t, !b.planner.makesReservations())
	config := testConfig().Config
	config.Version, config.Organisations = 2, []croft.Organisation{{ID: "a", Weight: 1}}
	b.event(ConfigRead{Config: config})
	assert.Assert(t, b.planner.makesReservations())
}
