package sched

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/shares"
)

// shareBench is a deployment with organisations on a virtual clock: a planner, executors that run its tasks, a store that answers at once,
// and entries that admit jobs by the loads that they have received.
type shareBench struct {
	t       *testing.T
	planner *Planner
	now     croft.Millis
	// later has the events of each instant at which some are due.
	later     map[croft.Millis][]Event
	executors []*simExecutor
	rows      map[croft.JobID]JobRow
	version   uint64
	fence     uint64
	config    croft.QueueConfig
	// loads are those that entries use, received at loadsAt; silent means that they receive none.
	loads   map[croft.QueueID]Load
	loadsAt croft.Millis
	silent  bool
	// submitted counts the jobs that each organisation has submitted, and refused those that were not admitted.
	submitted, refused map[croft.OrganisationID]int
	submittedAt        map[croft.JobID]croft.Millis
	// turnarounds has the time that each finished job of an organisation took.
	turnarounds map[croft.OrganisationID][]croft.Millis
	logs        []croft.Decision
}

// simExecutor is an executor of 64 cores whose runs take as long as their steps estimate.
type simExecutor struct {
	active map[croft.TaskID]simRun
	ended  []croft.EndedRun
	ends   int64
	hold   *Hold
}

type simRun struct {
	number int
	end    croft.Millis
}

// simStep is the resolution of the virtual clock.
const simStep = 10 * croft.Millis(1)

// newShareBench returns a deployment of organisations of the same weight.
func newShareBench(t *testing.T, executors, organisations int, weight float64) *shareBench {
	t.Helper()
	b := &shareBench{
		t: t, now: 20 * croft.Second, later: map[croft.Millis][]Event{}, rows: map[croft.JobID]JobRow{}, config: testConfig().Config,
		submitted: map[croft.OrganisationID]int{}, refused: map[croft.OrganisationID]int{},
		submittedAt: map[croft.JobID]croft.Millis{}, turnarounds: map[croft.OrganisationID][]croft.Millis{},
	}
	for i := range organisations {
		b.config.Organisations = append(b.config.Organisations, croft.Organisation{ID: orgName(i), Weight: weight})
	}
	for range executors {
		b.executors = append(b.executors, &simExecutor{active: map[croft.TaskID]simRun{}})
	}
	b.takeOver(1)
	return b
}

func orgName(i int) croft.OrganisationID { return croft.OrganisationID(fmt.Sprintf("org-%d", i)) }

// takeOver replaces the planner by one that reads everything that is stored.
func (b *shareBench) takeOver(term int) {
	b.planner = New(Options{Holder: "entry-1", Lease: 10 * croft.Second, Stop: 200, Maintain: 2000})
	b.fence = uint64(term * 1_000_000)
	b.later = map[croft.Millis][]Event{}
	for _, x := range b.executors {
		x.hold = nil
	}
	n := len(b.executors)
	stored := slices.Collect(maps.Values(b.rows))
	b.send(ConfigRead{Config: b.config}, LeadershipAcquired{Fence: b.fence, Term: term},
		WorkersRead{Changes: croft.WorkerChanges{Version: 1, Whole: true, Entries: testWorkers(n)}},
		FleetRead{RequestedAt: b.now, VMs: testFleet(n)}, JobsRead{Whole: true, Jobs: stored})
}

// send applies events and carries out the effects.
func (b *shareBench) send(events ...Event) {
	for _, effect := range b.planner.Reduce(Instant{Elapsed: b.now, Wall: 1_000_000 + b.now}, events...) {
		b.perform(effect)
	}
}

// perform carries out an effect; its outcome follows in the next step.
func (b *shareBench) perform(effect Effect) {
	answer := func(e Event) { b.later[b.now+simStep] = append(b.later[b.now+simStep], e) }
	switch e := effect.(type) {
	case Start:
		x := b.executors[placeOf(e.Order.Worker)]
		_, s, _ := b.planner.findStage(e.Order.Task)
		x.active[e.Order.Task] = simRun{number: e.Order.Run, end: b.now + s.spec.Estimate}
		answer(Started{Start: e, Clock: b.now})
	case Stop:
		b.t.Fatalf("%v is stopped", e.Order.Task)
	case Hold:
		b.executors[placeOf(e.Order.Worker)].hold = &e
	case Commit:
		b.commit(e)
		answer(Committed{Commit: e, Version: b.version})
	case ListFleet:
		answer(FleetRead{RequestedAt: e.RequestedAt, VMs: testFleet(len(b.executors))})
	case Wake:
		at := b.now + (e.After+simStep-1)/simStep*simStep
		b.later[at] = append(b.later[at], Woken{})
	case PublishLoads:
		if e.Shared && !b.silent {
			b.loads, b.loadsAt = e.Loads, b.now
		}
	case Log:
		b.logs = append(b.logs, e.Decision)
	}
}

// commit applies a transaction to the stored jobs.
func (b *shareBench) commit(e Commit) {
	b.version++
	for _, op := range e.Ops {
		_, id, err := jobs.SplitKey(op.Key)
		assert.NilError(b.t, err)
		row, ok := b.rows[id]
		if !ok || op.Kind != croft.OpPut || !strings.HasPrefix(op.Key, jobs.StateTable+"/") {
			continue
		}
		row.Progress, err = jobs.DecodeProgress(op.Value)
		assert.NilError(b.t, err)
		row.Version = b.version
		b.rows[id] = row
		if row.Progress.Status.Final() {
			delete(b.rows, id)
			org := row.Record.Organisation
			b.turnarounds[org] = append(b.turnarounds[org], b.now-b.submittedAt[id])
		}
	}
}

// advance lets time pass. In each step, submit is called with the time since the begin, then executors answer and events that are due are
// sent.
func (b *shareBench) advance(duration croft.Millis, submit func(at croft.Millis)) {
	for end, begin := b.now+duration, b.now; b.now < end; {
		b.now += simStep
		submit(b.now - begin)
		due := b.later[b.now]
		delete(b.later, b.now)
		if b.now%(100*croft.Millis(1)) == 0 {
			b.fence++
			due = append(due, Ticked{Fence: b.fence})
		}
		for i := range b.executors {
			due = append(due, b.answerHold(i)...)
		}
		b.send(due...)
	}
}

// answerHold ends the runs of an executor that are due, and answers its hold if there is one and a run has ended or its wait is over.
func (b *shareBench) answerHold(i int) []Event {
	x := b.executors[i]
	for _, task := range slices.SortedFunc(maps.Keys(x.active), func(a, b croft.TaskID) int { return strings.Compare(a.String(), b.String()) }) {
		if r := x.active[task]; r.end <= b.now {
			delete(x.active, task)
			x.ends++
			x.ended = append(x.ended, croft.EndedRun{Number: x.ends, Task: task, Run: r.number, How: croft.EndDone})
		}
	}
	if x.hold == nil || (len(x.ended) == 0 && b.now < x.hold.Sent+max(x.hold.Order.Wait, 1)) {
		return nil
	}
	x.ended = slices.DeleteFunc(x.ended, func(e croft.EndedRun) bool { return e.Number <= x.hold.Order.Seen })
	report := croft.HoldReport{Clock: b.now, Born: firstIncarnation, Ended: slices.Clone(x.ended)}
	for task, r := range x.active {
		report.Active = append(report.Active, croft.ActiveRun{Task: task, Run: r.number, Percent: int(b.now/100) % 100})
	}
	held := Held{Hold: *x.hold, Report: report}
	x.hold = nil
	return []Event{held}
}

// submit submits a job to the entries, which store it unless their loads refuse it.
func (b *shareBench) submit(org croft.OrganisationID, steps ...croft.Step) {
	b.submitted[org]++
	id := croft.JobID(fmt.Sprintf("%s-%05d", org, b.submitted[org]))
	if b.now-b.loadsAt <= 2*croft.Second {
		if fraction, limited := b.loads["q"].Admitted[org]; limited && !shares.Admits(id, fraction) {
			b.refused[org]++
			return
		}
	}
	row := testJob(id, steps...)
	b.version++
	row.Version, row.Record.Organisation, row.Record.Accepted = b.version, org, 1_000_000+b.now
	row.Part = jobs.Part("q", id)
	b.rows[id], b.submittedAt[id] = row, b.now
	b.later[b.now+simStep] = append(b.later[b.now+simStep], JobsRead{Jobs: []JobRow{row}})
}

// submitEvenly submits jobs of organisations from..to-1 at a rate each, spread evenly over time.
func (b *shareBench) submitEvenly(at croft.Millis, from, to int, rate float64, steps ...croft.Step) {
	interval := croft.Millis(float64(croft.Second) / rate)
	for i := from; i < to; i++ {
		// The organisations take turns.
		if phase := at + interval*croft.Millis(i)/croft.Millis(len(b.config.Organisations)); phase/interval != (phase-simStep)/interval {
			b.submit(orgName(i), steps...)
		}
	}
}

// percentile returns the turnaround that a part of the finished jobs of organisations from..to-1 did not exceed.
func (b *shareBench) percentile(from, to int, part float64) croft.Millis {
	var all []croft.Millis
	for i := from; i < to; i++ {
		all = append(all, b.turnarounds[orgName(i)]...)
	}
	assert.Assert(b.t, len(all) > 0)
	slices.Sort(all)
	return all[int(part*float64(len(all)-1))]
}
