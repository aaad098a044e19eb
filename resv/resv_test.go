package resv

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

const now = croft.Millis(1000)

func cores(n int64) croft.Resources { return croft.Resources{MilliCores: n * 1000} }

// busy returns an executor of 16 cores on which runs of four cores end at the given times.
func busy(id croft.WorkerID, ends ...croft.Millis) Executor {
	e := Executor{ID: id, Free: cores(16 - 4*int64(len(ends)))}
	for _, end := range ends {
		e.Runs = append(e.Runs, Run{Needs: cores(4), End: end, Error: 100})
	}
	return e
}

// Guards against a reservation where the most is free now, instead of where enough is free earliest.
func TestLargeTaskIsPlannedWhereItStartsEarliest(t *testing.T) {
	r, ok := Plan(Need{Needs: cores(12)}, 1, []Executor{busy("most", 5000, 5100), busy("first", 1100, 1200, 1300, 9000)}, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, r.Executors(), []croft.WorkerID{"first"})
	assert.Equal(t, r.Start(), croft.Millis(1300))
	assert.Equal(t, r.Expires(), 1300+errorFactor*100+minGrace)
}

// Guards against executors that are held for tasks that can never start there.
func TestNothingIsPlannedForTasksThatNeverFit(t *testing.T) {
	endless := Executor{ID: "endless", Free: cores(8), Runs: []Run{{Needs: cores(8), End: Never}}}
	_, ok := Plan(Need{Needs: cores(12)}, 1, []Executor{endless}, now)
	assert.Assert(t, !ok)
	_, ok = Plan(Need{Needs: cores(17)}, 1, []Executor{busy("small", 1100)}, now)
	assert.Assert(t, !ok)
	_, ok = Plan(Need{Needs: cores(12), Together: true}, 2, []Executor{busy("one", 1100, 1200)}, now)
	assert.Assert(t, !ok)
}

// Guards against a gang whose first executors are filled again before the last one is free.
func TestGangHoldsAllItsExecutorsUntilTheLastIsFree(t *testing.T) {
	r, ok := Plan(Need{Needs: cores(12), Together: true}, 2, []Executor{busy("a", 1100, 1200), busy("b", 1500, 1600)}, now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Start(), croft.Millis(1500))
	assert.Assert(t, r.Blocks("a", cores(5), 1501))
	assert.Assert(t, !r.Blocks("a", cores(5), 1500))
}

// Guards against a limit per executor that the plan exceeds, also with runs of the stage that have not ended.
func TestWideStageIsPlannedWithinItsLimit(t *testing.T) {
	a, b := busy("a", 1100), busy("b", 1400)
	a.Limit, b.Limit = 1, 1
	b.Runs[0].Limited = true
	r, ok := Plan(Need{Needs: cores(4)}, 2, []Executor{a, b}, now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, r.Executors(), []croft.WorkerID{"a", "b"})
	assert.Equal(t, r.Start(), croft.Millis(1400))
	_, ok = Plan(Need{Needs: cores(4)}, 3, []Executor{a, b}, now)
	assert.Assert(t, !ok)
}

// Guards against small tasks that delay a large one, and against holding back those that do not.
func TestOnlyTasksThatDelayTheStartAreBlocked(t *testing.T) {
	r, ok := Plan(Need{Needs: cores(12)}, 1, []Executor{busy("a", 1100, 1200, 1300, 1400)}, now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Start(), croft.Millis(1300))
	assert.Assert(t, !r.Blocks("other", cores(16), Never))
	assert.Assert(t, !r.Blocks("a", cores(4), 1300), "ends in time")
	assert.Assert(t, r.Blocks("a", cores(1), 1301), "the run that ends last is still there")
	r, ok = Plan(Need{Needs: cores(10)}, 1, []Executor{busy("a", 1100, 1200, 1300, 1400)}, now)
	assert.Assert(t, ok)
	assert.Assert(t, !r.Blocks("a", cores(2), Never), "fits beside it")
	r = r.WithBackfill("a", cores(2), Never)
	assert.Assert(t, r.Blocks("a", cores(1), Never), "nothing is left beside it")
	r = r.WithBackfill("a", cores(4), 1250)
	assert.Assert(t, !r.Blocks("a", cores(4), 1250), "ends in time")
}

// Guards against executors that stay reserved for tasks that have started, there or elsewhere.
func TestStartedTasksGiveUpTheirCapacity(t *testing.T) {
	executors := []Executor{busy("a", 1100, 1200, 1300, 1400), busy("b", 1500, 1600, 1700, 1800)}
	r, ok := Plan(Need{Needs: cores(12)}, 2, executors, now)
	assert.Assert(t, ok)
	assert.Equal(t, r.Tasks(), 2)
	elsewhere := r.WithStarted("c")
	assert.DeepEqual(t, elsewhere.Executors(), []croft.WorkerID{"a"})
	assert.DeepEqual(t, r.WithStarted("a").Executors(), []croft.WorkerID{"b"})
	assert.Equal(t, r.WithStarted("a").WithStarted("c").Tasks(), 0)
	assert.Equal(t, r.Tasks(), 2, "the value before is unchanged")
}
