package peer

import (
	"context"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"waxwing.example/croft/links"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends messages to other entries, over one connection for each address.
type Client struct {
	key   []byte
	dial  Dial
	meter *links.Meter
	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address; its lock keeps dials from racing.
type link struct {
	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// NewClient returns a client that proves the key on each connection it opens.
func NewClient(key []byte, dial Dial, meter *links.Meter) *Client {
	return &Client{key: key, dial: dial, meter: meter, links: map[string]*link{}}
}

// Call sends a message and reads its result, or returns *UnreachableError.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	if err := conn.Call(ctx, method, params, result); err != nil {
		if ctx.Err() != nil {
			// The other end may be cut off or gone without a word; the next message tries a new connection,
			// rather than wait until TCP sends again on this one.
			_ = conn.Close()
		}
		return &UnreachableError{Address: address, Cause: err}
	}
	return nil
}

// Notify sends a message that has no reply, or returns *UnreachableError.
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

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, l := range c.links {
		l.mu.Lock()
		if l.conn != nil {
			_ = l.conn.Close()
		}
		l.mu.Unlock()
		delete(c.links, a)
	}
}

func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	l, found := c.links[address]
	if !found {
		l = &link{}
		c.links[address] = l
	}
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alive() {
		return l.conn, nil
	}
	conn, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	l.conn = conn
	return conn, nil
}

func (l *link) alive() bool {
	if l.conn == nil {
		return false
	}
	select {
	case <-l.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

func (c *Client) open(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := c.meter.Count(raw)
	if err := proveKey(counted, c.key, dialer); err != nil {
		raw.Close()
		return nil, err
	}
	stream := jsonrpc2.NewBufferedStream(counted, jsonrpc2.VarintObjectCodec{})
	// The connection outlives the call that opened it.
	return jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, refuse{}, quiet()), nil
}

// refuse drops requests that come the wrong way.
type refuse struct{}

// Handle ignores the request.
func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
