package sched

import (
	"fmt"
	"math"

	"waxwing.example/croft"
	"waxwing.example/croft/quota"
)

// maxHeldStages is the number of stages held by caps from which on placement passes over their pool are as far apart as over a
// backlogged one: each run of the organisation that ends causes a pass, which examines all of them.
const maxHeldStages = 256

// configureCaps indexes the caps of the configuration, and has all stages tried by the new ones.
func (p *Planner) configureCaps() {
	had := len(p.caps) > 0
	p.caps = map[croft.OrganisationID]croft.Resources{}
	for _, o := range p.config.Organisations {
		if quota.IsLimited(o.Cap) {
			p.caps[o.ID] = o.Cap
		}
	}
	for _, po := range p.sortedPools {
		po.changed = po.changed || had || len(p.caps) > 0
	}
}

// capOf returns the cap of a job's organisation, and whether it has one. An organisation that is not in the newest configuration
// has none.
func (p *Planner) capOf(j *job) (croft.Resources, bool) {
	if j.record.Organisation == "" {
		return croft.Resources{}, false
	}
	limit, ok := p.caps[j.record.Organisation]
	return limit, ok
}

// addUse counts a run of a stage for its organisation. A run counts from its start until it has certainly ended, whatever its
// phase and whether its executor answers, and a filler with all that it may use.
func (p *Planner) addUse(s *stage) {
	if org := s.job.record.Organisation; org != "" {
		p.ledger.Add(org, s.spec.Needs)
	}
}

// removeUse no longer counts a run of a stage.
func (p *Planner) removeUse(s *stage) {
	if org := s.job.record.Organisation; org != "" {
		p.ledger.Remove(org, s.spec.Needs)
	}
}

// releaseUse no longer counts a run of a stage, and has the stages tried that caps hold, which may be of any pool.
func (p *Planner) releaseUse(s *stage) {
	if s.job.record.Organisation == "" {
		return
	}
	p.removeUse(s)
	for _, po := range p.sortedPools {
		po.changed = po.changed || po.heldByCap > 0
	}
}

// isCapReached records and reports whether the cap of its organisation keeps a stage from starting its next task, or its gang. A
// gang of which a former leader started some members only is stopped first, whatever the cap.
func (p *Planner) isCapReached(s *stage) bool {
	s.capped = false
	limit, ok := p.capOf(s.job)
	if !ok || (s.spec.Gang && len(s.waiting) < s.remainingTasks) {
		return false
	}
	s.capped = !p.ledger.Allows(s.job.record.Organisation, limit, p.nextNeeds(s))
	return s.capped
}

// nextNeeds returns what the next start of a stage adds to the use of its organisation.
func (p *Planner) nextNeeds(s *stage) croft.Resources {
	if s.spec.Gang {
		return quota.Times(s.spec.Needs, len(s.waiting))
	}
	return s.spec.Needs
}

// isHeldByCap reports whether a placement pass has nothing to try of a stage because of the cap of its organisation. A stage without
// waiting tasks, which may have run already when a new leader saw them, is not held any more.
func (p *Planner) isHeldByCap(po *pool, s *stage) bool {
	if s.capped = false; len(s.waiting) > 0 && !p.isCapReached(s) {
		return false
	}
	p.recordCapWait(po, s)
	return s.capped
}

// capCalm is how long the cap must not have held a stage for the stage to count as waiting no longer for it: a stage that fits nowhere
// is held again and again, as others of its organisation start and end.
const capCalm = 1 * croft.Second

// recordCapWait records whether a placement pass has left a stage waiting for the cap of its organisation, and logs when that begins
// and when it is over.
func (p *Planner) recordCapWait(po *pool, s *stage) {
	if s.capped {
		po.heldByCap++
		s.lastCapped = p.now.Elapsed
	}
	over := !s.capped && (len(s.waiting) == 0 || p.now.Elapsed-s.lastCapped >= capCalm)
	if s.capped == s.awaitsCap || (s.awaitsCap && !over) {
		return
	}
	s.awaitsCap = s.capped
	first, org := s.id(0), s.job.record.Organisation
	name := fmt.Sprintf("%s.%d.%d", first.Job, first.Occurrence, first.Step)
	if s.capped {
		s.cappedSince = p.now.Elapsed
		p.log("Cap", name, "Wait", p.ledger.Reason(org, p.caps[org], p.nextNeeds(s)))
		return
	}
	p.log("Cap", name, "Go", fmt.Sprintf("organisation %s: %d tasks wait, not for its cap; it held the stage at times for %d ms", org, len(s.waiting), s.lastCapped-s.cappedSince))
}

// mayReplace reports whether the cap of its organisation allows a stage to start a task again in place of one that is stopped.
func (p *Planner) mayReplace(s *stage) bool {
	limit, ok := p.capOf(s.job)
	if !ok {
		return true
	}
	p.removeUse(s)
	defer p.addUse(s)
	return p.ledger.Allows(s.job.record.Organisation, limit, s.spec.Needs)
}

// countUnseenRuns counts the tasks of inherited jobs that may run on executors whose runs are not known yet.
func (p *Planner) countUnseenRuns() {
	p.ledger.SetUnseen(nil)
	if len(p.caps) == 0 {
		return
	}
	if p.options.Uncounted != "" {
		defer p.miscount()
	}
	if p.now.Elapsed >= p.predecessorLeasesEnd() {
		return
	}
	unseen := map[croft.OrganisationID]croft.Resources{}
	for _, po := range p.sortedPools {
		if !p.mayHaveUnknownRuns(po) {
			continue
		}
		room, known := p.unseenRoom(po)
		if known && room == (croft.Resources{}) {
			continue
		}
		for org, use := range p.unseenTasks(po) {
			if known {
				use = leastOf(use, room)
			}
			unseen[org] = unseen[org].Plus(use)
		}
	}
	p.ledger.SetUnseen(unseen)
}

// unseenRoom returns what runs that are not known may use of the executors of a pool, and whether all of these are known.
func (p *Planner) unseenRoom(po *pool) (room croft.Resources, known bool) {
	for _, w := range po.workers {
		if !w.verified && p.now.Elapsed < w.leasesEnd {
			room = room.Plus(w.Room.Minus(w.used))
		}
	}
	for _, vm := range p.fleet.unregistered {
		if vm.Pool == po.id {
			room = room.Plus(vm.Room)
		}
	}
	return room, p.fleet.loaded
}

// unseenTasks returns what the tasks of a pool's inherited jobs need that may have runs which are not known, by organisation.
func (p *Planner) unseenTasks(po *pool) map[croft.OrganisationID]croft.Resources {
	sums := map[croft.OrganisationID]croft.Resources{}
	for _, j := range po.jobs {
		if _, ok := p.capOf(j); !ok || !j.inherited {
			continue
		}
		for _, s := range j.stages {
			sums[j.record.Organisation] = sums[j.record.Organisation].Plus(quota.Times(s.spec.Needs, s.unseenTasks()))
		}
	}
	return sums
}

// unseenTasks returns how many tasks of an inherited stage may have runs that are not known: those that wait, all without a run while
// the end of an earlier step may not be known, and, of a step that allows copies, all.
func (s *stage) unseenTasks() int {
	switch {
	case s.spec.Duplicates:
		return len(s.tasks)
	case !s.open:
		return max(s.remainingTasks-s.liveRuns, 0)
	default:
		return len(s.waiting)
	}
}

func leastOf(a, b croft.Resources) croft.Resources {
	return croft.Resources{
		MilliCores:   min(a.MilliCores, b.MilliCores),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// minVMs returns how many VMs a stage needs at the same time: its own minimum, or as many as hold what the cap of its organisation
// allows to run.
func (p *Planner) minVMs(s *stage, capacity croft.Resources) int {
	n := s.minVMs(capacity)
	if limit, ok := p.capOf(s.job); ok && n > 1 && !s.spec.Gang {
		n = min(n, quota.Count(limit, s.spec.Needs, s.remainingTasks))
	}
	return n
}

// poolLoad is what the work of a pool needs at the same time, and the most that it may need if it grows while VMs move.
type poolLoad struct{ needs, most croft.Resources }

// cappedDemand returns what the work of organisations with caps needs at the same time, by pool: all of it, or as large a part as
// the cap allows to run, in proportion over the pools.
func (p *Planner) cappedDemand() map[croft.PoolID]poolLoad {
	if len(p.caps) == 0 {
		return nil
	}
	demands := map[croft.OrganisationID]*orgDemand{}
	for _, po := range p.sortedPools {
		for _, j := range po.jobs {
			if _, ok := p.capOf(j); !ok || p.isUseless(j) {
				continue
			}
			d := demands[j.record.Organisation]
			if d == nil {
				d = &orgDemand{byPool: map[croft.PoolID]croft.Resources{}}
				demands[j.record.Organisation] = d
			}
			for _, s := range j.stages {
				d.use = d.use.Plus(p.needsAtOnce(s, s.spec.Needs))
				d.byPool[po.id] = d.byPool[po.id].Plus(p.needsAtOnce(s, s.needs()))
			}
		}
	}
	capped := map[croft.PoolID]poolLoad{}
	for org, d := range demands {
		share := quota.Share(p.caps[org], d.use)
		mostShare := p.maxGrowth() * quota.Share(p.caps[org], partOf(d.use, p.maxGrowth()))
		for id, needs := range d.byPool {
			capped[id] = poolLoad{needs: capped[id].needs.Plus(partOf(needs, share)), most: capped[id].most.Plus(partOf(needs, mostShare))}
		}
	}
	return capped
}

// orgDemand is what the work of an organisation needs at the same time: by what its cap counts, and of the VMs of each pool.
type orgDemand struct {
	use    croft.Resources
	byPool map[croft.PoolID]croft.Resources
}

// partOf returns a part of the resources, rounded up.
func partOf(r croft.Resources, share float64) croft.Resources {
	part := func(n int64) int64 { return int64(math.Ceil(float64(n) * share)) }
	return croft.Resources{MilliCores: part(r.MilliCores), MemoryMB: part(r.MemoryMB), Accelerators: part(r.Accelerators)}
}

// describeUse returns what the organisation of a job uses of its cap, for debugging.
func (p *Planner) describeUse(j *job) string {
	org := j.record.Organisation
	if org == "" {
		return ""
	}
	return fmt.Sprintf("\n  organisation %s: uses %v, cap %v", org, p.ledger.Use(org), p.caps[org])
}
