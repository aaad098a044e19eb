package sched

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
)

// survivalTime is how long an executor must go on after a start for its end not to be put down to that start.
const survivalTime = 200 * croft.Millis(1)

// recordAnswer records that an executor has just answered.
func (p *Planner) recordAnswer(w *worker) { w.aliveAt = p.now.Elapsed }

// survived reports whether the executor of a run is known to have gone on for survivalTime after the run's start.
func (r *run) survived() bool {
	return r.worker.aliveAt >= max(r.startedAt, r.answeredAt)+survivalTime
}

// endUnexpectedly ends the incarnation of an executor that no order and no shutdown of its own ended, as far as is known. It
// logs the tasks that were started just before.
func (p *Planner) endUnexpectedly(w *worker, reason string) {
	_, ordered := p.fleet.departures[w.ID]
	if !ordered && !w.Draining && !w.reserved {
		p.logCrash(w, filterRuns(w, func(r *run) bool { return !r.survived() }))
	}
	p.endIncarnation(w, reason)
}

// logCrash logs the runs that were started just before their executor went down.
func (p *Planner) logCrash(w *worker, suspects []*run) {
	if len(suspects) == 0 {
		return
	}
	var names []string
	for _, r := range suspects[:min(len(suspects), maxLoggedRuns)] {
		names = append(names, fmt.Sprintf("%s run %d", r.stage.id(r.index), r.number))
	}
	p.log("Crash", string(w.ID), "", fmt.Sprintf("%d of its %d runs had just been started: %s", len(suspects), len(w.runs), strings.Join(names, ", ")))
}

// maxLoggedRuns bounds the runs that one log line names.
const maxLoggedRuns = 8
