package agent

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/leader"
	"waxwing.example/croft/sched"
)

func leadReason(lead leader.Lead) string {
	return fmt.Sprintf("fencing token %d, term %d", lead.Fence, lead.Term)
}

// follow calls step until the context ends; step returns the version from which to go on.
func (a *Agent) follow(ctx context.Context, name string, step func(ctx context.Context, after uint64) (uint64, error)) {
	after, lost := uint64(0), false
	for ctx.Err() == nil {
		next, err := step(ctx, after)
		switch {
		case err == nil:
			if lost {
				lost = false
				a.Log.Log(croft.Decision{Action: "Feed", Subject: name, Choice: "Regained"})
			}
			a.heardStore(true)
			a.Stats.Feed(name)
			after = next
			continue
		case errors.Is(err, croft.ErrHistoryGone):
			a.Log.Warn("Feed", name, "the store has dropped the history; reading it whole")
			after = 0
			continue
		case ctx.Err() == nil:
			a.heardStore(false)
			if !lost {
				lost = true
				a.Log.Warn("Feed", name, err.Error())
			}
		}
		if a.Clock.Sleep(ctx, againSpan) != nil {
			return
		}
	}
}

func (a *Agent) followOperator(ctx context.Context) error {
	a.follow(ctx, "operator", func(ctx context.Context, after uint64) (uint64, error) {
		got, err := a.Directory.FollowOperator(ctx, after, followSpan)
		if got.Version == 0 && err != nil {
			return after, err
		}
		if err != nil {
			a.Log.Warn("Operator", "rows", err.Error())
		}
		if got.Config != nil {
			a.Intake.Configure(*got.Config)
			a.Stats.Config(a.Intake.Index().Version)
			a.post(ctx, sched.ConfigRead{Config: *got.Config})
		}
		if len(got.Waves) > 0 {
			a.post(ctx, sched.WavesRead{Whole: after == 0, Waves: got.Waves})
		}
		return got.Version, nil
	})
	return ctx.Err()
}

// followLead watches who leads and what the leader publishes.
func (a *Agent) followLead(ctx context.Context) error {
	a.follow(ctx, "lead", func(ctx context.Context, after uint64) (uint64, error) {
		began := a.Clock.Elapsed()
		got, err := a.table(ctx, leader.Table, after, leadSpan)
		if err != nil {
			return after, err
		}
		if after != 0 && len(got.Rows)+len(got.Gone) == 0 {
			a.Election.Delayed(a.Clock.Elapsed() - began - leadSpan)
		}
		a.Election.Observe(got, after == 0)
		for _, row := range got.Rows {
			if row.Key == loadsKey {
				a.Intake.TakeLoads(row.Value)
			}
		}
		return got.Version, nil
	})
	return ctx.Err()
}

// table reads a table whole after version zero, and its changes else.
func (a *Agent) table(ctx context.Context, name string, after uint64, wait croft.Millis) (croft.Changes, error) {
	if after == 0 {
		return a.Feed.ReadTable(ctx, name)
	}
	return a.Feed.Follow(ctx, name, after, wait)
}

func (a *Agent) followWorkers(ctx context.Context) {
	a.follow(ctx, "workers", func(ctx context.Context, after uint64) (uint64, error) {
		got, err := a.Directory.FollowWorkers(ctx, after, followSpan)
		if err != nil {
			return after, err
		}
		if got.Whole || len(got.Entries)+len(got.Unusable) > 0 {
			a.post(ctx, sched.WorkersRead{Changes: got})
		}
		return got.Version, nil
	})
}

// followJobs reads all stored jobs and then follows new ones.
func (a *Agent) followJobs(ctx context.Context) {
	first := true
	a.follow(ctx, "jobs", func(ctx context.Context, after uint64) (uint64, error) {
		got, err := a.table(ctx, jobs.JobTable, after, followSpan)
		if err != nil {
			return after, err
		}
		var states map[croft.JobID]croft.Row
		if after == 0 {
			if states, err = a.readStates(ctx); err != nil {
				return after, err
			}
		}
		news := a.jobRows(got.Rows, states, after == 0)
		if len(news) > 0 || first {
			a.post(ctx, sched.JobsRead{Whole: first, Jobs: news})
		}
		first = false
		return got.Version, nil
	})
}

func (a *Agent) readStates(ctx context.Context) (map[croft.JobID]croft.Row, error) {
	got, err := a.Feed.ReadTable(ctx, jobs.StateTable)
	if err != nil {
		return nil, err
	}
	states := make(map[croft.JobID]croft.Row, len(got.Rows))
	for _, row := range got.Rows {
		if _, id, err := jobs.SplitKey(row.Key); err == nil {
			states[id] = row
		}
	}
	return states, nil
}

// jobRows joins job rows with their states; a job that has just come has the state it was stored with.
func (a *Agent) jobRows(rows []croft.Row, states map[croft.JobID]croft.Row, whole bool) []sched.JobRow {
	out := make([]sched.JobRow, 0, len(rows))
	for _, row := range rows {
		part, id, err := jobs.SplitKey(row.Key)
		if err != nil {
			a.Log.Error("Unreadable", row.Key, err.Error())
			continue
		}
		j := sched.JobRow{ID: id, Part: part, Version: row.Version, Progress: jobs.Progress{Status: jobs.Pending}}
		if j.Record, err = jobs.DecodeRecord(row.Value); err != nil {
			a.Log.Error("Unreadable", row.Key, err.Error())
			continue
		}
		if whole {
			state, ok := states[id]
			if !ok {
				// It came after the states were read; the feed or the next whole read brings it.
				continue
			}
			j.Version = state.Version
			if j.Progress, err = jobs.DecodeProgress(state.Value); err != nil {
				a.Log.Error("Unreadable", state.Key, err.Error())
				continue
			}
		}
		out = append(out, j)
	}
	return out
}

func (a *Agent) followCancels(ctx context.Context) {
	a.follow(ctx, "cancels", func(ctx context.Context, after uint64) (uint64, error) {
		got, err := a.table(ctx, jobs.CancelTable, after, followSpan)
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

// readWaves reads once which VMs former leaders have maintained.
func (a *Agent) readWaves(ctx context.Context) {
	for ctx.Err() == nil {
		got, err := a.Feed.ReadTable(ctx, waveTable)
		if err != nil {
			a.Log.Warn("Feed", "waves", err.Error())
			if a.Clock.Sleep(ctx, againSpan) != nil {
				return
			}
			continue
		}
		rows := sched.WaveRowsRead{Begun: map[int][]croft.VMID{}, Ordered: map[int][]croft.VMID{}}
		for _, row := range got.Rows {
			number, value, err := decodeWave(strings.TrimPrefix(row.Key, waveTable+"//"), row.Value)
			if err != nil {
				a.Log.Error("Unreadable", row.Key, err.Error())
				continue
			}
			rows.Begun[number], rows.Ordered[number] = value.Begun, value.Ordered
		}
		a.post(ctx, rows)
		return
	}
}
