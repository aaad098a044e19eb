package place

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
)

const (
	// leaseMargin is added to a task's lease before it counts as expired, for a renewal that reached the worker late.
	leaseMargin = 5 * croft.Second
	// taskTokenPrefix begins the tokens of orders about tasks.
	taskTokenPrefix = "place/task/"
)

// processDueJobs processes the placed jobs of a pool that are due: it starts tasks, renews their leases, stops them as
// planned, and returns the jobs of lost workers to waiting.
func (s State) processDueJobs(pool croft.PoolID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	q, _ := s.due.Get(pool)
	var effects []croft.Effect
	var w write
	for key, id := range q.All() {
		if key > dueKey(now, "\xff") || len(w.rows) == maxBatchRows {
			break
		}
		j, _ := s.jobs.Get(id)
		t, _ := s.tasks.Get(id)
		if s.busy.Has(id) {
			s = s.schedule(j.Job, t, now+croft.Second)
			continue
		}
		var more []croft.Effect
		var row croft.Job
		var changed bool
		s, more, row, changed = s.processJob(j.Job, t, now, in)
		effects = append(effects, more...)
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
	s, more := s.commitRows(w, in.Lease.Fence(pool), now, in)
	return s, append(effects, more...)
}

// processJob returns the orders to send about a placed job, the job's next row, and whether the row changes.
func (s State) processJob(j croft.Job, t task, now croft.Millis, in Inputs) (State, []croft.Effect, croft.Job, bool) {
	plan, _ := in.Lease.Plan(j.Pool)
	t = t.withEpoch(plan.Epoch, now)
	v, listed := in.Pools.VM(j.Worker)
	if !listed || v.Status == croft.VMFailed {
		return s.handleMissingWorker(j, t, now)
	}
	t.missingSince = 0
	m, _ := in.Pools.Member(j.Worker)
	// After a checkpoint request the worker may keep the task suspended at its checkpoint, even if its VM serves again by
	// now, so the task is always stopped and placed anew.
	checkpointRequested := t.checkpointRequested > 0 || j.Status == croft.JobCheckpointing
	if checkpointRequested || m.Phase != croft.PhaseServing || m.Pool != j.Pool {
		return s.stopAtCheckpoint(j, t, now)
	}
	if now >= t.lastReport+TaskLease {
		return s.handleSilentWorker(j, t, now)
	}
	t.lastRenewal = now
	if j.Status == croft.JobStarting {
		s = s.schedule(j, t, now+orderResendAfter)
		return s, []croft.Effect{s.taskOrder(j, croft.TaskStart)}, j, false
	}
	s = s.schedule(j, t, now+renewInterval)
	return s, []croft.Effect{s.taskOrder(j, croft.TaskRenew)}, j, false
}

// withEpoch resets the task's timers if the pool's lease changed hands since this entry last processed the task: another
// planner may have renewed the task's lease until now.
func (t task) withEpoch(epoch uint64, now croft.Millis) task {
	if t.epoch == epoch {
		return t
	}
	t.epoch = epoch
	t.lastRenewal = now
	if t.missingSince > 0 {
		t.missingSince = now
	}
	return t
}

// handleMissingWorker returns the job of a failed or unlisted worker to waiting once the task's lease has expired, so that
// the task can't run twice.
func (s State) handleMissingWorker(j croft.Job, t task, now croft.Millis) (State, []croft.Effect, croft.Job, bool) {
	if t.missingSince == 0 {
		t.missingSince = now
	}
	s = s.schedule(j, t, now+croft.Second)
	if now < t.missingSince+TaskLease {
		return s, nil, j, false
	}
	return s, nil, requeued(j, "the worker is gone and its lease ran out"), true
}

// handleSilentWorker stops a task that its worker no longer reports, and returns its job to waiting, once the last
// renewed lease has expired.
func (s State) handleSilentWorker(j croft.Job, t task, now croft.Millis) (State, []croft.Effect, croft.Job, bool) {
	if t.lastRenewal == 0 {
		t.lastRenewal = now
	}
	s = s.schedule(j, t, now+orderResendAfter)
	if now < t.lastRenewal+TaskLease+leaseMargin {
		return s, nil, j, false
	}
	return s, []croft.Effect{s.taskOrder(j, croft.TaskStop)}, requeued(j, "its worker no longer reports it"), true
}

// stopAtCheckpoint orders a checkpoint and then a stop of the task. The job returns to waiting with its checkpoint once the
// worker accepted the stop or the lease expired.
func (s State) stopAtCheckpoint(j croft.Job, t task, now croft.Millis) (State, []croft.Effect, croft.Job, bool) {
	if t.checkpointRequested == 0 {
		t.checkpointRequested = now
		t.lastRenewal = max(t.lastRenewal, now)
		s = s.schedule(j, t, now+croft.Second)
		effects := []croft.Effect{s.taskOrder(j, croft.TaskCheckpoint)}
		changed := j.Status != croft.JobCheckpointing
		j.Status = croft.JobCheckpointing
		j.Reason = "the VM is leaving"
		return s, effects, j, changed
	}
	s = s.schedule(j, t, now+croft.Second)
	if t.stopAccepted || now >= t.lastRenewal+TaskLease+leaseMargin {
		return s, nil, requeued(j, "stopped at its checkpoint"), true
	}
	if !t.checkpointed && now < t.checkpointRequested+CheckpointTimeout {
		return s, []croft.Effect{s.taskOrder(j, croft.TaskCheckpoint)}, j, false
	}
	return s, []croft.Effect{s.taskOrder(j, croft.TaskStop)}, j, false
}

// recordStopAccepted records that a worker accepted the order to stop the current run of a job.
func (s State) recordStopAccepted(e croft.OrderEnded) State {
	rest, ok := strings.CutPrefix(e.Token, taskTokenPrefix)
	parts := strings.Split(rest, "/")
	if !ok || e.Failed != "" || len(parts) < 3 || parts[len(parts)-1] != string(croft.TaskStop) {
		return s
	}
	id := croft.JobID(strings.Join(parts[:len(parts)-2], "/"))
	t, known := s.tasks.Get(id)
	if !known || fmt.Sprint(t.run) != parts[len(parts)-2] {
		return s
	}
	t.stopAccepted = true
	s.tasks = s.tasks.With(id, t)
	return s
}

// requeued returns the job as waiting for a new placement.
func requeued(j croft.Job, reason string) croft.Job {
	j.Status = croft.JobWaiting
	j.Worker = ""
	j.Reason = reason
	return j
}
