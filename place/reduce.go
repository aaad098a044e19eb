package place

import (
	"fmt"

	"waxwing.example/croft"
)

// Reduce returns the state after an event and the effects it asks for.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	s, effects := s.reduce(e, in)
	return s, setExpiry(effects, e.When()+TaskLease)
}

// setExpiry sets the instant after which workers must ignore the orders about tasks.
func setExpiry(effects []croft.Effect, instant croft.Millis) []croft.Effect {
	for i, e := range effects {
		if order, ok := e.(croft.OrderTask); ok {
			order.Expires = instant
			effects[i] = order
		}
	}
	return effects
}

// reduce is Reduce without the expiry of orders.
func (s State) reduce(e croft.Event, in Inputs) (State, []croft.Effect) {
	switch e := e.(type) {
	case croft.Tick:
		return s.tick(e, in)
	case croft.RowsRead:
		return s.applyRows(e), nil
	case croft.CommitEnded:
		return s.applyCommitResult(e, in)
	case croft.WorkersReported:
		return s.applyReports(e, in)
	case croft.OrderEnded:
		return s.recordStopAccepted(e), nil
	case croft.CommandReceived:
		return s.handleCommand(e, in)
	}
	return s, nil
}

// tick scans the job rows, resends commits, and processes the placed jobs and places the waiting jobs of the pools that
// this entry plans for.
func (s State) tick(e croft.Tick, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	if e.Time >= s.lastScan+s.currentScanInterval(e.Time, in) {
		s.lastScan = e.Time
		effects = append(effects, croft.ScanRows{Prefix: croft.JobPrefix, Since: s.previousScanVersion})
	}
	s, more := s.resendCommits(e.Time)
	effects = append(effects, more...)
	if !in.PlatformReachable || !s.loaded || !in.Pools.Loaded() {
		return s, effects
	}
	for _, p := range in.Config.Pools {
		if !in.plansFor(p.ID, e.Time) {
			continue
		}
		s, more = s.processDueJobs(p.ID, e.Time, in)
		effects = append(effects, more...)
		s, more = s.placeWaiting(p.ID, e.Time, in)
		effects = append(effects, more...)
	}
	return s, effects
}

// currentScanInterval returns the time between scans of the job rows, which is shorter if this entry plans for a pool.
func (s State) currentScanInterval(now croft.Millis, in Inputs) croft.Millis {
	for _, p := range in.Config.Pools {
		if in.plansFor(p.ID, now) {
			return plannerScanInterval
		}
	}
	return scanInterval
}

// placeWaiting places the first of a pool's waiting jobs that fit, in one transaction.
func (s State) placeWaiting(pool croft.PoolID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	var w write
	b := newBatch(s, now, in)
	for _, id := range s.waitingJobs(pool).All() {
		if len(w.rows) == maxBatchRows || b.attempted == maxBatchRows*2 || b.examined == maxExamined {
			break
		}
		b.examined++
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
	return s.commitRows(w, in.Lease.Fence(pool), now, in)
}

// batch tracks the resources reserved by the placements of one transaction.
type batch struct {
	state    State
	in       Inputs
	now      croft.Millis
	reserved map[croft.VMID]croft.Resources
	// teamUsage has what the teams' placed jobs use, those of this batch included, as far as that was needed.
	teamUsage map[croft.TeamID]croft.Resources
	// attempted counts the jobs for which a worker was sought, examined all jobs considered.
	attempted, examined int
}

// newBatch returns a batch in which the resources of job rows still being written are reserved.
func newBatch(s State, now croft.Millis, in Inputs) *batch {
	b := &batch{
		state:     s,
		in:        in,
		now:       now,
		reserved:  map[croft.VMID]croft.Resources{},
		teamUsage: map[croft.TeamID]croft.Resources{},
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
			b.reserved[j.Worker] = b.reserved[j.Worker].Plus(more)
		}
	}
	return b
}

// decide returns the job's row after its placement or refusal, and false if the job must wait.
func (b *batch) decide(j croft.Job) (croft.Job, croft.Decision, bool) {
	size := Size(j)
	quota := b.in.quota(j.Team)
	if !withinQuota(quota, size) {
		return refusedJob(j, fmt.Sprintf("larger than the quota of team %s", j.Team))
	}
	if b.state.busyTeams.Has(j.Team) {
		return j, croft.Decision{}, false
	}
	if !withinQuota(quota, b.usedBy(j.Team).Plus(size)) {
		return j, croft.Decision{}, false
	}
	b.attempted++
	vm, fits, possible := b.chooseVM(j, size)
	d := croft.Decision{Action: "Place", Subject: string(j.ID), Choice: string(vm)}
	if !possible {
		return refusedJob(j, fmt.Sprintf("no VM of pool %s could hold %d milli-cores, %d MB and %d accelerators",
			j.Pool, size.MilliCores, size.MemoryMB, size.Accelerators))
	}
	if !fits {
		return j, d, false
	}
	b.reserved[vm] = b.reserved[vm].Plus(size)
	b.teamUsage[j.Team] = b.usedBy(j.Team).Plus(size)
	j.Status = croft.JobStarting
	j.Reason = "the VM with the most room"
	j.Worker = vm
	j.Run++
	d.Reason = j.Reason
	return j, d, true
}

// usedBy returns what the placed jobs of a team use, which counts only for teams with a quota.
func (b *batch) usedBy(id croft.TeamID) croft.Resources {
	used, ok := b.teamUsage[id]
	if !ok && b.in.hasQuota(id) {
		for _, u := range b.state.placedJobs(id) {
			used = used.Plus(u.Size)
		}
		b.teamUsage[id] = used
	}
	return used
}

// refusedJob returns the refused row of a job that is larger than its team's quota or than each VM of its pool.
func refusedJob(j croft.Job, reason string) (croft.Job, croft.Decision, bool) {
	j.Status = croft.JobRefused
	j.Reason = reason
	return j, croft.Decision{Action: "Refuse", Subject: string(j.ID), Reason: reason}, true
}

// withinQuota reports whether the used resources are within a quota; a zero field of the quota is no limit.
func withinQuota(quota, used croft.Resources) bool {
	return (quota.MilliCores == 0 || used.MilliCores <= quota.MilliCores) &&
		(quota.MemoryMB == 0 || used.MemoryMB <= quota.MemoryMB) &&
		(quota.Accelerators == 0 || used.Accelerators <= quota.Accelerators)
}

// chooseVM returns the VM with the most free processor capacity, whether one has enough capacity now, and whether any VM
// of the pool could ever hold the job, which is assumed of a pool without VMs.
func (b *batch) chooseVM(j croft.Job, size croft.Resources) (croft.VMID, bool, bool) {
	var best croft.VMID
	var bestFree croft.Resources
	members := b.in.Pools.PoolVMs(j.Pool)
	possible := members.Len() == 0
	for id := range members.All() {
		v, _ := b.in.Pools.VM(id)
		possible = possible || size.Fits(v.Room)
		if !b.in.Pools.Usable(id, b.now) || b.state.Quarantined(id) || failedOn(j, id) {
			continue
		}
		if b.avoids(j, id) {
			continue
		}
		free := v.Room.Minus(b.state.Used(id)).Minus(b.reserved[id])
		if !size.Fits(free) {
			continue
		}
		if best == "" || free.MilliCores > bestFree.MilliCores {
			best = id
			bestFree = free
		}
	}
	return best, best != "", possible
}

// avoids reports whether a worker with a recent task failure must not get the job: a job that has failed before, or one
// beside another. A worker on which every task fails would otherwise attract all jobs, since it always has the most free
// capacity.
func (b *batch) avoids(j croft.Job, id croft.VMID) bool {
	w, _ := b.state.workers.Get(id)
	if w.lastFailure == 0 || b.now >= w.lastFailure+CautionTime {
		return false
	}
	return len(j.FailedOn) > 0 || w.tasks.Len() > 0 || b.reserved[id] != (croft.Resources{})
}

// failedOn reports whether the job has failed on the VM.
func failedOn(j croft.Job, id croft.VMID) bool {
	for _, f := range j.FailedOn {
		if f == id {
			return true
		}
	}
	return false
}
