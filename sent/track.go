package sent

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Track follows the connections that one exchange is given by an http.Transport with a dial function of Wrap.
type Track struct {
	mu    sync.Mutex
	conns []*conn
	// blind is set where a connection was not made by Wrap.
	blind bool
	over  bool
}

// NewTrack returns a track and the context that its exchange must run under.
func NewTrack(ctx context.Context) (context.Context, *Track) {
	t := &Track{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

// gotConn opens a connection for the exchange, unless it was sent on an earlier one or is over.
func (t *Track) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.blind = true
		return
	}
	// A transport may not have noticed yet that a connection was closed with an earlier exchange.
	if !c.reopen() {
		return
	}
	// The transport repeats some requests by itself; a request that was sent once is never sent again.
	if t.over || t.dirty() {
		c.seal()
		return
	}
	t.conns = append(t.conns, c)
}

func (t *Track) dirty() bool {
	for _, c := range t.conns {
		if c.state.Load() == stateDirty {
			return true
		}
	}
	return false
}

// Seal ends the exchange, closes its connections and reports whether any byte can have been written.
func (t *Track) Seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	written := t.blind
	for _, c := range t.conns {
		if c.seal() {
			written = true
		}
	}
	return written
}
