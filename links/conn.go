package links

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxBufferedBytes bounds the bytes that a partitioned connection accepts for sending, like the send buffer of a
// socket.
const maxBufferedBytes = 64 << 10

// conn is a connection that hangs while its network is partitioned from the other end.
type conn struct {
	net.Conn
	network *Network

	mu sync.Mutex
	// changed is closed and replaced whenever a field changes that awaitHealed checks.
	changed     chan struct{}
	partitioned bool
	closed      bool
	// unsent holds bytes that were written during a partition; they are sent when it is healed.
	unsent []byte
	// unread holds bytes that arrived during a partition, while the read that received them ended with an error.
	unread        []byte
	readDeadline  time.Time
	writeDeadline time.Time
}

func newConn(c net.Conn, n *Network) *conn {
	return &conn{Conn: c, network: n, changed: make(chan struct{})}
}

// Read reads from the connection. Bytes that arrive during a partition are returned only after it is healed.
func (c *conn) Read(buffer []byte) (int, error) {
	if err := c.awaitHealed(func() time.Time { return c.readDeadline }); err != nil {
		return 0, err
	}
	if n := c.readUnread(buffer); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, c.closedOr(err)
	}
	// The partition may have begun during the read.
	if waitErr := c.awaitHealed(func() time.Time { return c.readDeadline }); waitErr != nil {
		c.mu.Lock()
		c.unread = append(c.unread, buffer[:n]...)
		c.mu.Unlock()
		return 0, waitErr
	}
	return n, err
}

// readUnread moves unread bytes to the buffer and returns their number.
func (c *conn) readUnread(buffer []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(buffer, c.unread)
	c.unread = c.unread[n:]
	return n
}

// closedOr returns net.ErrClosed if the connection was closed, and otherwise the error.
func (c *conn) closedOr(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	return err
}

// Write writes to the connection. During a partition it buffers a limited number of bytes, and then waits.
func (c *conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.partitioned && !c.closed && len(c.unsent)+len(data) <= maxBufferedBytes {
		c.unsent = append(c.unsent, data...)
		c.mu.Unlock()
		return len(data), nil
	}
	c.mu.Unlock()
	if err := c.awaitHealed(func() time.Time { return c.writeDeadline }); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// awaitHealed waits until the partition is healed, the deadline passes or the connection is closed. The deadline may
// change during the wait, so it is passed as a function, which is called with the mutex held.
func (c *conn) awaitHealed(deadline func() time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.partitioned && !c.closed {
		until, changed := deadline(), c.changed
		var expired <-chan time.Time
		if !until.IsZero() {
			remaining := time.Until(until)
			if remaining <= 0 {
				return os.ErrDeadlineExceeded
			}
			expired = time.After(remaining)
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

// wakeWaiters has each awaitHealed check the state again; the caller holds the mutex.
func (c *conn) wakeWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// setPartitioned begins or ends a partition. Its end sends the buffered bytes, and closes the connection if it was
// closed locally in the meantime.
func (c *conn) setPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned && !partitioned && len(c.unsent) > 0 {
		// If this fails, the next read or write returns an error.
		_, _ = c.Conn.Write(c.unsent)
		c.unsent = nil
	}
	c.partitioned = partitioned
	c.wakeWaiters()
	if c.closed && !partitioned {
		c.network.untrack(c)
		c.Conn.Close()
	}
}

// Close closes the connection; during a partition, the other end observes this only after it is healed.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.wakeWaiters()
	if c.partitioned {
		// This ends a read that began before the partition.
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.network.untrack(c)
	return c.Conn.Close()
}

// CloseWrite closes the sending half, unless the connection is partitioned or has none.
func (c *conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.partitioned {
		return nil
	}
	return half.CloseWrite()
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	c.setDeadline(&c.writeDeadline, t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(&c.writeDeadline, t)
	return c.Conn.SetWriteDeadline(t)
}

// setDeadline records a deadline and has waiting calls check it.
func (c *conn) setDeadline(deadline *time.Time, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*deadline = t
	c.wakeWaiters()
}
