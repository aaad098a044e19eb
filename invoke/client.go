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
	"waxwing.example/croft/sent"
)

const (
	// DefaultMaxConns is the most connections to an executor, over all entries.
	DefaultMaxConns = 60
	// DefaultMaxBody bounds an answer, in bytes.
	DefaultMaxBody = 8 << 20
	// maxHeader bounds an answer's headers, in bytes.
	maxHeader = 64 << 10
	// dialTimeout bounds the opening of a connection, in milliseconds.
	dialTimeout = croft.Second
	// idleTimeout closes connections that nobody used for so long, in milliseconds.
	idleTimeout = 90 * croft.Second
)

// Options set up a Client.
type Options struct {
	// Dial opens connections, net.Dialer's way where nil.
	Dial sent.Dial
	// MaxConnsPerEndpoint is the most connections to one executor, DefaultMaxConns where zero.
	MaxConnsPerEndpoint int
	// MaxBody bounds an answer in bytes, DefaultMaxBody where zero.
	MaxBody int64
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.MaxConnsPerEndpoint == 0 {
		o.MaxConnsPerEndpoint = DefaultMaxConns
	}
	if o.MaxBody == 0 {
		o.MaxBody = DefaultMaxBody
	}
	return o
}

// Client runs attempts over HTTP.
type Client struct {
	dial     sent.Dial
	maxConns int
	maxBody  int64

	mu        sync.Mutex
	endpoints map[string]*lanes
}

var _ croft.Executor = (*Client)(nil)

// New returns a client without connections.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{
		dial:      sent.Wrap(o.Dial, dialTimeout),
		maxConns:  o.MaxConnsPerEndpoint,
		maxBody:   o.MaxBody,
		endpoints: map[string]*lanes{},
	}
}

// Close closes the idle connections to all endpoints.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.endpoints {
		l.close()
	}
}

// Retain closes the idle connections to endpoints other than these addresses and forgets them.
func (c *Client) Retain(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.endpoints {
		if !addresses[address] {
			l.close()
			delete(c.endpoints, address)
		}
	}
}

func (c *Client) lanes(address string) *lanes {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.endpoints[address]
	if !ok {
		l = &lanes{}
		c.endpoints[address] = l
	}
	return l
}

// Run sends an attempt once and returns its whole reply, a *croft.RefusedError where it surely did
// not run, or a *croft.UnknownOutcomeError where it may have; the context bounds it.
func (c *Client) Run(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (croft.Reply, error) {
	all := c.lanes(endpoint.Address)
	l := all.take(c.dial, c.maxConns)
	if l == nil {
		return croft.Reply{}, &croft.RefusedError{Reason: "no free connection", Busy: true}
	}
	reply, keep, err := c.attempt(ctx, l, endpoint, attempt)
	if keep {
		all.give(l)
	} else {
		all.drop(l)
	}
	return reply, err
}

// attempt makes the attempt on a lane and reports whether the lane's connection is still to be trusted.
func (c *Client) attempt(
	ctx context.Context, l *lane, endpoint croft.Endpoint, attempt croft.Attempt,
) (croft.Reply, bool, error) {
	ctx, track := sent.NewTrack(ctx)
	request, err := newRequest(ctx, endpoint, attempt)
	if err != nil {
		return croft.Reply{}, true, &croft.RefusedError{Reason: err.Error()}
	}
	reply, err := c.exchange(l, request, attempt.ID)
	if err == nil {
		return reply, true, nil
	}
	var refused *croft.RefusedError
	if errors.As(err, &refused) && !errors.Is(err, errBody) {
		return croft.Reply{}, true, refused
	}
	// Sealing comes before judging: from here on no byte of the request can leave.
	written := track.Seal()
	if refused != nil {
		return croft.Reply{}, false, refused
	}
	if !written {
		return croft.Reply{}, false, &croft.RefusedError{Reason: err.Error()}
	}
	return croft.Reply{}, false, &croft.UnknownOutcomeError{Reason: err.Error()}
}

// bodyReader hides the body's type, since the transport repeats requests whose body it can rewind.
type bodyReader struct{ io.Reader }

func newRequest(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (*http.Request, error) {
	r := attempt.Request
	address := "http://" + endpoint.Address + Path(r.Class)
	body := bodyReader{bytes.NewReader(r.Body)}
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

func (c *Client) exchange(l *lane, request *http.Request, id string) (croft.Reply, error) {
	response, err := l.transport.RoundTrip(request)
	if err != nil {
		return croft.Reply{}, err
	}
	defer response.Body.Close()
	return c.read(response, id)
}
