package sched

import (
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/sizing"
)

// demand is the number of VMs that a pool needs.
type demand struct {
	sizing.Demand
	// contract is the part of it without excess jobs, for which no other pool goes short.
	contract int
}

// chooseSizing chooses the policy by which pools are sized. Where the configuration has a spare pool, whose VMs cost nothing, pools
// are sized by the tasks that may run at once.
func (p *Planner) chooseSizing() {
	p.sizing = sizing.ByBacklog()
	if _, ok := p.sparePool(); ok && !p.options.SizeByBacklog {
		p.sizing = sizing.ByConcurrency()
	}
}

// assessDemand computes how many VMs a pool needs; capped is what the work of organisations with caps needs.
func (p *Planner) assessDemand(po *pool, capped poolLoad) {
	var work, excess croft.Resources
	capacity := p.meanCapacity(po)
	minimum := 1
	for _, j := range po.jobs {
		if p.isUseless(j) {
			continue
		}
		_, hasCap := p.capOf(j)
		for _, s := range j.stages {
			minimum = max(minimum, p.minVMs(s, capacity))
			if !hasCap {
				work = work.Plus(p.needsAtOnce(s, s.needs()))
			}
			if p.isExcess(j) {
				excess = excess.Plus(p.needsAtOnce(s, s.needs()))
			}
		}
	}
	most := vmsNeeded(capped.most.Plus(partOf(work, p.maxGrowth())), capacity)
	work = work.Plus(capped.needs)
	sample := sizing.Sample{Need: vmsNeeded(work, capacity), Most: most, Minimum: minimum, Available: p.availableVMs(po)}
	po.demand.Demand = po.demand.With(p.sizing, p.now.Elapsed, sample)
	po.demand.contract = max(vmsNeeded(work.Minus(excess), capacity), minimum)
}

// maxGrowth returns by which factor the load of a pool may grow while VMs move.
func (p *Planner) maxGrowth() float64 { return 1 + float64(p.sizing.MaxGrowthPercent)/100 }

// isUseless reports whether the result of a job comes too late to be of use.
func (p *Planner) isUseless(j *job) bool {
	return p.now.Elapsed > j.receivedAt+usefulFactor*(j.deadline-j.receivedAt) && !j.endless()
}

// needsAtOnce returns what a stage should have at the same time, if each of its tasks has some needs.
func (p *Planner) needsAtOnce(s *stage, needs croft.Resources) croft.Resources {
	tasks := int64(s.remainingTasks)
	switch {
	case s.spec.Endless:
		return scaleResources(needs, tasks, 1)
	case p.sizing.ByBacklog:
		return scaleResources(needs, tasks*int64(p.expectedDuration(s)), int64(backlogTarget))
	case s.open:
		return scaleResources(needs, tasks*p.sizing.HeadroomPercent, 100)
	default:
		return scaleResources(needs, tasks*p.sizing.NextStepPercent, 100)
	}
}

// minVMs returns how many VMs a stage needs at the same time, regardless of how much work remains.
func (s *stage) minVMs(capacity croft.Resources) int {
	n := 0
	if s.spec.MostPerWorker > 0 && (s.spec.Endless || (s.spec.Gang && s.open)) {
		n = (s.remainingTasks + s.spec.MostPerWorker - 1) / s.spec.MostPerWorker
	}
	if s.spec.Gang && s.open {
		n = max(n, vmsNeeded(scaleResources(s.needs(), int64(s.remainingTasks), 1), capacity))
	}
	return n
}

// endless reports whether the job has an endless step.
func (j *job) endless() bool {
	return slices.ContainsFunc(j.record.Spec.Steps, func(s croft.Step) bool { return s.Endless })
}
