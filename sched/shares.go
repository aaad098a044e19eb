package sched

import (
	"cmp"
	"fmt"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/quota"
	"waxwing.example/croft/shares"
)

// Parameters of the sharing of capacity among organisations.
const (
	// burstWindow is for how long an organisation may submit twice as many jobs as its weight allows.
	burstWindow = 5 * croft.Second
	// excessAgeing is the age from which on a job is not excess any more, so that it does not wait for ever. It is longer than a burst
	// and the time in which its jobs are worked off.
	excessAgeing = 30 * croft.Second
	// shareAgeing is the waiting time that outweighs one step of an organisation's share.
	shareAgeing = 5 * croft.Second
)

// organisation is the planner's state of one organisation.
type organisation struct {
	id croft.OrganisationID
	// weight is zero if the configuration does not have the organisation; its jobs then count as those of none.
	weight float64
	// share is its quantised share of the capacity, as of the last placement pass.
	share int
	// fraction is the admitted fraction that is published, if the organisation is limited.
	fraction float64
	// loggedFraction is the admitted fraction that was last logged.
	loggedFraction float64
}

// sharing is the planner's state of the sharing of capacity among organisations.
type sharing struct {
	tracker *shares.Tracker
	// queueTrackers measure the rates of the organisations in each queue, and hold the fractions by which overload limits them.
	queueTrackers map[croft.QueueID]*shares.Tracker
	// use is what each organisation may have running.
	use           *quota.Ledger
	organisations map[croft.OrganisationID]*organisation
	// configured has the organisations of the configuration, in its order.
	configured []*organisation
	refreshed  croft.Millis
	// published has the fractions that were published last, by queue, and formerly those before: entries use these for some time on.
	published, formerly map[croft.QueueID]map[croft.OrganisationID]float64
	// overloaded has the queues that could not serve their jobs in time with all VMs when the loads were last published.
	overloaded map[croft.QueueID]bool
	// limiting reports that the last loads limit new jobs.
	limiting bool
	names    shares.Names
}

func newSharing(configured []croft.Organisation, use *quota.Ledger) sharing {
	s := sharing{tracker: shares.NewTracker(burstWindow), queueTrackers: map[croft.QueueID]*shares.Tracker{}, use: use, organisations: map[croft.OrganisationID]*organisation{}, refreshed: -1}
	s.configure(configured)
	return s
}

// configure sets the weights of the organisations.
func (s *sharing) configure(configured []croft.Organisation) {
	s.configured = nil
	for _, o := range s.organisations {
		o.weight = 0
	}
	for _, c := range configured {
		o := s.organisation(c.ID)
		o.weight = c.Weight
		s.configured = append(s.configured, o)
	}
}

// organisation returns the state of an organisation, which it creates if needed; nil for the empty ID.
func (s *sharing) organisation(id croft.OrganisationID) *organisation {
	if id == "" {
		return nil
	}
	o, ok := s.organisations[id]
	if !ok {
		o = &organisation{id: id, loggedFraction: 1}
		s.organisations[id] = o
	}
	return o
}

// queueTracker returns the tracker of a queue, which it creates if needed.
func (s *sharing) queueTracker(id croft.QueueID) *shares.Tracker {
	t, ok := s.queueTrackers[id]
	if !ok {
		t = shares.NewTracker(burstWindow)
		s.queueTrackers[id] = t
	}
	return t
}

// fraction returns the fraction of an organisation's jobs in a queue that entries admit: of the last two that were published the
// higher one, so that the rate of its submissions is not overestimated.
func (s *sharing) fraction(queue croft.QueueID, org croft.OrganisationID) float64 {
	highest := 0.0
	for _, published := range []map[croft.QueueID]map[croft.OrganisationID]float64{s.published, s.formerly} {
		fraction, limited := published[queue][org]
		if !limited {
			return 1
		}
		highest = max(highest, fraction)
	}
	return highest
}

// hasOrganisations reports whether the deployment has organisations.
func (p *Planner) hasOrganisations() bool { return len(p.sharing.configured) > 0 }

// countArrivals counts new jobs for the rates of their organisations, in the order of their acceptance, and marks those that are excess.
// The order and the times do not depend on which leader counts them.
func (p *Planner) countArrivals(added []*job) {
	if !p.hasOrganisations() {
		return
	}
	slices.SortFunc(added, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.receivedAt, b.receivedAt), cmp.Compare(a.record.Accepted, b.record.Accepted), cmp.Compare(a.id, b.id))
	})
	for _, j := range added {
		if o := j.organisation; o != nil {
			fraction := p.sharing.fraction(j.record.Queue, o.id)
			j.excess = p.sharing.tracker.Arrived(o.id, j.receivedAt, o.weight, fraction)
			p.sharing.queueTracker(j.record.Queue).Arrived(o.id, j.receivedAt, o.weight, fraction)
		}
	}
}

// refreshShares computes the share of each organisation, once for each instant.
func (p *Planner) refreshShares() {
	s := &p.sharing
	if !p.hasOrganisations() || s.refreshed == p.now.Elapsed {
		return
	}
	s.refreshed = p.now.Elapsed
	var total croft.Resources
	for _, w := range p.sortedWorkers {
		if w.listed {
			total = total.Plus(w.Room)
		}
	}
	// Only organisations that use capacity compete for it, so that the steps stay coarse when few of many do.
	totalWeight := 0.0
	for _, o := range s.configured {
		if s.use.Use(o.id) != (croft.Resources{}) {
			totalWeight += o.weight
		}
	}
	for _, o := range s.configured {
		o.share = shares.Level(shares.DominantShare(s.use.Use(o.id), total, o.weight), totalWeight)
	}
}

// rankOrganisation returns the parts of a stage's rank that depend on its organisation: whether the job is excess, and the share. Both
// count less the longer the stage has waited.
func (p *Planner) rankOrganisation(s *stage) (excess, share int) {
	o := s.job.organisation
	if o == nil || o.weight <= 0 {
		return 0, 0
	}
	if p.isExcess(s.job) {
		excess = 1
	}
	return excess, max(o.share-int((p.now.Elapsed-s.openedAt)/shareAgeing), 0)
}

// isExcess reports whether a job counts as excess at the moment.
func (p *Planner) isExcess(j *job) bool {
	return j.excess && j.organisation.weight > 0 && p.now.Elapsed-j.receivedAt < excessAgeing
}

// describeOrganisation returns what an organisation's contract and share mean for the placement of the job.
func (j *job) describeOrganisation() string {
	if j.organisation == nil {
		return ""
	}
	return fmt.Sprintf(", organisation %s of weight %g: excess %v, share in use %d", j.organisation.id, j.organisation.weight, j.excess, j.organisation.share)
}
