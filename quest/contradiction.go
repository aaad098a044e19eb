package quest

import (
	"fmt"
	"strings"
)

// ContradictionError tells that the VMs cannot keep what the answers promise.
type ContradictionError struct {
	Workers int
	Needs   []Need
	// Failed is the number of VMs under repair at once that the smallest tolerance asks to cover.
	Failed int
	// Ordinary is the mean number of VMs under repair, rounded to the nearest.
	Ordinary int
	// RackSize is the number of VMs that fail as a whole.
	RackSize     int
	FailuresADay int
	RepairDays   int
	// Tolerance is the smallest one, in parts per million.
	Tolerance int64
}

// Error gives the sum with its numbers.
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
			e.Failed, e.FailuresADay, e.RepairDays, e.Failed, e.Tolerance),
		fmt.Sprintf("    %d: a rack of %d fails as a whole while %d are away as on an ordinary day",
			e.Ordinary+e.RackSize, e.RackSize, e.Ordinary))
	return strings.Join(lines, "\n")
}

// Spare is the number of VMs that must be held for failures.
func (e *ContradictionError) Spare() int { return max(e.Failed, e.Ordinary+e.RackSize) }

// Needed is the number of VMs that the answers need.
func (e *ContradictionError) Needed() int {
	sum := e.Spare()
	for _, n := range e.Needs {
		sum += n.Size()
	}
	return sum
}

// errorIf returns the contradiction where there is one.
func (e *ContradictionError) errorIf(short bool) error {
	if short {
		return e
	}
	return nil
}
