package peer

import (
	"context"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"waxwing.example/croft/links"
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends messages to other entries over one cached connection for each address.
type Client struct {
	key   []byte
	dial  Dial
	meter *links.Meter
	// mu guards conns, whose keys are addresses.
	mu    sync.Mutex
	conns map[string]*cachedConn
}

// cachedConn is the connection to one address, nil before the first dial; its mutex prevents concurrent dials.
type cachedConn struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewClient returns a client that proves on each new connection that it holds the key.
func NewClient(key []byte, dial Dial, meter *links.Meter) *Client {
	return &Client{key: key, dial: dial, meter: meter, conns: map[string]*cachedConn{}}
}

// Call sends a request and decodes its result. Every error is an *UnreachableError.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		if ctx.Err() != nil {
			// The peer may be partitioned or may have died without closing the connection. The next message then
			// dials a new connection rather than waiting for TCP retransmissions on this one.
			_ = conn.Close()
		}
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}

// Notify sends a notification, which has no response. Every error is an *UnreachableError.
func (c *Client) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, cached := range c.conns {
		cached.mu.Lock()
		if cached.conn != nil {
			_ = cached.conn.Close()
		}
		cached.mu.Unlock()
		delete(c.conns, address)
	}
}

// conn returns the cached connection to an address, or opens a new one if there is none or it is closed.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	cached, found := c.conns[address]
	if !found {
		cached = &cachedConn{}
		c.conns[address] = cached
	}
	c.mu.Unlock()
	cached.mu.Lock()
	defer cached.mu.Unlock()
	if cached.isConnected() {
		return cached.conn, nil
	}
	conn, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	cached.conn = conn
	return conn, nil
}

func (c *cachedConn) isConnected() bool {
	if c.conn == nil {
		return false
	}
	select {
	case <-c.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// open dials an address and exchanges proofs of the key.
func (c *Client) open(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	netConn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	metered := c.meter.Count(netConn)
	if err := exchangeProofs(metered, c.key, dialer); err != nil {
		netConn.Close()
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(metered, &limitedCodec{conn: metered, maxBytes: maxResponseBytes})
	// The connection outlives the call that opened it, and so must not end with its context.
	return jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, ignoreRequests{}, withoutLog()), nil
}

// ignoreRequests ignores requests from the server's side of a connection, since only clients send requests.
type ignoreRequests struct{}

// Handle does nothing.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
