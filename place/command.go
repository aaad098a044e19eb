package place

import (
	"fmt"

	"waxwing.example/croft"
)

func (s State) command(e croft.OperatorAsked, in Inputs) (State, []croft.Effect) {
	switch c := e.Command.(type) {
	case croft.SubmitJob:
		return s.submit(e, c.Job, in)
	case croft.CancelJobs:
		return s.cancel(e, c.IDs, in)
	}
	return s, nil
}

func (s State) submit(e croft.OperatorAsked, j croft.Job, in Inputs) (State, []croft.Effect) {
	service, ok := in.Config.Service(j.Service)
	reason := ""
	switch {
	case !in.Reachable:
		reason = "the platform does not answer"
	case j.ID == "":
		reason = "the job's ID is empty"
	case !ok:
		reason = fmt.Sprintf("service %q is not declared", j.Service)
	case s.jobs.Has(j.ID) || s.busy.Has(j.ID):
		reason = fmt.Sprintf("job %s exists already", j.ID)
	case j.Declared.MilliCores < 0 || j.Declared.MemoryMB < 0 || j.Declared.Accelerators < 0:
		reason = "a declared size is negative"
	}
	if reason != "" {
		return s, []croft.Effect{croft.Answer{Token: e.Token, Refused: reason}}
	}
	row := croft.Job{
		ID:       j.ID,
		Service:  j.Service,
		Pool:     service.Pool,
		Team:     service.Team,
		Urgency:  j.Urgency,
		Declared: j.Declared,
		Status:   croft.JobWaiting,
		Reason:   "submitted",
		Created:  e.Time,
	}
	return s.put(write{rows: []croft.Job{row}, asked: e.Token}, nil, e.Time, in)
}

// cancel takes the jobs in batches, one transaction each; jobs that ended already count as cancelled.
func (s State) cancel(e croft.OperatorAsked, ids []croft.JobID, in Inputs) (State, []croft.Effect) {
	if !in.Reachable {
		return s, []croft.Effect{croft.Answer{Token: e.Token, Refused: "the platform does not answer"}}
	}
	return s.cancelNext(e.Token, cancel{left: ids}, e.Time, in)
}

func (s State) cancelNext(token string, c cancel, now croft.Millis, in Inputs) (State, []croft.Effect) {
	var rows []croft.Job
	for len(c.left) > 0 && len(rows) < batchRows {
		id := c.left[0]
		c.left = c.left[1:]
		j, ok := s.jobs.Get(id)
		switch {
		case !ok:
			c = c.refuse(fmt.Sprintf("job %s is not known", id))
		case s.busy.Has(id):
			c = c.refuse(fmt.Sprintf("job %s is being changed", id))
		case !ended(j.Job):
			row := j.Job
			row.Status = croft.JobCancelled
			row.Reason = "operator's command"
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		s.cancels = s.cancels.Without(token)
		return s, []croft.Effect{croft.Answer{Token: token, Refused: c.reason()}}
	}
	s.cancels = s.cancels.With(token, c)
	return s.put(write{rows: rows, cancel: token}, nil, now, in)
}

func (c cancel) refuse(reason string) cancel {
	if c.refused == 0 {
		c.first = reason
	}
	c.refused++
	return c
}

func (c cancel) reason() string {
	if c.refused < 2 {
		return c.first
	}
	return fmt.Sprintf("%s, and %d more", c.first, c.refused-1)
}

// cancelled stops the tasks of a batch and goes on with the next one.
func (s State) cancelled(e croft.CommitEnded, w write, refused string, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	c, _ := s.cancels.Get(w.cancel)
	if refused != "" && e.Outcome == croft.CommitConflict && c.conflicts < cancelConflicts {
		// The conflict told the rows as they are now, so the batch is worked out again.
		c.conflicts++
		ids := make([]croft.JobID, 0, len(w.rows)+len(c.left))
		for _, j := range w.rows {
			ids = append(ids, j.ID)
		}
		c.left = append(ids, c.left...)
		return s.cancelNext(w.cancel, c, e.Time, in)
	}
	for _, j := range w.rows {
		if refused != "" {
			c = c.refuse(fmt.Sprintf("job %s: %s", j.ID, refused))
			continue
		}
		if j.Worker != "" {
			effects = append(effects, s.task(j, croft.TaskStop))
		}
	}
	if refused == "" {
		effects = append(effects, croft.Decision{
			Action:  "Cancel",
			Subject: fmt.Sprintf("%d jobs from %s", len(w.rows), w.rows[0].ID),
			Reason:  "operator's command",
		})
	}
	s, more := s.cancelNext(w.cancel, c, e.Time, in)
	return s, append(effects, more...)
}

func (s State) task(j croft.Job, verb croft.TaskVerb) croft.Effect {
	return croft.OrderTask{
		Token:      fmt.Sprintf(taskToken+"%s/%d/%s", j.ID, j.Run, verb),
		VM:         j.Worker,
		Job:        j.ID,
		Run:        j.Run,
		Verb:       verb,
		Lease:      TaskLease,
		Size:       Size(j),
		Checkpoint: j.Checkpoint,
	}
}
