package sent

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"waxwing.example/croft"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// errSealed ends a write that begins after the outcome of its exchange was decided.
var errSealed = errors.New("sent: exchange is over")

// The states of a connection within one exchange.
const (
	stateClean int32 = iota
	stateDirty
	stateSealed
)

// conn marks itself dirty before its first write of an exchange, and refuses that write once sealed.
type conn struct {
	net.Conn
	state atomic.Int32
}

// Write marks the exchange as sent and writes, or fails with nothing written once the exchange is over.
func (c *conn) Write(data []byte) (int, error) {
	if !c.state.CompareAndSwap(stateClean, stateDirty) && c.state.Load() == stateSealed {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// reopen begins another exchange; it reports false where the connection was sealed, which nothing undoes.
func (c *conn) reopen() bool {
	return c.state.CompareAndSwap(stateDirty, stateClean) || c.state.Load() == stateClean
}

// seal forbids a first write and closes the connection; it reports whether a write had begun.
func (c *conn) seal() bool {
	dirty := !c.state.CompareAndSwap(stateClean, stateSealed)
	c.Close()
	return dirty
}

// Wrap returns a dial function whose connections a Track can follow and whose dials end within the timeout in milliseconds.
//
// A transport dials with a context of its own, which outlives the request; an unanswered dial would hold one of
// its connections long after the network is back.
func Wrap(dial Dial, timeout croft.Millis) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}
