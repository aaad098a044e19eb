package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// fakeTable is an in-memory table whose calls can be made to fail.
type fakeTable struct {
	rows    map[string]croft.Row
	version uint64
	// commitErrs are returned by the next commits; applyFailed says for each whether the commit is applied
	// nevertheless.
	commitErrs  []error
	applyFailed []bool
	// outage is the error that every call returns, nil for none.
	outage error
}

func (t *fakeTable) Get(_ context.Context, key string) (croft.Row, error) {
	if t.outage != nil {
		return croft.Row{}, t.outage
	}
	row, ok := t.rows[key]
	if !ok {
		return row, croft.ErrNoRow
	}
	return row, nil
}

func (t *fakeTable) Scan(_ context.Context, rows croft.Range) ([]croft.Row, error) {
	var out []croft.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, rows.Prefix) {
			out = append(out, row)
		}
	}
	return out, t.outage
}

func (t *fakeTable) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	if t.outage != nil {
		return 0, t.outage
	}
	if len(t.commitErrs) > 0 {
		err, apply := t.commitErrs[0], t.applyFailed[0]
		t.commitErrs, t.applyFailed = t.commitErrs[1:], t.applyFailed[1:]
		if apply {
			t.apply(ops)
		}
		return 0, err
	}
	conflict := &croft.ConflictError{}
	for _, op := range ops {
		if row := t.rows[op.Key]; op.Version != croft.AnyVersion && row.Version != op.Version {
			row.Key = op.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	return t.apply(ops), nil
}

func (t *fakeTable) apply(ops []croft.Op) uint64 {
	t.version++
	for _, op := range ops {
		switch op.Kind {
		case croft.OpPut:
			t.rows[op.Key] = croft.Row{Key: op.Key, Version: t.version, Value: op.Value}
		case croft.OpDelete:
			delete(t.rows, op.Key)
		}
	}
	return t.version
}

// lockedTable is a table for concurrent use; what embeds it locks it for transactions.
type lockedTable struct {
	mu sync.Mutex
	fakeTable
}

func newLockedTable() lockedTable {
	return lockedTable{fakeTable: fakeTable{rows: map[string]croft.Row{}}}
}

func (t *lockedTable) Get(ctx context.Context, key string) (croft.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fakeTable.Get(ctx, key)
}

// discardLog is a croft.DecisionLog that discards everything.
type discardLog struct{}

func (discardLog) Log(croft.Decision) {}

// queue is the queue that the tests submit to.
var queue = croft.Queue{ID: "q", Host: "h", Prefix: "/q/", Pool: "p"}

// testRowBytes is the maximum size of a row in the tests.
const testRowBytes = 2000

// newIntake returns an Intake, its table, and a pointer to the result of the Intake's storeOutage function, which tests may
// change.
func newIntake() (*Intake, *fakeTable, *croft.Millis) {
	store := &fakeTable{rows: map[string]croft.Row{}}
	outage := croft.Millis(0)
	return New(store, clock.NewSystem(), discardLog{}, func() croft.Millis { return outage }, croft.Second, testRowBytes), store, &outage
}

// shortContext returns a context that ends after 150 ms.
func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), (150 * croft.Millis(1)).Duration())
	t.Cleanup(cancel)
	return ctx
}

// id is the job that the tests submit.
const id = croft.JobID("0123456789abcdef")

func TestRepeatedSubmissionStoresOneJob(t *testing.T) {
	intake, store, _ := newIntake()
	for range 3 {
		outcome, _ := intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
		assert.Equal(t, outcome, Accepted)
	}
	assert.Equal(t, len(store.rows), 3)
	n, err := intake.Waiting(shortContext(t), queue)
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
}

func TestSubmissionWithLostAnswerIsAccepted(t *testing.T) {
	intake, store, _ := newIntake()
	store.commitErrs, store.applyFailed = []error{&croft.LostAnswerError{}}, []bool{true}
	outcome, _ := intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
}

// A write without an answer may be applied later, so that the job must not be reported as not stored, even if the
// store refuses the repetitions.
func TestSubmissionThatMayBeStoredIsUnknown(t *testing.T) {
	intake, store, _ := newIntake()
	lost := &croft.LostAnswerError{}
	refused := &croft.UnavailableError{}
	store.commitErrs = []error{lost, refused, refused, refused, refused, refused, refused, refused}
	store.applyFailed = make([]bool, len(store.commitErrs))
	outcome, _ := intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
	assert.Equal(t, outcome, Unknown)
}

func TestSubmissionIsRefusedAtOnceWhileStoreIsUnavailable(t *testing.T) {
	intake, store, outage := newIntake()
	*outage = 2 * croft.Second
	outcome, after := intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
	assert.Equal(t, outcome, Unavailable)
	assert.Equal(t, after, retryAfter)
	assert.Equal(t, len(store.rows), 0)
}

// A queue that refuses new jobs must still accept the repeated submission of a job that is stored.
func TestStoredJobIsAcceptedWhileQueueRefuses(t *testing.T) {
	intake, _, _ := newIntake()
	outcome, _ := intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
	intake.RecordLoads(jobs.Encode(map[croft.QueueID]sched.Load{"q": {Refuse: true, Wait: 4000}}))
	outcome, _ = intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
	outcome, after := intake.Submit(shortContext(t), Target{Queue: queue, ID: "fedcba9876543210"}, croft.JobSpec{})
	assert.Equal(t, outcome, Rejected)
	assert.Equal(t, after, croft.Millis(4000))
}

func TestCancelOverwritesProgress(t *testing.T) {
	intake, store, _ := newIntake()
	assert.ErrorIs(t, intake.Cancel(shortContext(t), Target{Queue: queue, ID: id}), ErrNoJob)
	intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
	key := jobs.Key(jobs.StateTable, jobs.Part("q", id), id)
	store.apply([]croft.Op{{Kind: croft.OpPut, Key: key, Value: jobs.Encode(jobs.Progress{Status: jobs.Running, Done: map[string][]byte{"0.0": {1}}})}})
	assert.NilError(t, intake.Cancel(shortContext(t), Target{Queue: queue, ID: id}))
	status, err := intake.Status(shortContext(t), Target{Queue: queue, ID: id})
	assert.NilError(t, err)
	assert.Equal(t, status, jobs.Canceled)
	assert.NilError(t, intake.Cancel(shortContext(t), Target{Queue: queue, ID: id}))
}

func TestCancelLeavesFinishedJobUnchanged(t *testing.T) {
	intake, store, _ := newIntake()
	intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
	key := jobs.Key(jobs.StateTable, jobs.Part("q", id), id)
	store.apply([]croft.Op{{Kind: croft.OpPut, Key: key, Value: jobs.Encode(jobs.Progress{Status: jobs.Done})}})
	assert.NilError(t, intake.Cancel(shortContext(t), Target{Queue: queue, ID: id}))
	status, err := intake.Status(shortContext(t), Target{Queue: queue, ID: id})
	assert.NilError(t, err)
	assert.Equal(t, status, jobs.Done)
}

func TestReadsReportUnavailableStore(t *testing.T) {
	intake, store, _ := newIntake()
	store.outage = &croft.UnavailableError{}
	_, err := intake.Status(shortContext(t), Target{Queue: queue, ID: id})
	assert.ErrorIs(t, err, ErrStoreUnavailable)
	_, err = intake.Waiting(shortContext(t), queue)
	assert.ErrorIs(t, err, ErrStoreUnavailable)
}

func TestFindReturnsLongestPrefixOfTheHost(t *testing.T) {
	x := NewIndex(croft.QueueConfig{Queues: []croft.Queue{
		{ID: "short", Host: "h", Prefix: "/a/"}, {ID: "long", Host: "h", Prefix: "/a/b/"}, {ID: "other", Host: "g", Prefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b/c/x": "long", "/b/": ""} {
		q, _ := x.Find("h", path)
		assert.Equal(t, string(q.ID), want, fmt.Sprint(path))
	}
}

// The load of a turn during an outage of the store: callers retry a few times, so their pauses grow with the outage; with a
// second each, those who came early had used their retries before its end.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	intake, _, outage := newIntake()
	for _, c := range []struct{ outage, wait croft.Millis }{
		{100, 1 * croft.Second}, {2 * croft.Second, 1 * croft.Second}, {4 * croft.Second, 2 * croft.Second}, {20 * croft.Second, 3 * croft.Second},
	} {
		*outage = c.outage
		outcome, wait := intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{})
		assert.Equal(t, outcome, Unavailable)
		assert.Equal(t, wait, c.wait, "after %d ms", c.outage)
	}
}

// Guards against 404 for a queue that exists: an entry that had been frozen, or whose feed failed, went on with the queues of
// an old configuration.
func TestUnconfirmedConfigurationIsNotUsed(t *testing.T) {
	manual := clock.NewManual(croft.Hour)
	i := New(nil, manual, discardLog{}, func() croft.Millis { return 0 }, 2*croft.Second, 0)
	assert.Assert(t, i.Index() == nil)
	i.Configure(croft.QueueConfig{Version: 3})
	i.ConfirmConfig(manual.Elapsed())
	manual.Advance(2 * croft.Second)
	assert.Equal(t, i.Index().Version, uint64(3))
	manual.Advance(1)
	assert.Assert(t, i.Index() == nil)
	i.ConfirmConfig(manual.Elapsed())
	assert.Equal(t, i.Index().Version, uint64(3))
}

// Guards against callers that are told for ever to come again: a job whose stored form is larger than a row was answered as if the
// store did not answer.
func TestJobThatDoesNotFitARowIsInvalid(t *testing.T) {
	intake, store, _ := newIntake()
	raw := make([]byte, 2*testRowBytes)
	for i := range raw {
		raw[i] = byte('0' + rand.IntN(75))
	}
	outcome, wait := intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{Payload: string(raw)})
	assert.Equal(t, outcome, Invalid)
	assert.Equal(t, wait, croft.Millis(0))
	assert.Equal(t, len(store.rows), 0)
	outcome, _ = intake.Submit(shortContext(t), Target{Queue: queue, ID: id}, croft.JobSpec{Payload: string(raw[:testRowBytes/2])})
	assert.Equal(t, outcome, Accepted)
}

// A job needs advice as its queue did when it was submitted, also once the queue is removed.
func TestNeedForAdviceIsStoredWithTheJob(t *testing.T) {
	intake, store, _ := newIntake()
	advised := queue
	advised.NeedsAdvice = true
	outcome, _ := intake.Submit(shortContext(t), Target{Queue: advised, ID: id}, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
	record, err := jobs.DecodeRecord(store.rows[jobs.Key(jobs.JobTable, jobs.Part(queue.ID, id), id)].Value)
	assert.NilError(t, err)
	assert.Assert(t, record.NeedsAdvice)
}

// Guards against large records that entries store faster than the leader can make queues refuse them.
func TestLargeRecordsAreLimited(t *testing.T) {
	store := &fakeTable{rows: map[string]croft.Row{}}
	i := New(store, clock.NewSystem(), discardLog{}, func() croft.Millis { return 0 }, croft.Second, 2*largeRecordBytes)
	const perSecond = 2 * largeRecordBytes
	i.LimitRecords(recordSeconds * perSecond)
	random := rand.New(rand.NewPCG(1, 2))
	payload := make([]byte, largeRecordBytes*5/4)
	for n := range payload {
		payload[n] = byte('0' + random.IntN(70))
	}
	submit := func(number int, payload string) Outcome {
		t.Helper()
		target := Target{Queue: queue, ID: croft.JobID(fmt.Sprintf("%016x", number))}
		outcome, retryAfter := i.Submit(shortContext(t), target, croft.JobSpec{Payload: payload})
		assert.Assert(t, outcome == Accepted || outcome == Rejected && retryAfter == recordRetryAfter, "%s", outcome)
		return outcome
	}
	accepted := 0
	for number := range 20 {
		if submit(number, string(payload)) == Accepted {
			accepted++
		}
	}
	assert.Assert(t, accepted >= 2 && accepted < 10, "%d", accepted)
	assert.Equal(t, submit(100, "small"), Accepted)
	assert.Equal(t, submit(0, string(payload)), Accepted, "it is stored already")
}
