package invoke_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/invoke"
)

// patience bounds a test's waits; nothing is decided by it.
const patience = 10 * time.Second

func newExecutor(t *testing.T, b fakes.Behaviour) (*fakes.Executor, croft.Endpoint) {
	t.Helper()
	e := fakes.NewExecutor(fakes.ExecutorOptions{VM: "vm1", Boot: 1, Behaviour: b})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, croft.Endpoint{VM: "vm1", Address: server.Listener.Addr().String()}
}

func newAttempt(n int) croft.Attempt {
	return croft.Attempt{ID: fmt.Sprint("attempt", n), Request: croft.Request{
		Class: croft.Class{Service: "lens", Kind: "read"},
		Key:   fmt.Sprint("key", n),
		Body:  fmt.Appendf(nil, "body %d", n),
	}}
}

// isOwn reports whether a reply answers the attempt.
func isOwn(t *testing.T, a croft.Attempt, r croft.Reply) bool {
	t.Helper()
	var answered fakes.Answered
	assert.NilError(t, json.Unmarshal(r.Body, &answered))
	want := fakes.Answered{VM: "vm1", Attempt: a.ID, Key: a.Request.Key, Digest: invoke.Digest(a.Request.Body)}
	return answered == want
}

func isDoubt(err error) bool {
	var doubt *croft.UnknownOutcomeError
	return errors.As(err, &doubt)
}

func isRefused(err error) bool {
	var refused *croft.RefusedError
	return errors.As(err, &refused)
}

func TestOnlyWholeOwnAnswersPass(t *testing.T) {
	const requests, callers = 400, 6
	ctx, cancel := context.WithTimeout(context.Background(), 6*patience)
	defer cancel()
	executor, endpoint := newExecutor(t, fakes.Behaviour{
		Cross: 30, Late: 30, LateMs: 5, Short: 30, ShortUntold: 30, ResetAfterRun: 30, EveryNth: 2,
	})
	client := invoke.New(invoke.Options{})
	defer client.Close()
	var next, own, doubt, other atomic.Int64
	var refusals sync.Map
	var work sync.WaitGroup
	for range callers {
		work.Go(func() {
			for n := next.Add(1); n <= requests; n = next.Add(1) {
				a := newAttempt(int(n))
				reply, err := client.Run(ctx, endpoint, a)
				switch {
				case err == nil && isOwn(t, a, reply):
					own.Add(1)
				case isDoubt(err):
					doubt.Add(1)
				case isRefused(err):
					// A kept connection ended before the first byte was written.
					refusals.Store(a.ID, true)
				default:
					other.Add(1)
				}
			}
		})
	}
	work.Wait()
	assert.Equal(t, other.Load(), int64(0))
	refused := int64(0)
	for range refusals.Range {
		refused++
	}
	assert.Equal(t, own.Load()+doubt.Load()+refused, int64(requests))
	for _, r := range executor.Ledger().Runs {
		_, wasRefused := refusals.Load(r.Attempt)
		assert.Assert(t, !wasRefused, "%s was refused as not run and ran", r.Attempt)
	}
	// A request on a connection kept for a late answer does not reach the executor.
	assertOnce(t, executor.Ledger(), requests-30-int(refused))
	// Short, untold and reset answers are never whole; crossed ones are where two met.
	assert.Assert(t, doubt.Load() >= 90, "doubt: %d", doubt.Load())
}

// assertOnce checks that no attempt ran twice, and that so many ran at least.
func assertOnce(t *testing.T, l fakes.Ledger, least int) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range l.Runs {
		assert.Assert(t, !seen[r.Attempt], "%s ran twice", r.Attempt)
		seen[r.Attempt] = true
	}
	assert.Assert(t, len(seen) >= least, "runs: %d", len(seen))
}

func TestRefusalsAreTheExecutorsOwn(t *testing.T) {
	ctx := context.Background()
	executor, endpoint := newExecutor(t, fakes.Behaviour{Leave: true})
	client := invoke.New(invoke.Options{})
	defer client.Close()
	var refused *croft.RefusedError
	_, err := client.Run(ctx, endpoint, newAttempt(1))
	assert.Assert(t, errors.As(err, &refused))
	assert.DeepEqual(t, refused, &croft.RefusedError{Reason: "executor says Leaving", Leaving: true})

	// The attempt after a refusal is no doubt: its connection was kept, or is a new one.
	for range 500 {
		_, err = client.Run(ctx, endpoint, newAttempt(1))
		assert.Assert(t, errors.As(err, &refused), "%v", err)
	}

	executor.Behave(fakes.Behaviour{})
	past := newAttempt(2)
	past.Request.Deadline = 1
	_, err = client.Run(ctx, endpoint, past)
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, len(executor.Ledger().Runs), 0)

	// An older boot than the executor's takes no further work; a newer one is not there yet.
	executor.Behave(fakes.Behaviour{})
	executor.Restart(5)
	for boot, leaves := range map[uint64]bool{4: true, 6: false} {
		endpoint.Boot = boot
		_, err = client.Run(ctx, endpoint, newAttempt(4))
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.DeepEqual(t, refused, &croft.RefusedError{Reason: "executor says Boot", Leaving: leaves})
	}
	assert.Equal(t, len(executor.Ledger().Runs), 0)
	endpoint.Boot = 5
	executor.Behave(fakes.Behaviour{FailAll: true})
	reply, err := client.Run(ctx, endpoint, newAttempt(3))
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusInternalServerError)
}

func TestRefusalWithoutTheEchoIsADoubt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(invoke.HeaderOutcome, invoke.OutcomeNotRun)
		w.Header().Set(invoke.HeaderAttempt, "another")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	client := invoke.New(invoke.Options{})
	defer client.Close()
	_, err := client.Run(context.Background(), croft.Endpoint{Address: server.Listener.Addr().String()}, newAttempt(1))
	assert.Assert(t, isDoubt(err))
}

func TestAnswersThatCannotBeCheckedAreDoubts(t *testing.T) {
	executor, endpoint := newExecutor(t, fakes.Behaviour{NoDigest: true, ShortUntold: 1})
	client := invoke.New(invoke.Options{MaxBody: 20})
	defer client.Close()
	_, err := client.Run(t.Context(), endpoint, newAttempt(1))
	assert.ErrorContains(t, err, string(invoke.ErrNoLength))
	assert.Assert(t, isDoubt(err))
	_, err = client.Run(t.Context(), endpoint, newAttempt(2))
	assert.ErrorContains(t, err, string(invoke.ErrTooLong))
	assert.Assert(t, isDoubt(err))
	assert.Equal(t, len(executor.Ledger().Runs), 2)
}

// rawExecutor answers requests as told, by their place on their connection, and counts them.
func rawExecutor(t *testing.T, serve func(conn net.Conn, request *http.Request, nth int)) (croft.Endpoint, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var count atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for nth := 1; ; nth++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					count.Add(1)
					serve(c, request, nth)
				}
			}()
		}
	}()
	return croft.Endpoint{Address: l.Addr().String()}, &count
}

func answerTo(request *http.Request) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nCroft-Attempt: " + request.Header.Get(invoke.HeaderAttempt) + "\r\n\r\nok"
}

// The transport of net/http repeats a request by itself where a kept connection ends before the
// answer begins, if the request has no body or an Idempotency-Key; here it must never.
func TestTransportNeverSendsTwice(t *testing.T) {
	for _, body := range []string{"", "body"} {
		endpoint, count := rawExecutor(t, func(c net.Conn, request *http.Request, nth int) {
			if nth == 1 {
				_, _ = c.Write([]byte(answerTo(request)))
				return
			}
			c.Close()
		})
		client := invoke.New(invoke.Options{})
		a := newAttempt(1)
		a.Request.Body = []byte(body)
		_, err := client.Run(context.Background(), endpoint, a)
		assert.NilError(t, err)
		a.ID = "second"
		_, err = client.Run(context.Background(), endpoint, a)
		assert.Equal(t, count.Load(), int64(2), "body %q", body)
		assert.Assert(t, isDoubt(err), "body %q: %v", body, err)
		client.Close()
	}
}

func TestLateAnswerNeverReachesTheNextRequest(t *testing.T) {
	var first atomic.Pointer[string]
	endpoint, _ := rawExecutor(t, func(c net.Conn, request *http.Request, nth int) {
		own := answerTo(request)
		if nth == 1 {
			first.Store(&own)
			_, _ = c.Write([]byte(own))
			return
		}
		_, _ = c.Write([]byte(*first.Load()))
	})
	client := invoke.New(invoke.Options{})
	defer client.Close()
	_, err := client.Run(context.Background(), endpoint, newAttempt(1))
	assert.NilError(t, err)
	_, err = client.Run(context.Background(), endpoint, newAttempt(2))
	assert.Assert(t, isDoubt(err), "%v", err)
	// The connection in doubt is gone: the next one is new.
	_, err = client.Run(context.Background(), endpoint, newAttempt(3))
	assert.NilError(t, err)
}

func TestNothingWrittenMeansNotRun(t *testing.T) {
	var refused *croft.RefusedError
	client := invoke.New(invoke.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("no route")
	}})
	_, err := client.Run(context.Background(), croft.Endpoint{Address: "127.0.0.1:1"}, newAttempt(1))
	assert.Assert(t, errors.As(err, &refused))

	ctx, cancel := context.WithCancel(context.Background())
	dialing := make(chan struct{})
	hanging := invoke.New(invoke.Options{MaxConnsPerEndpoint: 1, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	ended := make(chan error, 1)
	go func() {
		_, err := hanging.Run(ctx, croft.Endpoint{Address: "127.0.0.1:1"}, newAttempt(2))
		ended <- err
	}()
	<-dialing
	_, err = hanging.Run(ctx, croft.Endpoint{Address: "127.0.0.1:1"}, newAttempt(3))
	assert.Assert(t, errors.As(err, &refused))
	assert.Assert(t, refused.Busy)
	cancel()
	assert.Assert(t, errors.As(<-ended, &refused))
	assert.Assert(t, !refused.Busy)
}

func TestContextEndAfterSendingIsADoubt(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	endpoint, count := rawExecutor(t, func(net.Conn, *http.Request, int) { cancel() })
	client := invoke.New(invoke.Options{})
	defer client.Close()
	_, err := client.Run(ctx, endpoint, newAttempt(1))
	assert.Assert(t, isDoubt(err), "%v", err)
	assert.Equal(t, count.Load(), int64(1))
}
