package place

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
)

const (
	// leaseMargin is how much longer than a lease an order to renew it may be under way.
	leaseMargin = 5 * croft.Second
	taskToken   = "place/task/"
)

// attend does what is due for the placed jobs of a pool: starts, renewals, planned stops and lost workers.
func (s State) attend(pool croft.PoolID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	q, _ := s.due.Get(pool)
	var effects []croft.Effect
	var w write
	for key, id := range q.All() {
		if key > dueKey(now, "\xff") || len(w.rows) == batchRows {
			break
		}
		j, _ := s.jobs.Get(id)
		t, _ := s.tasks.Get(id)
		if s.busy.Has(id) {
			s = s.schedule(j.Job, t, now+croft.Second)
			continue
		}
		var f []croft.Effect
		var row croft.Job
		var changed bool
		s, f, row, changed = s.look(j.Job, t, now, in)
		effects = append(effects, f...)
		if changed {
			w.rows = append(w.rows, row)
			w.decisions = append(w.decisions, croft.Decision{
				Action: string(row.Status), Subject: string(id), Choice: string(row.Worker), Reason: row.Reason,
			})
		}
	}
	if len(w.rows) == 0 {
		return s, effects
	}
	s, f := s.put(w, in.Lease.Fence(pool), now, in)
	return s, append(effects, f...)
}

// look decides the next order or row of one placed job.
func (s State) look(j croft.Job, t task, now croft.Millis, in Inputs) (State, []croft.Effect, croft.Job, bool) {
	plan, _ := in.Lease.Holder(j.Pool)
	t = t.under(plan.Epoch, now)
	v, listed := in.Pools.VM(j.Worker)
	if !listed || v.Status == croft.VMFailed {
		return s.missing(j, t, now)
	}
	t.lost = 0
	m, _ := in.Pools.Member(j.Worker)
	// A task asked for a checkpoint may be held at it, also where its VM serves again: it is stopped and placed anew.
	asked := t.asked > 0 || j.Status == croft.JobCheckpointing
	if asked || m.Phase != croft.PhaseServing || m.Pool != j.Pool {
		return s.leave(j, t, now)
	}
	if now >= t.heard+TaskLease {
		return s.silent(j, t, now)
	}
	t.renewed = now
	if j.Status == croft.JobStarting {
		s = s.schedule(j, t, now+startWithin)
		return s, []croft.Effect{s.task(j, croft.TaskStart)}, j, false
	}
	s = s.schedule(j, t, now+renewEvery)
	return s, []croft.Effect{s.task(j, croft.TaskRenew)}, j, false
}

// under returns the task as a planner sees it that has just taken over: another one may have
// renewed its lease until now, whatever this entry did when it planned before.
func (t task) under(epoch uint64, now croft.Millis) task {
	if t.epoch == epoch {
		return t
	}
	t.epoch = epoch
	t.renewed = now
	if t.lost > 0 {
		t.lost = now
	}
	return t
}

// missing lets the lease of a lost worker's task run out before the job waits again.
func (s State) missing(j croft.Job, t task, now croft.Millis) (State, []croft.Effect, croft.Job, bool) {
	if t.lost == 0 {
		t.lost = now
	}
	s = s.schedule(j, t, now+croft.Second)
	if now < t.lost+TaskLease {
		return s, nil, j, false
	}
	return s, nil, again(j, "the worker is gone and its lease ran out"), true
}

// silent gives up a task that its worker no longer reports, once the lease last asked for has run out.
func (s State) silent(j croft.Job, t task, now croft.Millis) (State, []croft.Effect, croft.Job, bool) {
	if t.renewed == 0 {
		t.renewed = now
	}
	s = s.schedule(j, t, now+startWithin)
	if now < t.renewed+TaskLease+leaseMargin {
		return s, nil, j, false
	}
	return s, []croft.Effect{s.task(j, croft.TaskStop)}, again(j, "its worker no longer reports it"), true
}

// leave has the task checkpointed and stopped, and the job wait again with its checkpoint once the worker took the
// order to stop or the lease ran out.
func (s State) leave(j croft.Job, t task, now croft.Millis) (State, []croft.Effect, croft.Job, bool) {
	if t.asked == 0 {
		t.asked = now
		t.renewed = max(t.renewed, now)
		s = s.schedule(j, t, now+croft.Second)
		effects := []croft.Effect{s.task(j, croft.TaskCheckpoint)}
		changed := j.Status != croft.JobCheckpointing
		j.Status = croft.JobCheckpointing
		j.Reason = "the VM is leaving"
		return s, effects, j, changed
	}
	s = s.schedule(j, t, now+croft.Second)
	if t.stopped || now >= t.renewed+TaskLease+leaseMargin {
		return s, nil, again(j, "stopped at its checkpoint"), true
	}
	if !t.checkpointed && now < t.asked+CheckpointWithin {
		return s, []croft.Effect{s.task(j, croft.TaskCheckpoint)}, j, false
	}
	return s, []croft.Effect{s.task(j, croft.TaskStop)}, j, false
}

// ordered notes that a worker took the order to stop a run.
func (s State) ordered(e croft.OrderEnded) State {
	rest, ok := strings.CutPrefix(e.Token, taskToken)
	parts := strings.Split(rest, "/")
	if !ok || e.Failed != "" || len(parts) < 3 || parts[len(parts)-1] != string(croft.TaskStop) {
		return s
	}
	id := croft.JobID(strings.Join(parts[:len(parts)-2], "/"))
	t, known := s.tasks.Get(id)
	if !known || fmt.Sprint(t.run) != parts[len(parts)-2] {
		return s
	}
	t.stopped = true
	s.tasks = s.tasks.With(id, t)
	return s
}

func again(j croft.Job, reason string) croft.Job {
	j.Status = croft.JobWaiting
	j.Worker = ""
	j.Reason = reason
	return j
}
