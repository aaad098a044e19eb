package intake

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// table is a store in memory whose next commits can be made to fail.
type table struct {
	rows    map[string]croft.Row
	version uint64
	// faults are returned by the next commits; done says for each whether it is carried out.
	faults []error
	done   []bool
	// down makes every call fail.
	down error
}

func (s *table) Get(_ context.Context, key string) (croft.Row, error) {
	if s.down != nil {
		return croft.Row{}, s.down
	}
	row, ok := s.rows[key]
	if !ok {
		return row, croft.ErrNoRow
	}
	return row, nil
}

func (s *table) Scan(_ context.Context, rows croft.Range) ([]croft.Row, error) {
	var out []croft.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, rows.Prefix) {
			out = append(out, row)
		}
	}
	return out, s.down
}

func (s *table) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	if s.down != nil {
		return 0, s.down
	}
	if len(s.faults) > 0 {
		err, done := s.faults[0], s.done[0]
		s.faults, s.done = s.faults[1:], s.done[1:]
		if done {
			s.apply(ops)
		}
		return 0, err
	}
	for _, op := range ops {
		if op.Version != croft.AnyVersion && s.rows[op.Key].Version != op.Version {
			return 0, &croft.ConflictError{Rows: []croft.Row{s.rows[op.Key]}}
		}
	}
	return s.apply(ops), nil
}

func (s *table) apply(ops []croft.Op) uint64 {
	s.version++
	for _, op := range ops {
		switch op.Kind {
		case croft.OpPut:
			s.rows[op.Key] = croft.Row{Key: op.Key, Version: s.version, Value: op.Value}
		case croft.OpDelete:
			delete(s.rows, op.Key)
		}
	}
	return s.version
}

type quiet struct{}

func (quiet) Log(croft.Decision) {}

var queue = croft.Queue{ID: "q", Host: "h", Prefix: "/q/", Pool: "p"}

func newIntake() (*Intake, *table, *bool) {
	s := &table{rows: map[string]croft.Row{}}
	reach := true
	return New(s, clock.NewSystem(), quiet{}, func() bool { return reach }), s, &reach
}

func soon(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), (150 * croft.Millis(1)).Duration())
	t.Cleanup(cancel)
	return ctx
}

const id = croft.JobID("0123456789abcdef")

func TestSubmissionIsOneJobHoweverOftenItComes(t *testing.T) {
	d, s, _ := newIntake()
	for range 3 {
		outcome, _ := d.Submit(soon(t), queue, id, croft.JobSpec{})
		assert.Equal(t, outcome, Accepted)
	}
	assert.Equal(t, len(s.rows), 3)
	n, err := d.Waiting(soon(t), queue)
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
}

func TestSubmissionWithoutAnswerIsFoundStored(t *testing.T) {
	d, s, _ := newIntake()
	s.faults, s.done = []error{&croft.LostAnswerError{}}, []bool{true}
	outcome, _ := d.Submit(soon(t), queue, id, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
}

// A write that got no answer may be done later, so its job is never said to be rejected.
func TestSubmissionThatMayBeStoredIsNotCalledRejected(t *testing.T) {
	d, s, _ := newIntake()
	lost := &croft.LostAnswerError{}
	refused := &croft.UnavailableError{}
	s.faults = []error{lost, refused, refused, refused, refused, refused, refused, refused}
	s.done = make([]bool, len(s.faults))
	outcome, _ := d.Submit(soon(t), queue, id, croft.JobSpec{})
	assert.Equal(t, outcome, Unknown)
}

func TestSubmissionIsRefusedAtOnceWhileTheStoreIsAway(t *testing.T) {
	d, s, reach := newIntake()
	*reach = false
	outcome, after := d.Submit(soon(t), queue, id, croft.JobSpec{})
	assert.Equal(t, outcome, Unavailable)
	assert.Equal(t, after, retryAfter)
	assert.Equal(t, len(s.rows), 0)
}

func TestRejectedSubmissionThatIsStoredIsAccepted(t *testing.T) {
	d, _, _ := newIntake()
	outcome, _ := d.Submit(soon(t), queue, id, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
	d.TakeLoads(jobs.Encode(map[croft.QueueID]sched.Load{"q": {Refuse: true, Wait: 4000}}))
	outcome, _ = d.Submit(soon(t), queue, id, croft.JobSpec{})
	assert.Equal(t, outcome, Accepted)
	outcome, after := d.Submit(soon(t), queue, "fedcba9876543210", croft.JobSpec{})
	assert.Equal(t, outcome, Rejected)
	assert.Equal(t, after, croft.Millis(4000))
}

func TestCancelIsStoredOverProgress(t *testing.T) {
	d, s, _ := newIntake()
	assert.ErrorIs(t, d.Cancel(soon(t), queue, id), ErrNoJob)
	d.Submit(soon(t), queue, id, croft.JobSpec{})
	key := jobs.Key(jobs.StateTable, jobs.Part("q", id), id)
	s.apply([]croft.Op{{Kind: croft.OpPut, Key: key, Value: jobs.Encode(jobs.Progress{Status: jobs.Running, Done: map[string][]byte{"0.0": {1}}})}})
	assert.NilError(t, d.Cancel(soon(t), queue, id))
	status, err := d.Status(soon(t), queue, id)
	assert.NilError(t, err)
	assert.Equal(t, status, jobs.Canceled)
	assert.NilError(t, d.Cancel(soon(t), queue, id))
}

func TestFinishedJobStaysFinished(t *testing.T) {
	d, s, _ := newIntake()
	d.Submit(soon(t), queue, id, croft.JobSpec{})
	key := jobs.Key(jobs.StateTable, jobs.Part("q", id), id)
	s.apply([]croft.Op{{Kind: croft.OpPut, Key: key, Value: jobs.Encode(jobs.Progress{Status: jobs.Done})}})
	assert.NilError(t, d.Cancel(soon(t), queue, id))
	status, err := d.Status(soon(t), queue, id)
	assert.NilError(t, err)
	assert.Equal(t, status, jobs.Done)
}

func TestReadsSayWhenTheStoreIsAway(t *testing.T) {
	d, s, _ := newIntake()
	s.down = &croft.UnavailableError{}
	_, err := d.Status(soon(t), queue, id)
	assert.ErrorIs(t, err, ErrStore)
	_, err = d.Waiting(soon(t), queue)
	assert.ErrorIs(t, err, ErrStore)
}

func TestLongestPrefixOfTheHostDecides(t *testing.T) {
	x := NewIndex(croft.QueueConfig{Queues: []croft.Queue{
		{ID: "short", Host: "h", Prefix: "/a/"}, {ID: "long", Host: "h", Prefix: "/a/b/"}, {ID: "other", Host: "g", Prefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/x": "long", "/a/b/c/x": "long", "/b/": ""} {
		q, _ := x.Find("h", path)
		assert.Equal(t, string(q.ID), want, fmt.Sprint(path))
	}
}
