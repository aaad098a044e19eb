package intake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// Outcome is the outcome of a submission.
type Outcome string

// The outcomes of a submission.
const (
	// Accepted means that the job is stored.
	Accepted Outcome = "Accepted"
	// Rejected means that the job is not stored because it could not be finished in time.
	Rejected Outcome = "Rejected"
	// Unavailable means that the job is not stored because the store accepted no write.
	Unavailable Outcome = "Unavailable"
	// Invalid means that the job is not stored because the store does not take what is to be stored of it.
	Invalid Outcome = "Invalid"
	// Conflict means that a job of another organisation has the same ID.
	Conflict Outcome = "Conflict"
	// Cancelled means that the job is not stored and never will be, because it was cancelled before.
	Cancelled Outcome = "Cancelled"
	// Unknown means that the job may be stored.
	Unknown Outcome = "Unknown"
)

// Errors of an Intake.
var (
	// ErrNoJob reports that no such job is stored.
	ErrNoJob = errors.New("intake: no such job")
	// ErrStoreUnavailable reports that the store did not answer in time.
	ErrStoreUnavailable = errors.New("intake: the store did not answer")
	// ErrCancelUnknown reports that it is unknown whether a cancellation has been stored.
	ErrCancelUnknown = errors.New("intake: the cancellation may or may not be stored")
	// ErrTooManyCancellations reports that too many jobs that are not stored are being cancelled.
	ErrTooManyCancellations = errors.New("intake: too many cancellations of jobs that are not stored")
)

// Delays and timeouts of an Intake.
const (
	// retryDelay is the pause before a failed call of the store is repeated.
	retryDelay = 60 * croft.Millis(1)
	// refusalTimeout is how long a write that the store refuses is repeated: longer than the store's
	// bursts of refusals and shorter than its outages.
	refusalTimeout = 400 * croft.Millis(1)
	// LoadValidity is how long the loads that the leader publishes are used.
	LoadValidity = 2 * croft.Second
)

// Intake stores callers' jobs, reports their status and cancels them; it is safe for concurrent use.
type Intake struct {
	table  croft.Table
	writer *groupWriter
	// tombstones stores tombstones apart from the submissions, so that cancellations do not wait for these.
	tombstones     *groupWriter
	tombstoneLimit *tombstoneLimit
	clock          croft.Clock
	log            croft.DecisionLog
	storeOutage    func() croft.Millis
	// configValidity is how long a configuration is used after it was last confirmed to be the newest one.
	configValidity croft.Millis
	// rowBytes is the maximum size of the value of a row in the store, zero if it is not known.
	rowBytes int
	index    atomic.Pointer[Index]
	// confirmedAt is when the configuration was last confirmed, by clock.Elapsed, in milliseconds.
	confirmedAt atomic.Int64
	// unconfirmed reports that the configuration has been found to be out of use.
	unconfirmed atomic.Bool
	loads       atomic.Pointer[publishedLoads]
	// records limits the rate of large records in bytes, nil for no limit.
	records *rate.Limiter
	// countRefusal is called for each job that is refused because of its organisation or the load; it may be nil.
	countRefusal func(croft.OrganisationID)
}

// publishedLoads are the loads that the leader last published.
type publishedLoads struct {
	queues     map[croft.QueueID]sched.Load
	receivedAt croft.Millis
}

// New returns an Intake without a configuration; storeOutage returns for how long the store has not answered, zero if it has
// answered recently. A configuration that has not been confirmed for configValidity is not used. The value of a row has at most
// rowBytes, zero for no limit.
func New(table croft.Table, clock croft.Clock, log croft.DecisionLog, storeOutage func() croft.Millis, configValidity croft.Millis, rowBytes int) *Intake {
	return &Intake{
		table: table, writer: newGroupWriter(table, clock), tombstones: newGroupWriter(table, clock), tombstoneLimit: newTombstoneLimit(),
		clock: clock, log: log, storeOutage: storeOutage, configValidity: configValidity, rowBytes: rowBytes,
	}
}

const (
	// largeRecordBytes is the size of the stored rows of a job from which on they are limited.
	largeRecordBytes = 16 << 10
	// recordRetryAfter is the retry hint of a job that is refused for its size; the limit admits further ones each second.
	recordRetryAfter = 2 * croft.Second
	// recordSeconds is how long an entry may store large records until they take the memory that they are allowed at a leader.
	recordSeconds = 60
)

// LimitRecords limits the rate of large records to what a leader with some memory for records notices in time, before it makes queues
// refuse jobs. It must be called before the first submission.
func (i *Intake) LimitRecords(leaderBytes int) {
	perSecond := max(leaderBytes/recordSeconds, 1)
	i.records = rate.NewLimiter(rate.Limit(perSecond), max(perSecond, leaderBytes/recordSeconds*int(LoadValidity/croft.Second), 2*i.rowBytes))
}

// admitsRecord reports whether the rows of a job are small, or large ones may be stored now.
func (i *Intake) admitsRecord(ops []croft.Op) bool {
	bytes := 0
	for _, op := range ops {
		bytes += len(op.Value)
	}
	if i.records == nil || bytes < largeRecordBytes {
		return true
	}
	// A single record within the store's limit is admitted in calm.
	return i.records.AllowN(time.UnixMilli(int64(i.clock.Elapsed())), min(bytes, i.records.Burst()))
}

// Configure puts a configuration into use, unless the one in use is as new or newer, and returns the version in use.
func (i *Intake) Configure(config croft.QueueConfig) uint64 {
	if old := i.index.Load(); old != nil && old.Version >= config.Version {
		return old.Version
	}
	index := NewIndex(config)
	i.index.Store(index)
	i.logConfig(index, "InForce", fmt.Sprintf("%d queues", len(config.Queues)))
	return config.Version
}

// ConfirmConfig records that the configuration in use was the newest one at an instant of the monotonic clock.
func (i *Intake) ConfirmConfig(at croft.Millis) {
	i.confirmedAt.Store(int64(at))
	if i.unconfirmed.CompareAndSwap(true, false) {
		i.logConfig(i.index.Load(), "Confirmed", "")
	}
}

// Index returns the configuration in use. It returns nil before the first one, and while the configuration has not been
// confirmed for so long that a newer one may have to be in force: a queue that is not in it may exist.
func (i *Intake) Index() *Index {
	index := i.index.Load()
	if index == nil {
		return nil
	}
	age := i.clock.Elapsed() - croft.Millis(i.confirmedAt.Load())
	if age <= i.configValidity {
		return index
	}
	if i.unconfirmed.CompareAndSwap(false, true) {
		i.logConfig(index, "Unconfirmed", fmt.Sprintf("not confirmed for %d ms; callers are answered 503", age))
	}
	return nil
}

// logConfig logs a decision about a configuration.
func (i *Intake) logConfig(index *Index, choice, reason string) {
	i.log.Log(croft.Decision{Action: "Config", Subject: fmt.Sprint(index.Version), Choice: choice, Reason: reason})
}

// RecordLoads records the loads of the queues that the leader published; encoded is their JSON form.
func (i *Intake) RecordLoads(encoded []byte) {
	queues := map[croft.QueueID]sched.Load{}
	if err := json.Unmarshal(encoded, &queues); err != nil {
		i.log.Log(croft.Decision{Action: "Loads", Subject: "leader", Choice: "Ignored", Reason: err.Error()})
		return
	}
	i.loads.Store(&publishedLoads{queues: queues, receivedAt: i.clock.Elapsed()})
}

// loadOf returns the load of a queue, the zero Load if the published loads are too old.
func (i *Intake) loadOf(id croft.QueueID) sched.Load {
	latest := i.loads.Load()
	if latest == nil || i.clock.Elapsed()-latest.receivedAt > LoadValidity {
		return sched.Load{}
	}
	return latest.queues[id]
}

// Target is the job that a request is about.
type Target struct {
	Queue croft.Queue
	// Organisation is that of the caller, empty for a public queue.
	Organisation croft.OrganisationID
	ID           croft.JobID
}

// part returns the part of the store that holds the job's rows.
func (t Target) part() string { return jobs.Part(t.Queue.ID, t.ID) }

// stateKey returns the key of the job's state row.
func (t Target) stateKey() string { return jobs.Key(jobs.StateTable, t.part(), t.ID) }

// isVisible reports whether the caller may ask for the job with this progress and cancel it.
func (t Target) isVisible(progress jobs.Progress) bool {
	return t.Queue.Public || progress.IsVisibleTo(t.Organisation)
}

// Submit stores a job; it also returns the time after which the caller may retry, for Rejected and Unavailable.
func (i *Intake) Submit(ctx context.Context, t Target, spec croft.JobSpec) (Outcome, croft.Millis) {
	q, id := t.Queue, t.ID
	if load := i.loadOf(q.ID); load.Refuse && !i.mayBeStored(ctx, t) {
		i.logDecision("Submit", id, string(Rejected), fmt.Sprintf("queue %s refuses new jobs; retry after %d ms", q.ID, load.Wait))
		return Rejected, load.Wait
	}
	if refused, wait := i.refuse(ctx, t, spec); refused {
		return Rejected, wait
	}
	if outage := i.storeOutage(); outage > 0 {
		if i.isPending(t) {
			i.logDecision("Submit", id, string(Unknown), fmt.Sprintf("queue %s: the store does not answer this entry, which has sent the job before", q.ID))
			return Unknown, 0
		}
		wait := outageRetryAfter(outage)
		i.logDecision("Submit", id, string(Unavailable), fmt.Sprintf("queue %s: the store has not answered this entry for %d ms; retry after %d ms", q.ID, outage, wait))
		return Unavailable, wait
	}
	ops := i.submissionOps(t, spec)
	for _, op := range ops {
		if i.rowBytes > 0 && len(op.Value) > i.rowBytes {
			i.logDecision("Submit", id, string(Invalid), fmt.Sprintf("queue %s: %d bytes as stored, at most %d", q.ID, len(op.Value), i.rowBytes))
			return Invalid, 0
		}
	}
	if !i.admitsRecord(ops) && !i.mayBeStored(ctx, t) {
		i.logDecision("Submit", id, string(Rejected), fmt.Sprintf("queue %s: too many large records; retry after %d ms", q.ID, recordRetryAfter))
		return Rejected, recordRetryAfter
	}
	outcome, reason := i.writer.submit(ctx, t.part(), t.stateKey(), t.Organisation, ops)
	i.logDecision("Submit", id, string(outcome), fmt.Sprintf("queue %s: %s", q.ID, reason))
	return outcome, retryAfter
}

// RowBytes returns the maximum size of a job as stored, zero if it is not known.
func (i *Intake) RowBytes() int { return i.rowBytes }

// Times after which callers may retry during an outage of the store. The longer one has lasted, the longer it is likely to
// last on, and callers retry only a few times.
const (
	// retryAfter is shorter than most outages, and long enough that retries do not prolong them.
	retryAfter = 1 * croft.Second
	// maxRetryAfter bounds the time during a long outage.
	maxRetryAfter = 3 * croft.Second
	// outageDivisor divides the present duration of an outage.
	outageDivisor = 2
)

// outageRetryAfter returns the time after which callers may retry, by how long an outage has lasted.
func outageRetryAfter(outage croft.Millis) croft.Millis {
	return min(max(outage/outageDivisor, retryAfter), maxRetryAfter)
}

// submissionOps returns the transaction that stores a job; it conflicts if the job is stored already, or has a tombstone.
func (i *Intake) submissionOps(t Target, spec croft.JobSpec) []croft.Op {
	q, part := t.Queue, t.part()
	record := jobs.Record{
		Queue: q.ID, Organisation: t.Organisation, Pool: q.Pool, Priority: q.Priority, MostAttempts: q.MostAttempts,
		Stretch: q.Stretch, Latency: q.Latency, NeedsAdvice: q.NeedsAdvice, Accepted: i.clock.Now(), Spec: spec,
	}
	put := func(table string, version uint64, value []byte) croft.Op {
		return croft.Op{Kind: croft.OpPut, Key: jobs.Key(table, part, t.ID), Version: version, Value: value}
	}
	return []croft.Op{
		put(jobs.StateTable, 0, jobs.EncodeProgress(jobs.Progress{Status: jobs.Pending, Organisation: t.Organisation})),
		put(jobs.JobTable, croft.AnyVersion, jobs.EncodeRecord(record)),
		put(jobs.WaitTable, croft.AnyVersion, jobs.PresenceValue),
	}
}

// mayBeStored reports whether a job is stored or cancelled, may still be stored by this entry, or is not known to be missing, as the store does not
// answer. Only other jobs may be refused without an attempt to store them.
func (i *Intake) mayBeStored(ctx context.Context, t Target) bool {
	if i.isPending(t) {
		return true
	}
	_, err := i.readProgress(ctx, t)
	return !errors.Is(err, ErrNoJob)
}

// isPending reports whether this entry may still store a job.
func (i *Intake) isPending(t Target) bool {
	return i.writer.isPending(t.part(), t.stateKey())
}

// logDecision logs a decision about a job.
func (i *Intake) logDecision(action string, id croft.JobID, choice, reason string) {
	i.log.Log(croft.Decision{Action: action, Subject: string(id), Choice: choice, Reason: reason})
}

// readState returns the job's state row, with Version zero if there is none.
func (i *Intake) readState(ctx context.Context, t Target) (croft.Row, error) {
	if i.storeOutage() > 0 {
		i.logDecision("Read", t.ID, "NoAnswer", "the store does not answer this entry")
		return croft.Row{}, ErrStoreUnavailable
	}
	for {
		row, err := i.table.Get(ctx, t.stateKey())
		if err == nil {
			return row, nil
		}
		if errors.Is(err, croft.ErrNoRow) {
			return croft.Row{Key: t.stateKey()}, nil
		}
		if i.clock.Sleep(ctx, retryDelay) != nil || ctx.Err() != nil {
			i.logDecision("Read", t.ID, "NoAnswer", err.Error())
			return croft.Row{}, ErrStoreUnavailable
		}
	}
}

// readProgress returns the progress in the job's state row, which may be that of a tombstone, and ErrNoJob if there is no row.
func (i *Intake) readProgress(ctx context.Context, t Target) (jobs.Progress, error) {
	row, err := i.readState(ctx, t)
	if err != nil {
		return jobs.Progress{}, err
	}
	if row.Version == 0 {
		return jobs.Progress{}, ErrNoJob
	}
	return jobs.DecodeProgress(row.Value)
}

// logHidden logs that a caller has asked for a job of another organisation.
func (i *Intake) logHidden(action string, t Target, progress jobs.Progress) {
	i.logDecision(action, t.ID, "Hidden", fmt.Sprintf("the job of organisation %s was asked for by organisation %s", progress.Organisation, t.Organisation))
}

// Status returns the status of a job, and ErrNoJob if there is none that the caller may see.
func (i *Intake) Status(ctx context.Context, t Target) (jobs.Status, error) {
	progress, err := i.readProgress(ctx, t)
	switch {
	case err != nil:
		return "", err
	case progress.IsTombstone():
		return "", ErrNoJob
	case !t.isVisible(progress):
		i.logHidden("Read", t, progress)
		return "", ErrNoJob
	}
	return progress.Status, nil
}

// Waiting returns the number of jobs of a queue that have not begun.
func (i *Intake) Waiting(ctx context.Context, q croft.Queue) (int, error) {
	count := 0
	for _, part := range jobs.Parts(q.ID) {
		page := croft.Range{Prefix: jobs.Key(jobs.WaitTable, part, ""), Limit: scanPageSize}
		for {
			rows, err := i.table.Scan(ctx, page)
			if err != nil {
				if i.clock.Sleep(ctx, retryDelay) != nil || ctx.Err() != nil {
					return 0, ErrStoreUnavailable
				}
				continue
			}
			count += len(rows)
			if len(rows) < scanPageSize {
				break
			}
			page.After = rows[len(rows)-1].Key
		}
	}
	return count, nil
}

// scanPageSize is the maximum number of small rows that the store returns in one page.
const scanPageSize = 500
