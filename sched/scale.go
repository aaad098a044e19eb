package sched

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
)

// move is a VM on its way from one pool to another.
type move struct {
	from, to croft.PoolID
	// since is when it was decided, ordered when the platform took the order.
	since   croft.Millis
	sent    bool
	ordered croft.Millis
	// next is when a refused order may be sent again.
	next croft.Millis
}

// demand is what a pool needs, in VMs.
type demand struct {
	// now is what clears the work at hand in clearSpan.
	now int
	// peak is the highest need of the recent past.
	peak float64
	// idle is since when the pool has more than it needs.
	idle croft.Millis
}

// Spans and weights of moves.
const (
	// scaleSpan is how often the pools are compared; a move takes over a second.
	scaleSpan = 150 * croft.Millis(1)
	// clearSpan is the time in which a pool should be able to do all the work it has; at a steady
	// load, a pool that just keeps up has work for about as long as its tasks take.
	clearSpan = 600 * croft.Millis(1)
	// emptySpan is how long a VM that is to move may take to become empty.
	emptySpan = 3 * croft.Second
	// arriveSpan is when a moved VM that has not come is no longer counted on.
	arriveSpan = 6 * croft.Second
	// lendMargin is by how much, in percent, the lender must be better off than the borrower after
	// a move, so that VMs do not go to and fro.
	lendMargin = 15
	// reserveShare of an equal share of all VMs stays with a pool that lends, in percent: its own
	// turn will come, and a VM takes over a second to return.
	reserveShare = 50
	// keepMargin is how many VMs beyond its need a pool keeps when it gives back.
	keepMargin = 1
	// peakShare of the recent peak is kept in the pool, in percent: a VM that is given back takes
	// longer to return than most jobs have.
	peakShare = 60
	// peakFade is the factor by which the memory of a peak shrinks with each comparison; it halves
	// in about a minute.
	peakFade = 0.9983
	// idleSpan is how long a VM must be more than enough before it is given back.
	idleSpan = 2 * croft.Second
	// timeWeight is the share of the newest task in the mean duration of a queue's tasks.
	timeWeight = 0.02
)

// learn takes the duration of a finished task into its queue's mean.
func (p *Planner) learn(r *run) {
	if r == nil || r.stage.spec.Endless {
		return
	}
	id := r.stage.job.record.Queue
	took := float64(p.now.Elapsed - r.began)
	if mean, ok := p.durations[id]; ok {
		p.durations[id] = mean + timeWeight*(took-mean)
		return
	}
	p.durations[id] = took
}

// duration returns how long a task of a stage is expected to take.
func (p *Planner) duration(s *stage) croft.Millis {
	if mean, ok := p.durations[s.job.record.Queue]; ok {
		return croft.Millis(mean)
	}
	return s.spec.Estimate
}

// scale moves VMs to the pools whose work needs them.
func (p *Planner) scale() {
	if !p.mayOrderVMs() {
		return
	}
	p.planMoves()
	p.advanceMoves()
}

func (p *Planner) planMoves() {
	if p.now.Elapsed < p.nextScale || !p.read {
		return
	}
	p.nextScale = p.now.Elapsed + scaleSpan
	p.sweepOver()
	var pools []*pool
	for _, po := range p.poolOrder {
		if !p.rule(po.id).Spare {
			p.assess(po)
			pools = append(pools, po)
		}
	}
	// The pool that lacks most is served first.
	slices.SortFunc(pools, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(b.demand.now-p.have(b), a.demand.now-p.have(a)), cmp.Compare(a.id, b.id))
	})
	for _, po := range pools {
		for lack := po.demand.now - p.have(po); lack > 0; lack-- {
			if !p.borrow(po, pools) {
				break
			}
		}
	}
	for _, po := range pools {
		p.giveBack(po)
	}
}

// assess works out how many VMs a pool needs.
func (p *Planner) assess(po *pool) {
	var work, endless croft.Resources
	room := p.meanRoom(po)
	least := 1
	for _, j := range po.jobs {
		if p.now.Elapsed > j.came+uselessAfter*(j.due-j.came) && !j.endless() {
			continue
		}
		for _, s := range j.stages {
			needs := s.needs()
			least = max(least, s.leastVMs(room))
			if s.spec.Endless {
				endless = endless.Plus(times(needs, int64(s.left), 1))
				continue
			}
			work = work.Plus(times(needs, int64(s.left)*int64(p.duration(s)), int64(clearSpan)))
		}
	}
	d := &po.demand
	d.now = max(vmsFor(endless.Plus(work), room), least)
	d.peak = max(d.peak*peakFade, float64(d.now))
	if p.have(po) <= d.now {
		d.idle = p.now.Elapsed
	}
}

// leastVMs returns how many VMs a stage needs at once, whatever its work.
func (s *stage) leastVMs(room croft.Resources) int {
	n := 0
	if s.spec.MostPerWorker > 0 && s.spec.Endless {
		n = (s.left + s.spec.MostPerWorker - 1) / s.spec.MostPerWorker
	}
	if s.spec.Gang && s.open {
		n = max(n, vmsFor(times(s.needs(), int64(s.left), 1), room))
	}
	return n
}

func (j *job) endless() bool {
	return slices.ContainsFunc(j.record.Spec.Steps, func(s croft.Step) bool { return s.Endless })
}

func times(r croft.Resources, factor, divisor int64) croft.Resources {
	return croft.Resources{
		MilliCores:   r.MilliCores * factor / divisor,
		MemoryMB:     r.MemoryMB * factor / divisor,
		Accelerators: r.Accelerators * factor / divisor,
	}
}

// meanRoom returns the room of a VM of the pool.
func (p *Planner) meanRoom(po *pool) croft.Resources {
	var sum croft.Resources
	n := int64(0)
	for _, w := range po.order {
		if w.listed {
			sum = sum.Plus(w.Room)
			n++
		}
	}
	if n == 0 {
		return croft.Resources{}
	}
	return times(sum, 1, n)
}

func vmsFor(need, room croft.Resources) int {
	n := int64(0)
	for _, pair := range [][2]int64{{need.MilliCores, room.MilliCores}, {need.MemoryMB, room.MemoryMB}, {need.Accelerators, room.Accelerators}} {
		if pair[1] > 0 {
			n = max(n, (pair[0]+pair[1]-1)/pair[1])
		}
	}
	return int(n)
}

// have counts the VMs of a pool that work or are about to.
func (p *Planner) have(po *pool) int {
	n := 0
	for _, w := range po.order {
		if w.listed && !w.Draining && !w.reserved {
			n++
		}
	}
	for _, m := range p.moves {
		if m.to == po.id {
			n++
		}
	}
	return n
}

// borrow begins to move one VM to a pool: from the spare pool, or from the pool whose need is met best.
func (p *Planner) borrow(po *pool, pools []*pool) bool {
	if id, ok := p.spareVM(po); ok {
		p.beginMove(id, po.id)
		return true
	}
	var from *pool
	reserve := len(p.fleet.vms) * reserveShare / 100 / max(len(pools), 1)
	best := po.supply(p.have(po)+1) * (100 + lendMargin) / 100
	for _, other := range pools {
		have := p.have(other) - 1
		if other == po || have < reserve || p.refusedMoves[moveWay{other.id, po.id}] {
			continue
		}
		supply := other.supply(have)
		if supply > best || (from == nil && have >= other.demand.now && p.have(po) < po.demand.now) {
			from, best = other, max(supply, best)
		}
	}
	if from == nil {
		return false
	}
	id, ok := p.emptiest(from)
	if !ok {
		return false
	}
	p.beginMove(id, po.id)
	return true
}

// supply is how much of its need a pool has with some VMs.
func (po *pool) supply(vms int) float64 { return float64(vms) / float64(max(po.demand.now, 1)) }

// spareVM returns a VM of a spare pool that can move.
func (p *Planner) spareVM(po *pool) (croft.VMID, bool) {
	for _, id := range p.fleet.order {
		vm := p.fleet.vms[id]
		if vm.State == croft.FleetUp && p.rule(vm.Pool).Spare && p.free(id) && !p.refusedMoves[moveWay{vm.Pool, po.id}] {
			return id, true
		}
	}
	return "", false
}

// free reports whether nothing else is planned for a VM.
func (p *Planner) free(id croft.VMID) bool {
	if _, moving := p.moves[id]; moving {
		return false
	}
	for _, w := range p.waves {
		_, prepared := w.prepared[id]
		_, away := w.away[id]
		if prepared || away {
			return false
		}
	}
	return true
}

// emptiest returns the VM of a pool whose move would end least: one that runs nothing, or only
// short tasks that can be waited for.
func (p *Planner) emptiest(po *pool) (croft.VMID, bool) {
	var best croft.VMID
	fewest := -1
	for _, w := range po.order {
		id, ok := p.fleet.byWorker[w.ID]
		if !ok || !p.usable(w) || !p.free(id) || hasEndless(w) {
			continue
		}
		if n := len(w.runs); fewest < 0 || n < fewest {
			best, fewest = id, n
		}
	}
	return best, fewest >= 0
}

func hasEndless(w *worker) bool { return w.endless > 0 }

func (p *Planner) beginMove(id croft.VMID, to croft.PoolID) {
	vm := p.fleet.vms[id]
	p.moves[id] = &move{from: vm.Pool, to: to, since: p.now.Elapsed}
	if w := p.workerOn(id); w != nil {
		p.reserve(w)
	}
	p.log("Move", string(id), string(to), fmt.Sprintf("from %s: needs %d, has %d", vm.Pool, p.pool(to).demand.now, p.have(p.pool(to))-1))
}

// advanceMoves orders the moves whose VMs are empty, and drops those that came to nothing.
func (p *Planner) advanceMoves() {
	for _, id := range sortedVMs(p.moves) {
		m := p.moves[id]
		switch {
		case m.ordered > 0:
			if p.now.Elapsed-m.ordered > arriveSpan {
				delete(p.moves, id)
			}
		case m.sent || p.now.Elapsed < m.next:
		case p.emptyForMove(id):
			m.sent = true
			p.do(OrderVM{Order: croft.FleetOrder{VM: id, Pool: m.to, Holder: p.options.Holder, Fence: p.fence}})
		case p.now.Elapsed-m.since > emptySpan:
			p.dropMove(id, "it did not become empty")
		}
	}
}

// sortedVMs returns the VMs of a map by name, so that decisions repeat.
func sortedVMs[V any](m map[croft.VMID]V) []croft.VMID { return slices.Sorted(maps.Keys(m)) }

func (p *Planner) emptyForMove(id croft.VMID) bool {
	w := p.workerOn(id)
	if w == nil {
		return p.rule(p.fleet.vms[id].Pool).Spare
	}
	return w.verified && len(w.runs) == 0 && w.orphans == 0
}

func (p *Planner) dropMove(id croft.VMID, reason string) {
	p.log("MoveDropped", string(id), "", reason)
	delete(p.moves, id)
	p.unreserve(id)
}

// moveWay is from one pool to another.
type moveWay struct{ from, to croft.PoolID }

func (p *Planner) takeMoved(e Ordered) {
	id := e.Order.VM
	m, ok := p.moves[id]
	if !ok {
		return
	}
	m.sent = false
	var refused *croft.FleetRefusedError
	switch {
	case e.Err == nil:
		m.ordered = p.now.Elapsed
		p.leave(id)
	case errors.As(e.Err, &refused):
		if refused.Reason == croft.FleetRefusedFence {
			p.stepDown("the platform has seen a higher fencing token")
			return
		}
		if refused.Reason == croft.FleetRefusedForm {
			p.refusedMoves[moveWay{m.from, m.to}] = true
		}
		p.dropMove(id, "the platform refused: "+string(refused.Reason))
		p.askFleet()
	default:
		// It may have been carried out; the same order again says so.
		p.log("Unanswered", string(id), string(m.to), e.Err.Error())
		m.next = p.now.Elapsed + orderPause
		p.askFleet()
	}
}

// arrive takes moves for finished whose VMs are up in their new pools.
func (p *Planner) arrive(e FleetRead) {
	for _, id := range sortedVMs(p.moves) {
		m := p.moves[id]
		if m.ordered == 0 || e.Asked < m.ordered {
			continue
		}
		vm, ok := p.fleet.vms[id]
		if !ok || vm.State == croft.FleetDown || (vm.State == croft.FleetUp && vm.Pool == m.to && p.registered(vm)) {
			delete(p.moves, id)
		}
	}
}

func (p *Planner) registered(vm croft.FleetVM) bool {
	w, ok := p.workers[vm.Worker]
	return (ok && w.listed) || p.rule(vm.Pool).Spare
}

// giveBack returns one VM to the spare pool once the pool has had more than enough for a while.
func (p *Planner) giveBack(po *pool) {
	d := &po.demand
	keep := max(d.now+keepMargin, int(d.peak*peakShare/100))
	if p.have(po) <= keep || p.now.Elapsed-d.idle < idleSpan {
		return
	}
	spare, ok := p.sparePool()
	if !ok || p.refusedMoves[moveWay{po.id, spare}] {
		return
	}
	if id, ok := p.emptiest(po); ok && len(p.workerOn(id).runs) == 0 {
		p.beginMove(id, spare)
	}
}

func (p *Planner) sparePool() (croft.PoolID, bool) {
	for _, r := range p.config.Pools {
		if r.Spare {
			return r.ID, true
		}
	}
	return "", false
}
