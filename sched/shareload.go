package sched

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/shares"
)

// aheadMargin divides the estimated work ahead of a new job before it is refused: estimates of durations are off by up to a half, and
// small tasks run in gaps that larger ones ahead of them leave.
const aheadMargin = 1.5

// UsefulFor returns for how long after its submission a new job of a queue is of use to its caller.
func UsefulFor(q croft.Queue, steps []croft.Step) croft.Millis {
	return usefulFactor * objective(q.Stretch, q.Latency, longestPath(criticalPaths(steps)))
}

// queueState summarises the jobs of a queue that have not ended.
type queueState struct {
	priority int
	jobs     int
	// slackSum is the sum of the times that the jobs could wait and still meet their objectives.
	slackSum croft.Millis
	// leastObjective is that of the job with the shortest one.
	leastObjective croft.Millis
}

// stageWork is the remaining work of a stage, in resources times milliseconds.
type stageWork struct {
	rank rank
	// total is all work that remains, ready the part that nothing but capacity delays.
	total, ready croft.Resources
}

// addShares adds to the loads what entries need to limit organisations, and returns the rates of these.
func (p *Planner) addShares(loads map[croft.QueueID]Load) map[croft.OrganisationID]OrganisationLoad {
	s := &p.sharing
	s.limiting = false
	s.formerly, s.published = s.published, map[croft.QueueID]map[croft.OrganisationID]float64{}
	if !p.hasOrganisations() {
		return nil
	}
	p.refreshShares()
	short := shortQueues{}
	shortFor := map[*organisation]bool{}
	for _, po := range p.sortedPools {
		p.assessQueues(po, loads, short)
		for _, j := range po.jobs {
			if submitters, ok := short[j.record.Queue]; ok && j.organisation != nil {
				submitters[j.organisation] = true
				shortFor[j.organisation] = true
			}
		}
	}
	rates, limited := p.updateFractions(shortFor)
	p.publishFractions(loads, short, limited)
	for _, load := range loads {
		s.limiting = s.limiting || load.Ahead > 0 || len(load.Admitted) > 0
	}
	return rates
}

// shortQueues has the queues that are short of capacity, with the organisations that have jobs in each.
type shortQueues map[croft.QueueID]map[*organisation]bool

const (
	// fractionBytes is the encoded size of a fraction without the name of the organisation.
	fractionBytes = 10
	// rowDivisor is the part of a row that fractions may take, the rest is for the other figures.
	rowDivisor = 2
)

// publishFractions adds the fractions to the loads of the queues that are short, as many as the row may hold: the lowest ones first.
func (p *Planner) publishFractions(loads map[croft.QueueID]Load, short shortQueues, limited []*organisation) {
	slices.SortStableFunc(limited, func(a, b *organisation) int { return cmp.Compare(a.fraction, b.fraction) })
	size := 0
	for _, o := range limited {
		for _, id := range slices.Sorted(maps.Keys(short)) {
			if !short[id][o] {
				continue
			}
			if size += len(o.id) + fractionBytes; p.options.RowBytes > 0 && size > p.options.RowBytes/rowDivisor {
				return
			}
			load := loads[id]
			if load.Admitted == nil {
				load.Admitted = map[croft.OrganisationID]float64{}
				loads[id] = load
				p.sharing.published[id] = load.Admitted
			}
			load.Admitted[o.id] = o.fraction
		}
	}
}

// updateFractions updates the admitted fractions, and returns the rates of all organisations that have any, and those that are limited.
func (p *Planner) updateFractions(shortFor map[*organisation]bool) (map[croft.OrganisationID]OrganisationLoad, []*organisation) {
	s := &p.sharing
	rates := map[croft.OrganisationID]OrganisationLoad{}
	var limited []*organisation
	for _, o := range s.configured {
		fraction := s.tracker.Admit(o.id, p.now.Elapsed, shortFor[o])
		measured := s.tracker.Rates(o.id, p.now.Elapsed)
		if measured.Accepted > 0 || fraction < 1 {
			rates[o.id] = OrganisationLoad{Accepted: measured.Accepted, Offered: measured.Offered, Admitted: fraction}
		}
		if fraction < 1 {
			// Three digits keep the row short.
			o.fraction = math.Ceil(fraction*1000) / 1000
			limited = append(limited, o)
		}
		p.logFraction(o, fraction, measured)
	}
	s.tracker.DropIdle(p.now.Elapsed)
	return rates, limited
}

// logFraction logs the begin and the end of a limit, and when the fraction has halved or doubled.
func (p *Planner) logFraction(o *organisation, fraction float64, rates shares.Rates) {
	if fraction == o.loggedFraction || (fraction < 1 && o.loggedFraction < 1 && fraction > o.loggedFraction/2 && fraction < o.loggedFraction*2) {
		return
	}
	o.loggedFraction = fraction
	p.log("Share", string(p.sharing.names.Label(o.id)), fmt.Sprintf("%.3f", fraction),
		fmt.Sprintf("fraction of jobs to admit while capacity is short: %.1f jobs accepted per second, %.1f submitted as estimated, weight %g", rates.Accepted, rates.Offered, o.weight))
}

// assessQueues adds to the loads of a pool's queues how long new jobs wait, and marks the queues that are short of capacity.
func (p *Planner) assessQueues(po *pool, loads map[croft.QueueID]Load, short shortQueues) {
	if len(po.jobs) == 0 || !po.backlogged {
		return
	}
	queues, work, endless := p.summariseJobs(po)
	present, gettable := p.presentCapacity(po, endless), p.gettableCapacity(po)
	for id, q := range queues {
		load := loads[id]
		var all, ahead croft.Resources
		for _, w := range work {
			if w.rank.priority <= q.priority {
				all = all.Plus(w.total)
			}
			if w.isAheadOf(q, p.now.Elapsed) {
				ahead = ahead.Plus(w.ready)
			}
		}
		slack := q.slackSum / croft.Millis(q.jobs)
		if wait := drainTime(all, present); wait > slack {
			short[id] = map[*organisation]bool{}
			load.Wait = wait - slack
		}
		load.Ahead = croft.Millis(float64(drainTime(ahead, gettable)) / aheadMargin)
		if load.Ahead <= usefulFactor*q.leastObjective {
			load.Ahead = 0
		}
		loads[id] = load
	}
}

// isAheadOf reports whether the work ranks before any new job of a queue that is within its organisation's contract: the organisation may
// use no capacity at all, and the job may be the most urgent one of the queue.
func (w stageWork) isAheadOf(q *queueState, now croft.Millis) bool {
	if w.rank.priority != q.priority {
		return w.rank.priority < q.priority
	}
	return w.rank.excess == 0 && w.rank.share == 0 && w.rank.deadline >= now && w.rank.deadline <= now+q.leastObjective
}

// summariseJobs returns the state of a pool's queues, the remaining work of its stages, and what its endless tasks use.
func (p *Planner) summariseJobs(po *pool) (map[croft.QueueID]*queueState, []stageWork, croft.Resources) {
	queues := map[croft.QueueID]*queueState{}
	var work []stageWork
	var endless croft.Resources
	for _, j := range po.jobs {
		if j.endless() {
			for _, s := range j.stages {
				endless = endless.Plus(scaleResources(s.needs(), int64(s.liveRuns), 1))
			}
			continue
		}
		q := queues[j.record.Queue]
		if q == nil {
			q = &queueState{priority: p.priorityOf(j), leastObjective: j.deadline - j.receivedAt}
			queues[j.record.Queue] = q
		}
		objective := j.deadline - j.receivedAt
		q.jobs++
		q.slackSum += objective - longestPath(j.criticalPath)
		q.leastObjective = min(q.leastObjective, objective)
		if j.parked != nil {
			work = append(work, p.parkedStageWork(j))
		}
		for _, s := range j.stages {
			if s.remainingTasks > 0 {
				work = append(work, p.workOf(s))
			}
		}
	}
	return queues, work, endless
}

// workOf returns the remaining work of a stage.
func (p *Planner) workOf(s *stage) stageWork {
	expected := p.expectedDuration(s)
	running, rest := 0, croft.Millis(0)
	if s.liveRuns > 0 {
		for i := range s.tasks {
			if r := s.tasks[i].run; r != nil {
				running++
				rest += max(expected-(p.now.Elapsed-r.startedAt), 0)
			}
		}
	}
	needs := s.needs()
	w := stageWork{rank: p.rankStage(s)}
	w.total = scaleResources(needs, int64(rest)+int64(max(s.remainingTasks-running, 0))*int64(expected), 1)
	ready := int64(rest)
	// Tasks that wait for more than capacity let others go ahead of them.
	if s.open && !s.spec.Gang && s.spec.Requires == "" && s.spec.MostPerWorker == 0 && !s.adviceRequired {
		ready += int64(len(s.waiting)) * int64(expected)
	}
	w.ready = scaleResources(needs, ready, 1)
	return w
}

// minFreeDivisor bounds what endless tasks leave of a pool's capacity: their runs that are being replaced count twice.
const minFreeDivisor = 10

// presentCapacity returns the capacity that the executors of a pool have beside its endless tasks. It includes executors that do not answer
// at the moment, as all do that a new leader has not heard yet.
func (p *Planner) presentCapacity(po *pool, endless croft.Resources) croft.Resources {
	var sum croft.Resources
	for _, w := range po.workers {
		if w.listed && !w.Draining && !w.reserved {
			sum = sum.Plus(w.Room)
		}
	}
	least, free := scaleResources(sum, 1, minFreeDivisor), sum.Minus(endless)
	return croft.Resources{
		MilliCores:   max(free.MilliCores, least.MilliCores),
		MemoryMB:     max(free.MemoryMB, least.MemoryMB),
		Accelerators: max(free.Accelerators, least.Accelerators),
	}
}

// gettableCapacity returns the capacity of the VMs that a pool has, in whatever state, and of those that it can still get: all VMs of spare
// pools, and those that other pools do not keep for themselves.
func (p *Planner) gettableCapacity(po *pool) croft.Resources {
	lendable := map[croft.PoolID]int{}
	pools := 0
	for _, other := range p.sortedPools {
		if !p.poolRule(other.id).Spare {
			pools++
		}
	}
	kept := len(p.fleet.vms) * reservePercent / 100 / max(pools, 1)
	for _, other := range p.sortedPools {
		lendable[other.id] = max(p.availableVMs(other)-min(kept, other.demand.current+keepMarginVMs), 0)
	}
	var sum croft.Resources
	for _, id := range p.fleet.vmIDs {
		vm := p.fleet.vms[id]
		moving := p.moves[id]
		switch {
		case vm.Pool == po.id, moving != nil && moving.to == po.id:
		case p.refusedMoves[moveRoute{vm.Pool, po.id}]:
			continue
		case p.poolRule(vm.Pool).Spare:
		case lendable[vm.Pool] > 0:
			lendable[vm.Pool]--
		default:
			continue
		}
		sum = sum.Plus(vm.Room)
	}
	return sum
}

// drainTime returns the minimum time that work takes with some capacity. A resource of which there is none, or that is not known, does not
// count: more time would not help.
func drainTime(work, capacity croft.Resources) croft.Millis {
	longest := croft.Millis(0)
	for _, pair := range [][2]int64{{work.MilliCores, capacity.MilliCores}, {work.MemoryMB, capacity.MemoryMB}, {work.Accelerators, capacity.Accelerators}} {
		if pair[1] > 0 {
			longest = max(longest, croft.Millis(pair[0]/pair[1]))
		}
	}
	return longest
}
