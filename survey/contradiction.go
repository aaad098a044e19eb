package survey

import (
	"fmt"
	"strings"
)

// ContradictionError reports that the fleet has too few VMs for the answers, with the numbers of the calculation.
type ContradictionError struct {
	// Workers is the number of VMs in all data centres.
	Workers int
	Needs   []Need
	// MaxUnderRepair is the largest number of VMs under repair at once that the spare pool must cover, according to
	// the smallest tolerance.
	MaxUnderRepair int
	// MeanUnderRepair is the mean number of VMs under repair, rounded to the nearest.
	MeanUnderRepair int
	// RackSize is the number of VMs in a rack; all VMs of a rack may fail at once.
	RackSize     int
	FailuresADay int
	RepairDays   int
	// Tolerance is the smallest tolerance of all services, in parts per million.
	Tolerance int64
}

// Error explains the calculation with its numbers.
func (e *ContradictionError) Error() string {
	lines := []string{fmt.Sprintf("the answers need %d VMs, but there are %d:", e.Needed(), e.Workers)}
	for _, n := range e.Needs {
		lines = append(lines, fmt.Sprintf(
			"  pool %s: %d (%d for %d slots while %s has its burst, and %d away in a wave)",
			n.Service, n.Size(), n.MinServing, n.BurstSlots, n.BurstKind, n.WaveSize))
	}
	lines = append(lines,
		fmt.Sprintf("  spare: %d, the larger of", e.Spare()),
		fmt.Sprintf("    %d: %d of 1000 VMs fail a day and are away for %d days; more than %d are away in less than %d of a million cases",
			e.MaxUnderRepair, e.FailuresADay, e.RepairDays, e.MaxUnderRepair, e.Tolerance),
		fmt.Sprintf("    %d: a rack of %d fails as a whole while %d are away as on an ordinary day",
			e.MeanUnderRepair+e.RackSize, e.RackSize, e.MeanUnderRepair))
	return strings.Join(lines, "\n")
}

// Spare returns the number of spare VMs that are needed to replace failed ones, singly or with a whole rack.
func (e *ContradictionError) Spare() int { return max(e.MaxUnderRepair, e.MeanUnderRepair+e.RackSize) }

// Needed returns the number of VMs that all pools and the spare pool need.
func (e *ContradictionError) Needed() int {
	sum := e.Spare()
	for _, n := range e.Needs {
		sum += n.Size()
	}
	return sum
}

// errorIf returns the error if there are too few VMs, and otherwise an untyped nil.
func (e *ContradictionError) errorIf(insufficient bool) error {
	if insufficient {
		return e
	}
	return nil
}
