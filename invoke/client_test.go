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

// testTimeout bounds the waits of a test; its value does not affect the result.
const testTimeout = 10 * time.Second

// newExecutor starts a fake executor and returns it with its endpoint.
func newExecutor(t *testing.T, b fakes.Behaviour) (*fakes.Executor, croft.Endpoint) {
	t.Helper()
	e := fakes.NewExecutor(fakes.ExecutorOptions{VM: "vm1", Boot: 1, Behaviour: b})
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, croft.Endpoint{VM: "vm1", Address: server.Listener.Addr().String()}
}

// newAttempt returns an attempt whose id, key and body contain n.
func newAttempt(n int) croft.Attempt {
	return croft.Attempt{ID: fmt.Sprint("attempt", n), Request: croft.Request{
		Class: croft.Class{Service: "lens", Kind: "read"},
		Key:   fmt.Sprint("key", n),
		Body:  fmt.Appendf(nil, "body %d", n),
	}}
}

// isOwnReply reports whether a reply is the fake executor's answer to the attempt.
func isOwnReply(t *testing.T, a croft.Attempt, r croft.Reply) bool {
	t.Helper()
	var answered fakes.Answered
	assert.NilError(t, json.Unmarshal(r.Body, &answered))
	want := fakes.Answered{VM: "vm1", Attempt: a.ID, Key: a.Request.Key, Digest: invoke.Digest(a.Request.Body)}
	return answered == want
}

func isUnknownOutcome(err error) bool {
	var unknown *croft.UnknownOutcomeError
	return errors.As(err, &unknown)
}

func isRefused(err error) bool {
	var refused *croft.RefusedError
	return errors.As(err, &refused)
}

// TestOnlyCompleteOwnRepliesAreReturned guards against taking a swapped, late or truncated response for the reply of an
// attempt, and against reporting an attempt as not run that ran; no attempt may run twice.
func TestOnlyCompleteOwnRepliesAreReturned(t *testing.T) {
	const requests, callers = 400, 6
	ctx, cancel := context.WithTimeout(context.Background(), 6*testTimeout)
	defer cancel()
	executor, endpoint := newExecutor(t, fakes.Behaviour{
		Cross: 30, Late: 30, LateMs: 5, Short: 30, ShortUntold: 30, ResetAfterRun: 30, EveryNth: 2,
	})
	client := invoke.New(invoke.Options{})
	defer client.Close()
	var next, own, unknown, other atomic.Int64
	var refusals sync.Map
	var work sync.WaitGroup
	for range callers {
		work.Go(func() {
			for n := next.Add(1); n <= requests; n = next.Add(1) {
				a := newAttempt(int(n))
				reply, err := client.Run(ctx, endpoint, a)
				switch {
				case err == nil && isOwnReply(t, a, reply):
					own.Add(1)
				case isUnknownOutcome(err):
					unknown.Add(1)
				case isRefused(err):
					// The reused connection was closed before the first byte was written.
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
	assert.Equal(t, own.Load()+unknown.Load()+refused, int64(requests))
	for _, r := range executor.Ledger().Runs {
		_, wasRefused := refusals.Load(r.Attempt)
		assert.Assert(t, !wasRefused, "%s was refused as not run and ran", r.Attempt)
	}
	// The executor serves no further request on the connection of a late answer, so that up to 30 requests do not run.
	assertRunOnce(t, executor.Ledger(), requests-30-int(refused))
	// The 90 short, untold and reset answers are never complete; crossed ones may be, if no two runs were concurrent.
	assert.Assert(t, unknown.Load() >= 90, "unknown outcomes: %d", unknown.Load())
}

// assertRunOnce checks that no attempt ran twice, and that at least minRuns ran.
func assertRunOnce(t *testing.T, l fakes.Ledger, minRuns int) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range l.Runs {
		assert.Assert(t, !seen[r.Attempt], "%s ran twice", r.Attempt)
		seen[r.Attempt] = true
	}
	assert.Assert(t, len(seen) >= minRuns, "runs: %d", len(seen))
}

// TestRefusals checks that each kind of refusal by the executor is returned with its reason and flags. It repeats them,
// since a refusal once closed its connection, on which the next attempt failed with an unknown outcome.
func TestRefusals(t *testing.T) {
	ctx := context.Background()
	executor, endpoint := newExecutor(t, fakes.Behaviour{Leave: true})
	client := invoke.New(invoke.Options{})
	defer client.Close()
	var refused *croft.RefusedError
	_, err := client.Run(ctx, endpoint, newAttempt(1))
	assert.Assert(t, errors.As(err, &refused))
	assert.DeepEqual(t, refused, &croft.RefusedError{Reason: "executor says Leaving", Leaving: true})

	// The attempt after a refusal has no unknown outcome: it uses the same connection, or a new one.
	for range 500 {
		_, err = client.Run(ctx, endpoint, newAttempt(1))
		assert.Assert(t, errors.As(err, &refused), "%v", err)
	}

	executor.Behave(fakes.Behaviour{})
	expired := newAttempt(2)
	expired.Request.Deadline = 1
	_, err = client.Run(ctx, endpoint, expired)
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, len(executor.Ledger().Runs), 0)

	// A boot older than the executor's accepts no further work; a newer one has not started yet.
	executor.Behave(fakes.Behaviour{})
	executor.Restart(5)
	for boot, wantLeaving := range map[uint64]bool{4: true, 6: false} {
		endpoint.Boot = boot
		_, err = client.Run(ctx, endpoint, newAttempt(4))
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.DeepEqual(t, refused, &croft.RefusedError{Reason: "executor says Boot", Leaving: wantLeaving})
	}
	assert.Equal(t, len(executor.Ledger().Runs), 0)
	endpoint.Boot = 5
	executor.Behave(fakes.Behaviour{FailAll: true})
	reply, err := client.Run(ctx, endpoint, newAttempt(3))
	assert.NilError(t, err)
	assert.Equal(t, reply.Status, http.StatusInternalServerError)
}

// TestRefusalOfAnotherAttemptIsUnknown guards against reporting an attempt as not run because of the refusal of another
// one.
func TestRefusalOfAnotherAttemptIsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(invoke.HeaderOutcome, invoke.OutcomeNotRun)
		w.Header().Set(invoke.HeaderAttempt, "another")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	client := invoke.New(invoke.Options{})
	defer client.Close()
	_, err := client.Run(context.Background(), croft.Endpoint{Address: server.Listener.Addr().String()}, newAttempt(1))
	assert.Assert(t, isUnknownOutcome(err))
}

// TestUncheckableRepliesAreUnknown checks that a response without a length or over the size limit is not returned.
func TestUncheckableRepliesAreUnknown(t *testing.T) {
	executor, endpoint := newExecutor(t, fakes.Behaviour{NoDigest: true, ShortUntold: 1})
	client := invoke.New(invoke.Options{MaxBodyBytes: 20})
	defer client.Close()
	_, err := client.Run(t.Context(), endpoint, newAttempt(1))
	assert.ErrorContains(t, err, string(invoke.ErrNoLength))
	assert.Assert(t, isUnknownOutcome(err))
	_, err = client.Run(t.Context(), endpoint, newAttempt(2))
	assert.ErrorContains(t, err, string(invoke.ErrTooLong))
	assert.Assert(t, isUnknownOutcome(err))
	assert.Equal(t, len(executor.Ledger().Runs), 2)
}

// rawExecutor starts a TCP server that counts the requests and has serve answer each, with its number on its
// connection.
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

func responseTo(request *http.Request) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nCroft-Attempt: " + request.Header.Get(invoke.HeaderAttempt) + "\r\n\r\nok"
}

// TestTransportNeverSendsTwice guards against the retries of net/http's transport: it sends a request again if a reused
// connection is closed before the response begins, and the request has no body or has an Idempotency-Key.
func TestTransportNeverSendsTwice(t *testing.T) {
	for _, body := range []string{"", "body"} {
		endpoint, count := rawExecutor(t, func(c net.Conn, request *http.Request, nth int) {
			if nth == 1 {
				_, _ = c.Write([]byte(responseTo(request)))
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
		assert.Assert(t, isUnknownOutcome(err), "body %q: %v", body, err)
		client.Close()
	}
}

// TestLateResponseIsNotTakenForTheNextRequest guards against returning a response that arrives after its own request
// has ended, as the reply to the next request on the connection.
func TestLateResponseIsNotTakenForTheNextRequest(t *testing.T) {
	var first atomic.Pointer[string]
	endpoint, _ := rawExecutor(t, func(c net.Conn, request *http.Request, nth int) {
		own := responseTo(request)
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
	assert.Assert(t, isUnknownOutcome(err), "%v", err)
	// That connection was closed: the next attempt uses a new one.
	_, err = client.Run(context.Background(), endpoint, newAttempt(3))
	assert.NilError(t, err)
}

// TestNothingWrittenMeansNotRun checks that an attempt is reported as not run if no connection could be opened or none
// was free.
func TestNothingWrittenMeansNotRun(t *testing.T) {
	var refused *croft.RefusedError
	client := invoke.New(invoke.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("no route")
	}})
	_, err := client.Run(context.Background(), croft.Endpoint{Address: "127.0.0.1:1"}, newAttempt(1))
	assert.Assert(t, errors.As(err, &refused))

	ctx, cancel := context.WithCancel(context.Background())
	dialing := make(chan struct{})
	hangingClient := invoke.New(invoke.Options{MaxConnsPerEndpoint: 1, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	ended := make(chan error, 1)
	go func() {
		_, err := hangingClient.Run(ctx, croft.Endpoint{Address: "127.0.0.1:1"}, newAttempt(2))
		ended <- err
	}()
	<-dialing
	_, err = hangingClient.Run(ctx, croft.Endpoint{Address: "127.0.0.1:1"}, newAttempt(3))
	assert.Assert(t, errors.As(err, &refused))
	assert.Assert(t, refused.Busy)
	cancel()
	assert.Assert(t, errors.As(<-ended, &refused))
	assert.Assert(t, !refused.Busy)
}

// TestContextEndAfterSendingIsUnknown checks that an attempt that was sent has an unknown outcome if its context ends
// before the response.
func TestContextEndAfterSendingIsUnknown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	endpoint, count := rawExecutor(t, func(net.Conn, *http.Request, int) { cancel() })
	client := invoke.New(invoke.Options{})
	defer client.Close()
	_, err := client.Run(ctx, endpoint, newAttempt(1))
	assert.Assert(t, isUnknownOutcome(err), "%v", err)
	assert.Equal(t, count.Load(), int64(1))
}
