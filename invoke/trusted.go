package invoke

import (
	"context"
	"errors"
	"net/http"

	"waxwing.example/croft"
)

// TrustingClient is the baseline that Client is compared with: it accepts any response as the reply without verification, and
// reports every failure as not run.
type TrustingClient struct {
	client       *http.Client
	transport    *http.Transport
	maxBodyBytes int64
}

var _ croft.Executor = (*TrustingClient)(nil)

// NewTrustingClient returns a baseline client without connections.
func NewTrustingClient(o Options) *TrustingClient {
	o = o.withDefaults()
	t := &http.Transport{
		DialContext:            o.Dial,
		MaxConnsPerHost:        o.MaxConnsPerEndpoint,
		MaxIdleConnsPerHost:    o.MaxConnsPerEndpoint,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout.Duration(),
	}
	return &TrustingClient{client: &http.Client{Transport: t}, transport: t, maxBodyBytes: o.MaxBodyBytes}
}

// Close closes the idle connections to all endpoints.
func (t *TrustingClient) Close() { t.transport.CloseIdleConnections() }

// Run sends an attempt and returns whatever response arrives, or a *croft.RefusedError for any failure.
func (t *TrustingClient) Run(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (croft.Reply, error) {
	reply, err := t.exchange(ctx, endpoint, attempt)
	if err == nil {
		return reply, nil
	}
	var refused *croft.RefusedError
	if errors.As(err, &refused) {
		return croft.Reply{}, refused
	}
	return croft.Reply{}, &croft.RefusedError{Reason: err.Error()}
}

// exchange sends the request on a shared connection and reads the response.
func (t *TrustingClient) exchange(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (croft.Reply, error) {
	request, err := newRequest(ctx, endpoint, attempt)
	if err != nil {
		return croft.Reply{}, err
	}
	response, err := t.client.Do(request)
	if err != nil {
		return croft.Reply{}, err
	}
	defer response.Body.Close()
	leaving := response.Header.Get(HeaderLeaving) == LeavingTrue
	if response.Header.Get(HeaderOutcome) == OutcomeNotRun {
		return croft.Reply{}, newRefusal(response.Header, leaving)
	}
	body, err := readBounded(ctx, response, t.maxBodyBytes, attempt)
	if err != nil {
		return croft.Reply{}, err
	}
	return croft.Reply{Status: response.StatusCode, Header: response.Header, Body: body, Leaving: leaving}, nil
}
