package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"waxwing.example/croft"
)

// rank orders the stages that wait for room; lower ranks go first.
type rank struct {
	// tier is 0 for endless tasks, whose absence is never excused, and 1 for others.
	tier     int
	priority int
	// lateness is 1 for a job that cannot be on time any more and 2 for one of no more use.
	lateness int
	deadline croft.Millis
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.deadline, b.deadline))
}

// usefulFactor times the objective is when a job is of no more use to its caller: the platform's
// pages call it late up to there.
const usefulFactor = 3

func (p *Planner) rankStage(s *stage) rank {
	j := s.job
	r := rank{tier: 1, priority: j.record.Priority, deadline: j.deadline}
	if q, ok := p.queues[j.record.Queue]; ok {
		r.priority = q.Priority
	}
	if s.spec.Endless {
		r.tier = 0
		return r
	}
	switch finish := p.now.Elapsed + j.criticalPath[s.step]; {
	case finish > j.receivedAt+usefulFactor*(j.deadline-j.receivedAt):
		r.lateness = 2
	case finish > j.deadline:
		r.lateness = 1
	}
	return r
}

// rankedStage is a stage with its rank.
type rankedStage struct {
	stage *stage
	rank  rank
}

// placeInterval is how long a pool in which nothing changed is left alone; ranks change with time.
const placeInterval = 200 * croft.Millis(1)

// minPlaceInterval is the least time between two passes over a pool in which the last one left tasks
// waiting: room comes with each end, and a pass over a long queue for each of them costs more than
// the room is worth for that time, which is 1 % of the shortest tasks on record.
const minPlaceInterval = 6 * croft.Millis(1)

// placePools starts what waits and fits, in pools in which something changed.
func (p *Planner) placePools() {
	for _, po := range p.sortedPools {
		if len(po.jobs) == 0 || len(po.workers) == 0 || (!po.changed && p.now.Elapsed-po.lastPlacement < placeInterval) {
			continue
		}
		if pause := po.lastPlacement + minPlaceInterval - p.now.Elapsed; po.backlogged && pause > 0 {
			p.requestWake(pause)
			continue
		}
		po.changed, po.backlogged, po.lastPlacement = false, false, p.now.Elapsed
		p.placePool(po)
	}
}

// requestWake asks for time to pass after a span.
func (p *Planner) requestWake(after croft.Millis) {
	if p.wakeAt > p.now.Elapsed {
		return
	}
	p.wakeAt = p.now.Elapsed + after
	p.emit(Wake{After: after})
}

func (p *Planner) placePool(po *pool) {
	var waiting []rankedStage
	unknownRuns := p.mayHaveUnknownRuns(po)
	for _, j := range po.jobs {
		if j.inherited && (unknownRuns || !p.jobsLoaded) {
			continue
		}
		for _, s := range j.stages {
			if s.open && len(s.waiting) > 0 {
				s.adviceRequired = p.needsAdvice(s)
				waiting = append(waiting, rankedStage{stage: s, rank: p.rankStage(s)})
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b rankedStage) int { return a.rank.compare(b.rank) })
	unplaceable := unplaceableNeeds{}
	for _, c := range waiting {
		switch {
		case unplaceable.covers(c.stage):
			po.backlogged = true
		case c.stage.spec.Gang:
			p.placeGang(po, c.stage)
		default:
			p.placeStage(po, c.stage)
			if len(c.stage.waiting) > 0 {
				unplaceable = unplaceable.with(c.stage)
			}
		}
	}
	for _, use := range po.tentative {
		use.worker.used = use.worker.used.Minus(use.needs)
	}
	po.tentative = nil
}

// unplaceableNeeds is what did not fit anywhere in one pass over a pool, so that what needs no less is not
// tried on every worker again.
type unplaceableNeeds []croft.Resources

// maxUnplaceable bounds the comparisons for one stage.
const maxUnplaceable = 16

func (f unplaceableNeeds) with(s *stage) unplaceableNeeds {
	if s.spec.Requires != "" || s.spec.MostPerWorker > 0 || s.advice != nil || len(f) >= maxUnplaceable {
		return f
	}
	return append(f, s.needs())
}

func (f unplaceableNeeds) covers(s *stage) bool {
	if s.spec.Endless {
		return false
	}
	needs := s.needs()
	for _, other := range f {
		if other.Fits(needs) {
			return true
		}
	}
	return false
}

// placeStage starts as many tasks of a stage as fit.
func (p *Planner) placeStage(po *pool, s *stage) {
	placed := placement{waiting: len(s.waiting)}
	defer func() { p.logPlacement(s, placed) }()
	for _, index := range slices.Clone(s.waiting) {
		w := p.chooseWorker(po, s, index)
		if w == nil {
			po.backlogged = true
			if s.adviceRequired {
				p.requestAdvice(po, s)
			}
			if s.spec.Endless {
				p.preempt(po, s, index)
			}
			return
		}
		if !s.job.announcementStored {
			// Its room is taken for this pass only, so that no more is announced than fits.
			p.announce(s.job)
			w.used = w.used.Plus(s.needs())
			po.tentative = append(po.tentative, tentativeUse{worker: w, needs: s.needs()})
			continue
		}
		s.dequeue(index)
		p.startRun(s, index, w, s.tasks[index].runNumber+1)
		placed.add(w)
	}
}

// placement is what one pass started of a stage.
type placement struct {
	waiting, started int
	workers          []string
}

// mostNamed bounds the executors that one line names.
const mostNamed = 6

func (pl *placement) add(w *worker) {
	pl.started++
	if name := string(w.ID); len(pl.workers) < mostNamed && !slices.Contains(pl.workers, name) {
		pl.workers = append(pl.workers, name)
	}
}

// logPlacement writes one line when the first tasks of a stage start, and one when its last do: where
// room is short, tasks start one by one.
func (p *Planner) logPlacement(s *stage, pl placement) {
	if pl.started == 0 || (s.startLogged && len(s.waiting) > 0) {
		return
	}
	s.startLogged = true
	first := s.id(0)
	p.log("Place", fmt.Sprintf("%s.%d.%d", first.Job, first.Occurrence, first.Step), strings.Join(pl.workers, ","),
		fmt.Sprintf("%d of %d tasks that waited, %d ms after their turn came, %d ms before the job is late",
			pl.started, pl.waiting, p.now.Elapsed-s.openedAt, s.job.deadline-p.now.Elapsed))
}

// announce stores that tasks of a job may be started.
func (p *Planner) announce(j *job) {
	if !j.announced {
		j.announced, j.progress.Announced = true, true
		p.markDirty(j)
	}
}

// tentativeUse is room that a pass over a pool keeps for a job that is being announced.
type tentativeUse struct {
	worker *worker
	needs  croft.Resources
}

// placeGang starts all tasks of a gang at once or none.
func (p *Planner) placeGang(po *pool, s *stage) {
	if len(s.waiting) < s.remainingTasks {
		// A former leader started some of its members only: they would wait for the others in vain.
		p.stopGang(s)
		return
	}
	chosen := make([]*worker, 0, len(s.waiting))
	number := 0
	needs := s.needs()
	for _, index := range s.waiting {
		w := p.chooseWorker(po, s, index)
		if w == nil {
			break
		}
		w.used = w.used.Plus(needs)
		chosen = append(chosen, w)
		number = max(number, s.tasks[index].runNumber)
	}
	for _, w := range chosen {
		w.used = w.used.Minus(needs)
	}
	if len(chosen) < len(s.waiting) {
		po.backlogged = true
		if s.adviceRequired {
			p.requestAdvice(po, s)
		}
		return
	}
	if !s.job.announcementStored {
		p.announce(s.job)
		return
	}
	checkpoint := p.gangCheckpoint(s)
	for i, index := range slices.Clone(s.waiting) {
		s.tasks[index].checkpoint = checkpoint
		p.startRun(s, index, chosen[i], number+1)
	}
	s.waiting = nil
}

// gangCheckpoint returns one checkpoint for all members: any member's is valid for all.
func (p *Planner) gangCheckpoint(s *stage) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// chooseWorker returns the worker for a task, nil where none has room.
func (p *Planner) chooseWorker(po *pool, s *stage, index int) *worker {
	needs := s.needs()
	var best *worker
	var bestScore int64
	for _, w := range po.workers {
		// Room is compared first: it is what most executors lack, and costs least.
		if !w.used.Plus(needs).Fits(w.Room) || !p.schedulable(w) || !p.admitsTask(w, s, index) {
			continue
		}
		if score := p.score(w, s, index); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// satisfiesConstraints reports whether a step's own conditions allow a worker.
func (p *Planner) satisfiesConstraints(w *worker, s *stage) bool {
	if s.spec.Requires != "" && !slices.Contains(w.Labels, s.spec.Requires) {
		return false
	}
	return s.spec.MostPerWorker == 0 || p.stageRunsOn(w, s) < s.spec.MostPerWorker
}

// admitsTask reports whether a task may start on a worker, room apart.
func (p *Planner) admitsTask(w *worker, s *stage, index int) bool {
	if !p.satisfiesConstraints(w, s) || (s.tasks[index].liveRuns > 0 && w.runs[s.id(index)] != nil) {
		return false
	}
	if s.adviceRequired {
		_, ok := p.permitFor(s, w)
		return ok
	}
	return true
}

// stageRunsOn counts the tasks of a stage on a worker.
func (p *Planner) stageRunsOn(w *worker, s *stage) int { return s.runsByWorker[w.ID] }

// Weights of a placement, larger than any number of free milli-cores, the most important first.
const (
	// remotePenalty keeps tasks near their data: elsewhere they take remote_factor times as long.
	remotePenalty = int64(1) << 40
	// failedHerePenalty keeps a task from the executor on which it failed.
	failedHerePenalty = int64(1) << 38
	// colocationPenalty spreads endless tasks of a step, so that one loss takes one of them.
	colocationPenalty = int64(1) << 30
	// maintenancePenalty keeps endless tasks from VMs that will be maintained.
	maintenancePenalty = int64(1) << 34
	// noEndlessPenalty gathers endless tasks on few executors, so that the VMs of others can move.
	noEndlessPenalty = int64(1) << 27
	// failurePenalty keeps tasks from executors on which the last ones failed.
	failurePenalty = int64(1) << 28
)

// score is lower for a better worker: short jobs are packed, endless tasks are spread.
func (p *Planner) score(w *worker, s *stage, index int) int64 {
	score := int64(w.consecutiveFailures) * failurePenalty
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score += remotePenalty
	}
	if s.tasks[index].avoidWorker == w.ID {
		score += failedHerePenalty
	}
	if s.spec.SameRack {
		if rack := p.currentRack(s); rack != "" && rack != w.Rack {
			score += remotePenalty
		}
	}
	if s.spec.Filler {
		return score + w.used.MilliCores
	}
	if s.spec.Endless {
		score += int64(p.stageRunsOn(w, s))*colocationPenalty + w.used.MilliCores
		if !hasEndless(w) {
			score += noEndlessPenalty
		}
		if p.isDueForMaintenance(w) {
			score += maintenancePenalty
		}
		return score
	}
	return score + w.Room.MilliCores - w.used.MilliCores
}

// currentRack returns the rack on which a stage has begun.
func (p *Planner) currentRack(s *stage) croft.RackID {
	for _, t := range s.tasks {
		if t.run != nil {
			return t.run.worker.Rack
		}
	}
	return ""
}

// preempt stops short tasks for an endless one that fits nowhere, on the worker that loses least.
func (p *Planner) preempt(po *pool, s *stage, index int) {
	needs := s.needs()
	var best []*run
	for _, w := range po.workers {
		if !p.schedulable(w) || !p.admitsTask(w, s, index) {
			continue
		}
		victims, stopping := p.preemptionVictims(w, needs)
		if stopping {
			return
		}
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	for _, r := range best {
		p.stopRun(r, fmt.Sprintf("%s needs the room", s.id(index)))
	}
}

// preemptionVictims returns the youngest short runs whose end makes room, nil where that is not enough;
// stopping says that room is being made already.
func (p *Planner) preemptionVictims(w *worker, needs croft.Resources) (victims []*run, stopping bool) {
	var shortRuns []*run
	free := w.Room.Minus(w.used)
	freeAfter := free
	for _, r := range sortedRuns(w) {
		if r.phase == phaseStopping {
			freeAfter = freeAfter.Plus(r.needs())
		} else if !r.stage.spec.Endless {
			shortRuns = append(shortRuns, r)
		}
	}
	if needs.Fits(freeAfter) {
		return nil, true
	}
	slices.SortStableFunc(shortRuns, func(a, b *run) int { return cmp.Compare(b.startedAt, a.startedAt) })
	for i, r := range shortRuns {
		freeAfter = freeAfter.Plus(r.needs())
		if needs.Fits(freeAfter) {
			return shortRuns[:i+1], false
		}
	}
	return nil, false
}

// evacuate moves endless tasks from executors that leave or are to be maintained.
func (p *Planner) evacuate() {
	for _, po := range p.sortedPools {
		for _, w := range po.workers {
			if w.verified && (w.Draining || w.reserved) {
				p.evacuateWorker(po, w)
			}
		}
	}
}

func (p *Planner) evacuateWorker(po *pool, w *worker) {
	for _, r := range sortedRuns(w) {
		s := r.stage
		if !s.spec.Endless || r.phase != phaseActive || s.tasks[r.index].run != r {
			continue
		}
		if !w.Draining && !p.mayEvict(r) {
			continue
		}
		if p.chooseWorker(po, s, r.index) == nil && (w.Draining || p.now.Elapsed-w.reservedAt < shortTaskGrace) {
			// There may be room elsewhere soon. Where there is none for good, such as for a step as
			// wide as its pool, the task is away while its VM is.
			continue
		}
		s.tasks[r.index].evicted, r.evacuated = true, true
		p.stopRun(r, "its executor is to be emptied")
	}
}

// sortedRuns returns the runs of a worker by task, so that decisions repeat.
func sortedRuns(w *worker) []*run {
	return filterRuns(w, func(*run) bool { return true })
}

// filterRuns returns the runs of a worker for which something holds, by task.
func filterRuns(w *worker, match func(*run) bool) []*run {
	var out []*run
	for _, r := range w.runs {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.stage.job.id, b.stage.job.id), cmp.Compare(a.stage.occurrence, b.stage.occurrence), cmp.Compare(a.stage.step, b.stage.step), cmp.Compare(a.index, b.index))
	})
	return out
}

// mayEvict reports whether an endless task may be taken away now: fewer than MayMiss others of its
// step may be away, and one that is not known to be at work counts as away.
func (p *Planner) mayEvict(r *run) bool {
	s := r.stage
	if s.spec.MayMiss == 0 {
		return true
	}
	unavailable := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if i == r.index || t.done {
			continue
		}
		if t.evicted || t.run == nil || t.run.uncertainUntil != 0 || t.run.phase != phaseActive || t.run.percent < servingPercent || !t.run.worker.verified {
			unavailable++
		}
	}
	return unavailable < s.spec.MayMiss
}
