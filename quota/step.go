package quota

import (
	"fmt"

	"waxwing.example/croft"
)

// CheckSpec returns an error if a task of a job, or a whole gang, needs more than the cap of its organisation.
func CheckSpec(limit croft.Resources, spec croft.JobSpec) error {
	for number, step := range spec.Steps {
		what := "a task"
		if step.Gang {
			what = fmt.Sprintf("the gang of %d tasks", step.Count)
		}
		for _, a := range amountsOf(UnitNeeds(&step), limit) {
			if a.limit != 0 && a.value > a.limit {
				return fmt.Errorf("job: step %d: %s needs %d %s, the cap of the organisation is %d", number, what, a.value, a.unit, a.limit)
			}
		}
	}
	return nil
}

// UnitNeeds returns what the start of a task of a step adds to its organisation's use, and for a gang what that of all its tasks
// does. Fillers count with all that they may use.
func UnitNeeds(step *croft.Step) croft.Resources {
	if step.Gang {
		return Times(step.Needs, step.Count)
	}
	return step.Needs
}

// Times returns resource amounts times a number.
func Times(r croft.Resources, n int) croft.Resources {
	return croft.Resources{MilliCores: r.MilliCores * int64(n), MemoryMB: r.MemoryMB * int64(n), Accelerators: r.Accelerators * int64(n)}
}

// IsLimited reports whether a cap limits any amount.
func IsLimited(limit croft.Resources) bool { return limit != croft.Resources{} }

// Share returns the part of some needs, at most 1, that a cap allows to run at the same time.
func Share(limit, needs croft.Resources) float64 {
	share := 1.0
	for _, a := range amountsOf(needs, limit) {
		if a.limit != 0 && a.value > a.limit {
			share = min(share, float64(a.limit)/float64(a.value))
		}
	}
	return share
}

// Count returns how many of some tasks with equal needs a cap allows to run at the same time, at least one.
func Count(limit, needs croft.Resources, tasks int) int {
	for _, a := range amountsOf(needs, limit) {
		if a.limit != 0 && a.value > 0 {
			tasks = min(tasks, max(int(a.limit/a.value), 1))
		}
	}
	return tasks
}
