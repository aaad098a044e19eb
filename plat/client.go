package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/sent"
)

// Defaults and bounds of a Client.
const (
	// DefaultTimeout bounds one exchange, in milliseconds.
	DefaultTimeout = 5 * croft.Second
	// MaxBody bounds an answer, in bytes.
	MaxBody = 32 << 20
	// MaxConns bounds the connections to the platform.
	MaxConns = 32
	// maxHeader bounds an answer's headers, in bytes.
	maxHeader = 64 << 10
)

// Options set up a Client.
type Options struct {
	// Address is the platform's http URL.
	Address string
	// Dial opens connections, net.Dialer's way where nil.
	Dial sent.Dial
	// Timeout bounds one exchange in milliseconds, DefaultTimeout where zero.
	Timeout croft.Millis
}

// Client is the platform over HTTP.
type Client struct {
	base      string
	timeout   croft.Millis
	transport *http.Transport
}

var _ croft.Platform = (*Client)(nil)

// New returns a client of the platform at an address.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{
		base:    strings.TrimSuffix(o.Address, "/"),
		timeout: o.Timeout,
		transport: &http.Transport{
			DialContext:            sent.Wrap(o.Dial, o.Timeout),
			MaxConnsPerHost:        MaxConns,
			MaxIdleConnsPerHost:    MaxConns,
			MaxResponseHeaderBytes: maxHeader,
			DisableCompression:     true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// exchange is one request to the platform.
type exchange struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
}

// answer is a whole answer of the platform.
type answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// do sends the request once and returns the whole answer, *croft.UnavailableError where no byte
// was sent, or *croft.LostAnswerError.
func (c *Client) do(ctx context.Context, x exchange) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	ctx, track := sent.NewTrack(ctx)
	request, err := c.request(ctx, x)
	if err != nil {
		return answer{}, &croft.UnavailableError{Reason: err.Error()}
	}
	a, err := c.roundTrip(request)
	if err == nil {
		return a, nil
	}
	if track.Seal() {
		return answer{}, &croft.LostAnswerError{Reason: err.Error()}
	}
	return answer{}, &croft.UnavailableError{Reason: err.Error()}
}

func (c *Client) request(ctx context.Context, x exchange) (*http.Request, error) {
	address := c.base + x.Path
	if len(x.Query) > 0 {
		address += "?" + x.Query.Encode()
	}
	// A body of an unknown type keeps the transport from repeating the request by itself.
	body := io.NopCloser(bytes.NewReader(x.Body))
	request, err := http.NewRequestWithContext(ctx, x.Method, address, body)
	if err != nil {
		return nil, fmt.Errorf("making a request: %w", err)
	}
	request.ContentLength = int64(len(x.Body))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (c *Client) roundTrip(request *http.Request) (answer, error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBody+1))
	if err != nil {
		return answer{}, fmt.Errorf("reading an answer: %w", err)
	}
	if len(body) > MaxBody {
		return answer{}, fmt.Errorf("answer is longer than %d bytes", MaxBody)
	}
	return answer{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// failure turns an answer other than 200 into an error.
func (a answer) failure() error {
	var problem Problem
	reason := http.StatusText(a.Status)
	if json.Unmarshal(a.Body, &problem) == nil && problem.Detail != "" {
		reason = problem.Detail
	}
	if a.Status == http.StatusServiceUnavailable && a.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return &croft.UnavailableError{Reason: reason}
	}
	if a.Status >= 400 && a.Status < 500 {
		return &RejectedError{Status: a.Status, Reason: reason}
	}
	return &croft.LostAnswerError{Reason: fmt.Sprintf("status %d: %s", a.Status, reason)}
}

// call sends a JSON body and decodes a 200 answer into out, which may be nil.
func (c *Client) call(ctx context.Context, x exchange, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &croft.UnavailableError{Reason: err.Error()}
		}
		x.Body = body
	}
	a, err := c.do(ctx, x)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return a.problem()
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body, out); err != nil {
		return &croft.LostAnswerError{Reason: "answer is not what was asked for: " + err.Error()}
	}
	return nil
}

// problem turns an answer other than 200 into an error, a conflict among them.
func (a answer) problem() error {
	var conflict ConflictAnswer
	isConflict := a.Status == http.StatusConflict && json.Unmarshal(a.Body, &conflict) == nil
	if isConflict && len(conflict.Rows) > 0 {
		return &croft.ConflictError{Rows: conflict.Rows}
	}
	return a.failure()
}

// notFound reports whether the platform said that the thing asked for is not there.
func notFound(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && rejected.Status == http.StatusNotFound
}
