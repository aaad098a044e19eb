package peer

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/links"
)

// serveProbes starts a server that answers probes with the sender's report, "-echoed" added to its ID.
func serveProbes(t *testing.T, key string) (address string, server *Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server = NewServer([]byte(key), map[string]Handler{
		MethodProbe: func(_ context.Context, params json.RawMessage) (any, error) {
			var r Report
			err := json.Unmarshal(params, &r)
			r.From.ID += "-echoed"
			return r, err
		},
	}, links.NewMeter(), nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(context.Background(), l)
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
	})
	return l.Addr().String(), server
}

func newClient(t *testing.T, key string) *Client {
	t.Helper()
	var d net.Dialer
	c := NewClient([]byte(key), d.DialContext, links.NewMeter())
	t.Cleanup(c.Close)
	return c
}

func TestProbeWithSharedKey(t *testing.T) {
	address, server := serveProbes(t, "secret")
	c := newClient(t, "secret")
	var answer Report
	err := c.Call(context.Background(), address, MethodProbe, Report{From: croft.Peer{ID: "e1"}}, &answer)
	assert.NilError(t, err)
	assert.Equal(t, answer.From.ID, croft.EntryID("e1-echoed"))
	assert.Assert(t, server.meter.Received() > 0)
}

func TestWrongKeyIsRejected(t *testing.T) {
	address, server := serveProbes(t, "secret")
	c := newClient(t, "guess")
	err := c.Call(context.Background(), address, MethodProbe, Report{}, &Report{})
	var unreachable *UnreachableError
	assert.Assert(t, err != nil)
	assert.ErrorType(t, err, unreachable)
	for server.Refused() == 0 {
	}
}

func TestProofsDifferBySide(t *testing.T) {
	challenge := []byte("the same challenge")
	assert.Assert(t, string(computeProof([]byte("k"), dialer, challenge)) != string(computeProof([]byte("k"), listener, challenge)))
}

func TestReconnectAfterDisconnect(t *testing.T) {
	address, _ := serveProbes(t, "secret")
	c := newClient(t, "secret")
	assert.NilError(t, c.Call(context.Background(), address, MethodProbe, Report{}, &Report{}))
	assert.NilError(t, c.conns[address].conn.Close())
	<-c.conns[address].conn.DisconnectNotify()
	assert.NilError(t, c.Call(context.Background(), address, MethodProbe, Report{}, &Report{}))
}
