package plat_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/plat"
)

// outcome is what the error of a commit says about its effect.
type outcome string

// The outcomes of a commit.
const (
	done     outcome = "done"
	notDone  outcome = "not done"
	unknown  outcome = "unknown"
	rejected outcome = "rejected"
)

func outcomeOf(err error) outcome {
	var unavailable *croft.UnavailableError
	var lost *croft.LostAnswerError
	var refusal *plat.RejectedError
	switch {
	case err == nil:
		return done
	case errors.As(err, &unavailable):
		return notDone
	case errors.As(err, &lost):
		return unknown
	case errors.As(err, &refusal):
		return rejected
	}
	return outcome(err.Error())
}

func commit(ctx context.Context, c *plat.Client) outcome {
	_, err := c.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: "k", Value: []byte("v")}})
	return outcomeOf(err)
}

// newServerClient returns a client of a server with a fixed response, and the number of requests that reached it.
func newServerClient(t *testing.T, handler http.HandlerFunc) (*plat.Client, *atomic.Int64) {
	t.Helper()
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	c := plat.New(plat.Options{Address: server.URL})
	t.Cleanup(c.Close)
	return c, &count
}

func TestCommitErrorsByOutcome(t *testing.T) {
	ctx := t.Context()
	cases := map[string]struct {
		answer http.HandlerFunc
		want   outcome
	}{
		"503 with NotRun": {want: notDone, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(plat.HeaderOutcome, plat.OutcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		"503 of a balancer": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		"500": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}},
		"no response": {want: unknown, answer: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}},
		"truncated response": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"Version":1}`))
		}},
		"response without a version": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{}`))
		}},
		"400": {want: rejected, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadRequest)
		}},
	}
	for name, tc := range cases {
		c, count := newServerClient(t, tc.answer)
		assert.Equal(t, commit(ctx, c), tc.want, name)
		assert.Equal(t, count.Load(), int64(1), name)
	}
}

func TestDialFailureIsNotDone(t *testing.T) {
	c := plat.New(plat.Options{
		Address: "http://127.0.0.1:1",
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		Timeout: 20,
	})
	assert.Equal(t, commit(t.Context(), c), notDone)
}

// If a reused connection is closed before the response begins, the transport of net/http would by default retry a GET;
// the client must not let it.
func TestNoRetryOnReusedConnection(t *testing.T) {
	first := true
	c, count := newServerClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if !first {
			panic(http.ErrAbortHandler)
		}
		first = false
		_, _ = w.Write([]byte(`{"Version":1}`))
	})
	assert.Equal(t, commit(t.Context(), c), done)
	_, err := c.Get(t.Context(), "k")
	assert.Equal(t, outcomeOf(err), unknown)
	assert.Equal(t, count.Load(), int64(2))
}

// A slow platform commits after the client has cancelled, so the client must report the outcome as unknown.
func TestCancelledSlowCommitIsUnknown(t *testing.T) {
	manual := clock.NewManual(0)
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: manual})
	defer p.Close()
	p.SetFaults(fakes.Faults{SlowMs: 1000})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	c := plat.New(plat.Options{Address: server.URL})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan outcome, 1)
	go func() { result <- commit(ctx, c) }()
	for manual.Sleepers() == 0 {
	}
	cancel()
	assert.Equal(t, <-result, unknown)
	assert.Equal(t, p.Counts().Commits, int64(0))
	manual.Advance(1000)
	for p.Counts().Commits == 0 {
	}
}

func TestObjectNamesAreEscaped(t *testing.T) {
	p := fakes.NewPlatform(fakes.PlatformOptions{})
	defer p.Close()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	c := plat.New(plat.Options{Address: server.URL})
	defer c.Close()
	assert.NilError(t, c.PutObject(t.Context(), "conf/7 %2F", []byte("body")))
	body, err := c.GetObject(t.Context(), "conf/7 %2F")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body")
	_, err = c.GetObject(t.Context(), "conf/7")
	assert.ErrorIs(t, err, croft.ErrNoObject)
}
