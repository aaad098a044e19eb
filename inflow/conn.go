package inflow

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"waxwing.example/croft"
)

// writeTimeout is how long a client may take to read a part of a response: as long as the default timeout of a request.
const writeTimeout = 3 * croft.Second

// writeBytes is the size of the parts in which a response is written, each of which has writeTimeout.
const writeBytes = 32 << 10

// tooLargePrefix begins the response that net/http sends if headers are too large, without calling a handler.
var tooLargePrefix = []byte("HTTP/1.1 431")

// Listen listens on an address, with as many connections waiting to be accepted as may be open. Bytes that were received and not
// read count as memory of the process, so the kernel's buffers are small and few.
func Listen(address string, limits Limits) (net.Listener, error) {
	var optErr error
	control := func(set func(fd int) error) func(uintptr) {
		return func(fd uintptr) { optErr = errors.Join(optErr, set(int(fd))) }
	}
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return errors.Join(raw.Control(control(setBuffers)), optErr)
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err == nil {
		// Listening again only changes the number of connections that may wait; package net uses the system's maximum.
		err = errors.Join(raw.Control(control(func(fd int) error { return unix.Listen(fd, limits.Connections) })), optErr)
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// setBuffers sets the sizes of a socket's buffers, which accepted connections inherit.
func setBuffers(fd int) error {
	return errors.Join(
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes))
}

// Wrap returns a listener whose connections are subject to the gate.
func (g *Gate) Wrap(l net.Listener) net.Listener { return &gateListener{Listener: l, gate: g} }

// gateListener is a listener that accepts every connection and closes another one if there are too many. A listener that waits
// for a connection to end, such as netutil.LimitListener, would let a crowd keep out everyone else.
type gateListener struct {
	net.Listener
	gate   *Gate
	closed atomic.Bool
}

// Accept returns the next connection. It tries again after an error, such as a lack of descriptors, unless the listener is closed.
func (l *gateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for err != nil {
		if l.closed.Load() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		l.gate.record(ReasonAccept)
		_ = l.gate.options.Clock.Sleep(context.Background(), acceptPause)
		conn, err = l.Listener.Accept()
	}
	c := &Conn{Conn: conn, gate: l.gate}
	if !l.gate.open(c, &l.closed) {
		conn.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close makes Accept fail, also one that waits for room.
func (l *gateListener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Conn is a connection that is subject to a gate.
type Conn struct {
	net.Conn
	gate *Gate
	id   ID
	// refuse ends the wait of a request that was received whole, nil if none waits.
	refuse atomic.Pointer[func()]
	closed sync.Once
}

// connKey is the context key of a request's Conn.
type connKey struct{}

// ConnContext stores a connection in the context of its requests; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, nil if it is not subject to a gate.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Begin records that the headers of a request have been received, and whether its handler reads a body. It returns false if the
// connection was dropped.
func (c *Conn) Begin(readsBody bool) bool {
	return c == nil || c.gate.begin(c, readsBody)
}

// Trust records that the client has proved who it is, so that the connection is no longer closed in favour of others. It
// returns false if the connection was dropped.
func (c *Conn) Trust() bool { return c == nil || c.gate.trust(c) }

// Wait records that the request has been received whole and waits to be processed. Its context ends if it is refused meanwhile;
// done must be called once the wait has ended. ok is false if the connection was dropped.
func (c *Conn) Wait(ctx context.Context) (waiting context.Context, done func(), ok bool) {
	if c == nil {
		return ctx, func() {}, true
	}
	ctx, cancel := context.WithCancelCause(ctx)
	refuse := func() { cancel(ErrDropped) }
	c.refuse.Store(&refuse)
	done = func() {
		c.refuse.Store(nil)
		cancel(nil)
	}
	if !c.gate.wait(c) {
		done()
		return ctx, func() {}, false
	}
	return ctx, done, true
}

// Handled records that the handler of a request has returned, and whether the request has a body that its handler does not read.
func (c *Conn) Handled(ignoredBody bool) {
	if c != nil {
		c.gate.handled(c, ignoredBody)
	}
}

// Idle records that a response has been sent.
func (c *Conn) Idle() { c.gate.idle(c) }

// SetBodyTimeout bounds the time until the body of a request has been received, zero for no bound.
func (c *Conn) SetBodyTimeout(timeout croft.Millis) {
	if c == nil {
		return
	}
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout.Duration())
	}
	// An error means that the connection is closed, which the next read reports.
	_ = c.SetReadDeadline(deadline)
}

// Read reads, and counts a read that timed out.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		if reason := c.gate.timedOut(c); reason != "" {
			c.gate.record(reason)
		}
	}
	return n, err
}

// Write writes, and fails if the client does not read for writeTimeout.
func (c *Conn) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, tooLargePrefix) {
		c.gate.record(ReasonHeaderBytes)
	}
	written := 0
	for {
		n, err := c.writePart(b[written:min(len(b), written+writeBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// writePart writes a part of a response within writeTimeout, and closes the connection if that fails.
func (c *Conn) writePart(b []byte) (int, error) {
	c.gate.send(c)
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout.Duration())); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.record(ReasonWriteTime)
		// A server may go on reading requests although it cannot respond, and would keep the connection.
		_ = c.Close()
	}
	return n, err
}

// CloseWrite closes the sending half; net/http needs it to end a connection whose client is still sending.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and removes it from the gate.
func (c *Conn) Close() error {
	c.closed.Do(func() { c.gate.close(c) })
	return c.Conn.Close()
}

// firstBufferBytes is the size of a body's first buffer; most bodies are smaller.
const firstBufferBytes = 4 << 10

// ReadBody reads a body whose announced size is size, negative if unknown. The buffer grows with what has arrived, and the gate
// counts it. A body of more than limit bytes is cut after the first excess byte, which makes http.MaxBytesReader fail.
func (c *Conn) ReadBody(r io.Reader, size, limit int64) ([]byte, error) {
	if size < 0 || size > limit {
		size = limit
	}
	capacity := min(size+1, firstBufferBytes)
	if !c.grow(capacity) {
		return nil, ErrDropped
	}
	buffer := make([]byte, 0, capacity)
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		capacity = max(min(2*int64(cap(buffer)), size+1), int64(cap(buffer))+1)
		if !c.grow(capacity - int64(cap(buffer))) {
			return nil, ErrDropped
		}
		buffer = append(make([]byte, 0, capacity), buffer...)
	}
}

// grow counts the growth of a body's buffer; it returns false if the body is dropped.
func (c *Conn) grow(bytes int64) bool { return c == nil || c.gate.receive(c, bytes) }
