package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// newSilentExecutorBench returns a bench on which one of three executors runs a task and has stopped answering, and that
// executor's number.
func newSilentExecutorBench(t *testing.T) (*testBench, int) {
	t.Helper()
	b := newTestBench(t)
	b.takeLeadership(1, 3)
	b.event(WaveRowsRead{})
	starts := effectsOf[Start](b.event(JobsRead{Jobs: []JobRow{testJob("j1", step(1, 60))}}))
	assert.Equal(t, len(starts), 1)
	b.event(Started{Start: starts[0], Clock: b.now})
	busy := 0
	for len(b.planner.workers[workerName(busy)].runs) == 0 {
		busy++
	}
	b.now += 1000
	b.event(Held{Hold: Hold{Order: b.holdOrder(workerName(busy)), Sent: b.now}, Err: &croft.LostAnswerError{Reason: "test"}})
	assert.Assert(t, !b.planner.workers[workerName(busy)].verified)
	return b, busy
}

// Guards against starting tasks twice: a VM in a state that the planner does not know counted as one that runs nothing.
func TestUnknownStateOfAVMEndsNoRuns(t *testing.T) {
	b, busy := newSilentExecutorBench(t)
	vms := testFleet(3)
	vms[busy].State = ""
	effects := append(b.event(FleetRead{RequestedAt: b.now, VMs: vms}), b.advance(50)...)
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	vms[busy].State = croft.FleetMaintenance
	effects = append(b.event(FleetRead{RequestedAt: b.now, VMs: vms}), b.advance(50)...)
	assert.Equal(t, len(effectsOf[Start](effects)), 1)
}

// Guards against starting tasks twice: an executor that did not answer counted as ended since one list lacked its VM.
func TestExecutorMissingFromTheListKeepsItsRuns(t *testing.T) {
	b, busy := newSilentExecutorBench(t)
	without := testFleet(3)
	without = append(without[:busy], without[busy+1:]...)
	var effects []Effect
	for range 60 {
		effects = append(effects, b.event(FleetRead{RequestedAt: b.now, VMs: without})...)
		effects = append(effects, b.advance(50)...)
	}
	assert.Equal(t, len(effectsOf[Start](effects)), 0)
	assert.Equal(t, len(b.planner.workers[workerName(busy)].runs), 1)

	// Once the registration is gone too, its task does not wait for its leases.
	b.event(WorkersRead{Changes: croft.WorkerChanges{Unusable: []croft.WorkerID{workerName(busy)}}})
	b.event(FleetRead{RequestedAt: b.now, VMs: without})
	assert.Equal(t, len(b.planner.workers[workerName(busy)].runs), 0)
}

// An executor that does not answer has ended if its VM is listed with another one.
func TestExecutorReplacedOnItsVMHasEnded(t *testing.T) {
	b, busy := newSilentExecutorBench(t)
	vms := testFleet(3)
	vms[busy].Worker = "w9"
	b.event(FleetRead{RequestedAt: b.now, VMs: vms})
	assert.Equal(t, len(b.planner.workers[workerName(busy)].runs), 0)
}

// Guards against starting tasks twice: the platform accepted an order that it had carried out earlier, the executor had
// restarted since, and a list that lacked the VM ended its runs.
func TestListThatLacksTheVMOfAnAcceptedOrderEndsNoRuns(t *testing.T) {
	b, busy := newSilentExecutorBench(t)
	b.answerHold(busy, activeRun(croft.TaskID{Job: "j1"}, 1))
	b.event(testWave(vmName(busy)))
	var orders []OrderVM
	for len(orders) == 0 {
		orders = effectsOf[OrderVM](b.advance(50))
	}
	b.event(Ordered{OrderVM: orders[0]})
	without := testFleet(3)
	without = append(without[:busy], without[busy+1:]...)
	for end := b.now + 2*departureTimeout; b.now < end; b.now += 500 {
		effects := b.event(FleetRead{RequestedAt: b.now, VMs: without})
		assert.Equal(t, len(effectsOf[Start](effects)), 0)
	}
	assert.Equal(t, len(b.planner.fleet.departures), 0)
}

// What is known of executors and VMs that are gone does not grow without bound.
func TestEndedExecutorsAreForgotten(t *testing.T) {
	b := newTestBench(t)
	b.takeLeadership(1, 2)
	for i := range 100 {
		b.now += 500
		vms := testFleet(3)
		vms[2].ID, vms[2].Worker = vmName(10+i), workerName(10+i)
		b.event(FleetRead{RequestedAt: b.now, VMs: vms})
	}
	assert.Equal(t, len(b.planner.fleet.lastVM), 3)
	assert.Equal(t, len(b.planner.fleet.lastWorker), 3)
}
