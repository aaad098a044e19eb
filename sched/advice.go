package sched

import (
	"cmp"
	"fmt"
	"slices"

	"waxwing.example/croft"
)

// permit lets the tasks of a stage start on one worker.
type permit struct {
	ticket  string
	born    int64
	expires croft.Millis
}

// advice is what the advice service has said of a stage.
type advice struct {
	permits map[croft.WorkerID]permit
	// refused are workers on which the stage may not run; that does not change.
	refused        map[croft.WorkerID]bool
	requestPending bool
	retryAt        croft.Millis
}

// Limits of questions to the advice service.
const (
	// maxAdviceWorkers is how many executors are asked about at once: each takes the service time, and
	// the objective of a job counts one question about so many.
	maxAdviceWorkers = 30
	// maxAdviceRequests keeps this entry's questions below the 32 that the service lets wait.
	maxAdviceRequests = 8
	// adviceRetryPause is the pause after a question without an answer.
	adviceRetryPause = 300 * croft.Millis(1)
	// permitMargin is kept of a permit's time for the way of the start.
	permitMargin = 200 * croft.Millis(1)
)

// needsAdvice reports whether a stage may start only with permits.
func (p *Planner) needsAdvice(s *stage) bool { return p.queues[s.job.record.Queue].NeedsAdvice }

// permitFor returns the permit of a stage for a worker.
func (p *Planner) permitFor(s *stage, w *worker) (permit, bool) {
	if s.advice == nil {
		return permit{}, false
	}
	pe, ok := s.advice.permits[w.ID]
	return pe, ok && pe.born == w.born && p.now.Elapsed+permitMargin < pe.expires
}

// requestAdvice asks about the workers that would suit a stage best.
func (p *Planner) requestAdvice(po *pool, s *stage) {
	if s.advice == nil {
		s.advice = &advice{permits: map[croft.WorkerID]permit{}, refused: map[croft.WorkerID]bool{}}
	}
	a := s.advice
	if a.requestPending || p.now.Elapsed < a.retryAt || p.pendingAdvice >= maxAdviceRequests {
		return
	}
	var candidates []*worker
	for _, w := range po.workers {
		_, permitted := p.permitFor(s, w)
		if !permitted && !a.refused[w.ID] && p.schedulable(w) && p.satisfiesConstraints(w, s) && s.needs().Fits(w.Room.Minus(w.used)) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(x, y *worker) int {
		return cmp.Compare(p.score(x, s, s.waiting[0]), p.score(y, s, s.waiting[0]))
	})
	request := Advise{Stage: s.id(0), Sent: p.now.Elapsed}
	for _, w := range candidates[:min(len(candidates), maxAdviceWorkers)] {
		request.Workers = append(request.Workers, w.ID)
		request.Born = append(request.Born, w.born)
	}
	a.requestPending = true
	p.pendingAdvice++
	p.emit(request)
}

func (p *Planner) handleAdviceResult(e Advised) {
	p.pendingAdvice = max(p.pendingAdvice-1, 0)
	s, _ := p.findStage(e.Stage)
	if s == nil || s.advice == nil {
		return
	}
	a := s.advice
	a.requestPending = false
	if e.Err != nil {
		a.retryAt = p.now.Elapsed + adviceRetryPause
		p.log("Advice", string(s.job.id), "NoAnswer", e.Err.Error())
		return
	}
	p.log("Advice", string(s.job.id), fmt.Sprintf("%d of %d", len(e.Tickets), len(e.Workers)), "executors that may run step "+fmt.Sprint(s.step))
	for i, id := range e.Workers {
		ticket, ok := e.Tickets[id]
		if !ok {
			a.refused[id] = true
			continue
		}
		a.permits[id] = permit{ticket: ticket, born: e.Born[i], expires: e.Sent + e.Valid}
	}
	p.pool(s.job.record.Pool).changed = true
}
