package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

const sparePool = croft.PoolID("spare")

// addSpareVMs configures a spare pool and adds VMs of it to the fleet.
func (b *testBench) addSpareVMs(workers, spares int) {
	config := testConfig()
	config.Config.Version = 2
	config.Config.Pools = append(config.Config.Pools, croft.PoolRule{ID: sparePool, Spare: true})
	b.event(config)
	vms := testFleet(workers)
	for i := range spares {
		vms = append(vms, croft.FleetVM{ID: vmName(100 + i), Pool: sparePool, State: croft.FleetUp})
	}
	b.event(FleetRead{RequestedAt: b.now, VMs: vms})
}

// leadTwoPools begins a term with further pools, the first of which has some of the workers; the others are in testPool.
func (b *testBench) leadTwoPools(workers, inFirst int, further ...croft.PoolRule) {
	b.takeLeadership(1, 0)
	config := testConfig()
	config.Config.Version = 2
	config.Config.Pools = append(config.Config.Pools, further...)
	b.event(config)
	entries, vms := testWorkers(workers), testFleet(workers)
	for i := range inFirst {
		entries[i].Pool, vms[i].Pool = further[0].ID, further[0].ID
	}
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries}}, FleetRead{RequestedAt: b.now, VMs: vms})
	for i := range workers {
		b.answerHold(i)
	}
}

// When a queue gets several times the work that its pool has capacity for, VMs of the spare pool are moved to it as soon
// as the work exceeds what the pool completes in backlogTarget.
func TestHighDemandMovesVMsFromSparePool(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	b.addSpareVMs(2, 3)
	effects := b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(60, 8))}})
	effects = append(effects, b.advance(200)...)
	orders := effectsOf[OrderVM](effects)
	assert.Equal(t, len(orders), 3)
	for _, o := range orders {
		assert.Equal(t, o.Order.Pool, testPool)
	}
}

// When demand falls, the VMs that a pool does not need return to the spare pool one after another.
func TestSurplusVMsReturnToSparePool(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 4)
	b.addSpareVMs(4, 0)
	returned := 0
	for range 200 {
		for _, o := range effectsOf[OrderVM](b.advance(50)) {
			assert.Equal(t, o.Order.Pool, sparePool)
			returned++
			b.event(Ordered{OrderVM: o})
		}
	}
	assert.Equal(t, returned, 2)
}

// A VM that runs an endless task is not moved to another pool.
func TestVMsWithEndlessTasksAreNotMoved(t *testing.T) {
	b := newTestBench(t)
	endless := step(4, 5)
	endless.Endless, endless.MostPerWorker = true, 1
	b.takeLeadership(1, 4)
	b.addSpareVMs(4, 0)
	for _, s := range effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", endless)}})) {
		b.event(Started{Start: s, Clock: b.now})
	}
	for range 200 {
		assert.Equal(t, len(effectsOf[OrderVM](b.advance(50))), 0)
	}
}

// Guards against a pool that stays one VM short of what an endless step needs although another pool has a surplus VM:
// the other pool's supply was not better by lendMarginPercent.
func TestPoolWithSurplusLendsVMDespiteMargin(t *testing.T) {
	const other = croft.PoolID("other")
	b := newTestBench(t)
	b.leadTwoPools(7, 3, croft.PoolRule{ID: other})
	endless := func(count int) croft.Step {
		s := step(count, 1)
		s.Endless, s.MostPerWorker = true, 1
		return s
	}
	lender, borrower := testJob("lender", endless(3)), testJob("borrower", endless(4))
	borrower.Record.Pool = other
	b.event(JobsRead{Jobs: []JobRow{lender, borrower}})
	var orders []OrderVM
	for range 20 {
		orders = append(orders, effectsOf[OrderVM](b.advance(50))...)
	}
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Order.Pool, other)
}

// The load of a turn: one pool needs more VMs than it has, others need few. Guards against VMs that went from idle pools to
// the spare pool, which takes a move there and a second one back, while a pool was short of VMs.
func TestSurplusVMsGoToAPoolThatIsShort(t *testing.T) {
	const idle = croft.PoolID("idle")
	b := newTestBench(t)
	b.leadTwoPools(12, 6, croft.PoolRule{ID: idle}, croft.PoolRule{ID: sparePool, Spare: true})
	b.event(JobsRead{Jobs: testJobs(8, step(60, 16))})
	moved := 0
	for range 60 {
		for _, o := range effectsOf[OrderVM](b.advance(50)) {
			assert.Equal(t, o.Order.Pool, testPool)
			moved++
		}
	}
	// Without a surplus the idle pool keeps half of an equal share, three VMs.
	assert.Equal(t, moved, 4)
}

// The load of a large fleet with little work. Guards against more releases at a time than the platform accepts orders for, which kept
// hundreds of VMs from work.
func TestReleasesInProgressAreBounded(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 200)
	b.addSpareVMs(200, 0)
	for range 60 {
		b.advance(50)
		assert.Assert(t, b.planner.releasesInProgress() <= maxReleasesInProgress)
	}
	assert.Equal(t, b.planner.releasesInProgress(), maxReleasesInProgress)
}
