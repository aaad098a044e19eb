package sched

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/shares"
	"waxwing.example/croft/sizing"
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
	// work is all that the jobs need from their beginning to their end, in resources times milliseconds.
	work croft.Resources
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
	overloaded := map[croft.QueueID]float64{}
	shortFor := map[*organisation]bool{}
	for _, po := range p.sortedPools {
		p.assessQueues(po, loads, short, overloaded)
		for _, j := range po.jobs {
			if submitters, ok := short[j.record.Queue]; ok && j.organisation != nil {
				submitters[j.organisation] = true
				shortFor[j.organisation] = true
			}
		}
	}
	rates, limited := p.updateFractions(shortFor)
	p.publishFractions(loads, append(p.limitByContract(short, limited), p.limitOverloaded(overloaded)...))
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

// admission is the fraction of an organisation's jobs in a queue that entries are to admit.
type admission struct {
	queue    croft.QueueID
	org      croft.OrganisationID
	fraction float64
}

// roundFraction keeps three digits, so that the row stays short.
func roundFraction(fraction float64) float64 { return math.Ceil(fraction*1000) / 1000 }

// limitByContract returns the fractions of organisations that submit more than their contracts, in the queues that are short.
func (p *Planner) limitByContract(short shortQueues, limited []*organisation) []admission {
	var out []admission
	for _, o := range limited {
		for id, submitters := range short {
			if submitters[o] {
				out = append(out, admission{queue: id, org: o.id, fraction: o.fraction})
			}
		}
	}
	return out
}

// limitOverloaded returns the fractions of organisations that submit more than their part of what the capacity of a queue serves;
// overloaded has the jobs per second that each overloaded queue can serve. Jobs that are refused at once can come again, those that
// are accepted beyond the capacity end too late to be of use, or make others late.
func (p *Planner) limitOverloaded(overloaded map[croft.QueueID]float64) []admission {
	var out []admission
	for id, tracker := range p.sharing.queueTrackers {
		served, isOverloaded := overloaded[id]
		claims := p.claims(tracker)
		rates := shares.FairRates(served, claims)
		for _, c := range claims {
			allowed := math.Inf(1)
			if isOverloaded {
				allowed = rates[c.Organisation]
			}
			if fraction := tracker.AdmitRate(c.Organisation, p.now.Elapsed, allowed); fraction < 1 {
				out = append(out, admission{queue: id, org: c.Organisation, fraction: roundFraction(fraction)})
			}
		}
		tracker.DropIdle(p.now.Elapsed)
	}
	p.logOverload(overloaded, len(out))
	return out
}

// claims returns the rates at which organisations submit jobs to a queue.
func (p *Planner) claims(tracker *shares.Tracker) []shares.Claim {
	var out []shares.Claim
	for _, o := range p.sharing.configured {
		if rates := tracker.Rates(o.id, p.now.Elapsed); rates.Offered > 0 {
			out = append(out, shares.Claim{Organisation: o.id, Rate: rates.Offered, Weight: o.weight})
		}
	}
	return out
}

// logOverload logs when a queue begins or ceases to be overloaded.
func (p *Planner) logOverload(overloaded map[croft.QueueID]float64, limited int) {
	s := &p.sharing
	for _, id := range slices.Sorted(maps.Keys(overloaded)) {
		if !s.overloaded[id] {
			p.log("Overload", string(id), "Begun", fmt.Sprintf("all VMs that its pool can get serve %.1f jobs per second; %d fractions of organisations are published", overloaded[id], limited))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.overloaded)) {
		if _, still := overloaded[id]; !still {
			p.log("Overload", string(id), "Ended", "the jobs that wait can be served in time")
		}
	}
	s.overloaded = map[croft.QueueID]bool{}
	for id := range overloaded {
		s.overloaded[id] = true
	}
}

// publishFractions adds fractions to the loads, as many as the row may hold: the lowest ones first.
func (p *Planner) publishFractions(loads map[croft.QueueID]Load, admissions []admission) {
	slices.SortFunc(admissions, func(a, b admission) int {
		return cmp.Or(cmp.Compare(a.fraction, b.fraction), cmp.Compare(a.queue, b.queue), cmp.Compare(a.org, b.org))
	})
	size := 0
	for _, a := range admissions {
		load := loads[a.queue]
		if _, published := load.Admitted[a.org]; published {
			continue
		}
		if size += len(a.org) + fractionBytes; p.options.RowBytes > 0 && size > p.options.RowBytes/rowDivisor {
			return
		}
		if load.Admitted == nil {
			load.Admitted = map[croft.OrganisationID]float64{}
			loads[a.queue] = load
			p.sharing.published[a.queue] = load.Admitted
		}
		load.Admitted[a.org] = a.fraction
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
			o.fraction = roundFraction(fraction)
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

// assessQueues adds to the loads of a pool's queues how long new jobs wait, marks the queues that are short of capacity, and adds to
// overloaded how many jobs per second those can serve that are short even with all VMs that the pool can get.
func (p *Planner) assessQueues(po *pool, loads map[croft.QueueID]Load, short shortQueues, overloaded map[croft.QueueID]float64) {
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
		if wait := drainTime(all, gettable); wait > slack {
			overloaded[id] = servedRate(q, gettable) * float64(slack) / float64(wait)
			load.Wait = max(load.Wait, wait-slack)
		}
		load.Ahead = croft.Millis(float64(drainTime(ahead, gettable)) / aheadMargin)
		if load.Ahead <= usefulFactor*q.leastObjective {
			load.Ahead = 0
		}
		loads[id] = load
	}
}

// servedRate returns how many jobs like those of a queue a capacity serves per second.
func servedRate(q *queueState, capacity croft.Resources) float64 {
	perAll := drainTime(q.work, capacity)
	if perAll <= 0 {
		return math.Inf(1)
	}
	return float64(q.jobs) * float64(croft.Second) / float64(perAll)
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
		for _, s := range j.stages {
			q.work = q.work.Plus(scaleResources(s.needs(), int64(len(s.tasks))*int64(p.expectedDuration(s)), 1))
		}
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
		lendable[other.id] = max(p.availableVMs(other)-min(kept, other.demand.Current+sizing.KeepMargin), 0)
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
