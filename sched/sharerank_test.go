package sched

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// configureOrganisations puts a configuration with two organisations into use, one with a tenth of the weight of the other.
func (b *testBench) configureOrganisations() {
	config := testConfig()
	config.Config.Version = 2
	config.Config.Queues = append(config.Config.Queues, croft.Queue{ID: "urgent", Host: "h", Prefix: "/u/", Pool: testPool, Priority: -1, Stretch: 1.6, Latency: 600})
	config.Config.Organisations = []croft.Organisation{{ID: "large", Weight: 10}, {ID: "small", Weight: 1}}
	b.event(config)
}

// jobsOf returns jobs of an organisation.
func jobsOf(org croft.OrganisationID, n int, steps ...croft.Step) []JobRow {
	var rows []JobRow
	for i := range n {
		row := testJob(croft.JobID(fmt.Sprintf("%s-%d", org, i)), steps...)
		row.Record.Organisation = org
		rows = append(rows, row)
	}
	return rows
}

// rankOf returns the rank of the first stage of a job.
func (b *testBench) rankOf(id croft.JobID) rank {
	b.planner.now.Elapsed = b.now
	return b.planner.rankStage(b.planner.jobs[id].stages[0])
}

// Jobs beyond the burst allowance are excess: they rank after all jobs of their priority, and before those of a less urgent one.
func TestExcessRanksAfterPriority(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.configureOrganisations()
	b.event(JobsRead{Jobs: append(jobsOf("small", 8, step(1, 64)), testJob("none", step(1, 64)))})
	for i := range 8 {
		assert.Equal(t, b.rankOf(croft.JobID(fmt.Sprintf("small-%d", i))).excess == 1, i >= 5)
	}
	assert.Equal(t, b.rankOf("none").excess, 0)
	b.now += 3 * croft.Second
	useless, excess := rank{tier: 1, lateness: 2}, b.rankOf("small-7")
	assert.Assert(t, useless.compare(excess) < 0)
	assert.Assert(t, excess.compare(rank{tier: 1, priority: 1}) < 0)
	b.planner.jobs["small-7"].stages[0].spec.Endless = true
	endless := b.rankOf("small-7")
	assert.Equal(t, endless.tier+endless.excess+endless.share, 0)
	assert.Assert(t, strings.Contains(b.planner.Describe("small-7"), "organisation small of weight 1: excess true"))
}

// Guards against jobs that wait for ever: excess and the share of the organisation count less with the time that a job waits.
func TestExcessAndShareEndWithTime(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.configureOrganisations()
	b.event(JobsRead{Jobs: append(jobsOf("small", 8, step(4, 16)), jobsOf("large", 1, step(4, 16))...)})
	b.advance(placeInterval)
	young := b.rankOf("small-7")
	assert.Equal(t, young.excess, 1)
	// Half of the capacity is eleven times half of the part that the weights give it.
	assert.Equal(t, young.share, 11)
	assert.Equal(t, b.rankOf("large-0").share, 1)
	b.now += 6 * shareAgeing
	old := b.rankOf("small-7")
	assert.Equal(t, old.excess, 0)
	assert.Equal(t, old.share, 5)
}

// Guards against a share that does not go back when runs end.
func TestShareFollowsWhatMayRun(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.configureOrganisations()
	starts := effectsOf[Start](b.event(JobsRead{Jobs: jobsOf("small", 1, step(4, 16))}))
	assert.Equal(t, len(starts), 4)
	assert.Equal(t, b.planner.sharing.use.Use("small").MilliCores, int64(64000))
	for i, s := range starts {
		w := placeOf(s.Order.Worker)
		b.answerHold(w, croft.EndedRun{Number: int64(i + 1), Task: s.Order.Task, Run: s.Order.Run, How: croft.EndDone})
	}
	assert.Equal(t, b.planner.sharing.use.Use("small"), croft.Resources{})
	b.advance(placeInterval)
	assert.Equal(t, b.planner.sharing.organisations["small"].share, 0)
}

// Guards against changes in deployments without organisations: former versions decode the loads as before, and jobs that name an organisation
// that the configuration lacks rank as those of none.
func TestDeploymentsWithoutOrganisationsAreAsBefore(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.event(JobsRead{Jobs: jobsOf("gone", 60, step(4, 16))})
	for _, j := range b.planner.jobs {
		assert.Assert(t, !j.excess)
	}
	load, shared := b.nextPublishedLoad()
	assert.Assert(t, load.Refuse && shared)
	encoded, err := json.Marshal(load)
	assert.NilError(t, err)
	for _, field := range []string{"Admitted", "Ahead"} {
		assert.Assert(t, !strings.Contains(string(encoded), field), string(encoded))
	}
}

// Load: a backlog of more urgent jobs that takes longer than a job of a less urgent queue is of use. It counts as ahead of a new
// job there, as do jobs of the queue that are on time and not excess; a job of the urgent queue has only that of its own queue ahead.
func TestWorkAheadOfANewJob(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.configureOrganisations()
	urgent := testJobs(60, step(4, 16))
	for i := range urgent {
		urgent[i].ID = "urgent-" + urgent[i].ID
		urgent[i].Record.Queue, urgent[i].Record.Priority = "urgent", -1
	}
	b.event(JobsRead{Jobs: append(urgent, jobsOf("large", 60, step(4, 16))...)})
	got := effectsOf[PublishLoads](b.advance(loadInterval))[0]
	assert.Assert(t, got.Shared && !got.Loads["q"].Refuse)
	// 60 jobs of 4 tasks of 16 cores and 600 ms keep 64 cores busy for 36 s, which counts as 24 s; 50 of the others are not excess.
	assert.Assert(t, got.Loads["urgent"].Ahead > 22*croft.Second && got.Loads["urgent"].Ahead <= 24*croft.Second, "%d", got.Loads["urgent"].Ahead)
	assert.Assert(t, got.Loads["q"].Ahead > 42*croft.Second && got.Loads["q"].Ahead <= 44*croft.Second, "%d", got.Loads["q"].Ahead)
	// The jobs that are late do not count: a new one goes ahead of them.
	late := effectsOf[PublishLoads](b.advance(2 * croft.Second))[0]
	assert.Equal(t, late.Loads["urgent"].Ahead, croft.Millis(0))
	assert.Assert(t, late.Loads["q"].Ahead > 22*croft.Second)
}

// Load: a burst of excess jobs in one pool while another one has as many VMs as its contracts need. Guards against VMs that are taken from the
// other pool; without organisations, the same load takes some.
func TestExcessTakesNoVMsThatOthersNeed(t *testing.T) {
	const other = croft.PoolID("other")
	for _, weight := range []float64{1, 0} {
		b := newTestBench(t)
		b.leadTwoPools(16, 8, croft.PoolRule{ID: other})
		config := testConfig()
		config.Config.Version = 3
		config.Config.Pools = append(config.Config.Pools, croft.PoolRule{ID: other})
		config.Config.Organisations = []croft.Organisation{{ID: "heavy", Weight: weight}, {ID: "calm", Weight: 100}}
		b.event(config)
		needed := jobsOf("calm", 8, step(4, 16))
		for i := range needed {
			needed[i].Record.Pool = other
		}
		b.event(JobsRead{Jobs: append(needed, jobsOf("heavy", 80, step(4, 16))...)})
		b.advance(scaleInterval)
		assert.Equal(t, len(b.planner.moves) > 0, weight == 0, "%d moves", len(b.planner.moves))
	}
}

// Guards against loads that the store does not take, so that no entry hears of any limit: 400 organisations with long names are limited in
// several queues.
func TestFractionsFitARow(t *testing.T) {
	b := newTestBench(t)
	b.planner.options.RowBytes = 16 << 10
	loads, short := map[croft.QueueID]Load{}, shortQueues{}
	b.planner.sharing.published = map[croft.QueueID]map[croft.OrganisationID]float64{}
	var limited []*organisation
	for i := range 400 {
		o := &organisation{id: croft.OrganisationID(fmt.Sprintf("organisation-with-a-long-name-%d", i)), fraction: 1 - float64(i)/500}
		limited = append(limited, o)
	}
	for i := range 5 {
		id := croft.QueueID(fmt.Sprint(i))
		loads[id], short[id] = Load{Waiting: 1}, map[*organisation]bool{}
		for _, o := range limited {
			short[id][o] = true
		}
	}
	b.planner.publishFractions(loads, b.planner.limitByContract(short, limited))
	encoded, err := json.Marshal(loads)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) > 6<<10 && len(encoded) < 10<<10, "%d bytes", len(encoded))
	_, first := loads["0"].Admitted[limited[0].id]
	_, last := loads["0"].Admitted[limited[399].id]
	assert.Assert(t, last && !first)
}

// Guards against refusals while the capacity of the fleet is not known, such as after a takeover.
func TestNothingIsRefusedWithoutAListOfVMs(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 1)
	b.configureOrganisations()
	b.event(FleetRead{RequestedAt: b.now, VMs: []croft.FleetVM{}})
	b.event(JobsRead{Jobs: jobsOf("large", 60, step(4, 16))})
	load, _ := b.nextPublishedLoad()
	assert.Equal(t, load.Ahead, croft.Millis(0))
}
