package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// Spans of holds.
const (
	// holdWait is how long an executor may keep a hold waiting; the platform takes at most 2 s. One that
	// has crashed, or whose answer was lost, is given up only after it.
	holdWait = 1 * croft.Second
	// settleWait is the pause before a hold whose ends are not stored yet, which would come back at once.
	settleWait = 150 * croft.Millis(1)
	// retryWait and retryLongest pace holds of an executor that does not answer.
	retryWait    = 200 * croft.Millis(1)
	retryLongest = 1 * croft.Second
)

// holdIdle sends the holds that are due to executors about which something was heard, or to all.
func (p *Planner) holdIdle(all bool) {
	if !p.read {
		return
	}
	heard := p.heard
	if all {
		heard = p.workerOrder
	}
	for _, w := range heard {
		p.holdDue(w)
	}
	p.heard = p.heard[:0]
}

func (p *Planner) holdDue(w *worker) {
	if w.holding || p.now.Elapsed < w.nextHold || w.Address == "" {
		return
	}
	if !w.verified && !w.listed && p.now.Elapsed >= w.granted {
		return
	}
	w.holding = true
	p.sendHold(w)
}

func (p *Planner) sendHold(w *worker) {
	order := croft.HoldOrder{Worker: w.ID, Address: w.Address, Fence: p.fence, Until: p.until(w)}
	if w.verified {
		order.Seen, order.Wait = w.seen, w.holdWaitOf(p.now.Elapsed)
	}
	p.do(Hold{Order: order, Sent: p.now.Elapsed})
}

// check asks a worker for its lists at once, beside the hold that waits.
func (p *Planner) check(w *worker) {
	w.checking = true
	p.do(Hold{Order: croft.HoldOrder{Worker: w.ID, Address: w.Address, Fence: p.fence, Seen: w.seen}, Sent: p.now.Elapsed, Check: true})
}

// takeCheck compares the lists of a check; whatever else it could say, the long hold says too.
func (p *Planner) takeCheck(w *worker, e Holding) {
	w.checking = false
	if e.Err != nil || !w.verified || e.Report.Born != w.born {
		return
	}
	p.takeEnds(w, e.Report.Ended)
	p.compareRuns(w, e)
	p.forgetAcked(w)
}

func (p *Planner) takeHold(e Holding) {
	w, ok := p.workers[e.Order.Worker]
	if !ok {
		return
	}
	if e.Check {
		p.takeCheck(w, e)
		return
	}
	w.holding = false
	p.heard = append(p.heard, w)
	if e.Err != nil {
		p.holdFailed(w, e)
		return
	}
	p.holdAnswered(w, e)
}

func (p *Planner) holdFailed(w *worker, e Holding) {
	if p.refusedForAll(w, e.Err) && !p.leading {
		return
	}
	if w.verified {
		p.log("Lost", string(w.ID), "", e.Err.Error())
		p.askFleet()
		p.copyRuns(w)
	}
	w.verified = false
	w.misses++
	w.nextHold = p.now.Elapsed + min(retryWait*croft.Millis(w.misses), retryLongest)
}

// copyRuns lets the tasks on a lost executor that may run twice wait for another run at once: the
// others have to wait until it is certain that theirs have ended.
func (p *Planner) copyRuns(w *worker) {
	copied := runsThat(w, func(r *run) bool {
		return r.stage.spec.Duplicates && !r.stage.spec.Gang && r.stage.tasks[r.index].run == r
	})
	for _, r := range copied {
		r.stage.tasks[r.index].run = nil
		p.requeue(r.stage, r.index)
	}
	if len(copied) > 0 {
		p.log("Copy", string(w.ID), "", fmt.Sprintf("%d tasks that may run twice", len(copied)))
	}
}

func (p *Planner) holdAnswered(w *worker, e Holding) {
	if w.born != 0 && e.Report.Born != w.born {
		if e.Report.Born < w.born {
			return
		}
		p.endIncarnation(w, "it answered with a later start")
	}
	w.born = e.Report.Born
	w.misses = 0
	w.ahead, w.clockKnown = e.Report.Clock-p.now.Elapsed, true
	if !w.verified {
		if e.Order.Seen != 0 || e.Order.Wait != 0 {
			// The lists of a new incarnation must be asked for without forgetting ends.
			w.nextHold = p.now.Elapsed
			return
		}
		w.verified = true
		p.pool(w.Pool).changed = true
		p.log("Verified", string(w.ID), "", fmt.Sprintf("%d run, %d ended", len(e.Report.Active), len(e.Report.Ended)))
	}
	p.takeEnds(w, e.Report.Ended)
	p.compareRuns(w, e)
	p.paceFillers(w)
	p.stopStuck(w)
	p.forgetAcked(w)
	w.nextHold = p.now.Elapsed
	if len(w.acks) > 0 {
		w.nextHold += settleWait
	}
}

// takeEnds takes in the ends that are new.
func (p *Planner) takeEnds(w *worker, ends []croft.EndedRun) {
	for _, end := range ends {
		if end.Number > w.noted {
			p.takeEnd(w, end)
		}
	}
}

// takeEnd takes in one end.
func (p *Planner) takeEnd(w *worker, end croft.EndedRun) {
	w.noted = end.Number
	entry := ack{number: end.Number}
	s, index := p.find(end.Task)
	if r := w.runs[end.Task]; r != nil && r.number == end.Run {
		if end.How == croft.EndDone {
			p.learn(r)
		}
		p.drop(r)
	}
	if s != nil {
		// Whatever the end changes, it may be forgotten only once the job's state is stored: another
		// member of a gang may have ended the job before.
		entry.job, entry.sequence = s.job, s.job.sequence
	}
	if s == nil || s.job.ended {
		w.acks = append(w.acks, entry)
		return
	}
	p.jobBegan(s.job, w)
	t := &s.tasks[index]
	t.number = max(t.number, end.Run)
	if end.Checkpoint != "" && !t.done {
		t.checkpoint = end.Checkpoint
	}
	switch end.How {
	case croft.EndDone:
		w.failures = 0
		p.endDone(s, index)
		entry.job, entry.sequence = s.job, s.job.sequence
	case croft.EndFailed:
		p.log("Failed", end.Task.String(), string(w.ID), fmt.Sprintf("run %d", end.Run))
		p.countFailure(w)
		p.taskFailed(s, index, end.Run, w.ID)
		entry.job, entry.sequence = s.job, s.job.sequence
	default:
		p.log("Ended", end.Task.String(), string(w.ID), fmt.Sprintf("run %d %s", end.Run, end.How))
	}
	p.requeue(s, index)
	w.acks = append(w.acks, entry)
}

// endDone notes a finished task, and those of its gang with it.
func (p *Planner) endDone(s *stage, index int) {
	p.taskDone(s, index)
	if r := s.tasks[index].run; r != nil {
		p.stopRun(r, "another run finished the task")
	}
	if !s.spec.Gang {
		return
	}
	for i := range s.tasks {
		p.taskDone(s, i)
	}
}

// find returns the stage of a task that is not forgotten.
func (p *Planner) find(id croft.TaskID) (*stage, int) {
	j, ok := p.jobs[id.Job]
	if !ok {
		return nil, 0
	}
	s := j.stage(id.Occurrence, id.Step)
	if s == nil || id.Index >= len(s.tasks) {
		return nil, 0
	}
	return s, id.Index
}

// compareRuns brings what is known of a worker's runs in line with its list.
func (p *Planner) compareRuns(w *worker, e Holding) {
	w.lists++
	orphans := w.orphans
	w.orphans = 0
	for _, a := range e.Report.Active {
		p.takeActive(w, a, e.Sent)
	}
	if w.orphans < orphans {
		p.pool(w.Pool).changed = true
	}
	vanished := func(r *run) bool { return r.listed != w.lists && r.known != 0 && r.known < e.Sent }
	for _, r := range runsThat(w, vanished) {
		p.log("Vanished", r.stage.id(r.index).String(), string(w.ID), fmt.Sprintf("run %d is in neither list", r.number))
		p.giveUp(r)
	}
}

// takeActive takes in a listed run; the list was asked for at an instant.
func (p *Planner) takeActive(w *worker, a croft.ActiveRun, sent croft.Millis) {
	s, index := p.find(a.Task)
	if s == nil {
		w.orphans++
		p.stopUnknown(w, a)
		return
	}
	p.jobBegan(s.job, w)
	t := &s.tasks[index]
	t.number = max(t.number, a.Run)
	r := w.runs[a.Task]
	if r == nil || r.number < a.Run {
		r = p.adopt(w, s, index, a)
	}
	r.listed = w.lists
	if r.number != a.Run {
		return
	}
	if r.phase == phaseStarting {
		r.phase, r.known = phaseActive, p.now.Elapsed
	}
	if r.percent != a.Percent {
		r.moved = p.now.Elapsed
	}
	r.percent, r.gauge = a.Percent, a.Gauge
	if sent >= r.doubted {
		r.doubted = 0
	}
	if a.Checkpoint != "" {
		t.checkpoint = a.Checkpoint
	}
	if a.Percent >= atWork && t.run == r {
		t.taken = false
	}
	if (t.done || s.job.ended) && r.phase != phaseStopping {
		p.stopRun(r, "its task has ended")
	}
}

// atWork is the percentage of an endless task that serves.
const atWork = 100

// adopt takes over a run that a former leader or a late order started.
func (p *Planner) adopt(w *worker, s *stage, index int, a croft.ActiveRun) *run {
	if old := w.runs[a.Task]; old != nil {
		p.drop(old)
	}
	r := &run{stage: s, index: index, number: a.Run, worker: w, phase: phaseActive, began: p.now.Elapsed, known: p.now.Elapsed, moved: p.now.Elapsed, doubted: p.now.Elapsed + p.options.Stop, pace: fullPace}
	p.add(r)
	t := &s.tasks[index]
	if t.run != nil && t.run != r {
		p.stopRun(r, "the task has another run")
		return r
	}
	t.run = r
	s.unqueue(index)
	return r
}

// forgetAcked moves the mark up to which the executor may forget ends.
func (p *Planner) forgetAcked(w *worker) {
	for len(w.acks) > 0 {
		a := w.acks[0]
		if a.job != nil && a.job.stored < a.sequence {
			return
		}
		w.seen = a.number
		w.acks = w.acks[1:]
	}
}
