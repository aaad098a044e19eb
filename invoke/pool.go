package invoke

import (
	"net/http"
	"sync"

	"waxwing.example/croft/track"
)

// exclusiveConn is a transport with a single connection to an endpoint, which one attempt at a time holds until its
// response is verified.
//
// A shared transport would reuse a connection as soon as the last byte of a response is read, before it is known to be
// the response to the right attempt.
type exclusiveConn struct{ transport *http.Transport }

func newExclusiveConn(dial track.Dial) *exclusiveConn {
	return &exclusiveConn{transport: &http.Transport{
		DialContext:            dial,
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout.Duration(),
	}}
}

// connPool holds the connections to one endpoint.
type connPool struct {
	mu    sync.Mutex
	idle  []*exclusiveConn
	inUse int
}

// acquire returns the idle connection that was used last, or a new one if none is idle. It returns nil if limit
// connections are in use.
func (p *connPool) acquire(dial track.Dial, limit int) *exclusiveConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse >= limit {
		return nil
	}
	p.inUse++
	if n := len(p.idle); n > 0 {
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return conn
	}
	return newExclusiveConn(dial)
}

// release makes a connection available for other attempts.
func (p *connPool) release(conn *exclusiveConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.idle = append(p.idle, conn)
}

// discard drops a connection that was closed. It must not be reused, since its transport may not have noticed yet and
// would send the next attempt on the closed connection.
func (p *connPool) discard(conn *exclusiveConn) {
	conn.transport.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
}

// close closes the idle connections.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.transport.CloseIdleConnections()
	}
	p.idle = nil
}
