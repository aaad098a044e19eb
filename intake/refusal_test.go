package intake

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
	"waxwing.example/croft/shares"
)

// recordedLog keeps the decisions of the entries.
type recordedLog struct{ decisions []croft.Decision }

func (l *recordedLog) Log(d croft.Decision) { l.decisions = append(l.decisions, d) }

// entryBench is two entries with the same store, a manual clock and the loads of one leader.
type entryBench struct {
	entries [2]*Intake
	store   *fakeTable
	clock   *clock.Manual
	outage  croft.Millis
	log     recordedLog
	refused map[croft.OrganisationID]int
}

func newEntryBench() *entryBench {
	b := &entryBench{store: &fakeTable{rows: map[string]croft.Row{}}, clock: clock.NewManual(croft.Hour), refused: map[croft.OrganisationID]int{}}
	for n := range b.entries {
		b.entries[n] = New(b.store, b.clock, &b.log, func() croft.Millis { return b.outage }, croft.Second, testRowBytes)
		b.entries[n].CountRefusals(func(org croft.OrganisationID) { b.refused[org]++ })
	}
	return b
}

// publish sends a load of the test queue to both entries.
func (b *entryBench) publish(load sched.Load) {
	for _, i := range b.entries {
		i.RecordLoads(jobs.Encode(map[croft.QueueID]sched.Load{queue.ID: load}))
	}
}

func ownedTarget(org croft.OrganisationID, n int) Target {
	return Target{Queue: queue, Organisation: org, ID: croft.JobID(fmt.Sprintf("%016x", n))}
}

// Load: an organisation at eight times its weight through all entries. They refuse the same jobs, also when these come again, say when to
// come back, and admit everything of other organisations.
func TestEntriesAdmitTheSameFraction(t *testing.T) {
	b := newEntryBench()
	b.publish(sched.Load{Wait: 4 * croft.Second, Admitted: map[croft.OrganisationID]float64{"heavy": 0.125}})
	admitted := 0
	for n := range 400 {
		var outcomes [2]Outcome
		var waits [2]croft.Millis
		for e, i := range b.entries {
			outcomes[e], waits[e] = i.Submit(shortContext(t), ownedTarget("heavy", n), croft.JobSpec{})
		}
		assert.Equal(t, outcomes[0], outcomes[1])
		if outcomes[0] == Accepted {
			admitted++
			continue
		}
		assert.Equal(t, outcomes[0], Rejected)
		assert.Equal(t, waits[0], waits[1])
		assert.Assert(t, waits[0] >= 4*croft.Second && waits[0] < 8*croft.Second)
		outcome, _ := b.entries[0].Submit(shortContext(t), ownedTarget("calm", n), croft.JobSpec{})
		assert.Equal(t, outcome, Accepted)
	}
	assert.Assert(t, admitted > 30 && admitted < 75, "%d of 400", admitted)
	assert.Equal(t, b.refused["heavy"], 2*(400-admitted))
	assert.Equal(t, b.refused["calm"], 0)
	assert.Equal(t, len(b.store.rows), 3*400)
}

// refusedTarget returns a target whose job is not within a fraction.
func refusedTarget(org croft.OrganisationID, fraction float64) Target {
	for n := 0; ; n++ {
		if target := ownedTarget(org, n); !shares.Admits(target.ID, fraction) {
			return target
		}
	}
}

// Guards against 429 for a job that is stored, which would still run: one that was stored before the limit is answered as accepted, by
// every entry.
func TestStoredJobIsAcceptedBeyondTheFraction(t *testing.T) {
	b := newEntryBench()
	target := refusedTarget("heavy", 0.1)
	outcome, _ := b.entries[0].Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
	b.publish(sched.Load{Admitted: map[croft.OrganisationID]float64{"heavy": 0.1}, Ahead: croft.Hour})
	for _, i := range b.entries {
		outcome, _ = i.Submit(shortContext(t), target, croft.JobSpec{})
		assert.Equal(t, outcome, Accepted)
	}
	assert.Equal(t, b.refused["heavy"], 0)
}

// blockedTable is a table whose transactions wait for release.
type blockedTable struct {
	fakeTable
	release chan struct{}
}

func (t *blockedTable) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	<-t.release
	return t.fakeTable.Commit(ctx, ops)
}

// Guards against 429 for a job that is stored afterwards: its caller left while the transaction was under way, and comes again while the
// organisation is limited or the queue refuses jobs.
func TestJobUnderWayIsNotRefused(t *testing.T) {
	for name, load := range map[string]sched.Load{
		"organisation": {Admitted: map[croft.OrganisationID]float64{"heavy": 0.1}},
		"queue":        {Refuse: true, Wait: 1000},
	} {
		t.Run(name, func(t *testing.T) { testJobUnderWay(t, load) })
	}
}

func testJobUnderWay(t *testing.T, load sched.Load) {
	store := &blockedTable{fakeTable: fakeTable{rows: map[string]croft.Row{}}, release: make(chan struct{})}
	i := New(store, clock.NewSystem(), discardLog{}, func() croft.Millis { return 0 }, croft.Second, 0)
	target := refusedTarget("heavy", 0.1)
	outcome, _ := i.Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, Unknown)
	i.RecordLoads(jobs.Encode(map[croft.QueueID]sched.Load{queue.ID: load}))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	time.AfterFunc(50*time.Millisecond, func() { close(store.release) })
	outcome, _ = i.Submit(ctx, target, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
}

// Guards against 429 while it is not known whether the job is stored: the answer is that of an outage.
func TestNothingIsRefusedWithoutTheStore(t *testing.T) {
	b := newEntryBench()
	b.publish(sched.Load{Admitted: map[croft.OrganisationID]float64{"heavy": 0.1}})
	b.outage = 2 * croft.Second
	outcome, _ := b.entries[0].Submit(shortContext(t), refusedTarget("heavy", 0.1), croft.JobSpec{})
	assert.Equal(t, outcome, Unavailable)
}

// Guards against 429 for a job that is stored while the store does not answer, in a deployment without organisations: the answer is that of
// an outage.
func TestQueueRefusesNothingWithoutTheStore(t *testing.T) {
	b := newEntryBench()
	target := ownedTarget("", 1)
	outcome, _ := b.entries[0].Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
	b.publish(sched.Load{Refuse: true, Wait: 1})
	b.outage = 2 * croft.Second
	outcome, _ = b.entries[0].Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, Unavailable)
}

// Load: the planner falls silent, or is cut off. After 2 s entries admit everything.
func TestEntriesThatHearNothingAdmitEverything(t *testing.T) {
	b := newEntryBench()
	b.publish(sched.Load{Admitted: map[croft.OrganisationID]float64{"heavy": 0.01}, Ahead: croft.Hour})
	b.clock.Advance(LoadValidity)
	target := refusedTarget("heavy", 0.01)
	outcome, _ := b.entries[0].Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, Rejected)
	b.clock.Advance(1)
	outcome, _ = b.entries[0].Submit(shortContext(t), target, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
}

// Load: work ahead for longer than a job is of use. That job is refused with the figures in the log; one of a longer objective, one that is
// due later and one whose tasks are endless are not.
func TestJobsThatCannotBeServedAreRefused(t *testing.T) {
	b := newEntryBench()
	target := ownedTarget("a", 1)
	target.Queue.Stretch, target.Queue.Latency = 1.6, 600
	short := croft.JobSpec{Steps: []croft.Step{{Count: 1, Estimate: 600}}}
	// The objective is 1,560 ms.
	b.publish(sched.Load{Ahead: 4680})
	outcome, _ := b.entries[0].Submit(shortContext(t), target, short)
	assert.Equal(t, outcome, Accepted)
	b.publish(sched.Load{Ahead: 10 * croft.Second})
	target.ID = "00000000000000aa"
	outcome, wait := b.entries[0].Submit(shortContext(t), target, short)
	assert.Equal(t, outcome, Rejected)
	assert.Assert(t, wait >= 5320 && wait < 2*5320, "%d", wait)
	last := b.log.decisions[len(b.log.decisions)-1].Reason
	assert.Assert(t, strings.Contains(last, "takes 10000 ms") && strings.Contains(last, "of use for 4680 ms"), last)
	for n, spec := range []croft.JobSpec{
		{Steps: []croft.Step{{Count: 1, Estimate: 5000}}},
		{Steps: short.Steps, Repeats: 2, First: 2 * croft.Hour, Interval: croft.Second},
		{Steps: []croft.Step{{Count: 1, Estimate: 600, Endless: true}}},
	} {
		target.ID = croft.JobID(fmt.Sprintf("00000000000000b%d", n))
		outcome, _ = b.entries[0].Submit(shortContext(t), target, spec)
		assert.Equal(t, outcome, Accepted, "job %d", n)
	}
}
