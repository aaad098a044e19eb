package sched

import (
	"fmt"

	"waxwing.example/croft/resv"
)

// recordStartInReservation takes the start of a run into account in the reservation of its pool.
func (p *Planner) recordStartInReservation(started *run) {
	s, w := started.stage, started.worker
	s.heldBack = heldBack{}
	po := p.pool(s.job.record.Pool)
	r := po.backfill.reservation
	if r == nil {
		return
	}
	if r.stage != s {
		end := p.latestEnd(s)
		if s.spec.Endless {
			end = resv.Never
		}
		r.Reservation = r.WithBackfill(w.ID, s.needs(), end)
		return
	}
	tasks := r.Tasks()
	if r.Reservation = r.WithStarted(w.ID); r.Tasks() == 0 {
		p.release(po, "Started", fmt.Sprintf("the last of its reserved tasks started on %s, %d before it in this reservation", w.ID, tasks-1))
	}
}

// release ends the reservation of a pool.
func (p *Planner) release(po *pool, choice, reason string) {
	r := po.backfill.reservation
	po.backfill.reservation, po.changed = nil, true
	p.emit(CountReservation{Outcome: choice})
	p.log("Release", r.stage.name(), choice, fmt.Sprintf("%s; %d ms after the reservation, expected start after %d ms",
		reason, p.now.Elapsed-r.Planned(), r.Start()-r.Planned()))
}

// releaseReservations ends the reservations that have expired, whose stage does not wait for capacity any more, or whose executors
// are not available. The stage keeps its place, so that the next pass plans anew.
func (p *Planner) releaseReservations() {
	for _, po := range p.sortedPools {
		r := po.backfill.reservation
		if r == nil {
			continue
		}
		s := r.stage
		switch {
		case s.job.ended:
			p.release(po, "Ended", "its job has ended")
		case len(s.waiting) == 0:
			p.release(po, "Ended", "none of its tasks waits")
		case s.anySuspectWaits():
			p.release(po, "Suspect", "one of its tasks may have crashed an executor")
		case p.awaitsSilentPart(s.job):
			p.release(po, "Unstored", "the part of the store that has its job does not answer")
		case s.capped:
			p.release(po, "Cap", "it waits for the cap of its organisation")
		case p.now.Elapsed >= r.Expires():
			p.release(po, "Expired", "its tasks have not started")
		default:
			p.releaseUnavailable(po, r)
		}
	}
}

// releaseUnavailable ends a reservation with an executor that does not accept its tasks any more.
func (p *Planner) releaseUnavailable(po *pool, r *reservation) {
	for _, id := range r.Executors() {
		w, ok := p.workers[id]
		if reason := p.unavailability(po, w, ok, r); reason != "" {
			p.release(po, "Executor", fmt.Sprintf("executor %s %s", id, reason))
			return
		}
	}
}

// unavailability returns why an executor does not accept the reserved tasks any more, or nothing.
func (p *Planner) unavailability(po *pool, w *worker, known bool, r *reservation) string {
	switch {
	case !known || !w.listed:
		return "is not registered any more"
	case w.Pool != po.id:
		return "has moved to pool " + string(w.Pool)
	case !w.verified || w.born != r.born[w.ID]:
		return "has ended or does not answer"
	case w.Draining:
		return "is draining"
	case w.reserved:
		return "is to be moved or maintained"
	case !p.mayReserve(w, r.stage):
		return "is not available for the stage"
	}
	return ""
}

// describeReservation says for which reservation the tasks of a stage wait.
func (p *Planner) describeReservation(s *stage) string {
	po := p.pool(s.job.record.Pool)
	r := po.backfill.reservation
	switch {
	case r == nil || len(s.waiting) == 0:
		return ""
	case r.stage == s:
		return fmt.Sprintf(", waits for its reservation of %s, expected to start in %d ms, expires in %d ms", joinWorkers(r.Executors()), r.Start()-p.now.Elapsed, r.Expires()-p.now.Elapsed)
	case s.open && p.mustYield(r, s):
		return fmt.Sprintf(", waits behind the reservation of %s", r.stage.name())
	}
	return ""
}
