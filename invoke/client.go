package invoke

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"waxwing.example/croft"
	"waxwing.example/croft/track"
)

const (
	// DefaultMaxConns is the default of Options.MaxConnsPerEndpoint; connections of other clients do not count.
	DefaultMaxConns = 60
	// DefaultMaxBodyBytes is the default of Options.MaxBodyBytes.
	DefaultMaxBodyBytes = 8 << 20
	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
	// dialTimeout bounds the opening of a connection.
	dialTimeout = croft.Second
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 90 * croft.Second
)

// Options configures a Client or a Trusted client.
type Options struct {
	// Dial opens connections; nil selects net.Dialer.
	Dial track.Dial
	// MaxConnsPerEndpoint is the maximum number of connections to one executor; zero selects DefaultMaxConns.
	MaxConnsPerEndpoint int
	// MaxBodyBytes is the maximum size of a response body in bytes; zero selects DefaultMaxBodyBytes.
	MaxBodyBytes int64
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.MaxConnsPerEndpoint == 0 {
		o.MaxConnsPerEndpoint = DefaultMaxConns
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return o
}

// Client runs attempts over HTTP and returns only replies that it has verified. It never sends an attempt twice.
type Client struct {
	dial         track.Dial
	maxConns     int
	maxBodyBytes int64

	mu sync.Mutex
	// pools holds the connections by endpoint address.
	pools map[string]*connPool
}

var _ croft.Executor = (*Client)(nil)

// New returns a client without connections.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		dial:         track.Wrap(o.Dial, dialTimeout),
		maxConns:     o.MaxConnsPerEndpoint,
		maxBodyBytes: o.MaxBodyBytes,
		pools:        map[string]*connPool{},
	}
}

// Close closes the idle connections to all endpoints.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
}

// Retain drops the endpoints whose addresses are not in the set, and closes their idle connections.
func (c *Client) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !addresses[address] {
			p.close()
			delete(c.pools, address)
		}
	}
}

// pool returns the connections to an endpoint.
func (c *Client) pool(address string) *connPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &connPool{}
		c.pools[address] = p
	}
	return p
}

// Run sends an attempt at most once. It returns the complete reply, a *croft.RefusedError if the attempt certainly did
// not run, or a *croft.UnknownOutcomeError if it may have run; the context bounds the time.
func (c *Client) Run(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (croft.Reply, error) {
	pool := c.pool(endpoint.Address)
	conn := pool.acquire(c.dial, c.maxConns)
	if conn == nil {
		return croft.Reply{}, &croft.RefusedError{Reason: "no free connection", Busy: true}
	}
	reply, keep, err := c.attempt(ctx, conn, endpoint, attempt)
	if keep {
		pool.release(conn)
	} else {
		pool.discard(conn)
	}
	return reply, err
}

// attempt makes the attempt on a connection and reports whether the connection can be used again.
func (c *Client) attempt(
	ctx context.Context, conn *exclusiveConn, endpoint croft.Endpoint, attempt croft.Attempt,
) (croft.Reply, bool, error) {
	ctx, exchange := track.NewExchange(ctx)
	request, err := newRequest(ctx, endpoint, attempt)
	if err != nil {
		return croft.Reply{}, true, &croft.RefusedError{Reason: err.Error()}
	}
	reply, err := c.exchange(conn, request, attempt)
	if err == nil {
		return reply, true, nil
	}
	var refused *croft.RefusedError
	if errors.As(err, &refused) && !errors.Is(err, errRefusalBody) {
		return croft.Reply{}, true, refused
	}
	// Sealing prevents that a byte of the request is written after the outcome was decided.
	written := exchange.Seal()
	if refused != nil {
		return croft.Reply{}, false, refused
	}
	if !written {
		return croft.Reply{}, false, &croft.RefusedError{Reason: err.Error()}
	}
	return croft.Reply{}, false, &croft.UnknownOutcomeError{Reason: err.Error()}
}

// opaqueReader hides the type of a body, since the transport of net/http retries requests whose body it can rewind.
type opaqueReader struct{ io.Reader }

func newRequest(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (*http.Request, error) {
	r := attempt.Request
	address := "http://" + endpoint.Address + Path(r.Class)
	body := opaqueReader{bytes.NewReader(r.Body)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, body)
	if err != nil {
		return nil, fmt.Errorf("making a request: %w", err)
	}
	request.ContentLength = int64(len(r.Body))
	request.Header.Set(HeaderAttempt, attempt.ID)
	request.Header.Set(HeaderKey, r.Key)
	request.Header.Set(HeaderDeadline, strconv.FormatInt(int64(r.Deadline), 10))
	if endpoint.Boot > 0 {
		request.Header.Set(HeaderBoot, strconv.FormatUint(endpoint.Boot, 10))
	}
	if r.ContentType != "" {
		request.Header.Set("Content-Type", r.ContentType)
	}
	return request, nil
}

// exchange sends the request on a connection and reads the verified reply.
func (c *Client) exchange(conn *exclusiveConn, request *http.Request, attempt croft.Attempt) (croft.Reply, error) {
	response, err := conn.transport.RoundTrip(request)
	if err != nil {
		return croft.Reply{}, err
	}
	defer response.Body.Close()
	return c.readReply(request.Context(), response, attempt)
}
