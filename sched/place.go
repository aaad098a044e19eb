package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"waxwing.example/croft"
)

// rank orders the stages that wait for capacity; lower ranks go first.
type rank struct {
	// tier is 0 for endless tasks, which callers expect to be served at all times, and 1 for others.
	tier int
	// priority is that of the queue; zero is the most urgent.
	priority int
	// excess is 1 for a job beyond the rate of its organisation's contract.
	excess int
	// lateness is 1 for a job that cannot meet its deadline any more and 2 for one whose result comes too late to be of
	// use.
	lateness int
	// share is the quantised share of the capacity that the job's organisation has in use.
	share    int
	deadline croft.Millis
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.excess, b.excess),
		cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.share, b.share), cmp.Compare(a.deadline, b.deadline))
}

// usefulFactor times the objective is how long a job is of use to its caller: according to the
// documentation of the platform, its result is late until then and useless afterwards.
const usefulFactor = 3

// rankStage returns the current rank of a stage.
func (p *Planner) rankStage(s *stage) rank {
	j := s.job
	r := rank{tier: 1, priority: p.priorityOf(j), deadline: j.deadline}
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
	r.excess, r.share = p.rankOrganisation(s)
	return r
}

// priorityOf returns the priority of the job's queue, or that at submission if the queue is removed.
func (p *Planner) priorityOf(j *job) int {
	if q, ok := p.queues[j.record.Queue]; ok {
		return q.Priority
	}
	return j.record.Priority
}

// rankedStage is a stage with its rank at the start of a placement pass.
type rankedStage struct {
	stage *stage
	rank  rank
}

// placeInterval is the time between placement passes over a pool in which nothing changed; ranks change with time.
const placeInterval = 200 * croft.Millis(1)

// minPlaceInterval is the minimum time between placement passes over a backlogged pool: each run that ends frees
// capacity, but a pass over a long queue costs more than using that capacity at once is worth. It is 1 % of the
// duration of the shortest tasks on record.
const minPlaceInterval = 6 * croft.Millis(1)

// placePools runs a placement pass over each pool that needs one.
func (p *Planner) placePools() {
	anyCut := false
	for _, po := range p.orderedPools() {
		if len(po.jobs) == 0 || len(po.workers) == 0 || (!po.changed && p.now.Elapsed-po.lastPlacement < placeInterval) {
			continue
		}
		if pause := po.lastPlacement + minPlaceInterval - p.now.Elapsed; (po.backlogged || po.heldByCap > maxHeldStages) && pause > 0 {
			p.requestWake(pause)
			continue
		}
		po.changed, po.backlogged, po.windowCut, po.heldByCap, po.lastPlacement = false, false, false, 0, p.now.Elapsed
		p.placePool(po)
		anyCut = anyCut || po.windowCut
	}
	if anyCut {
		p.window.firstPool++
	}
}

// requestWake asks for a Woken event after a duration, unless one is already due.
func (p *Planner) requestWake(after croft.Millis) {
	if p.wakeAt > p.now.Elapsed {
		return
	}
	p.wakeAt = p.now.Elapsed + after
	p.emit(Wake{After: after})
}

// awaitsSilentPart reports whether the announcement of a job has not been stored for so long that its part of the store does not
// answer. Until it does, the job neither holds capacity nor keeps others waiting.
func (p *Planner) awaitsSilentPart(j *job) bool {
	return j.announced && !j.announcementStored && p.now.Elapsed-j.announcedAt >= announcementPatience
}

// announcementPatience is how long the capacity for a job is held while the announcement of the job is being stored: longer than
// that takes while the store is slow or the leader is overloaded, which more jobs to place would prolong.
const announcementPatience = 5 * croft.Second

// placePool starts the waiting tasks of a pool that fit, by rank.
func (p *Planner) placePool(po *pool) {
	p.countUnseenRuns()
	unknownRuns := !p.jobsLoaded || p.mayHaveUnknownRuns(po)
	if !unknownRuns {
		p.giveUpInheritedSuspects(po)
	}
	p.refreshShares()
	unplaceable := unplaceableNeeds{}
	p.beginBackfill(po)
	for _, candidate := range p.waitingStages(po, unknownRuns) {
		if !p.mayStart() {
			p.cutPlacement(po)
			break
		}
		switch {
		case p.isCapReached(candidate.stage):
		case p.fitsNowhere(po, unplaceable, candidate.stage):
			po.backlogged = true
		case candidate.stage.spec.Gang:
			p.placeGang(po, candidate.stage)
		default:
			p.placeStage(po, candidate.stage)
			unplaceable = p.recordUnplaced(po, unplaceable, candidate.stage)
		}
		p.recordCapWait(po, candidate.stage)
		p.considerReservation(po, candidate.stage)
	}
	for _, use := range po.tentative {
		use.worker.used = use.worker.used.Minus(use.needs)
		p.removeUse(use.stage)
	}
	po.tentative = nil
}

// waitingStages returns the stages of a pool that have waiting tasks, by rank.
func (p *Planner) waitingStages(po *pool, unknownRuns bool) []rankedStage {
	var waiting []rankedStage
	for _, j := range po.jobs {
		// The tasks of an inherited job may already run on executors whose runs are not known yet.
		if (j.inherited && unknownRuns) || p.awaitsSilentPart(j) {
			continue
		}
		for _, s := range j.stages {
			if s.open && !p.isHeldByCap(po, s) && len(s.waiting) > 0 {
				s.adviceRequired = p.needsAdvice(s)
				waiting = append(waiting, rankedStage{stage: s, rank: p.rankStage(s)})
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b rankedStage) int { return a.rank.compare(b.rank) })
	return waiting
}

// unplaceableNeeds are the needs that fitted on no worker in one placement pass; tasks that need as much are not tried
// again in this pass.
type unplaceableNeeds []croft.Resources

// maxUnplaceable bounds the needs that each stage is compared with.
const maxUnplaceable = 16

// with adds the needs of a stage that could not be placed, unless constraints other than capacity may be the reason.
func (u unplaceableNeeds) with(s *stage) unplaceableNeeds {
	if s.spec.Requires != "" || s.spec.MostPerWorker > 0 || s.advice != nil || len(u) >= maxUnplaceable {
		return u
	}
	return append(u, s.needs())
}

// covers reports whether a stage needs at least as much as one that could not be placed. Endless tasks are always
// tried, since they may preempt others.
func (u unplaceableNeeds) covers(s *stage) bool {
	if s.spec.Endless {
		return false
	}
	needs := s.needs()
	for _, other := range u {
		if other.Fits(needs) {
			return true
		}
	}
	return false
}

// awaitsCapacity reports whether tasks wait for nothing but capacity; suspects may wait for an executor without others.
func (p *Planner) awaitsCapacity(s *stage) bool {
	return slices.ContainsFunc(s.waiting, func(index int) bool {
		return !s.tasks[index].isSuspect() && p.mayStartNow(s, index)
	})
}

// mayStartNow reports whether a waiting task may be started, wherever that is: it waits neither for the end of a pause nor for a run
// number.
func (p *Planner) mayStartNow(s *stage, index int) bool {
	t := &s.tasks[index]
	return p.now.Elapsed >= t.startFrom && p.hasRunNumber(s, index)
}

// placeStage starts as many waiting tasks of a stage as fit.
func (p *Planner) placeStage(po *pool, s *stage) {
	placed := placement{waiting: len(s.waiting)}
	defer func() { p.logPlacement(s, placed) }()
	for _, index := range slices.Clone(s.waiting) {
		if !p.mayStartNow(s, index) {
			continue
		}
		if !p.mayStart() {
			p.cutPlacement(po)
			return
		}
		if p.isCapReached(s) {
			return
		}
		w := p.chooseWorker(po, s, index)
		if w == nil {
			po.backlogged = true
			if s.adviceRequired {
				p.requestAdvice(po, s)
			}
			if s.spec.Endless {
				p.preempt(po, s, index)
			}
			if s.tasks[index].suspect {
				p.clearWorker(po, s)
			}
			if s.tasks[index].isSuspect() {
				continue
			}
			return
		}
		if !s.job.announcementStored {
			// The capacity is reserved for this pass only, so that no more jobs are announced than fit.
			p.announce(s.job)
			w.used = w.used.Plus(s.needs())
			p.addUse(s)
			po.tentative = append(po.tentative, tentativeUse{stage: s, worker: w, needs: s.needs()})
			continue
		}
		s.dequeue(index)
		p.startRun(s, index, w, s.tasks[index].runNumber+1)
		placed.add(w)
	}
}

// placement is what one placement pass started of a stage.
type placement struct {
	waiting, started int
	workers          []string
}

// maxLoggedWorkers bounds the executors that one log line names.
const maxLoggedWorkers = 6

// add counts a start and notes the worker for the log.
func (pl *placement) add(w *worker) {
	pl.started++
	if name := string(w.ID); len(pl.workers) < maxLoggedWorkers && !slices.Contains(pl.workers, name) {
		pl.workers = append(pl.workers, name)
	}
}

// logPlacement logs the first start of a stage and the pass that starts the last of its waiting tasks. Passes in
// between are not logged: with little free capacity, tasks start one by one.
func (p *Planner) logPlacement(s *stage, pl placement) {
	if pl.started == 0 || (s.startLogged && len(s.waiting) > 0) {
		return
	}
	s.startLogged = true
	first := s.id(0)
	p.log("Place", fmt.Sprintf("%s.%d.%d", first.Job, first.Occurrence, first.Step), strings.Join(pl.workers, ","),
		fmt.Sprintf("started %d of %d waiting tasks %d ms after the step was ready, %d ms before the job's deadline",
			pl.started, pl.waiting, p.now.Elapsed-s.openedAt, s.job.deadline-p.now.Elapsed))
}

// announce records in the state of a job that its tasks may be started, and queues the commit of that state.
func (p *Planner) announce(j *job) {
	if !j.announced {
		j.announced, j.progress.Announced, j.announcedAt = true, true, p.now.Elapsed
		p.markDirty(j)
	}
}

// tentativeUse is capacity of a worker that a placement pass holds for a job whose announcement is not stored yet.
type tentativeUse struct {
	stage  *stage
	worker *worker
	needs  croft.Resources
}

// placeGang starts all tasks of a gang at once or none.
func (p *Planner) placeGang(po *pool, s *stage) {
	if len(s.waiting) < s.remainingTasks {
		// A former leader started only some of the members; they would wait for the others in vain.
		p.stopGang(s)
		return
	}
	if slices.ContainsFunc(s.waiting, func(index int) bool { return !p.mayStartNow(s, index) }) {
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
		s.countRuns(w.ID, 1)
		chosen = append(chosen, w)
		number = max(number, s.tasks[index].runNumber)
	}
	for _, w := range chosen {
		w.used = w.used.Minus(needs)
		s.countRuns(w.ID, -1)
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

// gangCheckpoint returns the checkpoint of any member: each is valid for all of them.
func (p *Planner) gangCheckpoint(s *stage) string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

// chooseWorker returns the best worker for a task, or nil if it fits nowhere.
func (p *Planner) chooseWorker(po *pool, s *stage, index int) *worker {
	needs := s.needs()
	var best *worker
	var bestScore int64
	for _, w := range po.workers {
		// Capacity is compared first: it is the cheapest condition and the one that most workers fail.
		if !w.used.Plus(needs).Fits(w.Room) || !p.schedulable(w) || !p.admitsTask(w, s, index) || p.delaysReserved(po, w, s, index) {
			continue
		}
		if score := p.score(w, s, index); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// satisfiesConstraints reports whether a worker has the label that a step requires and runs fewer tasks of the step
// than its maximum per worker.
func (p *Planner) satisfiesConstraints(w *worker, s *stage) bool {
	if s.spec.Requires != "" && !slices.Contains(w.Labels, s.spec.Requires) {
		return false
	}
	return s.spec.MostPerWorker == 0 || p.stageRunsOn(w, s) < s.spec.MostPerWorker
}

// admitsTask reports whether a task may start on a worker, apart from its capacity.
func (p *Planner) admitsTask(w *worker, s *stage, index int) bool {
	if s.tasks[index].unlistedEnd && p.mayBeSucceeded() {
		return false
	}
	if !p.mayStartBeside(w, s, index) {
		return false
	}
	if !p.satisfiesConstraints(w, s) || (s.tasks[index].liveRuns > 0 && w.runs[s.id(index)] != nil) {
		return false
	}
	return p.isPermitted(s, w)
}

// countRuns adds to the number of runs of a stage on a worker.
func (s *stage) countRuns(id croft.WorkerID, runs int) {
	if s.runsByWorker == nil {
		s.runsByWorker = map[croft.WorkerID]int{}
	}
	s.runsByWorker[id] += runs
}

// stageRunsOn returns the number of runs of a stage on a worker.
func (p *Planner) stageRunsOn(w *worker, s *stage) int { return s.runsByWorker[w.ID] }

// Penalties of the placement score. Each is larger than any number of free milli-cores; the larger, the more important.
const (
	// remotePenalty keeps tasks near their data: elsewhere they take remote_factor times as long.
	remotePenalty = int64(1) << 40
	// failedHerePenalty keeps a task from the worker on which its last run failed.
	failedHerePenalty = int64(1) << 38
	// colocationPenalty spreads the endless tasks of a step, so that the loss of one executor stops only one of them.
	colocationPenalty = int64(1) << 30
	// maintenancePenalty keeps endless tasks from VMs that are to be maintained.
	maintenancePenalty = int64(1) << 34
	// noEndlessPenalty gathers endless tasks on few executors, so that the VMs of the others can move.
	noEndlessPenalty = int64(1) << 27
	// failurePenalty, for each consecutive failure on a worker, keeps tasks from it.
	failurePenalty = int64(1) << 28
)

// score rates a worker for a task, lower is better: jobs are packed onto few workers, endless tasks and fillers go to
// those with the least in use.
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
	if s.tasks[index].isSuspect() && !s.spec.Endless {
		// The executor with the least work loses the least.
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

// currentRack returns the rack of the first running task of a stage, or none.
func (p *Planner) currentRack(s *stage) croft.RackID {
	for _, t := range s.tasks {
		if t.run != nil {
			return t.run.worker.Rack
		}
	}
	return ""
}
