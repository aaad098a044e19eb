package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// Outcome is what became of a submission.
type Outcome string

// The outcomes of a submission.
const (
	// Accepted means that the job is stored.
	Accepted Outcome = "Accepted"
	// Rejected means that the job is not stored, since it could not be served in time.
	Rejected Outcome = "Rejected"
	// Unavailable means that the job is not stored, since the store took no write.
	Unavailable Outcome = "Unavailable"
	// Unknown means that the job may be stored.
	Unknown Outcome = "Unknown"
)

// Errors of an intake.
var (
	// ErrNoJob tells that no such job is stored.
	ErrNoJob = errors.New("intake: no such job")
	// ErrStore tells that the store did not answer in time.
	ErrStore = errors.New("intake: the store gave no answer")
	// ErrCancelUnknown tells that a cancelling may be stored.
	ErrCancelUnknown = errors.New("intake: the cancelling may be stored")
)

// Spans of an intake.
const (
	// retryWait is the pause after a call that the store did not take.
	retryWait = 60 * croft.Millis(1)
	// refusedSpan is how long a write that the store refuses is tried again; its bursts of refusals
	// are shorter, its outages longer.
	refusedSpan = 400 * croft.Millis(1)
	// loadSpan is how long the leader's word on a queue holds.
	loadSpan = 2 * croft.Second
)

// Intake stores, tells and cancels callers' jobs; its methods may be called at once.
type Intake struct {
	table croft.Table
	clock croft.Clock
	log   croft.DecisionLog
	reach func() bool
	index atomic.Pointer[Index]
	loads atomic.Pointer[loads]
}

type loads struct {
	queues map[croft.QueueID]sched.Load
	heard  croft.Millis
}

// New returns an intake without a configuration; reach says whether the store has answered lately.
func New(table croft.Table, clock croft.Clock, log croft.DecisionLog, reach func() bool) *Intake {
	return &Intake{table: table, clock: clock, log: log, reach: reach}
}

// Configure takes a configuration into use, unless a newer one is.
func (d *Intake) Configure(config croft.QueueConfig) {
	if old := d.index.Load(); old != nil && old.Version >= config.Version {
		return
	}
	d.index.Store(NewIndex(config))
	d.log.Log(croft.Decision{Action: "Config", Subject: fmt.Sprint(config.Version), Choice: "InForce", Reason: fmt.Sprintf("%d queues", len(config.Queues))})
}

// Index returns the configuration in use, nil before the first one.
func (d *Intake) Index() *Index { return d.index.Load() }

// TakeLoads takes in the leader's word on its queues.
func (d *Intake) TakeLoads(raw []byte) {
	queues := map[croft.QueueID]sched.Load{}
	if err := json.Unmarshal(raw, &queues); err != nil {
		d.log.Log(croft.Decision{Action: "Loads", Subject: "leader", Choice: "Ignored", Reason: err.Error()})
		return
	}
	d.loads.Store(&loads{queues: queues, heard: d.clock.Elapsed()})
}

// load returns what is known of a queue, nothing where the word is old.
func (d *Intake) load(id croft.QueueID) sched.Load {
	l := d.loads.Load()
	if l == nil || d.clock.Elapsed()-l.heard > loadSpan {
		return sched.Load{}
	}
	return l.queues[id]
}

// Submit stores a job; after Rejected it says when to come again.
func (d *Intake) Submit(ctx context.Context, q croft.Queue, id croft.JobID, spec croft.JobSpec) (Outcome, croft.Millis) {
	if load := d.load(q.ID); load.Refuse && !d.known(ctx, q, id) {
		d.decide("Submit", id, string(Rejected), fmt.Sprintf("queue %s: a new job would begin after %d ms", q.ID, load.Wait))
		return Rejected, load.Wait
	}
	if !d.reach() {
		d.decide("Submit", id, string(Unavailable), fmt.Sprintf("queue %s: the store does not answer this entry", q.ID))
		return Unavailable, retryAfter
	}
	outcome, reason := d.store(ctx, d.submission(q, id, spec))
	d.decide("Submit", id, string(outcome), fmt.Sprintf("queue %s: %s", q.ID, reason))
	return outcome, retryAfter
}

// retryAfter is when a caller may come again after an outage: shorter than most, and long enough
// that callers do not add to it.
const retryAfter = 1 * croft.Second

func (d *Intake) submission(q croft.Queue, id croft.JobID, spec croft.JobSpec) []croft.Op {
	part := jobs.Part(q.ID, id)
	record := jobs.Record{
		Queue: q.ID, Pool: q.Pool, Priority: q.Priority, MostAttempts: q.MostAttempts,
		Stretch: q.Stretch, Latency: q.Latency, Accepted: d.clock.Now(), Spec: spec,
	}
	put := func(table string, version uint64, value []byte) croft.Op {
		return croft.Op{Kind: croft.OpPut, Key: jobs.Key(table, part, id), Version: version, Value: value}
	}
	return []croft.Op{
		put(jobs.StateTable, 0, jobs.Encode(jobs.Progress{Status: jobs.Pending})),
		put(jobs.JobTable, croft.AnyVersion, jobs.Encode(record)),
		put(jobs.WaitTable, croft.AnyVersion, jobs.Mark),
	}
}

// store commits a submission until its outcome is known or the caller's time is over; one that the
// store refuses for a while is given up, so that the caller can go to another entry.
func (d *Intake) store(ctx context.Context, ops []croft.Op) (Outcome, string) {
	maybe, began := false, d.clock.Elapsed()
	for {
		_, err := d.table.Commit(ctx, ops)
		var conflict *croft.ConflictError
		var unavailable *croft.UnavailableError
		switch {
		case err == nil:
			return Accepted, "stored"
		case errors.As(err, &conflict):
			return Accepted, "stored before"
		case errors.As(err, &unavailable):
		default:
			// It may be done yet; sending it again is safe, since the row must not be there.
			maybe = true
		}
		if !maybe && d.clock.Elapsed()-began > refusedSpan {
			return Unavailable, err.Error()
		}
		if d.clock.Sleep(ctx, retryWait) != nil || ctx.Err() != nil {
			if maybe {
				return Unknown, err.Error()
			}
			return Unavailable, err.Error()
		}
	}
}

// known reports whether a job is stored already.
func (d *Intake) known(ctx context.Context, q croft.Queue, id croft.JobID) bool {
	_, _, err := d.read(ctx, q, id)
	return err == nil
}

func (d *Intake) decide(action string, id croft.JobID, choice, reason string) {
	d.log.Log(croft.Decision{Action: action, Subject: string(id), Choice: choice, Reason: reason})
}

// read returns a job's state and the version of its row.
func (d *Intake) read(ctx context.Context, q croft.Queue, id croft.JobID) (jobs.Progress, uint64, error) {
	key := jobs.Key(jobs.StateTable, jobs.Part(q.ID, id), id)
	if !d.reach() {
		d.decide("Read", id, "NoAnswer", "the store does not answer this entry")
		return jobs.Progress{}, 0, ErrStore
	}
	for {
		row, err := d.table.Get(ctx, key)
		if err == nil {
			progress, err := jobs.DecodeProgress(row.Value)
			return progress, row.Version, err
		}
		if errors.Is(err, croft.ErrNoRow) {
			return jobs.Progress{}, 0, ErrNoJob
		}
		if d.clock.Sleep(ctx, retryWait) != nil || ctx.Err() != nil {
			d.decide("Read", id, "NoAnswer", err.Error())
			return jobs.Progress{}, 0, ErrStore
		}
	}
}

// Status returns the state of a job.
func (d *Intake) Status(ctx context.Context, q croft.Queue, id croft.JobID) (jobs.Status, error) {
	progress, _, err := d.read(ctx, q, id)
	return progress.Status, err
}

// Cancel ends a job; it returns ErrNoJob where there is none.
func (d *Intake) Cancel(ctx context.Context, q croft.Queue, id croft.JobID) error {
	part := jobs.Part(q.ID, id)
	for {
		progress, version, err := d.read(ctx, q, id)
		if err != nil || progress.Status.Final() {
			d.decide("Cancel", id, string(progress.Status), reasonOf(err, "it had ended"))
			return err
		}
		progress.Status = jobs.Canceled
		_, err = d.table.Commit(ctx, []croft.Op{
			{Kind: croft.OpPut, Key: jobs.Key(jobs.StateTable, part, id), Version: version, Value: jobs.Encode(progress)},
			{Kind: croft.OpPut, Key: jobs.Key(jobs.CancelTable, part, id), Version: croft.AnyVersion, Value: jobs.Mark},
			{Kind: croft.OpDelete, Key: jobs.Key(jobs.WaitTable, part, id), Version: croft.AnyVersion},
		})
		if err == nil {
			d.decide("Cancel", id, string(jobs.Canceled), "stored")
			return nil
		}
		var conflict *croft.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if d.clock.Sleep(ctx, retryWait) != nil || ctx.Err() != nil {
			d.decide("Cancel", id, "NoAnswer", err.Error())
			return ErrCancelUnknown
		}
	}
}

func reasonOf(err error, otherwise string) string {
	if err != nil {
		return err.Error()
	}
	return otherwise
}

// Waiting returns how many jobs of a queue have not begun.
func (d *Intake) Waiting(ctx context.Context, q croft.Queue) (int, error) {
	n := 0
	for _, part := range jobs.Parts(q.ID) {
		rows := croft.Range{Prefix: jobs.Key(jobs.WaitTable, part, ""), Limit: scanPage}
		for {
			got, err := d.table.Scan(ctx, rows)
			if err != nil {
				if d.clock.Sleep(ctx, retryWait) != nil || ctx.Err() != nil {
					return 0, ErrStore
				}
				continue
			}
			n += len(got)
			if len(got) < scanPage {
				break
			}
			rows.After = got[len(got)-1].Key
		}
	}
	return n, nil
}

// scanPage is the store's longest page of small rows.
const scanPage = 500
