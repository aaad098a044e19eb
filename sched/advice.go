package sched

import (
	"cmp"
	"fmt"
	"slices"

	"waxwing.example/croft"
)

// permit allows starts of a stage's tasks on one worker until it expires.
type permit struct {
	ticket string
	// born is the incarnation of the executor that the permit is valid for.
	born    int64
	expires croft.Millis
}

// advice is what the advice service has answered for a stage.
type advice struct {
	permits map[croft.WorkerID]permit
	// refused are the workers for which the service gave no ticket; it does not change such a decision.
	refused        map[croft.WorkerID]bool
	requestPending bool
	// retryAt is when the next request may be sent after one that failed.
	retryAt croft.Millis
}

// Limits of requests to the advice service.
const (
	// maxAdviceWorkers is the number of executors in one request: the service takes time for each of them, and the
	// objective of a job allows for one request with this many.
	maxAdviceWorkers = 30
	// maxAdviceRequests limits this entry's pending requests; the service queues at most 32 of all entries.
	maxAdviceRequests = 8
	// adviceRetryPause is the pause after a failed request.
	adviceRetryPause = 300 * croft.Millis(1)
	// permitMargin is the remaining validity that a permit needs, to allow for the time until the start arrives.
	permitMargin = 200 * croft.Millis(1)
)

// needsAdvice reports whether the tasks of a stage start only with permits of the advice service. The jobs of a queue that was
// removed need them as they did when they were submitted.
func (p *Planner) needsAdvice(s *stage) bool {
	if q, ok := p.queues[s.job.record.Queue]; ok {
		return q.NeedsAdvice
	}
	return s.job.record.NeedsAdvice
}

// permitFor returns the permit of a stage for a worker, if it has one that is still valid.
func (p *Planner) permitFor(s *stage, w *worker) (permit, bool) {
	if s.advice == nil {
		return permit{}, false
	}
	pe, ok := s.advice.permits[w.ID]
	return pe, ok && pe.born == w.born && p.now.Elapsed+permitMargin < pe.expires
}

// isPermitted reports whether tasks of a stage may start on a worker as far as advice is concerned.
func (p *Planner) isPermitted(s *stage, w *worker) bool {
	if !s.adviceRequired {
		return true
	}
	_, ok := p.permitFor(s, w)
	return ok
}

// requestAdvice requests permits for the workers that have capacity for a task of a stage, those with the best scores
// first. It does nothing while a request of the stage is pending, after a failed one until retryAt, and while this entry
// has maxAdviceRequests pending.
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

// handleAdviceResult records the permits and refusals in an answer of the advice service.
func (p *Planner) handleAdviceResult(e Advised) {
	p.pendingAdvice = max(p.pendingAdvice-1, 0)
	_, s, _ := p.findStage(e.Stage)
	if s == nil || s.advice == nil {
		return
	}
	a := s.advice
	a.requestPending = false
	if e.Err != nil {
		a.retryAt = p.now.Elapsed + adviceRetryPause
		p.log("Advice", string(s.job.id), "NoAnswer", fmt.Sprintf("request for %d executors for step %d: %v", len(e.Workers), s.step, e.Err))
		return
	}
	p.log("Advice", string(s.job.id), fmt.Sprintf("%d of %d", len(e.Tickets), len(e.Workers)), "executors permitted for step "+fmt.Sprint(s.step))
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
