package sched

import (
	"fmt"
	"slices"
	"testing"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// testBench drives a planner with events on a virtual clock.
type testBench struct {
	t       *testing.T
	planner *Planner
	now     croft.Millis
	// version is the version of the last commit that was confirmed automatically.
	version uint64
	// fence is the fencing token of the last renewal of the leadership.
	fence uint64
	// born has the start times of executors that have restarted, by their place.
	born map[int]int64
}

func newTestBench(t *testing.T) *testBench {
	t.Helper()
	return &testBench{t: t, now: 1000, born: map[int]int64{}, planner: New(Options{
		Holder: "entry-1", Lease: 10 * croft.Second, Stop: 200, Maintain: 2000,
	})}
}

// event applies events at the current time and returns all effects. Commits that only announce jobs are confirmed at
// once, reports of waves are stored, and time advances as the planner requests.
func (b *testBench) event(events ...Event) []Effect {
	effects := b.planner.Reduce(Instant{Elapsed: b.now, Wall: 1_000_000 + b.now}, events...)
	for _, c := range effectsOf[Commit](effects) {
		if announces(c) {
			b.version++
			effects = append(effects, b.event(Committed{Commit: c, Version: b.version})...)
		}
	}
	for _, r := range effectsOf[ReportWave](effects) {
		effects = append(effects, b.event(WaveStored{ReportWave: r})...)
	}
	for _, w := range effectsOf[Wake](effects) {
		b.now += w.After
		effects = append(effects, b.event(Woken{})...)
	}
	return effects
}

// announces reports whether a commit only announces jobs.
func announces(c Commit) bool {
	for _, w := range c.Writes {
		if !w.Announced || w.Began {
			return false
		}
	}
	return len(c.Writes) > 0
}

// advance lets time pass and sends a tick.
func (b *testBench) advance(by croft.Millis) []Effect {
	b.now += by
	return b.event(b.renewed())
}

// renewed returns a tick after a renewal of the leadership.
func (b *testBench) renewed() Ticked {
	b.fence++
	return Ticked{Fence: b.fence}
}

// errLost is the outcome of an order without an answer.
var errLost = &croft.LostAnswerError{Reason: "test"}

const testPool = croft.PoolID("pool")

// takeLeadership begins a term with workers of 64 cores and the jobs in the store, has all lists read, and returns the effects of that.
func (b *testBench) takeLeadership(term, workers int, stored ...JobRow) []Effect {
	b.fence = uint64(term * 1_000_000)
	b.event(LeadershipAcquired{Fence: b.fence, Term: term})
	b.event(testConfig())
	b.event(WorkersRead{Changes: croft.WorkerChanges{Version: 1, Whole: true, Entries: testWorkers(workers)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(workers)})
	effects := b.event(JobsRead{Whole: true, Jobs: encodedRows(stored)})
	for i := range workers {
		effects = append(effects, b.answerHold(i)...)
	}
	return effects
}

func testConfig() ConfigRead {
	return ConfigRead{Config: croft.QueueConfig{
		Version: 1,
		Queues:  []croft.Queue{{ID: "q", Host: "h", Prefix: "/q/", Pool: testPool, MostAttempts: 3, Stretch: 1.6, Latency: 600}},
		Pools:   []croft.PoolRule{{ID: testPool}},
	}}
}

// requireAdvice makes the tasks of the queue start only with permits of the advice service.
func (b *testBench) requireAdvice() {
	config := testConfig()
	config.Config.Version, config.Config.Queues[0].NeedsAdvice = 2, true
	b.event(config)
}

func workerName(i int) croft.WorkerID { return croft.WorkerID(fmt.Sprintf("w%d", i)) }

// placeOf returns the place of a worker that testWorkers returns.
func placeOf(id croft.WorkerID) int {
	place := 0
	for workerName(place) != id {
		place++
	}
	return place
}

func vmName(i int) croft.VMID { return croft.VMID(fmt.Sprintf("vm%d", i)) }

// testWorkers returns registered executors of 64 cores, four in each rack.
func testWorkers(n int) []croft.WorkerEntry {
	var out []croft.WorkerEntry
	for i := range n {
		out = append(out, croft.WorkerEntry{
			ID: workerName(i), Pool: testPool, Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Labels: []string{"a", fmt.Sprintf("r%d", i/4)}, Rack: croft.RackID(fmt.Sprintf("r%d", i/4)),
			Room: croft.Resources{MilliCores: 64000, MemoryMB: 262144},
		})
	}
	return out
}

// testFleet returns the VMs of the executors that testWorkers returns.
func testFleet(n int) []croft.FleetVM {
	var out []croft.FleetVM
	for i := range n {
		out = append(out, croft.FleetVM{ID: vmName(i), Pool: testPool, State: croft.FleetUp, Worker: workerName(i), Room: croft.Resources{MilliCores: 64000, MemoryMB: 262144}})
	}
	return out
}

// holdOrder returns the order of a hold that a worker may answer now.
func (b *testBench) holdOrder(id croft.WorkerID) croft.HoldOrder {
	order := croft.HoldOrder{Worker: id}
	if w := b.planner.workers[id]; w != nil {
		order.Fence = w.fence
	}
	return order
}

// answerHold answers a hold of a worker with the runs it has, a croft.ActiveRun or croft.EndedRun each.
func (b *testBench) answerHold(i int, runs ...any) []Effect {
	report := croft.HoldReport{Clock: b.now, Born: firstIncarnation}
	if born, ok := b.born[i]; ok {
		report.Born = born
	}
	for _, entry := range runs {
		switch r := entry.(type) {
		case croft.ActiveRun:
			report.Active = append(report.Active, r)
		case croft.EndedRun:
			report.Ended = append(report.Ended, r)
		}
	}
	w := b.planner.workers[workerName(i)]
	if w != nil && w.needsFence {
		// The hold that is answered has a higher fencing token.
		w.holdPending = false
		b.advance(0)
	}
	order := b.holdOrder(workerName(i))
	if w != nil && w.verified {
		order.Seen, order.Wait = w.ackedEnd, holdWait
	}
	return b.event(Held{Hold: Hold{Order: order, Sent: b.now}, Report: report})
}

func testJob(id croft.JobID, steps ...croft.Step) JobRow {
	return JobRow{
		ID: id, Part: "q.0", Version: 5,
		Record:   jobs.Record{Queue: "q", Pool: testPool, MostAttempts: 3, Stretch: 1.6, Latency: 600, Accepted: 1_000_000, Spec: croft.JobSpec{Payload: "p", Steps: steps}},
		Progress: jobs.Progress{Status: jobs.Pending},
	}
}

// encodedRows returns rows as a new leader reads them.
func encodedRows(rows []JobRow) []JobRow {
	rows = slices.Clone(rows)
	for i := range rows {
		rows[i].Encoded, rows[i].Record = jobs.EncodeRecord(rows[i].Record), jobs.Record{}
	}
	return rows
}

// testJobs returns jobs with the same steps.
func testJobs(n int, steps ...croft.Step) []JobRow {
	var rows []JobRow
	for i := range n {
		rows = append(rows, testJob(croft.JobID(rune('a'+i)), steps...))
	}
	return rows
}

// step returns a step with a number of tasks that need some cores each and are estimated to take 600 ms.
func step(count int, cores int64) croft.Step {
	return croft.Step{Count: count, Needs: croft.Resources{MilliCores: cores * 1000, MemoryMB: 1000}, Estimate: 600}
}

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effects []Effect) []E {
	var out []E
	for _, e := range effects {
		if got, ok := e.(E); ok {
			out = append(out, got)
		}
	}
	return out
}

// activeRun returns the entry for a run in an executor's list, with full progress.
func activeRun(task croft.TaskID, run int) croft.ActiveRun {
	return croft.ActiveRun{Task: task, Run: run, Percent: 100}
}

// checksIn returns the holds that are checks.
func checksIn(holds []Hold) []Hold {
	return slices.DeleteFunc(slices.Clone(holds), func(h Hold) bool { return !h.Check })
}
