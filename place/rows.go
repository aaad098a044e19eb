package place

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
)

func (s State) read(e croft.RowsRead) State {
	if e.Prefix != croft.JobPrefix {
		return s
	}
	top := s.cursor
	for _, r := range e.Rows {
		s = s.learn(r, e.Time)
		top = max(top, r.Version)
	}
	s.previous = s.cursor
	s.cursor = top
	s.loaded = s.loaded || e.Whole
	return s
}

// learn takes a job row in; one that is not newer than the known row is ignored.
func (s State) learn(r croft.Row, now croft.Millis) State {
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
	s.jobs = s.jobs.With(j.ID, Known{Job: j, Version: r.Version})
	return s.index(j, now)
}

func (s State) unindex(j croft.Job) State {
	if j.Status == croft.JobWaiting {
		q, _ := s.waiting.Get(j.Pool)
		s.waiting = s.waiting.With(j.Pool, q.Without(rank(j)))
	}
	if !placed(j) {
		return s
	}
	w, _ := s.workers.Get(j.Worker)
	w.used = w.used.Minus(Size(j))
	w.tasks = w.tasks.Without(j.ID)
	s.workers = s.workers.With(j.Worker, w)
	used, _ := s.teams.Get(j.Team)
	s.teams = s.teams.With(j.Team, used.Minus(Size(j)))
	t, _ := s.tasks.Get(j.ID)
	q, _ := s.due.Get(j.Pool)
	s.due = s.due.With(j.Pool, q.Without(dueKey(t.next, j.ID)))
	return s
}

func (s State) index(j croft.Job, now croft.Millis) State {
	if j.Status == croft.JobWaiting {
		q, _ := s.waiting.Get(j.Pool)
		s.waiting = s.waiting.With(j.Pool, q.With(rank(j), j.ID))
	}
	if !placed(j) {
		s.tasks = s.tasks.Without(j.ID)
		return s
	}
	w, _ := s.workers.Get(j.Worker)
	w.used = w.used.Plus(Size(j))
	w.tasks = w.tasks.With(j.ID, struct{}{})
	s.workers = s.workers.With(j.Worker, w)
	used, _ := s.teams.Get(j.Team)
	s.teams = s.teams.With(j.Team, used.Plus(Size(j)))
	t, ok := s.tasks.Get(j.ID)
	if !ok || t.run != j.Run {
		t = task{run: j.Run, heard: now}
	}
	return s.schedule(j, t, now)
}

// schedule has the planner look at a placed job at an instant.
func (s State) schedule(j croft.Job, t task, at croft.Millis) State {
	q, _ := s.due.Get(j.Pool)
	q = q.Without(dueKey(t.next, j.ID))
	t.next = at
	s.tasks = s.tasks.With(j.ID, t)
	s.due = s.due.With(j.Pool, q.With(dueKey(at, j.ID), j.ID))
	return s
}

// put asks for a transaction of job rows, with further checks.
func (s State) put(w write, fence []croft.Op, now croft.Millis, in Inputs) (State, []croft.Effect) {
	s.serial++
	token := fmt.Sprintf("place/%s/%d", in.Self.ID, s.serial)
	w.sent = now
	w.ops = append(w.ops, fence...)
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
	s.writes = s.writes.With(token, w)
	return s, []croft.Effect{croft.Commit{Token: token, Ops: w.ops}}
}

func (s State) ended(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	w, ok := s.writes.Get(e.Token)
	if !ok {
		return s, nil
	}
	if e.Outcome == croft.CommitUnknown {
		// The same compare-and-set goes out again: its conflict tells whether this one took effect.
		return s, nil
	}
	s = s.settle(e.Token, w)
	refused := ""
	switch e.Outcome {
	case croft.CommitDone:
		for _, j := range w.rows {
			s = s.learn(croft.Row{Key: croft.JobKey(j.ID), Version: e.Version, Value: encode(j)}, e.Time)
		}
	case croft.CommitConflict:
		refused = "the job was changed by another entry"
		for _, r := range e.Rows {
			if j, ok := decodeJob(r); ok && j.Nonce == e.Token {
				refused = ""
			}
			s = s.learn(r, e.Time)
		}
	default:
		refused = "the platform is unavailable"
	}
	return s.answer(e, w, refused, in)
}

func (s State) answer(e croft.CommitEnded, w write, refused string, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	if refused == "" {
		for _, d := range w.decisions {
			effects = append(effects, d)
		}
	}
	if w.asked != "" {
		effects = append(effects, croft.Answer{Token: w.asked, Refused: refused})
	}
	if w.cancel != "" {
		var f []croft.Effect
		s, f = s.cancelled(e, w, refused, in)
		effects = append(effects, f...)
	}
	return s, effects
}

func (s State) settle(token string, w write) State {
	s.writes = s.writes.Without(token)
	for _, j := range w.rows {
		s.busy = s.busy.Without(j.ID)
	}
	return s
}

// retry sends commits again whose answer is overdue or lost.
func (s State) retry(now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	for token, w := range s.writes.All() {
		if now < w.sent+writeWithin {
			continue
		}
		w.sent = now
		s.writes = s.writes.With(token, w)
		effects = append(effects, croft.Commit{Token: token, Ops: w.ops})
	}
	return s, effects
}

// queue returns a pool's waiting jobs in their order.
func (s State) queue(pool croft.PoolID) keyed.Map[string, croft.JobID] {
	q, _ := s.waiting.Get(pool)
	return q
}
