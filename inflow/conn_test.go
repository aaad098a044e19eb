package inflow

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

type discardLog struct{}

func (discardLog) Log(croft.Decision) {}

// Guards against a planned stop that waits for requests in progress without end: a new connection that found no room kept the
// listener's goroutine waiting.
func TestCloseEndsAWaitForRoom(t *testing.T) {
	limits := Limits{Connections: 1}
	delayed := make(chan struct{})
	gate := NewGate(Options{
		Limits: limits, Clock: clock.NewSystem(), Log: discardLog{}, Open: func(int, int64) {},
		Count: func(reason Reason) {
			if reason == ReasonDelayed {
				close(delayed)
			}
		},
	})
	plain, err := Listen("127.0.0.1:0", limits)
	assert.NilError(t, err)
	l := gate.Wrap(plain)
	for range 2 {
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer conn.Close()
	}
	first, err := l.Accept()
	assert.NilError(t, err)
	defer first.Close()
	assert.Assert(t, first.(*Conn).Begin(false), "a request is being processed")
	go func() {
		<-delayed
		l.Close()
	}()
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// failingListener fails to accept for lack of descriptors a number of times, and is closed then.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, syscall.EMFILE
}

// Guards against an entry that ends for lack of descriptors: the server of other entries returned the error of its listener.
func TestAcceptTriesAgain(t *testing.T) {
	failed := 0
	gate := NewGate(Options{Clock: clock.NewSystem(), Log: discardLog{}, Count: func(reason Reason) {
		if reason == ReasonAccept {
			failed++
		}
	}})
	_, err := gate.Wrap(&failingListener{failures: 3}).Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, failed, 3)
}

// Guards against responses that wait for ever for the memory of others whose clients read nothing.
func TestRespondClosesConnectionsThatReadNothing(t *testing.T) {
	gate := NewGate(Options{
		Limits: Limits{Connections: 10, ResponseBytes: 100}, Clock: clock.NewSystem(), Log: discardLog{}, Count: func(Reason) {},
	})
	server, client := net.Pipe()
	defer client.Close()
	c := &Conn{Conn: server, gate: gate}
	assert.Assert(t, gate.open(c, new(atomic.Bool)))
	assert.Assert(t, c.Begin(false))
	release, err := gate.Respond(t.Context(), 100)
	assert.NilError(t, err)
	go func() {
		defer release()
		_, _ = c.Write([]byte("the client reads nothing of this"))
	}()
	release, err = gate.Respond(t.Context(), 1000)
	assert.NilError(t, err, "a response that is larger than the limit takes all of it")
	release()
}

// Guards against other entries' connections whose clients read nothing and that are kept: their server reads on after a failed write.
func TestConnectionIsClosedIfItsClientReadsNothing(t *testing.T) {
	gate := NewGate(Options{Limits: Limits{Connections: 10}, Clock: clock.NewSystem(), Log: discardLog{}, Count: func(Reason) {}})
	server, client := net.Pipe()
	defer client.Close()
	c := &Conn{Conn: server, gate: gate}
	assert.Assert(t, gate.open(c, new(atomic.Bool)))
	assert.Assert(t, c.Trust())
	_, err := c.Write([]byte("the client reads nothing of this"))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, gate.table.Connections(), 0)
}
