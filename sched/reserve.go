package sched

import (
	"fmt"
	"slices"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/resv"
)

// Parameters of reservations.
const (
	// reserveAfter and reservePasses are how long, and in how many placement passes, a large stage must have been held back before
	// it gets a reservation. 100 ms is a sixth of the latency that queues allow beyond the duration of a job (600 ms).
	reserveAfter  = 100 * croft.Millis(1)
	reservePasses = 3
	// largeDivisor of the mean executor is a large part of one: the largest tasks need 13 cores and the mean executor has 40.
	largeDivisor = 4
	// maxReservedTasks and reservedDivisor limit how many tasks of a wide stage get a reservation at a time, the second one in
	// relation to the executors of the pool. Steps usually have 8 tasks.
	maxReservedTasks = 8
	reservedDivisor  = 4
	// planInterval is the minimum time between two plans for a pool: one plan costs about as much as a placement pass over 30,000
	// waiting tasks, and passes are at least 6 ms apart.
	planInterval = 50 * croft.Millis(1)
	// unplannablePause is the pause before a stage that fits nowhere, even after the ends of all runs, is planned again.
	unplannablePause = 1 * croft.Second
	// defaultDurationError is the relative error of durations before any is measured: estimates are off by up to half.
	defaultDurationError = 0.5
)

// backfill is the state of a pool's reservation.
type backfill struct {
	// reservation is that of the pool, nil if it has none.
	reservation *reservation
	// meanRoom is the capacity of the mean executor in the current placement pass.
	meanRoom croft.Resources
	// nextPlan is when a reservation may next be planned.
	nextPlan croft.Millis
	// skipped reports that the stage that is being placed was kept from an executor by the reservation.
	skipped bool
	// deferred are the needs and the expected ends of stages that the reservation kept waiting in this pass.
	deferred []deferredNeeds
}

// deferredNeeds are the needs of a task and when it would be expected to end.
type deferredNeeds struct {
	needs croft.Resources
	end   croft.Millis
}

// reservation is a reservation for a stage.
type reservation struct {
	resv.Reservation
	stage *stage
	// born has the incarnations of the reserved executors.
	born map[croft.WorkerID]int64
}

// heldBack records since when and in how many passes a large stage could not start for want of capacity.
type heldBack struct {
	since  croft.Millis
	passes int
}

// makesReservations reports whether large stages get reservations.
func (p *Planner) makesReservations() bool {
	switch p.options.Reservations {
	case ReservationsAlways:
		return true
	case ReservationsWithOrganisations:
		return p.hasOrganisations()
	default:
		return false
	}
}

// beginBackfill resets the state of the last placement pass.
func (p *Planner) beginBackfill(po *pool) {
	if !p.makesReservations() {
		return
	}
	b := &po.backfill
	b.meanRoom, b.skipped, b.deferred = p.meanCapacity(po), false, b.deferred[:0]
}

// isReservedFor reports whether a stage has the pool's reservation.
func (po *pool) isReservedFor(s *stage) bool {
	return po.backfill.reservation != nil && po.backfill.reservation.stage == s
}

// mustYield reports whether the reservation of another stage holds against the tasks of a stage: it does unless the queue of that
// stage is more urgent. The rest of the rank changes with time and does not count, or a late job would wait for ever.
func (p *Planner) mustYield(r *reservation, s *stage) bool {
	return r.stage != s && !s.spec.Endless && p.priorityOf(s.job) >= p.priorityOf(r.stage.job)
}

// delaysReserved reports whether the start of a task on a worker is expected to delay the reserved tasks of another stage.
func (p *Planner) delaysReserved(po *pool, w *worker, s *stage, index int) bool {
	r := po.backfill.reservation
	if r == nil || r.stage == s || s.tasks[index].isSuspect() {
		return false
	}
	needs := s.needs()
	if s.spec.Gang {
		// The members that are already chosen for the worker start at the same time.
		needs = scaleResources(needs, int64(p.stageRunsOn(w, s)+1), 1)
	}
	if !r.Blocks(w.ID, needs, p.latestEnd(s)) || !p.mustYield(r, s) {
		return false
	}
	po.backfill.skipped = true
	return true
}

// latestEnd returns when a task of a stage that starts now is expected to end if its duration exceeds the expected one by the mean
// error.
func (p *Planner) latestEnd(s *stage) croft.Millis {
	return p.now.Elapsed + p.expectedDuration(s) + p.expectedError(s)
}

// expectedError returns the mean error of the expected duration of a stage's tasks.
func (p *Planner) expectedError(s *stage) croft.Millis {
	relative, ok := p.durationErrors[s.job.record.Queue]
	if !ok {
		relative = defaultDurationError
	}
	return croft.Millis(relative * float64(p.expectedDuration(s)))
}

// recordDurationError adds the relative error of an expected duration to the moving average of its queue.
func (p *Planner) recordDurationError(id croft.QueueID, duration, expected float64) {
	if expected <= 0 {
		return
	}
	relative := max(duration-expected, expected-duration) / expected
	if mean, ok := p.durationErrors[id]; ok {
		relative = mean + durationWeight*(relative-mean)
	}
	p.durationErrors[id] = relative
}

// fitsNowhere reports whether the tasks of a stage need not be tried in this pass, as others of the pass have shown.
func (p *Planner) fitsNowhere(po *pool, unplaceable unplaceableNeeds, s *stage) bool {
	return (unplaceable.covers(s) || p.isDeferred(po, s)) && !po.isReservedFor(s)
}

// recordUnplaced records the needs of a stage that has been tried and still waits for capacity.
func (p *Planner) recordUnplaced(po *pool, unplaceable unplaceableNeeds, s *stage) unplaceableNeeds {
	if s.capped || !p.awaitsCapacity(s) || p.deferStage(po, s) {
		return unplaceable
	}
	return unplaceable.with(s)
}

// deferStage records that the reservation kept tasks of a stage waiting, and reports whether it did. Stages whose tasks need as
// much and end no earlier are not tried again in this pass.
func (p *Planner) deferStage(po *pool, s *stage) bool {
	b := &po.backfill
	if !b.skipped || len(b.deferred) >= maxUnplaceable {
		return false
	}
	if s.spec.Requires == "" && s.spec.MostPerWorker == 0 && s.advice == nil {
		b.deferred = append(b.deferred, deferredNeeds{needs: s.needs(), end: p.latestEnd(s)})
	}
	return true
}

// isDeferred reports whether the reservation would keep the tasks of a stage waiting like those of one before.
func (p *Planner) isDeferred(po *pool, s *stage) bool {
	if len(po.backfill.deferred) == 0 {
		return false
	}
	needs, end := s.needs(), croft.Millis(0)
	for _, d := range po.backfill.deferred {
		if !d.needs.Fits(needs) {
			continue
		}
		if end == 0 {
			end = p.latestEnd(s)
		}
		if end >= d.end {
			r := po.backfill.reservation
			return r != nil && p.mustYield(r, s) && !s.anySuspectWaits()
		}
	}
	return false
}

func (s *stage) anySuspectWaits() bool {
	return slices.ContainsFunc(s.waiting, func(index int) bool { return s.tasks[index].isSuspect() })
}

// considerReservation reserves executors for a stage that the current pass could not start, if it is the first large one that has
// been held back for long enough and the pool has no reservation.
func (p *Planner) considerReservation(po *pool, s *stage) {
	b := &po.backfill
	b.skipped = false
	if !p.makesReservations() {
		return
	}
	mayPlan := b.reservation == nil && p.now.Elapsed >= b.nextPlan
	if (!mayPlan && s.heldBack.passes >= reservePasses) || po.isReservedFor(s) || !p.isHeldBack(po, s) {
		return
	}
	if s.heldBack.passes == 0 {
		s.heldBack.since = p.now.Elapsed
	}
	s.heldBack.passes++
	if !mayPlan || s.heldBack.passes < reservePasses || p.now.Elapsed-s.heldBack.since < reserveAfter {
		return
	}
	b.nextPlan = p.now.Elapsed + planInterval
	p.reserveFor(po, s)
}

// isHeldBack reports whether a stage that has been tried is large and none of its tasks could start for want of capacity: one that
// waits for the cap of its organisation, or for the limit of starts in flight, is not held back by others.
func (p *Planner) isHeldBack(po *pool, s *stage) bool {
	if s.capped || po.windowCut || len(s.waiting) == 0 || s.spec.Endless || s.spec.Filler || !isLarge(s, po.backfill.meanRoom) || s.anySuspectWaits() {
		return false
	}
	if slices.ContainsFunc(po.tentative, func(use tentativeUse) bool { return use.stage == s }) {
		return false
	}
	if s.spec.Gang {
		return !slices.ContainsFunc(s.waiting, func(index int) bool { return !p.mayStartNow(s, index) })
	}
	return p.awaitsCapacity(s)
}

// isLarge reports whether a task of a stage needs a large part of an executor, or the stage several executors at once.
func isLarge(s *stage, meanRoom croft.Resources) bool {
	if len(s.waiting) > 1 && (s.spec.Gang || s.spec.MostPerWorker > 0) {
		return true
	}
	needs := s.needs()
	for _, pair := range [][2]int64{{needs.MilliCores, meanRoom.MilliCores}, {needs.MemoryMB, meanRoom.MemoryMB}, {needs.Accelerators, meanRoom.Accelerators}} {
		if pair[0] > 0 && pair[0]*largeDivisor >= pair[1] {
			return true
		}
	}
	return false
}

// tasksToReserveFor returns for how many tasks of a stage executors are reserved: all of a gang, the first ones of others.
func tasksToReserveFor(po *pool, s *stage) int {
	if s.spec.Gang {
		return len(s.waiting)
	}
	return min(len(s.waiting), maxReservedTasks, max(len(po.workers)/reservedDivisor, 1))
}

// reserveFor plans a reservation for a stage. There is none if it fits nowhere, or if it has capacity now and waits for something
// else, such as advice.
func (p *Planner) reserveFor(po *pool, s *stage) {
	waited := p.now.Elapsed - s.heldBack.since
	plan, ok := resv.Plan(resv.Need{Needs: s.needs(), Together: s.spec.Gang}, tasksToReserveFor(po, s), p.executorsFor(po, s), p.now.Elapsed)
	if !ok {
		s.heldBack = heldBack{since: p.now.Elapsed + unplannablePause, passes: 1}
		return
	}
	if plan.Start() <= p.now.Elapsed {
		s.heldBack = heldBack{}
		return
	}
	r := &reservation{Reservation: plan, stage: s, born: map[croft.WorkerID]int64{}}
	for _, id := range plan.Executors() {
		r.born[id] = p.workers[id].born
	}
	po.backfill.reservation = r
	p.emit(CountReservation{Outcome: "Made"})
	p.log("Reserve", s.name(), joinWorkers(plan.Executors()), fmt.Sprintf("held back for %d ms in %d passes; %v; mean error of the durations of its queue %d ms",
		waited, s.heldBack.passes, plan, p.expectedError(s)))
}

// name returns the text form job.occurrence.step of the stage.
func (s *stage) name() string {
	return fmt.Sprintf("%s.%d.%d", s.job.id, s.occurrence, s.step)
}

// joinWorkers lists the first executors for a log line.
func joinWorkers(ids []croft.WorkerID) string {
	var names []string
	for _, id := range ids[:min(len(ids), maxLoggedWorkers)] {
		names = append(names, string(id))
	}
	return strings.Join(names, ",")
}

// executorsFor returns the executors that tasks of a stage may run on, with what runs there.
func (p *Planner) executorsFor(po *pool, s *stage) []resv.Executor {
	var out []resv.Executor
	needs := s.needs()
	for _, w := range po.workers {
		if !needs.Fits(w.Room) || !p.mayReserve(w, s) {
			continue
		}
		e := resv.Executor{ID: w.ID, Free: w.Room.Minus(w.used), Limit: s.spec.MostPerWorker, Runs: make([]resv.Run, 0, len(w.runs))}
		for _, r := range w.runs {
			run := p.expectedRun(r)
			run.Limited = r.stage == s
			e.Runs = append(e.Runs, run)
		}
		for _, use := range po.tentative {
			if use.worker == w {
				e.Runs = append(e.Runs, resv.Run{Needs: use.needs, End: p.now.Elapsed + p.expectedDuration(use.stage), Error: p.expectedError(use.stage)})
			}
		}
		out = append(out, e)
	}
	return out
}

// expectedRun returns when a run is expected to end.
func (p *Planner) expectedRun(r *run) resv.Run {
	run := resv.Run{Needs: r.needs(), End: r.startedAt + p.expectedDuration(r.stage), Error: p.expectedError(r.stage)}
	switch {
	case r.phase == phaseStopping:
		run.End, run.Error = p.now.Elapsed+p.options.Stop, p.options.Stop
	case r.stage.spec.Endless:
		run.End, run.Error = resv.Never, 0
	case run.End <= p.now.Elapsed:
		// The longer a run is overdue, the longer it is expected to go on: some tasks take seven times as long as others.
		run.End = p.now.Elapsed + max(p.now.Elapsed-run.End, run.Error)
	}
	return run
}

// mayReserve reports whether a worker may be reserved for a stage, whatever runs there.
func (p *Planner) mayReserve(w *worker, s *stage) bool {
	if !p.schedulable(w) || len(w.suspects) > 0 || w.clearedUntil > p.now.Elapsed {
		return false
	}
	if s.spec.Requires != "" && !slices.Contains(w.Labels, s.spec.Requires) {
		return false
	}
	return !s.adviceRequired || s.advice == nil || !s.advice.refused[w.ID]
}
