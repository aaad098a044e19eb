package stats

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"waxwing.example/croft"
	"waxwing.example/croft/sched"
	"waxwing.example/croft/shares"
)

// organisationStats holds the metrics of organisations; it is safe for concurrent use.
type organisationStats struct {
	accepted *prometheus.GaugeVec
	offered  *prometheus.GaugeVec
	admitted *prometheus.GaugeVec
	refusals *prometheus.CounterVec
	use      *prometheus.GaugeVec
	// usedLabels are the labels that use has series for.
	usedLabels map[string]bool

	mu    *sync.Mutex
	names *shares.Names
}

func newOrganisationStats() organisationStats {
	const label = "organisation"
	return organisationStats{
		accepted: newGaugeVec("croft_organisation_accepted_rate", "Accepted jobs of an organisation per second, as the leader measures.", label),
		offered:  newGaugeVec("croft_organisation_offered_rate", "Submissions of an organisation per second, as the leader estimates.", label),
		admitted: newGaugeVec("croft_organisation_admitted", "Fraction of an organisation's jobs to admit while capacity is short; the least of several organisations.", label),
		refusals: newCounterVec("croft_organisation_refusals_total", "Jobs of an organisation that this entry refused because of the load.", label),
		use:      newGaugeVec("croft_organisation_use", "What an organisation may have running, as the leader knows.", label, "resource"),
		mu:       &sync.Mutex{}, names: &shares.Names{}, usedLabels: map[string]bool{},
	}
}

func (o organisationStats) register(r *prometheus.Registry) {
	r.MustRegister(o.accepted, o.offered, o.admitted, o.refusals, o.use)
}

// label returns the value of the label of an organisation.
func (o organisationStats) label(org croft.OrganisationID) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.names.Label(org))
}

// SetOrganisations records the rates and admitted fractions of all organisations that submit jobs; those beyond the first
// shares.MaxNames are added up.
func (s *Stats) SetOrganisations(loads map[croft.OrganisationID]sched.OrganisationLoad) {
	sums := map[string]sched.OrganisationLoad{}
	for org, load := range loads {
		label := s.organisations.label(org)
		sum, ok := sums[label]
		if !ok {
			sum.Admitted = 1
		}
		sums[label] = sched.OrganisationLoad{Accepted: sum.Accepted + load.Accepted, Offered: sum.Offered + load.Offered, Admitted: min(sum.Admitted, load.Admitted)}
	}
	o := s.organisations
	for _, gauges := range []*prometheus.GaugeVec{o.accepted, o.offered, o.admitted} {
		gauges.Reset()
	}
	for label, sum := range sums {
		o.accepted.WithLabelValues(label).Set(sum.Accepted)
		o.offered.WithLabelValues(label).Set(sum.Offered)
		o.admitted.WithLabelValues(label).Set(sum.Admitted)
	}
}

// CountRefusal counts a job that was refused because of the load.
func (s *Stats) CountRefusal(org croft.OrganisationID) {
	s.organisations.refusals.WithLabelValues(s.organisations.label(org)).Inc()
}
