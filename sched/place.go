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
	due      croft.Millis
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.due, b.due))
}

// uselessAfter times the objective is when a job is of no more use to its caller: the platform's
// pages call it late up to there.
const uselessAfter = 3

func (p *Planner) rankOf(s *stage) rank {
	j := s.job
	r := rank{tier: 1, priority: j.record.Priority, due: j.due}
	if q, ok := p.queues[j.record.Queue]; ok {
		r.priority = q.Priority
	}
	if s.spec.Endless {
		r.tier = 0
		return r
	}
	switch left := p.now.Elapsed + j.tail[s.step]; {
	case left > j.came+uselessAfter*(j.due-j.came):
		r.lateness = 2
	case left > j.due:
		r.lateness = 1
	}
	return r
}

// candidate is a stage with its rank.
type candidate struct {
	stage *stage
	rank  rank
}

// placeSpan is how long a pool in which nothing changed is left alone; ranks change with time.
const placeSpan = 200 * croft.Millis(1)

// placePause is the least time between two passes over a pool in which the last one left tasks
// waiting: room comes with each end, and a pass over a long queue for each of them costs more than
// the room is worth for that time, which is 1 % of the shortest tasks on record.
const placePause = 6 * croft.Millis(1)

// place starts what waits and fits, in pools in which something changed.
func (p *Planner) place() {
	for _, po := range p.poolOrder {
		if len(po.jobs) == 0 || len(po.order) == 0 || (!po.changed && p.now.Elapsed-po.placed < placeSpan) {
			continue
		}
		if left := po.placed + placePause - p.now.Elapsed; po.short && left > 0 {
			p.wake(left)
			continue
		}
		po.changed, po.short, po.placed = false, false, p.now.Elapsed
		p.placePool(po)
	}
}

// wake asks for time to pass after a span.
func (p *Planner) wake(span croft.Millis) {
	if p.waking > p.now.Elapsed {
		return
	}
	p.waking = p.now.Elapsed + span
	p.do(Wake{After: span})
}

func (p *Planner) placePool(po *pool) {
	var waiting []candidate
	hidden := p.mayHideRuns(po)
	for _, j := range po.jobs {
		if j.before && (hidden || !p.read) {
			continue
		}
		for _, s := range j.stages {
			if s.open && len(s.waiting) > 0 {
				s.advised = p.needsAdvice(s)
				waiting = append(waiting, candidate{stage: s, rank: p.rankOf(s)})
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b candidate) int { return a.rank.compare(b.rank) })
	full := fullness{}
	for _, c := range waiting {
		switch {
		case full.covers(c.stage):
			po.short = true
		case c.stage.spec.Gang:
			p.placeGang(po, c.stage)
		default:
			p.placeStage(po, c.stage)
			if len(c.stage.waiting) > 0 {
				full = full.with(c.stage)
			}
		}
	}
	for _, kept := range po.tentative {
		kept.worker.used = kept.worker.used.Minus(kept.needs)
	}
	po.tentative = nil
}

// fullness is what did not fit anywhere in one pass over a pool, so that what needs no less is not
// tried on every worker again.
type fullness []croft.Resources

// mostFull bounds the comparisons for one stage.
const mostFull = 16

func (f fullness) with(s *stage) fullness {
	if s.spec.Requires != "" || s.spec.MostPerWorker > 0 || s.advice != nil || len(f) >= mostFull {
		return f
	}
	return append(f, s.needs())
}

func (f fullness) covers(s *stage) bool {
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
		w := p.choose(po, s, index)
		if w == nil {
			po.short = true
			if s.advised {
				p.seekAdvice(po, s)
			}
			if s.spec.Endless {
				p.makeRoom(po, s, index)
			}
			return
		}
		if !s.job.permitted {
			// Its room is taken for this pass only, so that no more is announced than fits.
			p.announce(s.job)
			w.used = w.used.Plus(s.needs())
			po.tentative = append(po.tentative, tentativeRoom{worker: w, needs: s.needs()})
			continue
		}
		s.unqueue(index)
		p.startRun(s, index, w, s.tasks[index].number+1)
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
	if pl.started == 0 || (s.shown && len(s.waiting) > 0) {
		return
	}
	s.shown = true
	first := s.id(0)
	p.log("Place", fmt.Sprintf("%s.%d.%d", first.Job, first.Occurrence, first.Step), strings.Join(pl.workers, ","),
		fmt.Sprintf("%d of %d tasks that waited, %d ms after their turn came, %d ms before the job is late",
			pl.started, pl.waiting, p.now.Elapsed-s.opened, s.job.due-p.now.Elapsed))
}

// announce stores that tasks of a job may be started.
func (p *Planner) announce(j *job) {
	if !j.announced {
		j.announced, j.progress.Announced = true, true
		p.touch(j)
	}
}

// tentativeRoom is room that a pass over a pool keeps for a job that is being announced.
type tentativeRoom struct {
	worker *worker
	needs  croft.Resources
}

// placeGang starts all tasks of a gang at once or none.
func (p *Planner) placeGang(po *pool, s *stage) {
	if len(s.waiting) < s.left {
		// A former leader started some of its members only: they would wait for the others in vain.
		p.stopGang(s)
		return
	}
	chosen := make([]*worker, 0, len(s.waiting))
	number := 0
	needs := s.needs()
	for _, index := range s.waiting {
		w := p.choose(po, s, index)
		if w == nil {
			break
		}
		w.used = w.used.Plus(needs)
		chosen = append(chosen, w)
		number = max(number, s.tasks[index].number)
	}
	for _, w := range chosen {
		w.used = w.used.Minus(needs)
	}
	if len(chosen) < len(s.waiting) {
		po.short = true
		if s.advised {
			p.seekAdvice(po, s)
		}
		return
	}
	if !s.job.permitted {
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

// choose returns the worker for a task, nil where none has room.
func (p *Planner) choose(po *pool, s *stage, index int) *worker {
	needs := s.needs()
	var best *worker
	var bestScore int64
	for _, w := range po.order {
		// Room is compared first: it is what most executors lack, and costs least.
		if !w.used.Plus(needs).Fits(w.Room) || !p.usable(w) || !p.admits(w, s, index) {
			continue
		}
		if score := p.score(w, s, index); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// suits reports whether a step's own conditions allow a worker.
func (p *Planner) suits(w *worker, s *stage) bool {
	if s.spec.Requires != "" && !slices.Contains(w.Labels, s.spec.Requires) {
		return false
	}
	return s.spec.MostPerWorker == 0 || p.together(w, s) < s.spec.MostPerWorker
}

// admits reports whether a task may start on a worker, room apart.
func (p *Planner) admits(w *worker, s *stage, index int) bool {
	if !p.suits(w, s) || (s.tasks[index].runs > 0 && w.runs[s.id(index)] != nil) {
		return false
	}
	if s.advised {
		_, ok := p.permitFor(s, w)
		return ok
	}
	return true
}

// together counts the tasks of a stage on a worker.
func (p *Planner) together(w *worker, s *stage) int { return s.on[w.ID] }

// Weights of a placement, larger than any number of free milli-cores, the most important first.
const (
	// remoteScore keeps tasks near their data: elsewhere they take remote_factor times as long.
	remoteScore = int64(1) << 40
	// avoidScore keeps a task from the executor on which it failed.
	avoidScore = int64(1) << 38
	// togetherScore spreads endless tasks of a step, so that one loss takes one of them.
	togetherScore = int64(1) << 30
	// dueScore keeps endless tasks from VMs that will be maintained.
	dueScore = int64(1) << 34
	// freshScore gathers endless tasks on few executors, so that the VMs of others can move.
	freshScore = int64(1) << 27
	// failureScore keeps tasks from executors on which the last ones failed.
	failureScore = int64(1) << 28
)

// score is lower for a better worker: short jobs are packed, endless tasks are spread.
func (p *Planner) score(w *worker, s *stage, index int) int64 {
	score := int64(w.failures) * failureScore
	if s.spec.DataRack != "" && w.Rack != s.spec.DataRack {
		score += remoteScore
	}
	if s.tasks[index].avoid == w.ID {
		score += avoidScore
	}
	if s.spec.SameRack {
		if rack := p.rackOf(s); rack != "" && rack != w.Rack {
			score += remoteScore
		}
	}
	if s.spec.Filler {
		return score + w.used.MilliCores
	}
	if s.spec.Endless {
		score += int64(p.together(w, s))*togetherScore + w.used.MilliCores
		if !hasEndless(w) {
			score += freshScore
		}
		if p.dueForWave(w) {
			score += dueScore
		}
		return score
	}
	return score + w.Room.MilliCores - w.used.MilliCores
}

// rackOf returns the rack on which a stage has begun.
func (p *Planner) rackOf(s *stage) croft.RackID {
	for _, t := range s.tasks {
		if t.run != nil {
			return t.run.worker.Rack
		}
	}
	return ""
}

// makeRoom stops short tasks for an endless one that fits nowhere, on the worker that loses least.
func (p *Planner) makeRoom(po *pool, s *stage, index int) {
	needs := s.needs()
	var best []*run
	for _, w := range po.order {
		if !p.usable(w) || !p.admits(w, s, index) {
			continue
		}
		victims, stopping := p.victims(w, needs)
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

// victims returns the youngest short runs whose end makes room, nil where that is not enough;
// stopping says that room is being made already.
func (p *Planner) victims(w *worker, needs croft.Resources) (victims []*run, stopping bool) {
	var short []*run
	free := w.Room.Minus(w.used)
	after := free
	for _, r := range sortedRuns(w) {
		if r.phase == phaseStopping {
			after = after.Plus(r.needs())
		} else if !r.stage.spec.Endless {
			short = append(short, r)
		}
	}
	if needs.Fits(after) {
		return nil, true
	}
	slices.SortStableFunc(short, func(a, b *run) int { return cmp.Compare(b.began, a.began) })
	for i, r := range short {
		after = after.Plus(r.needs())
		if needs.Fits(after) {
			return short[:i+1], false
		}
	}
	return nil, false
}

// evacuate moves endless tasks from executors that leave or are to be maintained.
func (p *Planner) evacuate() {
	for _, po := range p.poolOrder {
		for _, w := range po.order {
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
		if !w.Draining && !p.mayTake(r) {
			continue
		}
		if p.choose(po, s, r.index) == nil && (w.Draining || p.now.Elapsed-w.reservedAt < shortTaskSpan) {
			// There may be room elsewhere soon. Where there is none for good, such as for a step as
			// wide as its pool, the task is away while its VM is.
			continue
		}
		s.tasks[r.index].taken, r.evacuated = true, true
		p.stopRun(r, "its executor is to be emptied")
	}
}

// sortedRuns returns the runs of a worker by task, so that decisions repeat.
func sortedRuns(w *worker) []*run {
	return runsThat(w, func(*run) bool { return true })
}

// runsThat returns the runs of a worker for which something holds, by task.
func runsThat(w *worker, holds func(*run) bool) []*run {
	var out []*run
	for _, r := range w.runs {
		if holds(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.stage.job.id, b.stage.job.id), cmp.Compare(a.stage.occurrence, b.stage.occurrence), cmp.Compare(a.stage.step, b.stage.step), cmp.Compare(a.index, b.index))
	})
	return out
}

// mayTake reports whether an endless task may be taken away now: fewer than MayMiss others of its
// step may be away, and one that is not known to be at work counts as away.
func (p *Planner) mayTake(r *run) bool {
	s := r.stage
	if s.spec.MayMiss == 0 {
		return true
	}
	away := 0
	for i := range s.tasks {
		t := &s.tasks[i]
		if i == r.index || t.done {
			continue
		}
		if t.taken || t.run == nil || t.run.doubted != 0 || t.run.phase != phaseActive || t.run.percent < atWork || !t.run.worker.verified {
			away++
		}
	}
	return away < s.spec.MayMiss
}
