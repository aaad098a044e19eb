package agent

import (
	"context"
	"errors"
	"fmt"

	"waxwing.example/croft"
	"waxwing.example/croft/intake"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/leader"
	"waxwing.example/croft/sched"
)

// describeTerm returns the log reason for the start of a term.
func describeTerm(term leader.Leadership) string {
	return fmt.Sprintf("fencing token %d, term %d", term.Fence, term.Term)
}

// follow calls step until the context ends, and logs when the feed starts or stops failing. step makes one
// call of the feed for the changes after a version and returns the version from which to continue;
// version zero requests a read of everything. The first call is for the changes after the given version. While the feed
// fails, the calls wait for changes only briefly, so that the end of an outage is noticed soon.
func (a *Agent) follow(ctx context.Context, name string, after uint64, wait croft.Millis, step func(ctx context.Context, after uint64, wait croft.Millis) (uint64, error)) {
	failing := false
	var failedAt croft.Millis
	for ctx.Err() == nil {
		patience := wait
		if failing {
			patience = probeWait
		}
		next, err := step(ctx, after, patience)
		switch {
		case err == nil:
			if failing {
				failing = false
				a.Log.Log(croft.Decision{Action: "Feed", Subject: name, Choice: "Regained", Reason: fmt.Sprintf("after %d ms", a.Clock.Elapsed()-failedAt)})
			}
			a.recordStoreCall(true)
			a.Stats.RecordFeedResponse(name)
			after = next
			continue
		case errors.Is(err, croft.ErrHistoryGone):
			a.Log.Warn("Feed", name, fmt.Sprintf("the store no longer has the changes after version %d; reading everything", after))
			after = 0
			continue
		case ctx.Err() == nil:
			a.recordStoreCall(false)
			if !failing {
				failing, failedAt = true, a.Clock.Elapsed()
				a.Log.Warn("Feed", name, err.Error())
			}
		}
		if a.Clock.Sleep(ctx, retryDelay) != nil {
			return
		}
	}
}

// maxOperatorGap is how long the operator's feed may be without an answer before the rows are read anew: a feed returns
// every version of the configuration since then, a read only the newest.
const maxOperatorGap = 2 * croft.Second

// followOperator follows the operator's configuration and waves; every entry does.
func (a *Agent) followOperator(ctx context.Context) error {
	answeredAt, changed := a.Clock.Elapsed(), false
	// Answers confirm the configuration often enough for it to be used throughout.
	operatorWait := min(followWait, a.ConfigApply/2)
	a.follow(ctx, "operator", 0, operatorWait, func(ctx context.Context, after uint64, wait croft.Millis) (uint64, error) {
		began := a.Clock.Elapsed()
		if began-answeredAt > maxOperatorGap {
			after = 0
		}
		if changed {
			// When the changes were sent is not known: the next answer confirms that there are no newer ones.
			wait = probeWait
		}
		got, err := a.Directory.FollowOperator(ctx, after, wait)
		if got.Version == 0 && err != nil {
			return after, err
		}
		answeredAt = a.Clock.Elapsed()
		changed = after == 0 || got.Config != nil || len(got.Waves) > 0
		confirmedAt := began
		if !changed {
			// The store sends an answer without changes only once it has waited.
			confirmedAt = min(began+wait, answeredAt)
		}
		if err != nil {
			a.Log.Warn("Operator", "rows", err.Error())
		}
		if got.Config != nil {
			a.Stats.SetConfigVersion(a.Intake.Configure(*got.Config))
		}
		// Only after the new one is in force: the answer does not confirm the one before it.
		a.Intake.ConfirmConfig(confirmedAt)
		if got.Config != nil {
			a.post(ctx, sched.ConfigRead{Config: *got.Config})
		}
		if len(got.Waves) > 0 {
			a.post(ctx, sched.WavesRead{Whole: after == 0, Waves: got.Waves})
		}
		return got.Version, nil
	})
	return ctx.Err()
}

// followLeader follows the leader row and the loads that the leader publishes; every entry does.
func (a *Agent) followLeader(ctx context.Context) error {
	answeredAt := a.Clock.Elapsed()
	a.follow(ctx, "lead", 0, leaderFollowWait, func(ctx context.Context, after uint64, wait croft.Millis) (uint64, error) {
		began := a.Clock.Elapsed()
		got, err := a.readOrFollow(ctx, leader.Table, after, wait)
		if err != nil {
			return after, err
		}
		if after != 0 && len(got.Rows)+len(got.Gone) == 0 {
			a.Election.RecordDelay(a.Clock.Elapsed() - began - wait)
		}
		a.Election.Observe(got, after == 0)
		formerAnswer := answeredAt
		answeredAt = a.Clock.Elapsed()
		// The age of loads is known only if the feed returned them and its last answer is recent: the row is never deleted.
		if after != 0 && answeredAt-formerAnswer <= intake.LoadValidity {
			a.recordLoads(got.Rows)
		}
		return got.Version, nil
	})
	return ctx.Err()
}

// recordLoads passes the loads among rows of the leader table on to the intake.
func (a *Agent) recordLoads(rows []croft.Row) {
	for _, row := range rows {
		if row.Key == loadsKey {
			a.Intake.RecordLoads(row.Value)
		}
	}
}

// readOrFollow reads a whole table for version zero and waits for its changes otherwise.
func (a *Agent) readOrFollow(ctx context.Context, name string, after uint64, wait croft.Millis) (croft.Changes, error) {
	if after == 0 {
		return a.Feed.ReadTable(ctx, name, isNeeded)
	}
	return a.Feed.Follow(ctx, name, after, wait)
}

// followWorkers follows the registry of executors while the entry leads.
func (a *Agent) followWorkers(ctx context.Context) {
	known := map[croft.WorkerID]bool{}
	a.follow(ctx, "workers", 0, followWait, func(ctx context.Context, after uint64, wait croft.Millis) (uint64, error) {
		got, err := a.Directory.FollowWorkers(ctx, after, wait)
		if err != nil {
			return after, err
		}
		if got.Whole || len(got.Entries)+len(got.Unusable) > 0 {
			a.post(ctx, sched.WorkersRead{Changes: got})
			applyWorkers(known, got)
			a.Election.SetExecutors(len(known))
		}
		return got.Version, nil
	})
}

// applyWorkers applies changes of the registry to the set of registered executors.
func applyWorkers(known map[croft.WorkerID]bool, changes croft.WorkerChanges) {
	if changes.Whole {
		clear(known)
	}
	for _, entry := range changes.Entries {
		known[entry.ID] = true
	}
	for _, id := range changes.Unusable {
		delete(known, id)
	}
}

// followJobs passes all stored jobs to the planner and then follows new ones and cancellations while the entry leads; fence
// is the version at which the leadership began.
func (a *Agent) followJobs(ctx context.Context, fence uint64) {
	after, first := uint64(0), true
	begin := func(stored storedJobs) {
		a.post(ctx, sched.JobsRead{Whole: first, Jobs: a.joinJobStates(stored.rows, &stored)})
		if first {
			go a.followCancels(ctx, min(stored.version, stored.statesVersion))
		}
		after, first = stored.version, false
	}
	if copies := a.standby.take(); copies != nil {
		stored, err := copies.catchUp(ctx, a.Feed, fence)
		if err != nil {
			a.Log.Warn("Standby", "jobs", "reading all jobs, since the copy of this entry cannot be used: "+err.Error())
		} else {
			begin(stored)
		}
	}
	a.follow(ctx, "jobs", after, followWait, func(ctx context.Context, after uint64, wait croft.Millis) (uint64, error) {
		if after == 0 {
			stored, err := a.readStoredJobs(ctx)
			if err != nil {
				return after, err
			}
			begin(stored)
			return stored.version, nil
		}
		got, err := a.Feed.Follow(ctx, jobs.JobTable, after, wait)
		if err != nil {
			return after, err
		}
		if added := a.joinJobStates(got.Rows, nil); len(added) > 0 {
			a.post(ctx, sched.JobsRead{Jobs: added})
		}
		return got.Version, nil
	})
}

// readStoredJobs reads the table of jobs and the states of those that have not ended.
func (a *Agent) readStoredJobs(ctx context.Context) (storedJobs, error) {
	got, err := a.Feed.ReadTable(ctx, jobs.JobTable, nil)
	if err != nil {
		return storedJobs{}, err
	}
	states, err := a.Feed.ReadTable(ctx, jobs.StateTable, isNeeded)
	if err != nil {
		return storedJobs{}, err
	}
	stored := storedJobs{rows: got.Rows, version: got.Version, states: make(map[croft.JobID]croft.Row, len(states.Rows)), statesVersion: states.Version}
	for _, row := range states.Rows {
		if _, id, err := jobs.SplitKey(row.Key); err == nil {
			stored.states[id] = row
		}
	}
	return stored, nil
}

// joinJobStates joins job rows with their state rows. If stored is nil, the rows are of new jobs, which are still in the
// state with which they were stored. Records are decoded up to the planner's limit; the planner decodes the others one at a time.
// Unreadable rows are logged and skipped, and jobs that have ended are skipped.
func (a *Agent) joinJobStates(rows []croft.Row, stored *storedJobs) []sched.JobRow {
	out := make([]sched.JobRow, 0, len(rows))
	limit, decoded := a.Planner.MaxRecordBytes, 0
	for _, row := range rows {
		part, id, err := jobs.SplitKey(row.Key)
		if err != nil {
			a.Log.Error("Unreadable", row.Key, err.Error())
			continue
		}
		j := sched.JobRow{ID: id, Part: part, Version: row.Version, Progress: jobs.Progress{Status: jobs.Pending}}
		if stored != nil && !a.joinState(&j, row, stored) {
			continue
		}
		if limit > 0 && decoded >= limit {
			j.Encoded = row.Value
		} else if j.Record, err = jobs.DecodeRecord(row.Value); err != nil {
			a.Log.Error("Unreadable", row.Key, err.Error())
			continue
		}
		decoded += sched.DecodedBytes(j.Record)
		out = append(out, j)
	}
	return out
}

// joinState sets the progress of a stored job; it reports false if the job has ended or its state cannot be read.
func (a *Agent) joinState(j *sched.JobRow, row croft.Row, stored *storedJobs) bool {
	state, ok := stored.states[j.ID]
	if !ok {
		// The job has ended. One that was stored after the states were read is new.
		return row.Version > stored.statesVersion
	}
	var err error
	j.Version = state.Version
	if j.Progress, err = jobs.DecodeProgress(state.Value); err != nil {
		a.Log.Error("Unreadable", state.Key, err.Error())
		return false
	}
	return true
}

// followCancels follows the cancellations of jobs after a version while the entry leads.
func (a *Agent) followCancels(ctx context.Context, after uint64) {
	a.follow(ctx, "cancels", after, followWait, func(ctx context.Context, after uint64, wait croft.Millis) (uint64, error) {
		got, err := a.readOrFollow(ctx, jobs.CancelTable, after, wait)
		if err != nil {
			return after, err
		}
		var ids []croft.JobID
		for _, row := range got.Rows {
			if _, id, err := jobs.SplitKey(row.Key); err == nil {
				ids = append(ids, id)
			}
		}
		if len(ids) > 0 {
			a.post(ctx, sched.JobsCancelled{IDs: ids})
		}
		return got.Version, nil
	})
}
