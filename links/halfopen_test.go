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

// patience bounds what must come.
const patience = 10 * time.Second

var farAddr = netip.MustParseAddr("127.2.0.6")

// serveFar serves a handler at the far side.
func serveFar(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := links.New(farAddr).Listen("tcp", "127.2.0.6:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: h, ReadHeaderTimeout: patience}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// within runs a call with a timeout.
func within(t *testing.T, span time.Duration, call func(context.Context) error) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	return call(ctx)
}

// A connection that hangs makes an attempt unknown once it is written, and not run where none could be opened.
func TestAttemptsOverACut(t *testing.T) {
	executor := fakes.NewExecutor(fakes.ExecutorOptions{VM: "vm1", Boot: 1})
	endpoint := croft.Endpoint{VM: "vm1", Address: serveFar(t, executor.Handler())}
	near := links.New(netip.MustParseAddr("127.1.0.6"))
	client := invoke.New(invoke.Options{Dial: near.Dial})
	defer client.Close()
	run := func(id string) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := client.Run(ctx, endpoint, croft.Attempt{ID: id, Request: croft.Request{
				Class: croft.Class{Service: "lens", Kind: "read"}, Key: id,
			}})
			return err
		}
	}
	assert.NilError(t, within(t, patience, run("before")))
	near.Cut(netip.PrefixFrom(farAddr, 32))
	var doubt *croft.UnknownOutcomeError
	var refused *croft.RefusedError
	assert.Assert(t, errors.As(within(t, soon, run("kept")), &doubt))
	assert.Assert(t, errors.As(within(t, soon, run("fresh")), &refused))
	near.Heal()
	assert.NilError(t, within(t, patience, run("after")))
	for _, r := range executor.Ledger().Runs {
		assert.Assert(t, r.Attempt != "fresh", "an attempt ran that was refused as not run")
	}
}

// A write on a connection that hangs is in doubt; after the heal the platform answers again.
func TestPlatformOverACut(t *testing.T) {
	p := fakes.NewPlatform(fakes.PlatformOptions{})
	defer p.Close()
	near := links.New(netip.MustParseAddr("127.1.0.6"))
	client := plat.New(plat.Options{Address: "http://" + serveFar(t, p.Handler()), Dial: near.Dial})
	defer client.Close()
	commit := func(key string) func(context.Context) error {
		return func(ctx context.Context) error {
			_, err := client.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: key}})
			return err
		}
	}
	assert.NilError(t, within(t, patience, commit("before")))
	near.Cut(netip.PrefixFrom(farAddr, 32))
	var lost *croft.LostAnswerError
	var unavailable *croft.UnavailableError
	assert.Assert(t, errors.As(within(t, soon, commit("kept")), &lost))
	assert.Assert(t, errors.As(within(t, soon, commit("fresh")), &unavailable))
	near.Heal()
	assert.NilError(t, within(t, patience, commit("after")))
	_, err := client.Get(t.Context(), "fresh")
	assert.ErrorIs(t, err, croft.ErrNoRow)
}

// A call that times out gives its connection up, so that the first call after the heal needs no other to fail first.
func TestPeersOverACut(t *testing.T) {
	key := []byte("key of the peers in this test")
	echo := func(_ context.Context, params json.RawMessage) (any, error) { return params, nil }
	l, err := links.New(farAddr).Listen("tcp", "127.2.0.6:0")
	assert.NilError(t, err)
	defer l.Close()
	server := peer.NewServer(key, map[string]peer.Handler{"Echo": echo}, links.NewMeter())
	go func() { _ = server.Serve(t.Context(), l) }()
	near := links.New(netip.MustParseAddr("127.1.0.6"))
	var dials atomic.Int64
	client := peer.NewClient(key, func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return near.Dial(ctx, network, address)
	}, links.NewMeter())
	defer client.Close()
	call := func(ctx context.Context) error {
		var answer string
		return client.Call(ctx, l.Addr().String(), "Echo", "word", &answer)
	}
	assert.NilError(t, within(t, patience, call))
	near.Cut(netip.PrefixFrom(farAddr, 32))
	var unreachable *peer.UnreachableError
	for range 2 {
		assert.Assert(t, errors.As(within(t, soon, call), &unreachable))
	}
	near.Heal()
	assert.NilError(t, within(t, patience, call))
	assert.Equal(t, dials.Load(), int64(3))
}
