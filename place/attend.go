package place

import "waxwing.example/croft"

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
	v, listed := in.Pools.VM(j.Worker)
	if !listed || v.Status == croft.VMFailed {
		return s.missing(j, t, now)
	}
	t.lost = 0
	m, _ := in.Pools.Member(j.Worker)
	if m.Phase != croft.PhaseServing || m.Pool != j.Pool {
		return s.leave(j, t, now)
	}
	switch j.Status {
	case croft.JobStarting:
		s = s.schedule(j, t, now+startWithin)
		return s, []croft.Effect{s.task(j, croft.TaskStart)}, j, false
	case croft.JobCheckpointing:
		j.Status = croft.JobRunning
		j.Reason = "the VM serves again"
		s = s.schedule(j, t, now+croft.Second)
		return s, nil, j, true
	}
	s = s.schedule(j, t, now+renewEvery)
	return s, []croft.Effect{s.task(j, croft.TaskRenew)}, j, false
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

// leave has the task checkpointed and stopped, and the job wait again with its checkpoint.
func (s State) leave(j croft.Job, t task, now croft.Millis) (State, []croft.Effect, croft.Job, bool) {
	if t.asked == 0 {
		t.asked = now
		s = s.schedule(j, t, now+croft.Second)
		effects := []croft.Effect{s.task(j, croft.TaskCheckpoint)}
		changed := j.Status != croft.JobCheckpointing
		j.Status = croft.JobCheckpointing
		j.Reason = "the VM is leaving"
		return s, effects, j, changed
	}
	s = s.schedule(j, t, now+croft.Second)
	if !t.checkpointed && now < t.asked+CheckpointWithin {
		return s, nil, j, false
	}
	return s, []croft.Effect{s.task(j, croft.TaskStop)}, again(j, "stopped before the VM left"), true
}

func again(j croft.Job, reason string) croft.Job {
	j.Status = croft.JobWaiting
	j.Worker = ""
	j.Reason = reason
	return j
}
