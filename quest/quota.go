package quest

import (
	"errors"
	"fmt"
	"strings"
)

// QuotaError tells that all teams together are promised more of a resource than all VMs have.
type QuotaError struct {
	// Resource is the name of the field in the answers.
	Resource string
	Promised int64
	Workers  int
	// Each is what a VM has.
	Each int64
	// Teams lists the quotas as name and amount.
	Teams []string
}

// Error gives the sum with its numbers.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("the teams' quotas of %s are %d together (%s), but %d VMs of %d have %d",
		e.Resource, e.Promised, strings.Join(e.Teams, ", "), e.Workers, e.Each, e.Each*int64(e.Workers))
}

// overQuota returns a *QuotaError for each resource of which more is promised than there is.
func overQuota(a Answers, workers int) error {
	cores := QuotaError{Resource: "Cores", Workers: workers, Each: a.Worker.Cores}
	memory := QuotaError{Resource: "MemoryGB", Workers: workers, Each: a.Worker.MemoryGB}
	accelerators := QuotaError{Resource: "Accelerators", Workers: workers, Each: a.Worker.Accelerators}
	for _, t := range a.Teams {
		cores.add(t.Name, t.Cores)
		memory.add(t.Name, t.MemoryGB)
		accelerators.add(t.Name, t.Accelerators)
	}
	return errors.Join(cores.errorIfOver(), memory.errorIfOver(), accelerators.errorIfOver())
}

func (e *QuotaError) add(team string, amount int64) {
	e.Promised += amount
	if amount > 0 {
		e.Teams = append(e.Teams, fmt.Sprintf("%s %d", team, amount))
	}
}

func (e *QuotaError) errorIfOver() error {
	if e.Promised <= e.Each*int64(e.Workers) {
		return nil
	}
	return e
}
