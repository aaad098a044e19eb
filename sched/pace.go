package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// Parameters for the processor share of fillers, which run beside tasks that serve requests and use less
// of the processor while these are slow.
const (
	// paceLow and paceHigh are percentages of the target for the tail latency: the fillers get a larger share of the
	// processor below paceLow and a smaller one above paceHigh.
	paceLow  = 60
	paceHigh = 85
	// paceStep is added to the share, in percentage points, for each report below paceLow.
	paceStep = 10
	// paceDivisor divides the share for each report above paceHigh: three of them in a row end the harm to serving
	// tasks within two seconds, half of the time that the platform allows.
	paceDivisor = 3
	// pacedHoldWait is how long a hold may wait on an executor with both fillers and serving tasks; the reported tail
	// latency covers the last half second.
	pacedHoldWait = 500 * croft.Millis(1)
	// fullPace is the share without a limit, in percent.
	fullPace = 100
)

// paceFillers adjusts the processor share of a worker's fillers to the tail latency of its serving tasks.
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
		p.log("Pace", string(w.ID), fmt.Sprint(pace), fmt.Sprintf("the highest tail latency is %d %% of its target", worst))
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

// worstTail returns the highest tail latency of a worker's serving tasks in percent of its target, or -1 if there are
// none, and the runs of its fillers. A worker without fillers is not examined.
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

// holdWaitAt returns how long the executor may keep waiting a hold that is sent now. While it has uncertain runs, the
// hold returns when a new list can show whether they go on.
func (w *worker) holdWaitAt(now croft.Millis) croft.Millis {
	if certainFrom := w.uncertainUntil(); certainFrom != 0 {
		return max(certainFrom-now, 0)
	}
	if worst, fillers := w.worstTail(); worst >= 0 && len(fillers) > 0 {
		return pacedHoldWait
	}
	return holdWait
}

// uncertainUntil returns the latest uncertainUntil of the worker's runs whose steps limit the number of unavailable
// tasks, or zero.
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
