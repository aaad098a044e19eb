package sched

import (
	"errors"
	"fmt"

	"waxwing.example/croft"
	"waxwing.example/croft/window"
)

// startWindow bounds the starts in flight of one term.
type startWindow struct {
	limiter *window.Limiter
	// inFlight is the number of starts without a result.
	inFlight int
	// reported is the last ReportWindow, and loggedLimit the limit in the last log line.
	reported    ReportWindow
	loggedLimit int
	// firstPool is the index of the pool at which the next placement begins; it advances whenever the limit cuts a placement
	// short, so that the first pools don't get all starts.
	firstPool int
}

func newStartWindow() startWindow {
	limiter := window.New()
	return startWindow{limiter: limiter, reported: ReportWindow{Limit: limiter.Limit()}, loggedLimit: limiter.Limit()}
}

// mayStart reports whether the limit allows another start; a gang is started as a whole if it allows one.
func (p *Planner) mayStart() bool { return p.window.limiter.May(p.window.inFlight) }

// cutPlacement records that the limit has cut the placement of a pool short.
func (p *Planner) cutPlacement(po *pool) { po.backlogged, po.windowCut = true, true }

// orderedPools returns the pools in the order in which they are placed.
func (p *Planner) orderedPools() []*pool {
	n := len(p.sortedPools)
	if n == 0 || p.window.firstPool%n == 0 {
		return p.sortedPools
	}
	first := p.window.firstPool % n
	return append(append(make([]*pool, 0, n), p.sortedPools[first:]...), p.sortedPools[:first]...)
}

// recordStartAnswer passes the result of a start to the limiter. Pools that the limit has cut short are placed again.
func (p *Planner) recordStartAnswer(e Started) {
	p.window.inFlight = max(p.window.inFlight-1, 0)
	for _, po := range p.sortedPools {
		if po.windowCut {
			po.windowCut, po.changed = false, true
		}
	}
	var refused *croft.RunRefusedError
	var unavailable *croft.UnavailableError
	switch {
	case e.Err == nil, errors.As(e.Err, &refused):
		p.window.limiter.Answered(p.now.Elapsed, p.now.Elapsed-e.Sent)
	case errors.As(e.Err, &unavailable):
		// The start was not sent, or the executor refuses all work.
	default:
		if w, ok := p.workers[e.Order.Worker]; ok {
			p.window.limiter.Unanswered(p.now.Elapsed, w.ID, w.Rack, w.DataCentre)
		}
	}
}

// countDataCentres tells the limiter in how many data centres there are executors.
func (p *Planner) countDataCentres() {
	dataCentres := map[croft.DataCentre]bool{}
	for _, w := range p.sortedWorkers {
		if w.listed {
			dataCentres[w.DataCentre] = true
		}
	}
	p.window.limiter.SetDataCentres(len(dataCentres))
}

// reportWindow reports the limit of starts in flight whenever it has changed, and logs it when it has changed by half.
func (p *Planner) reportWindow() {
	limiter, sw := p.window.limiter, &p.window
	current := ReportWindow{Limit: limiter.Limit(), Overloaded: limiter.Overloaded(p.now.Elapsed)}
	if current == sw.reported {
		return
	}
	sw.reported = current
	p.emit(current)
	lifted, first := current.Limit == window.Unlimited, sw.loggedLimit == window.Unlimited
	switch {
	case lifted && !first:
		p.log("Window", "starts", "Lifted", "no sign of overload, and no start that had to wait, for some time")
	case lifted, !first && current.Limit*2 > sw.loggedLimit && current.Limit < sw.loggedLimit*2:
		return
	default:
		p.log("Window", "starts", fmt.Sprint(current.Limit), fmt.Sprintf("starts in flight are limited, %d are in flight; last sign of overload: %s", sw.inFlight, limiter.Reason()))
	}
	sw.loggedLimit = current.Limit
}
