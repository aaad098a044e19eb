package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/inflow"
	"waxwing.example/croft/links"
)

type discardLog struct{}

func (discardLog) Log(croft.Decision) {}

// serveLimited starts a server whose messages may take some memory, and whose handler of MethodFleet calls a function.
func serveLimited(t *testing.T, memory int64, handle func()) (string, *inflow.Gate) {
	t.Helper()
	limits := inflow.Limits{Connections: 10, ProcessedBytes: memory}
	gate := inflow.NewGate(inflow.Options{Limits: limits, Clock: clock.NewSystem(), Log: discardLog{}, Count: func(inflow.Reason) {}})
	l, err := inflow.Listen("127.0.0.1:0", limits)
	assert.NilError(t, err)
	server := NewServer([]byte("secret"), map[string]Handler{
		MethodFleet: func(context.Context, json.RawMessage) (any, error) {
			handle()
			return FleetAnswer{}, nil
		},
	}, links.NewMeter(), gate)
	wrapped := gate.Wrap(l)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(context.Background(), wrapped)
	}()
	t.Cleanup(func() {
		wrapped.Close()
		<-done
	})
	return l.Addr().String(), gate
}

// Guards against a message that announces more than an entry can hold.
func TestMessageOverTheLimitEndsTheConnection(t *testing.T) {
	address, _ := serveLimited(t, 1<<30, func() {})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, exchangeProofs(conn, []byte("secret"), dialer))
	_, err = conn.Write(binary.AppendUvarint(nil, maxRequestBytes+1))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	client := newClient(t, "secret")
	assert.NilError(t, client.Call(t.Context(), address, MethodFleet, FleetQuestion{}, &FleetAnswer{}))
}

// Guards against messages whose memory is not released: an entry took no further ones.
func TestMemoryOfMessagesIsReleased(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	address, gate := serveLimited(t, minRequestBytes, func() {
		entered <- struct{}{}
		<-leave
	})
	client := newClient(t, "secret")
	called := make(chan error)
	go func() { called <- client.Call(t.Context(), address, MethodFleet, FleetQuestion{}, &FleetAnswer{}) }()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := gate.Process(ctx, nil, 1)
	assert.ErrorIs(t, err, inflow.ErrDropped, "the message is being handled")
	close(leave)
	assert.NilError(t, <-called)
	go func() { <-entered }()
	assert.Assert(t, client.Call(t.Context(), address, "Unknown", FleetQuestion{}, nil) != nil)
	assert.NilError(t, client.Call(t.Context(), address, MethodFleet, FleetQuestion{}, &FleetAnswer{}))
}
