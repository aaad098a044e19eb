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

// outcome is what an error says of a commit.
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

// answering is a platform that always answers alike and counts the requests that reach it.
func answering(t *testing.T, answer http.HandlerFunc) (*plat.Client, *atomic.Int64) {
	t.Helper()
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		answer(w, r)
	}))
	t.Cleanup(server.Close)
	c := plat.New(plat.Options{Address: server.URL})
	t.Cleanup(c.Close)
	return c, &count
}

func TestOnlyWhatSurelyDidNothingIsUnavailable(t *testing.T) {
	ctx := t.Context()
	answers := map[string]struct {
		answer http.HandlerFunc
		want   outcome
	}{
		"promised": {want: notDone, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(plat.HeaderOutcome, plat.OutcomeNotRun)
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		"a balancer's 503": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		"a 500": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}},
		"no answer": {want: unknown, answer: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}},
		"half an answer": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"Version":1}`))
		}},
		"another answer": {want: unknown, answer: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{}`))
		}},
		"a refusal": {want: rejected, answer: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadRequest)
		}},
	}
	for name, a := range answers {
		c, count := answering(t, a.answer)
		assert.Equal(t, commit(ctx, c), a.want, name)
		assert.Equal(t, count.Load(), int64(1), name)
	}
}

func TestDialFailuresDoNothing(t *testing.T) {
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

// A kept connection that ends before the answer begins is where the transport would repeat by itself.
func TestKeptConnectionsAreNotRetried(t *testing.T) {
	first := true
	c, count := answering(t, func(w http.ResponseWriter, _ *http.Request) {
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

// A slow platform acts although its caller gave up, and the caller must not call that undone.
func TestSlowCommitIsUnknownAndTakesEffect(t *testing.T) {
	m := clock.NewManual(0)
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: m})
	defer p.Close()
	p.SetFaults(fakes.Faults{SlowMs: 1000})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	c := plat.New(plat.Options{Address: server.URL})
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan outcome, 1)
	go func() { ended <- commit(ctx, c) }()
	for m.Sleepers() == 0 {
	}
	cancel()
	assert.Equal(t, <-ended, unknown)
	assert.Equal(t, p.Counts().Commits, int64(0))
	m.Advance(1000)
	for p.Counts().Commits == 0 {
	}
}

func TestObjectNamesMayHoldSlashes(t *testing.T) {
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
