package sent

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Track follows the connections that an http.Transport, whose dial function comes from Wrap, uses for one exchange.
type Track struct {
	mu    sync.Mutex
	conns []*trackedConn
	// untracked is set if a connection was not dialled by a function of Wrap. The request then counts as written.
	untracked bool
	// sealed is set once Seal has decided the outcome of the exchange.
	sealed bool
}

// NewTrack returns a track and the context that the request of its exchange must use.
func NewTrack(ctx context.Context) (context.Context, *Track) {
	t := &Track{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

// gotConn adds a connection to the exchange, or seals it if the request was written on an earlier one or the exchange
// is sealed.
func (t *Track) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		t.untracked = true
		return
	}
	// The transport may not have noticed yet that an earlier exchange sealed and closed this connection.
	if !c.reopen() {
		return
	}
	// The transport retries some requests by itself; a request of which a write has begun is never sent again.
	if t.sealed || t.written() {
		c.seal()
		return
	}
	t.conns = append(t.conns, c)
}

// written reports whether a write has begun on any tracked connection.
func (t *Track) written() bool {
	for _, c := range t.conns {
		if c.state.Load() == stateWritten {
			return true
		}
	}
	return false
}

// Seal ends the exchange, closes its connections and reports whether any byte of the request can have been written.
func (t *Track) Seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sealed = true
	written := t.untracked
	for _, c := range t.conns {
		if c.seal() {
			written = true
		}
	}
	return written
}
