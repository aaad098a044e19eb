package sched

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// heapGrowth returns by how much the live heap grows through an action.
func heapGrowth(act func()) int {
	var before, after runtime.MemStats
	collect(&before)
	act()
	collect(&after)
	return int(after.HeapAlloc) - int(before.HeapAlloc)
}

// collect reads the live heap.
func collect(stats *runtime.MemStats) {
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(stats)
}

// Guards against tasks that take more memory than platform/serve.go derives the limit from, 180 bytes each, and against parked jobs that
// keep their steps.
func TestMemoryOfOpenTasksAndParkedJobs(t *testing.T) {
	const rows, tasks = 50, 39 * 256
	steps := func() []croft.Step {
		var out []croft.Step
		for range 256 {
			out = append(out, step(39, 1))
		}
		return out
	}
	for range 2 {
		// Compressors are kept once they have been created.
		jobs.EncodeRecord(testJob("warm", steps()...).Record)
	}
	b := newLimitedBench(t, rows*tasks*2)
	b.takeLeadership(1, 0)
	open := heapGrowth(func() {
		for i := range rows {
			b.event(JobsRead{Jobs: []JobRow{testJob(croft.JobID(fmt.Sprintf("open-%d", i)), steps()...)}})
		}
	})
	assert.Equal(t, b.planner.open.large.open, rows*tasks)
	b.planner.options.MaxTasks = tasks
	parked := heapGrowth(func() {
		for i := range rows {
			b.event(JobsRead{Jobs: []JobRow{testJob(croft.JobID(fmt.Sprintf("parked-%d", i)), steps()...)}})
		}
	})
	assert.Equal(t, b.planner.open.parkedJobs(), rows)
	t.Logf("%d bytes for each open task with its share of the step and the job, %d for each parked job", open/rows/tasks, parked/rows)
	assert.Check(t, open/rows/tasks <= 180, "%d bytes", open/rows/tasks)
	assert.Check(t, parked/rows <= 8<<10, "%d bytes", parked/rows)
	runtime.KeepAlive(b)
}
