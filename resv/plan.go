package resv

import (
	"cmp"
	"math"
	"slices"

	"waxwing.example/croft"
)

// Never is the expected end of a run that does not end by itself.
const Never = croft.Millis(math.MaxInt64)

// Run is a run on an executor.
type Run struct {
	Needs croft.Resources
	// End is when the run is expected to end, or Never.
	End croft.Millis
	// Error is the mean absolute error of such expectations.
	Error croft.Millis
	// Limited reports that the run counts against the limit of its executor until it ends.
	Limited bool
}

// Executor is an executor that the tasks may run on.
type Executor struct {
	ID croft.WorkerID
	// Free is what the runs leave of the capacity.
	Free croft.Resources
	Runs []Run
	// Limit is the maximum number of the stage's tasks at the same time, zero for no limit.
	Limit int
}

// Need describes the tasks of a stage.
type Need struct {
	// Needs are the resources of each task.
	Needs croft.Resources
	// Together means that the tasks only start all at the same time.
	Together bool
}

// Expiry of reservations.
const (
	// errorFactor times the mean absolute error of the expected ends is how long these may be overdue. If the errors have a
	// Laplace distribution, 5 % are larger than that.
	errorFactor = 3
	// minGrace covers the delivery of the last end, the commit that announces the job and a placement pass.
	minGrace = 500 * croft.Millis(1)
)

// opening is capacity for tasks that is expected on an executor.
type opening struct {
	executor *Executor
	at       croft.Millis
	// latest is when the awaited runs have ended if they are overdue by errorFactor times their error.
	latest croft.Millis
	tasks  int
}

// Plan reserves the executors on which a number of tasks can start earliest. It returns false if they fit nowhere even after
// all runs that end.
func Plan(need Need, count int, executors []Executor, now croft.Millis) (Reservation, bool) {
	var openings []opening
	for i := range executors {
		openings = appendOpenings(openings, need.Needs, count, &executors[i], now)
	}
	slices.SortStableFunc(openings, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(b.tasks, a.tasks))
	})
	var used []opening
	for _, o := range openings {
		if count == 0 {
			break
		}
		o.tasks = min(o.tasks, count)
		count -= o.tasks
		used = append(used, o)
	}
	if count > 0 || len(used) == 0 {
		return Reservation{}, false
	}
	return newReservation(need, used, now), true
}

// appendOpenings appends the openings of an executor in the order of time, each with the tasks that fit in addition to those
// of the earlier ones, until as many as wanted fit.
func appendOpenings(openings []opening, needs croft.Resources, wanted int, e *Executor, now croft.Millis) []opening {
	sorted := slices.SortedFunc(slices.Values(e.Runs), compareRuns)
	limit := e.Limit
	for _, r := range sorted {
		if r.Limited {
			limit--
		}
	}
	free, at, latest, fitting := e.Free, now, now, 0
	for next := 0; ; next++ {
		n := min(timesFitting(needs, free), wanted)
		if e.Limit > 0 {
			n = min(n, max(limit, 0))
		}
		if n > fitting {
			openings = append(openings, opening{executor: e, at: at, latest: latest, tasks: n - fitting})
			fitting = n
		}
		if fitting >= wanted || next == len(sorted) || sorted[next].End == Never {
			return openings
		}
		r := sorted[next]
		free, at, latest = free.Plus(r.Needs), max(at, r.End), max(latest, r.End+errorFactor*r.Error)
		if r.Limited {
			limit++
		}
	}
}

// compareRuns orders runs by their ends. Runs that end at the same time are ordered by the rest of their values, so that a plan
// does not depend on the order in which they are listed.
func compareRuns(a, b Run) int {
	if a.End != b.End {
		return cmp.Compare(a.End, b.End)
	}
	return cmp.Or(cmp.Compare(a.Error, b.Error), cmp.Compare(a.Needs.MilliCores, b.Needs.MilliCores),
		cmp.Compare(a.Needs.MemoryMB, b.Needs.MemoryMB), cmp.Compare(a.Needs.Accelerators, b.Needs.Accelerators), compareLimited(a, b))
}

// compareLimited orders runs that count against the limit last.
func compareLimited(a, b Run) int {
	switch {
	case a.Limited == b.Limited:
		return 0
	case b.Limited:
		return -1
	}
	return 1
}

// timesFitting returns how many times needs fit in a capacity.
func timesFitting(needs, capacity croft.Resources) int {
	if !needs.Fits(capacity) {
		return 0
	}
	n := int64(math.MaxInt32)
	for _, pair := range [][2]int64{{needs.MilliCores, capacity.MilliCores}, {needs.MemoryMB, capacity.MemoryMB}, {needs.Accelerators, capacity.Accelerators}} {
		if pair[0] > 0 {
			n = min(n, pair[1]/pair[0])
		}
	}
	return int(n)
}

// freeAt returns what is expected to be free on an executor at an instant.
func (e *Executor) freeAt(at croft.Millis) croft.Resources {
	free := e.Free
	for _, r := range e.Runs {
		if r.End <= at {
			free = free.Plus(r.Needs)
		}
	}
	return free
}
