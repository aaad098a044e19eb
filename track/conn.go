package track

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"waxwing.example/croft"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// errSealed is returned by a write that begins after its exchange was sealed. Its prefix is the package's former name,
// kept because the text can reach callers.
var errSealed = errors.New("sent: exchange is over")

// The states of a connection within one exchange: nothing written, a write has begun, and writes forbidden.
const (
	stateUnwritten int32 = iota
	stateWritten
	stateSealed
)

// PreventedError reports that a connection wrote no byte of a request, because a check before the write failed.
type PreventedError struct {
	// Err is the error of the check.
	Err error
}

// Error returns the reason.
func (e *PreventedError) Error() string { return "nothing was written: " + e.Err.Error() }

// Unwrap returns the error of the check.
func (e *PreventedError) Unwrap() error { return e.Err }

// trackedConn records that the first write of an exchange has begun. Once the connection is sealed, a first write fails.
type trackedConn struct {
	net.Conn
	state atomic.Int32
}

// Write records that a write has begun and writes, or fails with nothing written if the connection is sealed. A first write that is
// prevented does not count.
func (c *trackedConn) Write(data []byte) (int, error) {
	first := c.state.CompareAndSwap(stateUnwritten, stateWritten)
	if !first && c.state.Load() == stateSealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(data)
	var prevented *PreventedError
	if first && errors.As(err, &prevented) {
		c.state.CompareAndSwap(stateWritten, stateUnwritten)
	}
	return n, err
}

// reopen resets the connection for another exchange; it reports false if the connection is sealed, which is final.
func (c *trackedConn) reopen() bool {
	return c.state.CompareAndSwap(stateWritten, stateUnwritten) || c.state.Load() == stateUnwritten
}

// seal prevents a first write and closes the connection; it reports whether a write had begun.
func (c *trackedConn) seal() bool {
	written := !c.state.CompareAndSwap(stateUnwritten, stateSealed)
	c.Close()
	return written
}

// Wrap returns a dial function whose connections an Exchange can follow, and which fails if a dial exceeds the timeout.
//
// A transport dials with a context of its own, which outlives the request; without the timeout, a dial that gets no
// response would occupy one of its connections long after the network has recovered.
func Wrap(dial Dial, timeout croft.Millis) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
		defer cancel()
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}
