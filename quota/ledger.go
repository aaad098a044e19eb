package quota

import (
	"fmt"

	"waxwing.example/croft"
)

// Ledger is what each organisation may have running over all executors. Its zero value is empty.
type Ledger struct {
	uses map[croft.OrganisationID]croft.Resources
	// unseen is what runs that are not in uses may have, by organisation.
	unseen map[croft.OrganisationID]croft.Resources
}

// Add counts needs of an organisation as running.
func (l *Ledger) Add(org croft.OrganisationID, needs croft.Resources) {
	if l.uses == nil {
		l.uses = map[croft.OrganisationID]croft.Resources{}
	}
	l.uses[org] = l.uses[org].Plus(needs)
}

// Remove no longer counts needs that Add has counted.
func (l *Ledger) Remove(org croft.OrganisationID, needs croft.Resources) {
	use := l.uses[org].Minus(needs)
	if use == (croft.Resources{}) {
		delete(l.uses, org)
		return
	}
	l.uses[org] = use
}

// SetUnseen sets what runs that no list of an executor has shown yet may use, in place of what was set before.
func (l *Ledger) SetUnseen(unseen map[croft.OrganisationID]croft.Resources) { l.unseen = unseen }

// Use returns what an organisation may have running.
func (l *Ledger) Use(org croft.OrganisationID) croft.Resources {
	return l.uses[org].Plus(l.unseen[org])
}

// Uses returns what each organisation may have running.
func (l *Ledger) Uses() map[croft.OrganisationID]croft.Resources {
	out := make(map[croft.OrganisationID]croft.Resources, len(l.uses))
	for org := range l.uses {
		out[org] = l.Use(org)
	}
	for org := range l.unseen {
		out[org] = l.Use(org)
	}
	return out
}

// Allows reports whether an organisation with a cap may start something with these needs.
func (l *Ledger) Allows(org croft.OrganisationID, limit, needs croft.Resources) bool {
	return allows(l.Use(org), limit, needs)
}

// Reason describes for the log what an organisation uses of its cap, and what it needs.
func (l *Ledger) Reason(org croft.OrganisationID, limit, needs croft.Resources) string {
	return fmt.Sprintf("organisation %s uses %s of its cap of %s and needs %s", org, describe(l.Use(org), limit), describe(limit, limit), describe(needs, limit))
}

// allows reports whether needs may be started beside a use: for each amount that is limited, the sum is within the limit or the
// use at most half of it. Without the second condition a task that needs more than a reduced cap would wait for ever.
func allows(use, limit, needs croft.Resources) bool {
	return amountAllows(use.MilliCores, limit.MilliCores, needs.MilliCores) &&
		amountAllows(use.MemoryMB, limit.MemoryMB, needs.MemoryMB) &&
		amountAllows(use.Accelerators, limit.Accelerators, needs.Accelerators)
}

func amountAllows(use, limit, needs int64) bool {
	return limit == 0 || use+needs <= limit || 2*use <= limit
}

// describe names the amounts that a cap limits.
func describe(r, limit croft.Resources) string {
	text := ""
	for _, a := range amountsOf(r, limit) {
		if a.limit != 0 {
			text += fmt.Sprintf(", %d %s", a.value, a.unit)
		}
	}
	if text == "" {
		return "nothing that is limited"
	}
	return text[len(", "):]
}

// amount is one of the resource amounts with its limit.
type amount struct {
	unit         string
	value, limit int64
}

func amountsOf(r, limit croft.Resources) []amount {
	return []amount{
		{"thousandths of a core", r.MilliCores, limit.MilliCores},
		{"MB of memory", r.MemoryMB, limit.MemoryMB},
		{"accelerators", r.Accelerators, limit.Accelerators},
	}
}
