package sched

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// loadSim runs a planner under a load of jobs, with executors that run each task for a given time.
type loadSim struct {
	*testBench
	durationOf func(croft.TaskID) croft.Millis
	// running has the ends of the runs on each executor.
	running     []map[croft.TaskID]croft.Millis
	ended       []int64
	wakeAt      croft.Millis
	startedAt   map[croft.JobID]croft.Millis
	submittedAt map[croft.JobID]croft.Millis
	smallDone   int
	decisions   []croft.Decision
}

func newLoadSim(t *testing.T, workers int, reservations bool, durationOf func(croft.TaskID) croft.Millis) *loadSim {
	t.Helper()
	sim := &loadSim{
		testBench: newTestBench(t), durationOf: durationOf, running: make([]map[croft.TaskID]croft.Millis, workers), ended: make([]int64, workers),
		startedAt: map[croft.JobID]croft.Millis{}, submittedAt: map[croft.JobID]croft.Millis{},
	}
	sim.planner.options.Reservations = reservationMode(reservations)
	for i := range sim.running {
		sim.running[i] = map[croft.TaskID]croft.Millis{}
	}
	sim.takeLeadership(1, workers)
	return sim
}

// reduce applies events and carries out what the planner orders.
func (sim *loadSim) reduce(events ...Event) {
	for _, effect := range sim.planner.Reduce(Instant{Elapsed: sim.now, Wall: testWallClock + sim.now}, events...) {
		switch e := effect.(type) {
		case Start:
			id := e.Order.Task
			sim.running[placeOf(e.Order.Worker)][id] = sim.now + sim.durationOf(id)
			if _, began := sim.startedAt[id.Job]; !began {
				sim.startedAt[id.Job] = sim.now
			}
			sim.reduce(Started{Start: e, Clock: sim.now})
		case Commit:
			sim.version++
			sim.reduce(Committed{Commit: e, Version: sim.version})
		case Wake:
			sim.wakeAt = sim.now + e.After
		case Log:
			sim.decisions = append(sim.decisions, e.Decision)
		}
	}
}

// reportEnds answers a hold of an executor on which runs have ended.
func (sim *loadSim) reportEnds(i int) {
	var report croft.HoldReport
	compare := func(a, b croft.TaskID) int { return cmp.Compare(a.String(), b.String()) }
	for _, id := range slices.SortedFunc(maps.Keys(sim.running[i]), compare) {
		if sim.running[i][id] <= sim.now {
			delete(sim.running[i], id)
			sim.ended[i]++
			report.Ended = append(report.Ended, croft.EndedRun{Number: sim.ended[i], Task: id, Run: 1, How: croft.EndDone})
			if sim.submittedAt[id.Job] == 0 {
				sim.smallDone++
			}
			continue
		}
		report.Active = append(report.Active, croft.ActiveRun{Task: id, Run: 1, Percent: 50})
	}
	if len(report.Ended) == 0 {
		return
	}
	report.Clock, report.Born = sim.now, firstIncarnation
	order := sim.holdOrder(workerName(i))
	order.Seen, order.Wait = sim.planner.workers[workerName(i)].ackedEnd, holdWait
	sim.reduce(Held{Hold: Hold{Order: order, Sent: sim.now}, Report: report})
}

// stepTime is the resolution of the simulated time.
const stepTime = 5 * croft.Millis(1)

// run submits small jobs steadily, one each smallInterval in tenths of a millisecond, and a large job each largeInterval, for a time. The large jobs begin once the
// executors are full.
func (sim *loadSim) run(duration, smallInterval croft.Millis, small, large croft.Step) {
	const largeInterval = 3 * croft.Second
	begin, smalls := sim.now, 0
	for ; sim.now < begin+duration; sim.now += stepTime {
		for i := range sim.running {
			sim.reportEnds(i)
		}
		age := sim.now - begin
		for ; croft.Millis(smalls)*smallInterval <= 10*age; smalls++ {
			sim.reduce(JobsRead{Jobs: []JobRow{testJob(croft.JobID(fmt.Sprintf("s%d", smalls)), small)}})
		}
		if age > 0 && age%largeInterval == 0 {
			id := croft.JobID(fmt.Sprintf("large%d", age/largeInterval))
			sim.submittedAt[id] = sim.now
			sim.reduce(JobsRead{Jobs: []JobRow{testJob(id, large)}})
		}
		if age%(50*croft.Millis(1)) == 0 {
			sim.reduce(sim.renewed())
		} else if sim.wakeAt <= sim.now {
			sim.reduce(Woken{})
		}
	}
}

// longestWait returns the longest time that a large job waited for its first start, up to now.
func (sim *loadSim) longestWait() croft.Millis {
	longest := croft.Millis(0)
	for id, at := range sim.submittedAt {
		started, ok := sim.startedAt[id]
		if !ok {
			started = sim.now
		}
		longest = max(longest, started-at)
	}
	return longest
}

// varied returns durations of 600 ms that are off by a share in permille, more or less from task to task.
func varied(share croft.Millis) func(croft.TaskID) croft.Millis {
	return func(id croft.TaskID) croft.Millis {
		spread := croft.Millis(0)
		for _, c := range id.String() {
			spread = (spread*31 + croft.Millis(c)) % 2001
		}
		return 600 + 600*share*(spread-1000)/1_000_000
	}
}

// Guards against large tasks, gangs and wide stages that wait for as long as small tasks arrive, at 96 % of what the executors can
// run, and against reservations that cost more than a tenth of the small tasks.
func TestReservationsBoundTheWaitBehindSteadySmallTasks(t *testing.T) {
	wide := step(2, 50)
	wide.MostPerWorker = 1
	for _, c := range []struct {
		name  string
		large croft.Step
		// errors is by how much the durations differ from the estimate, in permille, and scale multiplies all of them, in percent.
		errors, scale croft.Millis
	}{
		{"task that needs most of an executor", step(1, 60), 200, 100},
		{"gang", gang(4, 40), 200, 100},
		{"wide stage with a limit", wide, 200, 100},
		{"durations off by up to half both ways", step(1, 60), 500, 100},
		{"durations half of the estimate", step(1, 60), 200, 50},
		{"durations one and a half of the estimate", step(1, 60), 200, 150},
	} {
		t.Run(c.name, func(t *testing.T) {
			durations := varied(c.errors)
			run := func(reservations bool) *loadSim {
				sim := newLoadSim(t, 8, reservations, func(id croft.TaskID) croft.Millis { return durations(id) * c.scale / 100 })
				// 128 small tasks of 4 cores fit at the same time, so that 8 each 37.5 ms fill the executors.
				sim.run(15*croft.Second, 390*c.scale/100, step(8, 4), c.large)
				return sim
			}
			baseline, reserving := run(false), run(true)
			t.Logf("longest wait %d ms, %d ms without; small tasks done %d, %d without", reserving.longestWait(), baseline.longestWait(), reserving.smallDone, baseline.smallDone)
			// A reservation begins after 100 ms and is for the time when the last of the runs ends, at most one and a half times
			// the mean duration after it; the rest is the error of that.
			bound := 100 + 2*600*c.scale/100
			assert.Check(t, reserving.longestWait() <= bound, "%d ms, bound %d ms", reserving.longestWait(), bound)
			assert.Check(t, baseline.longestWait() > 2*bound, "%d ms", baseline.longestWait())
			assert.Check(t, reserving.smallDone*10 >= baseline.smallDone*9)
			isReserve := func(d croft.Decision) bool { return d.Action == "Reserve" }
			assert.Check(t, slices.ContainsFunc(reserving.decisions, isReserve) && !slices.ContainsFunc(baseline.decisions, isReserve))
		})
	}
}
