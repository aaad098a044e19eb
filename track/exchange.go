package track

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Exchange tracks one request with its response: it follows the connections that an http.Transport, whose dial function
// comes from Wrap, uses for it.
type Exchange struct {
	mu    sync.Mutex
	conns []*trackedConn
	// untracked is set if a connection was not dialled by a function of Wrap. The request then counts as written.
	untracked bool
	// sealed is set once Seal has decided the outcome of the exchange.
	sealed bool
}

// NewExchange returns an exchange and the context that its request must use.
func NewExchange(ctx context.Context) (context.Context, *Exchange) {
	x := &Exchange{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn}), x
}

// gotConn adds a connection to the exchange, or seals it if the request was written on an earlier one or the exchange
// is sealed.
func (x *Exchange) gotConn(info httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		x.untracked = true
		return
	}
	// The transport may not have noticed yet that an earlier exchange sealed and closed this connection.
	if !c.reopen() {
		return
	}
	// The transport retries some requests by itself; a request of which a write has begun is never sent again.
	if x.sealed || x.written() {
		c.seal()
		return
	}
	x.conns = append(x.conns, c)
}

// written reports whether a write has begun on any tracked connection.
func (x *Exchange) written() bool {
	for _, c := range x.conns {
		if c.state.Load() == stateWritten {
			return true
		}
	}
	return false
}

// Seal ends the exchange, closes its connections and reports whether any byte of the request can have been written.
func (x *Exchange) Seal() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	written := x.untracked
	for _, c := range x.conns {
		if c.seal() {
			written = true
		}
	}
	return written
}
