package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// Weights of pacing.
const (
	// paceLow and paceHigh are the shares of a tail target, in percent, below which fillers get
	// more of the processor and above which they get less.
	paceLow  = 60
	paceHigh = 85
	// paceStep is what fillers regain with each good report, in percent of their share.
	paceStep = 10
	// paceDivisor divides their share with each bad report: three of them end the harm within two
	// seconds, half of what the platform allows.
	paceDivisor = 3
	// pacedHoldWait is how long a hold may wait on an executor with fillers beside tasks that serve; the
	// tail is a figure for the last half second.
	pacedHoldWait = 500 * croft.Millis(1)
	fullPace      = 100
)

// paceFillers sets the processor share of a worker's fillers by the tails of the tasks that serve.
func (p *Planner) paceFillers(w *worker) {
	worst, fillers := w.worstTail()
	if len(fillers) == 0 || worst < 0 {
		return
	}
	pace := w.pace
	switch {
	case worst > paceHigh:
		pace /= paceDivisor
	case worst < paceLow:
		pace = min(pace+paceStep, fullPace)
	}
	if pace != w.pace {
		p.log("Pace", string(w.ID), fmt.Sprint(pace), fmt.Sprintf("the worst tail is %d %% of its target", worst))
	}
	w.pace = pace
	for _, r := range fillers {
		if r.pace == pace || r.phase != phaseActive {
			continue
		}
		r.pace = pace
		order := p.newRunOrder(w, r.stage.id(r.index), r.number)
		order.Percent = pace
		p.emit(Pace{Order: order})
	}
}

// worstTail returns the worst tail in percent of its target, -1 where no task serves, and the fillers.
func (w *worker) worstTail() (int64, []*run) {
	worst := int64(-1)
	if w.fillerRuns == 0 {
		return worst, nil
	}
	var fillers []*run
	for _, r := range sortedRuns(w) {
		switch {
		case r.stage.spec.Filler:
			fillers = append(fillers, r)
		case r.stage.spec.TailTarget > 0:
			worst = max(worst, r.gauge*100/int64(r.stage.spec.TailTarget))
		}
	}
	return worst, fillers
}

// holdWaitAt is how long a hold of a worker may wait.
func (w *worker) holdWaitAt(now croft.Millis) croft.Millis {
	if certainFrom := w.uncertainUntil(); certainFrom != 0 {
		return max(certainFrom-now, 0)
	}
	if worst, fillers := w.worstTail(); worst >= 0 && len(fillers) > 0 {
		return pacedHoldWait
	}
	return holdWait
}

// uncertainUntil returns when it shows whether an adopted run that callers count on stays, zero where
// there is none.
func (w *worker) uncertainUntil() croft.Millis {
	until := croft.Millis(0)
	if w.endlessRuns == 0 {
		return until
	}
	for _, r := range w.runs {
		if r.uncertainUntil != 0 && r.stage.spec.Endless && r.stage.spec.MayMiss > 0 {
			until = max(until, r.uncertainUntil)
		}
	}
	return until
}
