package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

func testWave(vms ...croft.VMID) WavesRead {
	return WavesRead{Waves: []croft.Wave{{Number: 1, VMs: vms, Duration: 20 * croft.Second, Most: 2}}}
}

// A leader that had just taken over held executors that it had not asked yet for empty, and
// maintained VMs with several tasks of one endless step.
func TestTakeoverMaintainsNoVMWhoseRunsAreUnknown(t *testing.T) {
	b := newBench(t)
	b.event(testWave(vmName(0)))
	b.event(LeadBegan{Fence: 10, Term: 2})
	b.event(testConfig(), WaveRowsRead{})
	b.event(WorkersRead{Changes: croft.WorkerChanges{Whole: true, Entries: testWorkers(2)}})
	b.event(FleetRead{VMs: testFleet(2)})
	effects := b.event(JobsRead{Whole: true})
	assert.Equal(t, len(of[OrderVM](effects)), 0)
	assert.Equal(t, len(of[OrderVM](b.advance(100))), 0)
	assert.Equal(t, len(of[OrderVM](b.held(0))), 1)
}
