package place

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
)

// applyRows records the rows of a scan of all jobs and moves the scan positions on.
func (s State) applyRows(e croft.RowsRead) State {
	if e.Prefix != croft.JobPrefix {
		return s
	}
	newest := s.lastScanVersion
	for _, r := range e.Rows {
		s = s.recordRow(r, e.Time)
		newest = max(newest, r.Version)
	}
	s.previousScanVersion = s.lastScanVersion
	s.lastScanVersion = newest
	s.loaded = s.loaded || e.Whole
	return s
}

// recordRow records a job row and updates the indexes; a row that is not newer than the known one is ignored.
func (s State) recordRow(r croft.Row, now croft.Millis) State {
	if !strings.HasPrefix(r.Key, croft.JobPrefix) || r.Version == 0 {
		return s
	}
	j, ok := decodeJob(r)
	old, known := s.jobs.Get(j.ID)
	if !ok || (known && r.Version <= old.Version) {
		return s
	}
	if known {
		s = s.unindex(old.Job)
	}
	s.jobs = s.jobs.With(j.ID, VersionedJob{Job: j, Version: r.Version})
	return s.index(j, now)
}

// unindex removes a job from the queue of waiting jobs, or from the schedule and the resource counts, by its row.
func (s State) unindex(j croft.Job) State {
	if j.Status == croft.JobWaiting {
		q, _ := s.waiting.Get(j.Pool)
		s.waiting = s.waiting.With(j.Pool, q.Without(waitingKey(j)))
	}
	if !placed(j) {
		return s
	}
	w, _ := s.workers.Get(j.Worker)
	w.used = w.used.Minus(Size(j))
	w.tasks = w.tasks.Without(j.ID)
	s.workers = s.workers.With(j.Worker, w)
	t, _ := s.tasks.Get(j.ID)
	q, _ := s.due.Get(j.Pool)
	s.due = s.due.With(j.Pool, q.Without(dueKey(t.nextDue, j.ID)))
	return s
}

// index adds a job to the queue of waiting jobs, or to the schedule and the resource counts, by its row.
func (s State) index(j croft.Job, now croft.Millis) State {
	if j.Status == croft.JobWaiting {
		q, _ := s.waiting.Get(j.Pool)
		s.waiting = s.waiting.With(j.Pool, q.With(waitingKey(j), j.ID))
	}
	if !placed(j) {
		s.tasks = s.tasks.Without(j.ID)
		return s
	}
	w, _ := s.workers.Get(j.Worker)
	w.used = w.used.Plus(Size(j))
	w.tasks = w.tasks.With(j.ID, struct{}{})
	s.workers = s.workers.With(j.Worker, w)
	t, ok := s.tasks.Get(j.ID)
	if !ok || t.run != j.Run {
		t = task{run: j.Run, lastReport: now}
	}
	return s.schedule(j, t, now)
}

// schedule sets the instant at which a placed job is processed next.
func (s State) schedule(j croft.Job, t task, at croft.Millis) State {
	q, _ := s.due.Get(j.Pool)
	q = q.Without(dueKey(t.nextDue, j.ID))
	t.nextDue = at
	s.tasks = s.tasks.With(j.ID, t)
	s.due = s.due.With(j.Pool, q.With(dueKey(at, j.ID), j.ID))
	return s
}

// commitRows writes job rows in one transaction, which compares their versions and includes the given checks.
func (s State) commitRows(w write, checks []croft.Op, now croft.Millis, in Inputs) (State, []croft.Effect) {
	s.serial++
	token := fmt.Sprintf("place/%s/%d", in.Self.ID, s.serial)
	w.sent = now
	w.ops = append(w.ops, checks...)
	for i := range w.rows {
		w.rows[i].Nonce = token
		known, _ := s.jobs.Get(w.rows[i].ID)
		w.ops = append(w.ops, croft.Op{
			Kind:    croft.OpPut,
			Key:     croft.JobKey(w.rows[i].ID),
			Version: known.Version,
			Value:   encode(w.rows[i]),
		})
		s.busy = s.busy.With(w.rows[i].ID, token)
	}
	s, w = s.withUsage(w, token, in)
	s.writes = s.writes.With(token, w)
	return s, []croft.Effect{croft.Commit{Token: token, Ops: w.ops}}
}

// applyCommitResult handles the outcome of a commit of job rows.
func (s State) applyCommitResult(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	w, ok := s.writes.Get(e.Token)
	if !ok {
		return s, nil
	}
	if e.Outcome == croft.CommitUnknown {
		// resendCommits sends the same compare-and-set again: a conflict shows whether this one took effect.
		return s, nil
	}
	s = s.removeWrite(e.Token, w)
	refused := ""
	switch e.Outcome {
	case croft.CommitDone:
		for _, j := range w.rows {
			s = s.recordRow(croft.Row{Key: croft.JobKey(j.ID), Version: e.Version, Value: encode(j)}, e.Time)
		}
		for id, u := range w.teams {
			s = s.recordTeamRow(id, u, e.Version)
		}
	case croft.CommitConflict:
		refused = "the job was changed by another entry"
		for _, r := range e.Rows {
			if j, ok := decodeJob(r); ok && j.Nonce == e.Token {
				refused = ""
			}
			s = s.recordRow(r, e.Time)
		}
		s = s.recordTeamRows(e.Rows)
	default:
		refused = "the platform is unavailable"
	}
	return s.finishWrite(e, w, refused, in)
}

// finishWrite logs the decisions of an ended write, answers its command and continues its cancellation.
func (s State) finishWrite(e croft.CommitEnded, w write, refused string, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	if refused == "" {
		for _, d := range w.decisions {
			effects = append(effects, d)
		}
	}
	if w.commandToken != "" {
		effects = append(effects, croft.Answer{Token: w.commandToken, Refused: refused})
	}
	if w.cancelToken != "" {
		var more []croft.Effect
		s, more = s.applyCancelResult(e, w, refused, in)
		effects = append(effects, more...)
	}
	return s, effects
}

// removeWrite removes an ended write and frees its jobs for the next one.
func (s State) removeWrite(token string, w write) State {
	s.writes = s.writes.Without(token)
	for _, j := range w.rows {
		s.busy = s.busy.Without(j.ID)
	}
	for id := range w.teams {
		s.busyTeams = s.busyTeams.Without(id)
	}
	return s
}

// resendCommits resends commits whose answer is overdue or whose outcome is unknown.
func (s State) resendCommits(now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	for token, w := range s.writes.All() {
		if now < w.sent+commitResendAfter {
			continue
		}
		w.sent = now
		s.writes = s.writes.With(token, w)
		effects = append(effects, croft.Commit{Token: token, Ops: w.ops})
	}
	return s, effects
}

// waitingJobs returns a pool's waiting jobs in the order in which they are to be placed.
func (s State) waitingJobs(pool croft.PoolID) keyed.Map[string, croft.JobID] {
	q, _ := s.waiting.Get(pool)
	return q
}
