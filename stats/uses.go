package stats

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

const (
	// maxOrganisations is the number of organisations that get series; the use of the others is added up in one.
	maxOrganisations = 64
	// otherOrganisations is the label of that one.
	otherOrganisations = "other"
)

// SetUses records what each organisation may have running; one that is missing has nothing. It must not be called concurrently.
func (s *Stats) SetUses(uses map[croft.OrganisationID]croft.Resources) {
	sums := map[string]croft.Resources{}
	for id := range s.countedOrganisations {
		sums[string(id)] = croft.Resources{}
	}
	if len(sums) >= maxOrganisations {
		sums[otherOrganisations] = croft.Resources{}
	}
	for _, id := range slices.Sorted(maps.Keys(uses)) {
		label := s.organisationLabel(id)
		sums[label] = sums[label].Plus(uses[id])
	}
	for label, sum := range sums {
		s.organisationUse.WithLabelValues(label, "millicores").Set(float64(sum.MilliCores))
		s.organisationUse.WithLabelValues(label, "memory_mb").Set(float64(sum.MemoryMB))
		s.organisationUse.WithLabelValues(label, "accelerators").Set(float64(sum.Accelerators))
	}
}

// organisationLabel returns the label of an organisation: its name, if it is among the first maxOrganisations that had a use.
func (s *Stats) organisationLabel(id croft.OrganisationID) string {
	if !s.countedOrganisations[id] {
		if len(s.countedOrganisations) >= maxOrganisations {
			return otherOrganisations
		}
		s.countedOrganisations[id] = true
	}
	return string(id)
}
