package inflow

import (
	"net"
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
