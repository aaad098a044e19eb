package serve

import (
	"net"
	"sync"
)

// handoff is a listener whose connections another one has accepted.
type handoff struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func newHandoff(addr net.Addr) *handoff {
	return &handoff{conns: make(chan net.Conn), done: make(chan struct{}), addr: addr}
}

// pass passes a connection to Accept, or closes it if the listener is closed.
func (h *handoff) pass(conn net.Conn) {
	select {
	case h.conns <- conn:
	case <-h.done:
		conn.Close()
	}
}

// Accept returns the next connection.
func (h *handoff) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail.
func (h *handoff) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr returns the address of the listener that accepts.
func (h *handoff) Addr() net.Addr { return h.addr }
