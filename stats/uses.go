package stats

import (
	"maps"
	"slices"

	"waxwing.example/croft"
)

// SetUses records what each organisation may have running; one that is missing has nothing. Those beyond the first shares.MaxNames
// are added up. It must not be called concurrently.
func (s *Stats) SetUses(uses map[croft.OrganisationID]croft.Resources) {
	o := s.organisations
	sums := map[string]croft.Resources{}
	for label := range o.usedLabels {
		sums[label] = croft.Resources{}
	}
	for _, id := range slices.Sorted(maps.Keys(uses)) {
		label := o.label(id)
		o.usedLabels[label] = true
		sums[label] = sums[label].Plus(uses[id])
	}
	for label, sum := range sums {
		o.use.WithLabelValues(label, "millicores").Set(float64(sum.MilliCores))
		o.use.WithLabelValues(label, "memory_mb").Set(float64(sum.MemoryMB))
		o.use.WithLabelValues(label, "accelerators").Set(float64(sum.Accelerators))
	}
}
