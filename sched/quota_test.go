package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// setCap configures the organisation red with a cap of some cores.
func (b *testBench) setCap(cores int64) []Effect {
	config := b.planner.config
	config.Version++
	config.Organisations = []croft.Organisation{{ID: "red", Cap: croft.Resources{MilliCores: cores * 1000}}}
	return b.event(ConfigRead{Config: config})
}

// jobOf returns a job of an organisation.
func jobOf(org croft.OrganisationID, id croft.JobID, steps ...croft.Step) JobRow {
	row := testJob(id, steps...)
	row.Record.Organisation = org
	return row
}

// redUse returns how many cores the organisation red is counted with.
func (b *testBench) redUse() int64 { return b.planner.ledger.Use("red").MilliCores / 1000 }

// Guards against organisations that run more than their caps, and against stages held by a cap that keep others waiting: as needs that
// fit nowhere, as a backlog of the pool or by preemption.
func TestCapHoldsOnlyItsOrganisation(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.setCap(8)
	endless := step(10, 1)
	endless.Endless = true
	effects := b.event(JobsRead{Jobs: []JobRow{
		jobOf("red", "r1", step(20, 1)), jobOf("red", "r2", endless), jobOf("", "free", step(20, 1)), jobOf("blue", "b1", step(20, 1)),
	}})
	assert.Equal(t, len(startsOf(effects, "r2")), 8)
	assert.Equal(t, len(startsOf(effects, "r1")), 0)
	assert.Equal(t, len(startsOf(effects, "free")), 20)
	assert.Equal(t, len(startsOf(effects, "b1")), 20)
	assert.Equal(t, b.redUse(), int64(8))
	assert.Assert(t, !b.planner.pool(testPool).backlogged)
	assert.Equal(t, len(effectsOf[Stop](effects)), 0)
	// A line per stage that waits, none for each pass.
	assert.Equal(t, len(logsOf(effects, "Cap")), 2)
	assert.Equal(t, len(logsOf(b.advance(placeInterval), "Cap")), 0)
	// A higher cap is used at once.
	effects = b.setCap(12)
	assert.Equal(t, len(startsOf(effects, "r2")), 2)
	assert.Equal(t, len(startsOf(effects, "r1")), 2)
	// With a lower one nothing starts and nothing is stopped.
	effects = append(b.setCap(4), b.advance(placeInterval)...)
	assert.Equal(t, len(effectsOf[Start](effects))+len(effectsOf[Stop](effects)), 0)
}

// Guards against runs that may go on and are not counted: those without an answer, those being stopped, those on executors that do not
// answer, copies and fillers.
func TestRunsCountUntilTheyHaveCertainlyEnded(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.setCap(10)
	copies, filler := step(2, 2), step(1, 3)
	copies.Duplicates, filler.Filler = true, true
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{jobOf("red", "c", copies), jobOf("red", "f", filler)}}))
	assert.Equal(t, len(starts), 3)
	assert.Equal(t, b.redUse(), int64(7))
	for _, s := range starts {
		b.event(Started{Start: s, Err: errLost})
	}
	assert.Equal(t, b.redUse(), int64(7))
	// Their executor is lost; the copies start only as far as the cap allows beside the first runs.
	lost := starts[0].Order.Worker
	effects := b.event(Held{Hold: Hold{Order: b.holdOrder(lost)}, Err: errLost})
	assert.Equal(t, len(startsOf(effects, "c")), 1)
	assert.Equal(t, b.redUse(), int64(9))
	for range 12 {
		b.advance(croft.Second)
		b.answerHold(1 - placeOf(lost))
	}
	assert.Equal(t, b.planner.ledger.Use("red"), b.planner.runningUse("red"))
	assert.Equal(t, len(b.planner.workers[lost].runs), 0)
}

// Guards against a gang that starts beyond the cap since only its next member was counted, and against one that never starts as the cap
// was reduced below its needs.
func TestGangCountsAsAWhole(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.setCap(10)
	first := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{jobOf("red", "r", step(1, 6)), jobOf("red", "g", gang(3, 3))}}))
	assert.Equal(t, len(first), 1)
	b.setCap(7)
	b.confirm(b.event(Started{Start: first[0], Clock: b.now}))
	b.confirm(b.advance(placeInterval))
	effects := b.confirm(b.answerHold(0, doneRun(1, first[0].Order.Task, 1)))
	assert.Equal(t, len(startsOf(effects, "g")), 3)
	assert.Equal(t, b.redUse(), int64(9))
}

// Guards against a stage that goes on waiting for its cap although a run of its organisation has ended in another pool.
func TestEndOfARunLetsOtherPoolsUseTheCap(t *testing.T) {
	b := newTestBench(t)
	b.leadTwoPools(2, 1, croft.PoolRule{ID: "other"})
	b.setCap(4)
	other := jobOf("red", "o", step(1, 4))
	other.Record.Pool = "other"
	first := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{jobOf("red", "r", step(1, 4))}}))
	assert.Equal(t, len(first), 1)
	b.event(Started{Start: first[0], Clock: b.now})
	assert.Equal(t, len(effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{other}}))), 0)
	b.now += 10
	assert.Equal(t, len(startsOf(b.confirm(b.answerHold(1, doneRun(1, first[0].Order.Task, 1))), "o")), 1)
}

// inheritUnseenRuns begins a term with a job of 80 tasks of red, whose cap is 100 cores, and three executors of which one has answered.
func (b *testBench) inheritUnseenRuns() ConfigRead {
	b.setCap(100)
	inherited := jobOf("red", "old", step(80, 1))
	inherited.Progress.Announced = true
	b.event(LeadershipAcquired{Fence: 10, Term: 2})
	config := testConfig()
	config.Config.Version, config.Config.Organisations = 9, b.planner.config.Organisations
	b.event(config)
	b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(3)}})
	b.event(FleetRead{RequestedAt: b.now, VMs: testFleet(3)})
	b.event(JobsRead{Whole: true, Jobs: []JobRow{inherited}})
	b.answerHold(0)
	return config
}

// Guards against a new leader that starts tasks up to the cap beside those that a former one has started on executors that have not
// answered yet, and against one that counts more than these have room for.
func TestNewLeaderCountsTasksThatMayBeRunning(t *testing.T) {
	b := newTestBench(t)
	b.inheritUnseenRuns()
	b.event(JobsRead{Jobs: []JobRow{jobOf("red", "new", step(60, 1))}})
	assert.Equal(t, b.redUse(), int64(100))
	assert.Equal(t, len(b.planner.workers[workerName(0)].runs), 20)
	// The second executor has none of them, so that at most 64 may be on the third one.
	assert.Equal(t, len(startsOf(b.answerHold(1), "new")), 16)
	b.answerHold(2)
	assert.Equal(t, b.redUse(), int64(100))
	assert.Equal(t, b.planner.ledger.Use("red"), b.planner.runningUse("red"))
}

// runningUse adds up the needs of an organisation's runs.
func (p *Planner) runningUse(org croft.OrganisationID) (sum croft.Resources) {
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.stage.job.record.Organisation == org {
				sum = sum.Plus(r.stage.spec.Needs)
			}
		}
	}
	return sum
}

// Guards against VMs that follow work which the cap of its organisation does not allow to run.
func TestWorkBeyondACapAttractsNoVMs(t *testing.T) {
	for _, c := range []struct {
		org   croft.OrganisationID
		moves int
	}{{"red", 0}, {"blue", 3}} {
		b := newTestBench(t)
		b.takeLeadership(1, 2)
		b.addSpareVMs(2, 3)
		b.setCap(100)
		rows := []JobRow{}
		for i := range 8 {
			rows = append(rows, jobOf(c.org, croft.JobID(fmt.Sprint("j", i)), step(60, 8)))
		}
		effects := append(b.event(JobsRead{Jobs: rows}), b.advance(200)...)
		assert.Equal(t, len(effectsOf[OrderVM](effects)), c.moves, c.org)
	}
}

// BenchmarkCaps measures a placement pass over 30,000 waiting tasks of 350 executors after the end of a run: without organisations while
// the pool is full, and with one whose cap is in use.
func BenchmarkCaps(b *testing.B) {
	for _, org := range []croft.OrganisationID{"", "red"} {
		b.Run("organisation="+string(org), func(b *testing.B) {
			bench := &testBench{now: 1000, planner: New(Options{Lease: 10 * croft.Second, Stop: 200})}
			var rows []JobRow
			for i := range 5000 {
				rows = append(rows, jobOf(org, croft.JobID(fmt.Sprintf("j%04d", i)), step(8, 2)))
			}
			bench.takeLeadership(1, 350)
			bench.setCap(20_000)
			bench.event(JobsRead{Jobs: rows})
			po := bench.planner.pool(testPool)
			b.ResetTimer()
			for range b.N {
				po.changed = true
				bench.now += minPlaceInterval
				bench.planner.now.Elapsed = bench.now
				bench.planner.placePools()
			}
			b.ReportMetric(float64(len(po.jobs)), "jobs")
		})
	}
}

// Guards against runs that stay counted for the rest of the term: the configuration removed the last cap while a new leader did not
// know all runs, and the use of those it had not seen was never released.
func TestUnseenRunsAreReleasedAfterTheLastCapIsRemoved(t *testing.T) {
	b := newTestBench(t)
	config := b.inheritUnseenRuns()
	assert.Equal(t, b.redUse(), int64(80))
	config.Config.Version, config.Config.Organisations = 10, []croft.Organisation{{ID: "red"}}
	b.event(config)
	b.answerHold(1)
	b.answerHold(2)
	b.advance(placeInterval)
	assert.Equal(t, len(b.planner.workers), 3)
	assert.Equal(t, b.planner.ledger.Use("red"), b.planner.runningUse("red"))
}
