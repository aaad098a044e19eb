package survey

import (
	"errors"
	"fmt"
	"strings"
)

// QuotaError reports that the quotas of all teams together exceed what all VMs have of a resource.
type QuotaError struct {
	// Resource is the name of the field in the answers.
	Resource string
	// Assigned is the sum of the quotas.
	Assigned int64
	// Workers is the number of VMs.
	Workers int
	// PerVM is the amount that one VM has.
	PerVM int64
	// Teams lists the teams' names with their quotas.
	Teams []string
}

// Error states the sum of the quotas, each of them and what the VMs have.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("the teams' quotas of %s are %d together (%s), but %d VMs of %d have %d",
		e.Resource, e.Assigned, strings.Join(e.Teams, ", "), e.Workers, e.PerVM, e.PerVM*int64(e.Workers))
}

// checkQuotas returns a *QuotaError for each resource whose quotas exceed what the VMs have.
func checkQuotas(a Answers, workers int) error {
	cores := QuotaError{Resource: "Cores", Workers: workers, PerVM: a.Worker.Cores}
	memory := QuotaError{Resource: "MemoryGB", Workers: workers, PerVM: a.Worker.MemoryGB}
	accelerators := QuotaError{Resource: "Accelerators", Workers: workers, PerVM: a.Worker.Accelerators}
	for _, t := range a.Teams {
		cores.add(t.Name, t.Cores)
		memory.add(t.Name, t.MemoryGB)
		accelerators.add(t.Name, t.Accelerators)
	}
	return errors.Join(cores.errorIfOver(), memory.errorIfOver(), accelerators.errorIfOver())
}

// add adds the quota of a team.
func (e *QuotaError) add(team string, amount int64) {
	e.Assigned += amount
	if amount > 0 {
		e.Teams = append(e.Teams, fmt.Sprintf("%s %d", team, amount))
	}
}

// errorIfOver returns the error if the quotas exceed what the VMs have, and otherwise an untyped nil.
func (e *QuotaError) errorIfOver() error {
	if e.Assigned <= e.PerVM*int64(e.Workers) {
		return nil
	}
	return e
}
