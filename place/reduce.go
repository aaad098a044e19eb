package place

import (
	"fmt"

	"waxwing.example/croft"
)

// Reduce returns the state after an event and the effects it asks for.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	s, effects := s.reduce(e, in)
	return s, expiring(effects, e.When()+TaskLease)
}

// expiring gives each order for a task the instant at which it is void.
func expiring(effects []croft.Effect, instant croft.Millis) []croft.Effect {
	for i, e := range effects {
		if order, ok := e.(croft.OrderTask); ok {
			order.Expires = instant
			effects[i] = order
		}
	}
	return effects
}

func (s State) reduce(e croft.Event, in Inputs) (State, []croft.Effect) {
	switch e := e.(type) {
	case croft.Tick:
		return s.tick(e, in)
	case croft.RowsRead:
		return s.read(e), nil
	case croft.CommitEnded:
		return s.ended(e, in)
	case croft.WorkersReported:
		return s.reported(e, in)
	case croft.OrderEnded:
		return s.ordered(e), nil
	case croft.OperatorAsked:
		return s.command(e, in)
	}
	return s, nil
}

func (s State) tick(e croft.Tick, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	if e.Time >= s.scanned+s.scanSpan(e.Time, in) {
		s.scanned = e.Time
		effects = append(effects, croft.ScanRows{Prefix: croft.JobPrefix, Since: s.previous})
	}
	s, more := s.retry(e.Time)
	effects = append(effects, more...)
	if !in.Reachable || !s.loaded || !in.Pools.Loaded() {
		return s, effects
	}
	for _, p := range in.Config.Pools {
		if !in.holds(p.ID, e.Time) {
			continue
		}
		s, more = s.attend(p.ID, e.Time, in)
		effects = append(effects, more...)
		s, more = s.fill(p.ID, e.Time, in)
		effects = append(effects, more...)
	}
	return s, effects
}

// scanSpan returns the span between reads of the job rows, shorter at an entry that places them.
func (s State) scanSpan(now croft.Millis, in Inputs) croft.Millis {
	for _, p := range in.Config.Pools {
		if in.holds(p.ID, now) {
			return scanHeldEvery
		}
	}
	return scanEvery
}

// fill places the first waiting jobs of a pool, in one transaction.
func (s State) fill(pool croft.PoolID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	var w write
	b := newBatch(s, now, in)
	for _, id := range s.queue(pool).All() {
		if len(w.rows) == batchRows || b.tried == batchRows*2 || b.seen == maxSeen {
			break
		}
		b.seen++
		if s.busy.Has(id) {
			continue
		}
		j, _ := s.jobs.Get(id)
		row, decision, ok := b.decide(j.Job)
		if ok {
			w.rows = append(w.rows, row)
			w.decisions = append(w.decisions, decision)
		}
	}
	if len(w.rows) == 0 {
		return s, nil
	}
	return s.put(w, in.Lease.Fence(pool), now, in)
}

// batch counts what the decisions of one transaction have taken already.
type batch struct {
	state State
	in    Inputs
	now   croft.Millis
	taken map[croft.VMID]croft.Resources
	teams map[croft.TeamID]croft.Resources
	// tried counts the jobs a worker was looked for, seen all jobs looked at.
	tried, seen int
}

// newBatch counts what placements in flight take as taken.
func newBatch(s State, now croft.Millis, in Inputs) *batch {
	b := &batch{
		state: s,
		in:    in,
		now:   now,
		taken: map[croft.VMID]croft.Resources{},
		teams: map[croft.TeamID]croft.Resources{},
	}
	for _, w := range s.writes.All() {
		for _, j := range w.rows {
			if !placed(j) {
				continue
			}
			more := Size(j)
			if known, _ := s.jobs.Get(j.ID); placed(known.Job) {
				more = more.Minus(Size(known.Job))
			}
			b.taken[j.Worker] = b.taken[j.Worker].Plus(more)
			b.teams[j.Team] = b.teams[j.Team].Plus(more)
		}
	}
	return b
}

func (b *batch) decide(j croft.Job) (croft.Job, croft.Decision, bool) {
	size := Size(j)
	quota := b.quota(j.Team)
	if !within(quota, size) {
		return refused(j, fmt.Sprintf("larger than the quota of team %s", j.Team))
	}
	used, _ := b.state.teams.Get(j.Team)
	if !within(quota, used.Plus(b.teams[j.Team]).Plus(size)) {
		return j, croft.Decision{}, false
	}
	b.tried++
	vm, fits, ever := b.choose(j, size)
	d := croft.Decision{Action: "Place", Subject: string(j.ID), Choice: string(vm)}
	if !ever {
		return refused(j, fmt.Sprintf("no VM of pool %s could hold %d milli-cores, %d MB and %d accelerators",
			j.Pool, size.MilliCores, size.MemoryMB, size.Accelerators))
	}
	if !fits {
		return j, d, false
	}
	b.taken[vm] = b.taken[vm].Plus(size)
	b.teams[j.Team] = b.teams[j.Team].Plus(size)
	j.Status = croft.JobStarting
	j.Reason = "the VM with the most room"
	j.Worker = vm
	j.Run++
	d.Reason = j.Reason
	return j, d, true
}

// refused ends a job whose size can never be had.
func refused(j croft.Job, reason string) (croft.Job, croft.Decision, bool) {
	j.Status = croft.JobRefused
	j.Reason = reason
	return j, croft.Decision{Action: "Refuse", Subject: string(j.ID), Reason: reason}, true
}

// quota returns a team's quota, none for a team that is not declared.
func (b *batch) quota(id croft.TeamID) croft.Resources {
	for _, t := range b.in.Config.Teams {
		if t.ID == id {
			return t.Quota
		}
	}
	return croft.Resources{}
}

// within reports whether an amount is within a quota, of which a zero amount is no limit.
func within(quota, used croft.Resources) bool {
	return (quota.MilliCores == 0 || used.MilliCores <= quota.MilliCores) &&
		(quota.MemoryMB == 0 || used.MemoryMB <= quota.MemoryMB) &&
		(quota.Accelerators == 0 || used.Accelerators <= quota.Accelerators)
}

// choose returns the VM with the most room left, whether there is one now, and whether there could ever be one.
func (b *batch) choose(j croft.Job, size croft.Resources) (croft.VMID, bool, bool) {
	var best croft.VMID
	var most croft.Resources
	members := b.in.Pools.PoolVMs(j.Pool)
	ever := members.Len() == 0
	for id := range members.All() {
		v, _ := b.in.Pools.VM(id)
		ever = ever || size.Fits(v.Room)
		if !b.in.Pools.Usable(id, b.now) || b.state.Quarantined(id) || failedOn(j, id) {
			continue
		}
		if b.shuns(j, id) {
			continue
		}
		room := v.Room.Minus(b.state.Used(id)).Minus(b.taken[id])
		if !size.Fits(room) {
			continue
		}
		if best == "" || room.MilliCores > most.MilliCores {
			best = id
			most = room
		}
	}
	return best, best != "", ever
}

// shuns reports whether a worker on which a task failed lately is kept from a job: it would draw all jobs, since it
// always has the most room.
func (b *batch) shuns(j croft.Job, id croft.VMID) bool {
	w, _ := b.state.workers.Get(id)
	if w.suspect == 0 || b.now >= w.suspect+SuspectSpan {
		return false
	}
	return len(j.FailedOn) > 0 || w.tasks.Len() > 0 || b.taken[id] != (croft.Resources{})
}

func failedOn(j croft.Job, id croft.VMID) bool {
	for _, f := range j.FailedOn {
		if f == id {
			return true
		}
	}
	return false
}
