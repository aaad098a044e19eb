package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

const sparePool = croft.PoolID("spare")

// addSpareVMs adds VMs of a spare pool to the fleet.
func (b *testBench) addSpareVMs(workers, spares int) {
	config := testConfig()
	config.Config.Version = 2
	config.Config.Pools = append(config.Config.Pools, croft.PoolRule{ID: sparePool, Spare: true})
	b.event(config)
	vms := testFleet(workers)
	for i := range spares {
		vms = append(vms, croft.FleetVM{ID: vmName(100 + i), Pool: sparePool, State: croft.FleetUp})
	}
	b.event(FleetRead{Asked: b.now, VMs: vms})
}

// A queue whose turn comes asks for several times what its pool holds: VMs of the spare pool are
// moved in as soon as the work at hand exceeds what the pool does in a second.
func TestTurnsOfDemandPullVMsFromTheSparePool(t *testing.T) {
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

// Once the turn is over, VMs beyond what the pool needs go back one after another.
func TestVMsGoBackAfterATurn(t *testing.T) {
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

// A VM with a task that lasts is not taken for another pool.
func TestVMsWithEndlessTasksAreNotLent(t *testing.T) {
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

// A pool one VM short of what an endless step needs stayed short for good beside pools that each had
// one to spare: none of them was better off by the margin that keeps VMs from going to and fro.
func TestPoolWithoutNeedOfAVMLendsIt(t *testing.T) {
	const other = croft.PoolID("other")
	b := newTestBench(t)
	b.takeLeadership(1, 0)
	config := testConfig()
	config.Config.Version = 2
	config.Config.Pools = append(config.Config.Pools, croft.PoolRule{ID: other})
	b.event(config)
	entries, vms := testWorkers(7), testFleet(7)
	for i := range 3 {
		entries[i].Pool, vms[i].Pool = other, other
	}
	b.event(WorkersRead{Changes: croft.WorkerChanges{Entries: entries}}, FleetRead{Asked: b.now, VMs: vms})
	for i := range 7 {
		b.answerHold(i)
	}
	lasting := func(count int) croft.Step {
		s := step(count, 1)
		s.Endless, s.MostPerWorker = true, 1
		return s
	}
	lender, borrower := testJob("lender", lasting(3)), testJob("borrower", lasting(4))
	borrower.Record.Pool = other
	b.event(JobsRead{Jobs: []JobRow{lender, borrower}})
	var orders []OrderVM
	for range 20 {
		orders = append(orders, effectsOf[OrderVM](b.advance(50))...)
	}
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Order.Pool, other)
}
