package place

import (
	"fmt"

	"waxwing.example/croft"
)

// handleCommand handles an operator's command about jobs.
func (s State) handleCommand(e croft.CommandReceived, in Inputs) (State, []croft.Effect) {
	switch c := e.Command.(type) {
	case croft.SubmitJob:
		return s.submit(e, c.Job, in)
	case croft.CancelJobs:
		return s.cancelJobs(e, c.IDs, in)
	}
	return s, nil
}

// submit writes the row of a new job, or refuses it.
func (s State) submit(e croft.CommandReceived, j croft.Job, in Inputs) (State, []croft.Effect) {
	service, ok := in.Config.Service(j.Service)
	reason := ""
	switch {
	case !in.PlatformReachable:
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
	return s.commitRows(write{rows: []croft.Job{row}, commandToken: e.Token}, nil, e.Time, in)
}

// cancelJobs cancels jobs in batches, each in one transaction; jobs that have already ended count as cancelled.
func (s State) cancelJobs(e croft.CommandReceived, ids []croft.JobID, in Inputs) (State, []croft.Effect) {
	if !in.PlatformReachable {
		return s, []croft.Effect{croft.Answer{Token: e.Token, Refused: "the platform does not answer"}}
	}
	return s.cancelNextBatch(e.Token, cancellation{remaining: ids}, e.Time, in)
}

// cancelNextBatch writes the next batch of a cancellation, or answers the command when no job remains.
func (s State) cancelNextBatch(token string, c cancellation, now croft.Millis, in Inputs) (State, []croft.Effect) {
	var rows []croft.Job
	for len(c.remaining) > 0 && len(rows) < maxBatchRows {
		id := c.remaining[0]
		c.remaining = c.remaining[1:]
		j, ok := s.jobs.Get(id)
		switch {
		case !ok:
			c = c.addRefusal(fmt.Sprintf("job %s is not known", id))
		case s.busy.Has(id):
			c = c.addRefusal(fmt.Sprintf("job %s is being changed", id))
		case !hasEnded(j.Job):
			row := j.Job
			row.Status = croft.JobCancelled
			row.Reason = "operator's command"
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		s.cancellations = s.cancellations.Without(token)
		return s, []croft.Effect{croft.Answer{Token: token, Refused: c.refusalText()}}
	}
	s.cancellations = s.cancellations.With(token, c)
	return s.commitRows(write{rows: rows, cancelToken: token}, nil, now, in)
}

// addRefusal counts a job that could not be cancelled and keeps the first reason.
func (c cancellation) addRefusal(reason string) cancellation {
	if c.refused == 0 {
		c.firstRefusal = reason
	}
	c.refused++
	return c
}

// refusalText returns the reason given to the operator, empty if no job was refused.
func (c cancellation) refusalText() string {
	if c.refused < 2 {
		return c.firstRefusal
	}
	return fmt.Sprintf("%s, and %d more", c.firstRefusal, c.refused-1)
}

// applyCancelResult orders the tasks of a cancelled batch to stop and continues with the next batch.
func (s State) applyCancelResult(e croft.CommitEnded, w write, refused string, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	c, _ := s.cancellations.Get(w.cancelToken)
	if refused != "" && e.Outcome == croft.CommitConflict && c.conflicts < cancelConflicts {
		// The conflict returned the current rows, so the same jobs are tried again on these.
		c.conflicts++
		ids := make([]croft.JobID, 0, len(w.rows)+len(c.remaining))
		for _, j := range w.rows {
			ids = append(ids, j.ID)
		}
		c.remaining = append(ids, c.remaining...)
		return s.cancelNextBatch(w.cancelToken, c, e.Time, in)
	}
	for _, j := range w.rows {
		if refused != "" {
			c = c.addRefusal(fmt.Sprintf("job %s: %s", j.ID, refused))
			continue
		}
		if j.Worker != "" {
			effects = append(effects, s.taskOrder(j, croft.TaskStop))
		}
	}
	if refused == "" {
		effects = append(effects, croft.Decision{
			Action:  "Cancel",
			Subject: fmt.Sprintf("%d jobs from %s", len(w.rows), w.rows[0].ID),
			Reason:  "operator's command",
		})
	}
	s, more := s.cancelNextBatch(w.cancelToken, c, e.Time, in)
	return s, append(effects, more...)
}

// taskOrder returns an order to a job's worker about its current run.
func (s State) taskOrder(j croft.Job, verb croft.TaskVerb) croft.Effect {
	return croft.OrderTask{
		Token:      fmt.Sprintf(taskTokenPrefix+"%s/%d/%s", j.ID, j.Run, verb),
		VM:         j.Worker,
		Job:        j.ID,
		Run:        j.Run,
		Verb:       verb,
		Lease:      TaskLease,
		Size:       Size(j),
		Checkpoint: j.Checkpoint,
	}
}
