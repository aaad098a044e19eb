package sched

import "waxwing.example/croft"

// Uncounted names runs that a planner with a fault does not count for the caps of organisations.
type Uncounted string

// The runs that may not be counted.
const (
	UncountedNothing    Uncounted = ""
	UncountedUnanswered Uncounted = "starts without an answer yet"
	UncountedLate       Uncounted = "starts that may be carried out late"
	UncountedStopping   Uncounted = "runs being stopped"
	UncountedCutOff     Uncounted = "runs on executors that do not answer"
	UncountedUnseen     Uncounted = "runs that a new leader does not know"
	UncountedEndless    Uncounted = "endless tasks"
	UncountedCopies     Uncounted = "copies"
	UncountedFillers    Uncounted = "processor needs of fillers"
	// UncountedEnds makes the caps seem to be used up for ever.
	UncountedEnds Uncounted = "ends of runs"
)

// matches reports whether a fault concerns a run.
func (u Uncounted) matches(r *run) bool {
	switch u {
	case UncountedUnanswered:
		return r.phase == phaseStarting
	case UncountedLate:
		return r.startUnanswered
	case UncountedStopping:
		return r.phase == phaseStopping && !r.startUnanswered
	case UncountedCutOff:
		return !r.worker.verified
	case UncountedEndless:
		return r.stage.spec.Endless
	case UncountedCopies:
		return r.stage.tasks[r.index].run != r && r.stage.spec.Duplicates
	case UncountedFillers:
		return r.stage.spec.Filler
	default:
		return false
	}
}

// miscount takes what is not to be counted off the ledger.
func (p *Planner) miscount() {
	switch p.options.Uncounted {
	case UncountedUnseen:
		p.ledger.SetUnseen(nil)
		return
	case UncountedEnds:
		p.ledger.SetUnseen(p.caps)
		return
	}
	missing := map[croft.OrganisationID]croft.Resources{}
	for _, w := range p.sortedWorkers {
		for _, r := range w.runs {
			if org := r.stage.job.record.Organisation; org != "" && p.options.Uncounted.matches(r) {
				missing[org] = missing[org].Minus(r.stage.spec.Needs)
			}
		}
	}
	p.ledger.SetUnseen(missing)
}
