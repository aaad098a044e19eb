package place

import (
	"fmt"

	"waxwing.example/croft"
)

// sizeChangeDivisor sets the least change of a reported size that is written: one eighth of the known size.
const sizeChangeDivisor = 8

// applyReports applies the workers' reports of their tasks, for the jobs of pools that this entry plans for.
func (s State) applyReports(e croft.WorkersReported, in Inputs) (State, []croft.Effect) {
	rows := map[croft.PoolID]*write{}
	var order []croft.PoolID
	var effects []croft.Effect
	for _, r := range e.Reports {
		for _, t := range r.Tasks {
			j, ok := s.jobs.Get(t.Job)
			if !ok || j.Run != t.Run || j.Worker != r.VM || !placed(j.Job) || s.busy.Has(t.Job) {
				continue
			}
			if !in.plansFor(j.Pool, e.Time) {
				continue
			}
			s = s.updateLastFailure(r.VM, t.State, e.Time)
			var row croft.Job
			var changed bool
			s, row, changed = s.applyReport(j.Job, t, e.Time)
			if !changed || (s.busyTeams.Has(j.Team) && s.changesUsage(row, in)) {
				// The worker reports again.
				continue
			}
			if rows[j.Pool] == nil {
				rows[j.Pool] = &write{}
				order = append(order, j.Pool)
			}
			w := rows[j.Pool]
			w.rows = append(w.rows, row)
			w.decisions = append(w.decisions, croft.Decision{
				Action: string(row.Status), Subject: string(row.ID), Choice: string(r.VM), Reason: row.Reason,
			})
			var more []croft.Effect
			s, more = s.recordFaults(row, t.State)
			effects = append(effects, more...)
		}
	}
	for _, p := range order {
		var more []croft.Effect
		s, more = s.commitRows(*rows[p], in.Lease.Fence(p), e.Time, in)
		effects = append(effects, more...)
	}
	return s, effects
}

// updateLastFailure records when a task failed on a worker, and clears that when a task finishes there.
func (s State) updateLastFailure(id croft.VMID, state croft.TaskState, now croft.Millis) State {
	w, _ := s.workers.Get(id)
	switch {
	case state == croft.TaskFailed:
		w.lastFailure = now
	case state == croft.TaskDone && w.lastFailure > 0:
		w.lastFailure = 0
	default:
		return s
	}
	s.workers = s.workers.With(id, w)
	return s
}

// applyReport returns the job's row after a report about its task, and whether it changed.
func (s State) applyReport(j croft.Job, r croft.TaskReport, now croft.Millis) (State, croft.Job, bool) {
	t, _ := s.tasks.Get(j.ID)
	t.lastReport = now
	if r.State == croft.TaskCheckpointed && t.checkpointRequested > 0 {
		t.checkpointed = true
	}
	s.tasks = s.tasks.With(j.ID, t)
	changed := false
	if r.Checkpoint != "" && r.Checkpoint != j.Checkpoint {
		j.Checkpoint = r.Checkpoint
		changed = true
	}
	if sizeChanged(Size(j), r.Used) && r.State == croft.TaskRunning {
		j.Reported = r.Used
		changed = true
	}
	switch r.State {
	case croft.TaskRunning, croft.TaskCheckpointed:
		if j.Status == croft.JobStarting {
			j.Status = croft.JobRunning
			j.Reason = "reported by its worker"
			changed = true
		}
	case croft.TaskDone:
		j.Status = croft.JobDone
		j.Reason = "reported by its worker"
		changed = true
	case croft.TaskFailed:
		j = afterFailure(j)
		changed = true
	case croft.TaskLapsed:
		j = requeued(j, "the task's lease lapsed")
		changed = true
	}
	return s, j, changed
}

// afterFailure returns a job whose task failed: waiting for another worker, or stopped after failures on FailuresToStop
// workers.
func afterFailure(j croft.Job) croft.Job {
	worker := j.Worker
	if !failedOn(j, worker) {
		j.FailedOn = append(append([]croft.VMID(nil), j.FailedOn...), worker)
	}
	if len(j.FailedOn) < FailuresToStop {
		return requeued(j, "failed on "+string(worker))
	}
	j.Status = croft.JobStopped
	j.Reason = fmt.Sprintf("failed on %d workers", len(j.FailedOn))
	return j
}

// sizeChanged reports whether a reported size differs enough from the known one to be written.
func sizeChanged(known, reported croft.Resources) bool {
	if reported == (croft.Resources{}) {
		return false
	}
	return differsWidely(known.MilliCores, reported.MilliCores) ||
		differsWidely(known.MemoryMB, reported.MemoryMB) ||
		differsWidely(known.Accelerators, reported.Accelerators)
}

// differsWidely reports whether b differs from a by more than a/sizeChangeDivisor.
func differsWidely(a, b int64) bool {
	difference := a - b
	if difference < 0 {
		difference = -difference
	}
	return difference*sizeChangeDivisor > a
}

// recordFaults counts a job that now runs or has finished against each worker on which it failed, and quarantines a worker
// with FaultsToQuarantine such jobs.
func (s State) recordFaults(j croft.Job, state croft.TaskState) (State, []croft.Effect) {
	if state != croft.TaskRunning && state != croft.TaskDone {
		return s, nil
	}
	var effects []croft.Effect
	for _, id := range j.FailedOn {
		w, _ := s.workers.Get(id)
		w.failedJobs = w.failedJobs.With(j.ID, struct{}{})
		if w.failedJobs.Len() >= FaultsToQuarantine && !w.quarantined {
			w.quarantined = true
			effects = append(effects, croft.Decision{
				Action:  "Quarantine",
				Subject: string(id),
				Reason:  fmt.Sprintf("%d jobs failed on this worker and ran on another", w.failedJobs.Len()),
			})
		}
		s.workers = s.workers.With(id, w)
	}
	return s, effects
}
