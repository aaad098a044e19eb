package links

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// heldBytes is the most that a connection takes for sending while it is cut, as a socket's buffer would.
const heldBytes = 64 << 10

// conn is a connection that hangs while its network is cut off from the other end.
type conn struct {
	net.Conn
	network *Network

	mu sync.Mutex
	// changed is closed and replaced whenever a wait may be over.
	changed chan struct{}
	cut     bool
	closed  bool
	held    []byte
	// pending arrived while cut, and was not read before a deadline.
	pending []byte
	reads   time.Time
	writes  time.Time
}

func newConn(c net.Conn, n *Network) *conn {
	return &conn{Conn: c, network: n, changed: make(chan struct{})}
}

// Read reads, and keeps what arrives while cut until the cut is healed.
func (c *conn) Read(into []byte) (int, error) {
	if err := c.awaitOpen(func() time.Time { return c.reads }); err != nil {
		return 0, err
	}
	if n := c.takePending(into); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(into)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, c.orClosed(err)
	}
	// The cut may have come while the read waited.
	if waited := c.awaitOpen(func() time.Time { return c.reads }); waited != nil {
		c.mu.Lock()
		c.pending = append(c.pending, into[:n]...)
		c.mu.Unlock()
		return 0, waited
	}
	return n, err
}

func (c *conn) takePending(into []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(into, c.pending)
	c.pending = c.pending[n:]
	return n
}

// orClosed returns net.ErrClosed for a connection that was closed, and else the error.
func (c *conn) orClosed(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return err
}

// Write writes, or holds a bounded number of bytes back while cut.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.cut && !c.closed && len(c.held)+len(data) <= heldBytes {
		c.held = append(c.held, data...)
		c.mu.Unlock()
		return len(data), nil
	}
	c.mu.Unlock()
	if err := c.awaitOpen(func() time.Time { return c.writes }); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// awaitOpen waits while cut, until a deadline; the deadline is read under the lock.
func (c *conn) awaitOpen(deadline func() time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.cut && !c.closed {
		until, changed := deadline(), c.changed
		var expired <-chan time.Time
		if !until.IsZero() {
			left := time.Until(until)
			if left <= 0 {
				return os.ErrDeadlineExceeded
			}
			expired = time.After(left)
		}
		c.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
		}
		c.mu.Lock()
	}
	if c.closed {
		return net.ErrClosed
	}
	return nil
}

func (c *conn) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// setCut begins or ends a cut; its end sends what was held and ends a connection that was closed meanwhile.
func (c *conn) setCut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut && !cut && len(c.held) > 0 {
		// A failure shows in the next read or write.
		_, _ = c.Conn.Write(c.held)
		c.held = nil
	}
	c.cut = cut
	c.wake()
	if c.closed && !cut {
		c.network.leave(c)
		c.Conn.Close()
	}
}

// Close closes the connection; the other end hears of it once a cut is healed.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.wake()
	if c.cut {
		// Ends a read that began before the cut.
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.network.leave(c)
	return c.Conn.Close()
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.note(&c.reads, t)
	c.note(&c.writes, t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.note(&c.reads, t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.note(&c.writes, t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *conn) note(deadline *time.Time, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*deadline = t
	c.wake()
}
