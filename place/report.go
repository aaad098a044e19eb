package place

import (
	"fmt"

	"waxwing.example/croft"
)

// growth is the divisor of a known size by which a reported one must differ to be written.
const growth = 8

// reported takes in what workers say; only the planner of a job's pool writes what follows from it.
func (s State) reported(e croft.WorkersReported, in Inputs) (State, []croft.Effect) {
	rows := map[croft.PoolID]*write{}
	var order []croft.PoolID
	var effects []croft.Effect
	for _, r := range e.Reports {
		for _, t := range r.Tasks {
			j, ok := s.jobs.Get(t.Job)
			if !ok || j.Run != t.Run || j.Worker != r.VM || !placed(j.Job) || s.busy.Has(t.Job) {
				continue
			}
			if !in.holds(j.Pool, e.Time) {
				continue
			}
			s = s.suspect(r.VM, t.State, e.Time)
			var row croft.Job
			var changed bool
			s, row, changed = s.heard(j.Job, t, e.Time)
			if !changed {
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
			var f []croft.Effect
			s, f = s.blame(row, t.State)
			effects = append(effects, f...)
		}
	}
	for _, p := range order {
		var f []croft.Effect
		s, f = s.put(*rows[p], in.Lease.Fence(p), e.Time, in)
		effects = append(effects, f...)
	}
	return s, effects
}

// suspect notes a failure on a worker, or that a task runs there.
func (s State) suspect(id croft.VMID, state croft.TaskState, now croft.Millis) State {
	w, _ := s.workers.Get(id)
	switch {
	case state == croft.TaskFailed:
		w.suspect = now
	case state == croft.TaskDone && w.suspect > 0:
		w.suspect = 0
	default:
		return s
	}
	s.workers = s.workers.With(id, w)
	return s
}

// heard returns the row that follows from one report.
func (s State) heard(j croft.Job, r croft.TaskReport, now croft.Millis) (State, croft.Job, bool) {
	t, _ := s.tasks.Get(j.ID)
	t.heard = now
	if r.State == croft.TaskCheckpointed && t.asked > 0 {
		t.checkpointed = true
	}
	s.tasks = s.tasks.With(j.ID, t)
	changed := false
	if r.Checkpoint != "" && r.Checkpoint != j.Checkpoint {
		j.Checkpoint = r.Checkpoint
		changed = true
	}
	if differs(Size(j), r.Used) && r.State == croft.TaskRunning {
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
		j = failed(j)
		changed = true
	case croft.TaskLapsed:
		j = again(j, "the task's lease lapsed")
		changed = true
	}
	return s, j, changed
}

func failed(j croft.Job) croft.Job {
	worker := j.Worker
	if !failedOn(j, worker) {
		j.FailedOn = append(append([]croft.VMID(nil), j.FailedOn...), worker)
	}
	if len(j.FailedOn) < FailuresToStop {
		return again(j, "failed on "+string(worker))
	}
	j.Status = croft.JobStopped
	j.Reason = fmt.Sprintf("failed on %d workers", len(j.FailedOn))
	return j
}

// differs reports whether a reported size is far enough from the known one to be written.
func differs(known, reported croft.Resources) bool {
	if reported == (croft.Resources{}) {
		return false
	}
	return far(known.MilliCores, reported.MilliCores) ||
		far(known.MemoryMB, reported.MemoryMB) ||
		far(known.Accelerators, reported.Accelerators)
}

func far(a, b int64) bool {
	d := a - b
	if d < 0 {
		d = -d
	}
	return d*growth > a
}

// blame counts a job that runs now against the workers it failed on.
func (s State) blame(j croft.Job, state croft.TaskState) (State, []croft.Effect) {
	if state != croft.TaskRunning && state != croft.TaskDone {
		return s, nil
	}
	var effects []croft.Effect
	for _, id := range j.FailedOn {
		w, _ := s.workers.Get(id)
		w.faults = w.faults.With(j.ID, struct{}{})
		if w.faults.Len() >= FaultsToQuarantine && !w.quarantined {
			w.quarantined = true
			effects = append(effects, croft.Decision{
				Action:  "Quarantine",
				Subject: string(id),
				Reason:  fmt.Sprintf("%d jobs failed there that run elsewhere", w.faults.Len()),
			})
		}
		s.workers = s.workers.With(id, w)
	}
	return s, effects
}
