package links_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/invoke"
	"waxwing.example/croft/links"
	"waxwing.example/croft/peer"
	"waxwing.example/croft/plat"
)

// testTimeout bounds calls that must succeed.
const testTimeout = 10 * time.Second

var remoteAddr = netip.MustParseAddr("127.2.0.6")

// serveRemote serves a handler at remoteAddr and returns its address and port.
func serveRemote(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := links.New(remoteAddr).Listen("tcp", "127.2.0.6:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: testTimeout}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// runWithin runs a call with a timeout and returns the call's error.
func runWithin(t *testing.T, timeout time.Duration, call func(context.Context) error) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return call(ctx)
}

// TestAttemptsDuringPartition checks that an attempt on an open connection has an unknown outcome, and that one that
// needs a new connection is reported as not run and does not run later.
func TestAttemptsDuringPartition(t *testing.T) {
	executor := fakes.NewExecutor(fakes.ExecutorOptions{VM: "vm1", Boot: 1})
	endpoint := croft.Endpoint{VM: "vm1", Address: serveRemote(t, executor.Handler())}
	local := links.New(netip.MustParseAddr("127.1.0.6"))
	client := invoke.New(invoke.Options{Dial: local.Dial})
	defer client.Close()
	run := func(id string) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := client.Run(ctx, endpoint, croft.Attempt{ID: id, Request: croft.Request{
				Class: croft.Class{Service: "lens", Kind: "read"}, Key: id,
			}})
			return err
		}
	}
	assert.NilError(t, runWithin(t, testTimeout, run("before")))
	local.Partition(netip.PrefixFrom(remoteAddr, 32))
	var unknown *croft.UnknownOutcomeError
	var refused *croft.RefusedError
	assert.Assert(t, errors.As(runWithin(t, shortTimeout, run("kept")), &unknown))
	assert.Assert(t, errors.As(runWithin(t, shortTimeout, run("fresh")), &refused))
	local.Heal()
	assert.NilError(t, runWithin(t, testTimeout, run("after")))
	for _, r := range executor.Ledger().Runs {
		assert.Assert(t, r.Attempt != "fresh", "an attempt ran that was refused as not run")
	}
}

// TestPlatformDuringPartition checks that a commit on an open connection has an unknown outcome, that one that needs a
// new connection is not applied, and that commits succeed again after the partition.
func TestPlatformDuringPartition(t *testing.T) {
	p := fakes.NewPlatform(fakes.PlatformOptions{})
	defer p.Close()
	local := links.New(netip.MustParseAddr("127.1.0.6"))
	client := plat.New(plat.Options{Address: "http://" + serveRemote(t, p.Handler()), Dial: local.Dial})
	defer client.Close()
	commit := func(key string) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := client.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: key}})
			return err
		}
	}
	assert.NilError(t, runWithin(t, testTimeout, commit("before")))
	local.Partition(netip.PrefixFrom(remoteAddr, 32))
	var lost *croft.LostAnswerError
	var unavailable *croft.UnavailableError
	assert.Assert(t, errors.As(runWithin(t, shortTimeout, commit("kept")), &lost))
	assert.Assert(t, errors.As(runWithin(t, shortTimeout, commit("fresh")), &unavailable))
	local.Heal()
	assert.NilError(t, runWithin(t, testTimeout, commit("after")))
	_, err := client.Get(t.Context(), "fresh")
	assert.ErrorIs(t, err, croft.ErrNoRow)
}

// TestPeersDuringPartition checks that a call that times out abandons its connection, so that the first call after the
// partition succeeds on a new one.
func TestPeersDuringPartition(t *testing.T) {
	key := []byte("key of the peers in this test")
	echo := func(_ context.Context, params json.RawMessage) (any, error) { return params, nil }
	l, err := links.New(remoteAddr).Listen("tcp", "127.2.0.6:0")
	assert.NilError(t, err)
	defer l.Close()
	server := peer.NewServer(key, map[string]peer.Handler{"Echo": echo}, links.NewMeter(), nil)
	go func() { _ = server.Serve(t.Context(), l) }()
	local := links.New(netip.MustParseAddr("127.1.0.6"))
	var dials atomic.Int64
	client := peer.NewClient(key, func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return local.Dial(ctx, network, address)
	}, links.NewMeter())
	defer client.Close()
	call := func(ctx context.Context) error {
		var answer string
		return client.Call(ctx, l.Addr().String(), "Echo", "word", &answer)
	}
	assert.NilError(t, runWithin(t, testTimeout, call))
	local.Partition(netip.PrefixFrom(remoteAddr, 32))
	var unreachable *peer.UnreachableError
	for range 2 {
		assert.Assert(t, errors.As(runWithin(t, shortTimeout, call), &unreachable))
	}
	local.Heal()
	assert.NilError(t, runWithin(t, testTimeout, call))
	assert.Equal(t, dials.Load(), int64(3))
}
