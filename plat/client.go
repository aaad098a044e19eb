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
	"waxwing.example/croft/track"
)

// Defaults and bounds of a Client.
const (
	// DefaultTimeout bounds one request and its response.
	DefaultTimeout = 5 * croft.Second
	// MaxBodyBytes bounds a response body, in bytes.
	MaxBodyBytes = 32 << 20
	// MaxConns bounds the number of connections to the platform.
	MaxConns = 32
	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
)

// Options configures a Client.
type Options struct {
	// Address is the platform's http URL.
	Address string
	// Dial opens connections; nil means net.Dialer.
	Dial track.Dial
	// Timeout bounds one request and its response; zero means DefaultTimeout.
	Timeout croft.Millis
}

// Client calls the platform over HTTP; it implements croft.Platform.
type Client struct {
	baseURL   string
	timeout   croft.Millis
	transport *http.Transport
}

var _ croft.Platform = (*Client)(nil)

// New returns a client of the platform at Options.Address.
func New(o Options) *Client {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{
		baseURL: strings.TrimSuffix(o.Address, "/"),
		timeout: o.Timeout,
		transport: &http.Transport{
			DialContext:            track.Wrap(o.Dial, o.Timeout),
			MaxConnsPerHost:        MaxConns,
			MaxIdleConnsPerHost:    MaxConns,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// request is one HTTP request to the platform.
type request struct {
	Method string
	Path   string
	Query  url.Values
	Body   []byte
}

// response is a complete HTTP response of the platform.
type response struct {
	Status int
	Header http.Header
	Body   []byte
}

// do sends the request once and returns the complete response. It returns *croft.UnavailableError if no byte
// was sent, and *croft.LostAnswerError if the platform may have acted.
func (c *Client) do(ctx context.Context, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	ctx, exchange := track.NewExchange(ctx)
	httpReq, err := c.newRequest(ctx, req)
	if err != nil {
		return response{}, &croft.UnavailableError{Reason: err.Error()}
	}
	resp, err := c.roundTrip(httpReq)
	if err == nil {
		return resp, nil
	}
	if exchange.Seal() {
		return response{}, &croft.LostAnswerError{Reason: err.Error()}
	}
	return response{}, &croft.UnavailableError{Reason: err.Error()}
}

// newRequest builds the HTTP request.
func (c *Client) newRequest(ctx context.Context, req request) (*http.Request, error) {
	address := c.baseURL + req.Path
	if len(req.Query) > 0 {
		address += "?" + req.Query.Encode()
	}
	// The transport retries a request only if it can rewind the body, which it cannot do with this type.
	body := io.NopCloser(bytes.NewReader(req.Body))
	httpReq, err := http.NewRequestWithContext(ctx, req.Method, address, body)
	if err != nil {
		return nil, fmt.Errorf("making a request: %w", err)
	}
	httpReq.ContentLength = int64(len(req.Body))
	httpReq.Header.Set("Content-Type", "application/json")
	return httpReq, nil
}

// roundTrip sends the HTTP request and reads the whole response, up to MaxBodyBytes.
func (c *Client) roundTrip(httpReq *http.Request) (response, error) {
	resp, err := c.transport.RoundTrip(httpReq)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return response{}, fmt.Errorf("reading an answer: %w", err)
	}
	if len(body) > MaxBodyBytes {
		return response{}, fmt.Errorf("answer is longer than %d bytes", MaxBodyBytes)
	}
	return response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// statusError converts a response other than 200 into an error by its status and outcome header.
func (r response) statusError() error {
	var problem Problem
	reason := http.StatusText(r.Status)
	if json.Unmarshal(r.Body, &problem) == nil && problem.Detail != "" {
		reason = problem.Detail
	}
	if r.Status == http.StatusServiceUnavailable && r.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return &croft.UnavailableError{Reason: reason}
	}
	if r.Status >= 400 && r.Status < 500 {
		return &RejectedError{Status: r.Status, Reason: reason}
	}
	return &croft.LostAnswerError{Reason: fmt.Sprintf("status %d: %s", r.Status, reason)}
}

// call sends in as JSON, unless it is nil, and decodes a 200 response into out, unless it is nil.
func (c *Client) call(ctx context.Context, req request, in, out any) error {
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return &croft.UnavailableError{Reason: err.Error()}
		}
		req.Body = body
	}
	resp, err := c.do(ctx, req)
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK {
		return resp.toError()
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return &croft.LostAnswerError{Reason: "answer is not what was asked for: " + err.Error()}
	}
	return nil
}

// toError converts a response other than 200 into an error; a 409 with rows becomes *croft.ConflictError.
func (r response) toError() error {
	var conflict ConflictAnswer
	isConflict := r.Status == http.StatusConflict && json.Unmarshal(r.Body, &conflict) == nil
	if isConflict && len(conflict.Rows) > 0 {
		return &croft.ConflictError{Rows: conflict.Rows}
	}
	return r.statusError()
}

// isNotFound reports whether the platform responded with 404.
func isNotFound(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected) && rejected.Status == http.StatusNotFound
}
