package front

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// TestInvalidInputNamesField checks status, field and outcome of the problem for each kind of invalid input.
func TestInvalidInputNamesField(t *testing.T) {
	b := newSystemBench(t)
	long := strings.Repeat("k", maxKeyBytes+1)
	for _, c := range []struct {
		method, path, body string
		headers            []string
		status             int
		field              string
	}{
		{"POST", "/v1/none/read", "", nil, 404, "service"},
		{"POST", "/v1/lens/none", "", nil, 404, "kind"},
		{"POST", "/elsewhere", "", nil, 404, "path"},
		{"PUT", "/v1/lens/read", "", nil, 405, "method"},
		{"POST", "/v1/lens/read", strings.Repeat("b", 65), nil, 413, "body"},
		{"POST", "/v1/lens/book", "", nil, 400, HeaderKey},
		{"POST", "/v1/lens/read", "", []string{HeaderRepeatable, "false"}, 400, HeaderKey},
		{"POST", "/v1/lens/book", "", []string{HeaderKey, long}, 400, HeaderKey},
		{"POST", "/v1/lens/book", "", []string{HeaderKey, "a b"}, 400, HeaderKey},
		{"POST", "/v1/lens/book", "", []string{HeaderKey, "a", HeaderRepeatable, "true"}, 400, HeaderRepeatable},
		{"POST", "/v1/lens/read", "", []string{HeaderTimeout, "-1"}, 400, HeaderTimeout},
	} {
		got := b.send(t, c.method, c.path, c.body, c.headers...)
		var problem Problem
		assert.NilError(t, json.Unmarshal([]byte(got.body), &problem), got.body)
		assert.Equal(t, got.StatusCode, c.status, got.body)
		assert.Equal(t, problem.Field, c.field, got.body)
		assert.Equal(t, got.Header.Get("Content-Type"), problemType)
		assert.Equal(t, got.Header.Get(HeaderOutcome), string(croft.OutcomeNotRun))
	}
	assert.Equal(t, len(b.attempts), 0)
}

// TestOutcomes checks the outcome of repeatable requests and of others for the errors that executors and claims can
// return.
func TestOutcomes(t *testing.T) {
	refused := &croft.RefusedError{Reason: "refuses"}
	busy := &croft.RefusedError{Reason: "no slot", Busy: true}
	unknownOutcome := &croft.UnknownOutcomeError{Reason: "answer cut"}
	for _, c := range []struct {
		name, kind string
		// errs are the errors of the first attempts in order; later attempts are answered.
		errs    []error
		claim   error
		status  int
		outcome croft.Outcome
		runs    int
		// released says that the claim is released.
		released bool
	}{
		{"answered", "book", nil, nil, 200, croft.OutcomeAnswered, 1, false},
		{"refused once", "book", []error{refused}, nil, 200, croft.OutcomeAnswered, 2, false},
		{"refused everywhere", "book", []error{refused, refused, refused, refused}, nil, 503, croft.OutcomeNotRun, 4, true},
		{"busy", "book", []error{busy, busy, busy, busy, busy}, nil, 200, croft.OutcomeAnswered, 6, false},
		{"busy, then unknown outcome", "book", []error{busy, unknownOutcome}, nil, 504, croft.OutcomeUnknown, 2, false},
		{"unknown outcome", "book", []error{unknownOutcome}, nil, 504, croft.OutcomeUnknown, 1, false},
		{"refused, then unknown outcome", "book", []error{refused, unknownOutcome}, nil, 504, croft.OutcomeUnknown, 2, false},
		{"other error", "book", []error{io.ErrUnexpectedEOF}, nil, 504, croft.OutcomeUnknown, 1, false},
		{"claimed", "book", nil, &croft.ClaimedError{Attempt: "x"}, 409, croft.OutcomeUnknown, 0, false},
		{"no claim", "book", nil, &croft.NoClaimError{Reason: "platform"}, 503, croft.OutcomeUnknown, 0, false},
		{"repeatable, unknown outcome", "read", []error{unknownOutcome}, nil, 200, croft.OutcomeAnswered, 2, false},
		{"unknown outcome, then refused", "read", []error{unknownOutcome, refused, refused, refused}, nil, 504, croft.OutcomeUnknown, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newSystemBench(t)
			next := 0
			b.execute = func(_ context.Context, _ croft.Endpoint, a croft.Attempt) (croft.Reply, error) {
				next++
				if next <= len(c.errs) {
					return croft.Reply{}, c.errs[next-1]
				}
				return croft.Reply{Status: 200, Body: a.Request.Body}, nil
			}
			b.grantClaim = func(croft.Request) error { return c.claim }
			got := b.send(t, "POST", "/v1/lens/"+c.kind, "body", HeaderKey, "order-7")
			assert.Equal(t, got.StatusCode, c.status, got.body)
			assert.Equal(t, got.Header.Get(HeaderOutcome), string(c.outcome))
			assert.Equal(t, len(b.attempts), c.runs)
			assert.Equal(t, len(b.released) == 1, c.released)
			if c.status == http.StatusServiceUnavailable {
				assert.Assert(t, got.Header.Get("Retry-After") != "" && got.Header.Get(HeaderRetryAfterMs) != "")
			}
			for i := 1; i < len(b.attempts) && i < 2; i++ {
				assert.Assert(t, b.attempts[i].ID != b.attempts[i-1].ID)
				assert.Assert(t, b.attemptVMs[i] != b.attemptVMs[i-1], "the same executor was picked again while another was available")
			}
			if c.kind == "book" && c.claim == nil {
				assert.Equal(t, len(b.claims), 1)
			}
			assert.NilError(t, b.front.Stop(t.Context()))
		})
	}
}

// TestRetriesOfBusyExecutorsAreBounded guards against endless picks while no executor has a free slot: the request
// is refused as not run after about half of its time, with an attempt only after each busy backoff.
func TestRetriesOfBusyExecutorsAreBounded(t *testing.T) {
	b := newSystemBench(t)
	b.execute = func(context.Context, croft.Endpoint, croft.Attempt) (croft.Reply, error) {
		return croft.Reply{}, &croft.RefusedError{Reason: "no slot", Busy: true}
	}
	got := b.send(t, "POST", "/v1/lens/book", "body", HeaderKey, "order-7", HeaderTimeout, "400")
	assert.Equal(t, got.Header.Get(HeaderOutcome), string(croft.OutcomeNotRun), got.body)
	assert.Assert(t, len(b.attempts) > 2 && len(b.attempts) < 30, "%d attempts", len(b.attempts))
	assert.Equal(t, len(b.released), 1)
}

// TestNothingIsSentAfterTheDeadline guards against sending a request after its deadline, which can pass while the claim
// is taken if the process is suspended.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	manual := clock.NewManual(1000)
	b := newTestBench(t, manual)
	b.grantClaim = func(croft.Request) error {
		manual.Advance(11 * croft.Second)
		return nil
	}
	got := b.send(t, "POST", "/v1/lens/book", "body", HeaderKey, "order-7")
	assert.Equal(t, got.Header.Get(HeaderOutcome), string(croft.OutcomeNotRun))
	assert.Equal(t, len(b.attempts), 0)
	assert.DeepEqual(t, b.released, b.claims)
}

// TestLeavingExecutorGetsNoFurtherRequests checks that an executor gets no request after its leaving notice, and that
// the notice is posted once.
func TestLeavingExecutorGetsNoFurtherRequests(t *testing.T) {
	b := newSystemBench(t)
	leaver := croft.VMID("")
	b.execute = func(_ context.Context, e croft.Endpoint, _ croft.Attempt) (croft.Reply, error) {
		if leaver == "" {
			leaver = e.VM
		}
		if e.VM == leaver {
			return croft.Reply{}, &croft.RefusedError{Reason: "leaving", Leaving: true}
		}
		return croft.Reply{Status: 200}, nil
	}
	for range 20 {
		assert.Equal(t, b.send(t, "POST", "/v1/lens/read", "").StatusCode, 200)
	}
	assert.Equal(t, len(b.attempts), 21, "the leaving executor was sent one request")
	assert.Equal(t, len(b.events), 1)
	assert.Equal(t, b.events[0].(croft.EndpointLeaving).VM, leaver)
}

// TestAttemptOutlivesDisconnectedCaller guards against an attempt being cancelled because its caller disconnects, which
// would leave its outcome unknown; a planned stop waits for the attempt.
func TestAttemptOutlivesDisconnectedCaller(t *testing.T) {
	b := newSystemBench(t)
	started, finish := make(chan struct{}), make(chan struct{})
	ended := make(chan error, 1)
	b.execute = func(ctx context.Context, _ croft.Endpoint, _ croft.Attempt) (croft.Reply, error) {
		close(started)
		<-finish
		ended <- ctx.Err()
		return croft.Reply{Status: 200}, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "POST", b.server.URL+"/v1/lens/book", nil)
	assert.NilError(t, err)
	r.Header.Set(HeaderKey, "order-7")
	go func() {
		<-started
		cancel()
	}()
	_, err = b.server.Client().Do(r) //nolint:bodyclose // there is no response
	assert.ErrorIs(t, err, context.Canceled)
	stopped := make(chan error, 1)
	go func() { stopped <- b.front.Stop(t.Context()) }()
	close(finish)
	assert.NilError(t, <-ended)
	assert.NilError(t, <-stopped)
	assert.Equal(t, len(b.released), 0)
	assert.Equal(t, b.front.Meter().Snapshot()["lens/book"].Answered, int64(1))
}

// TestStopAnswersEveryRequest checks that a planned stop under load on kept-alive connections leaves no request without
// an answer: each is answered with its own body, or refused as not run on a connection that is closed.
func TestStopAnswersEveryRequest(t *testing.T) {
	b := newSystemBench(t)
	var answered, notRun atomic.Int64
	var all sync.WaitGroup
	for i := range 8 {
		all.Go(func() {
			for n := 0; ; n++ {
				body := fmt.Sprintf("%d/%d", i, n)
				got := b.send(t, "POST", "/v1/lens/read", body)
				if got.Header.Get(HeaderOutcome) == string(croft.OutcomeNotRun) {
					assert.Check(t, got.Close, "the response leaves the connection open")
					notRun.Add(1)
					return
				}
				assert.Check(t, got.body == body, "%s answered by %s", body, got.body)
				answered.Add(1)
			}
		})
	}
	for answered.Load() < 200 {
		assert.NilError(t, b.clock.Sleep(t.Context(), 1))
	}
	assert.Equal(t, b.send(t, "GET", "/ready", "").StatusCode, 200)
	assert.NilError(t, b.front.Stop(t.Context()))
	assert.Equal(t, b.send(t, "GET", "/ready", "").StatusCode, 503)
	assert.Equal(t, b.send(t, "GET", "/live", "").StatusCode, 200)
	all.Wait()
	assert.Equal(t, notRun.Load(), int64(8))
	assert.Equal(t, answered.Load(), int64(len(b.attempts)))
}

// TestTrafficCountsArePostedEverySecond checks that traffic counts are posted each second and then start again from
// zero.
func TestTrafficCountsArePostedEverySecond(t *testing.T) {
	manual := clock.NewManual(1000)
	b := newTestBench(t, manual)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- b.front.Run(ctx) }()
	assert.Equal(t, b.send(t, "POST", "/v1/lens/read", "").StatusCode, 200)
	for len(b.posted()) < 2 {
		if manual.Sleepers() > 0 {
			manual.Advance(expireInterval)
		}
	}
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	counts := b.posted()
	assert.Equal(t, len(counts[0].Counts), 1)
	assert.Equal(t, counts[0].Counts[0].Answered, int64(1))
	assert.Equal(t, len(counts[1].Counts), 0)
	assert.Equal(t, counts[1].Time-counts[0].Time, croft.Second)
}

// posted returns the traffic counts that were posted.
func (b *testBench) posted() []croft.TrafficCounted {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []croft.TrafficCounted
	for _, e := range b.events {
		if c, ok := e.(croft.TrafficCounted); ok {
			out = append(out, c)
		}
	}
	return out
}

// TestNotRunRequiresTheClaim guards against reporting a request as not run that another entry may have
// dispatched: without the claim, the outcome of a refused request that may not be repeated is unknown.
func TestNotRunRequiresTheClaim(t *testing.T) {
	held := &croft.ClaimedError{Attempt: "of another entry"}
	noSlots := func(b *testBench) { b.view.Endpoints = nil }
	stop := func(b *testBench) { b.front.refusing.Store(true) }
	for _, c := range []struct {
		name, path, body string
		arrange          func(*testBench)
		claim            error
		status           int
		outcome          croft.Outcome
		released         bool
	}{
		{"no slot, claim held", "/v1/lens/book", "", noSlots, held, 409, croft.OutcomeUnknown, false},
		{"no slot, claim unknown", "/v1/lens/book", "", noSlots, &croft.NoClaimError{}, 503, croft.OutcomeUnknown, false},
		{"no slot, claim taken", "/v1/lens/book", "", noSlots, nil, 429, croft.OutcomeNotRun, true},
		{"stop", "/v1/lens/book", "", stop, nil, 503, croft.OutcomeUnknown, false},
		{"stop, repeatable", "/v1/lens/read", "", stop, nil, 503, croft.OutcomeNotRun, false},
		{"no configuration here", "/v1/lens/book", "", func(b *testBench) { b.view.Config = croft.Config{} },
			nil, 503, croft.OutcomeUnknown, false},
		{"no such service here", "/v1/none/book", "", noSlots, nil, 404, croft.OutcomeUnknown, false},
		{"no such kind here", "/v1/lens/none", "", noSlots, nil, 404, croft.OutcomeUnknown, false},
		{"body too large here", "/v1/lens/book", strings.Repeat("b", 65), noSlots, nil, 413, croft.OutcomeUnknown, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newSystemBench(t)
			c.arrange(b)
			b.grantClaim = func(croft.Request) error { return c.claim }
			got := b.send(t, "POST", c.path, c.body, HeaderKey, "order-7")
			assert.Equal(t, got.StatusCode, c.status, got.body)
			assert.Equal(t, got.Header.Get(HeaderOutcome), string(c.outcome), got.body)
			assert.Equal(t, got.Header.Get("Content-Type"), problemType)
			assert.Equal(t, len(b.attempts), 0)
			assert.Equal(t, len(b.released) == 1, c.released)
			assert.Equal(t, b.releaseBounded, c.released)
		})
	}
}

// TestClaimIsTakenBeforeASlot checks that a request uses no slot while it waits for its claim.
func TestClaimIsTakenBeforeASlot(t *testing.T) {
	b := newSystemBench(t)
	claiming, grant := make(chan struct{}), make(chan struct{})
	b.grantClaim = func(croft.Request) error {
		close(claiming)
		<-grant
		return nil
	}
	go func() {
		<-claiming
		defer close(grant)
		p, found := b.front.pools.get("p")
		assert.Check(t, found && p.gate.Wanted() == 0)
	}()
	got := b.send(t, "POST", "/v1/lens/book", "body", HeaderKey, "order-7")
	assert.Equal(t, got.Header.Get(HeaderOutcome), string(croft.OutcomeAnswered))
}
