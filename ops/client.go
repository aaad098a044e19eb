package ops

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"

	"waxwing.example/croft"
)

// answerBytes is the largest answer that the client reads, in bytes.
const answerBytes = 16 << 20

// Client speaks to one entry's operators' address; its errors are those of this package.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// NewClient returns a client of an IP number and port whose calls end after the timeout.
func NewClient(address, token string, timeout croft.Millis) *Client {
	return &Client{
		address: address,
		token:   token,
		http:    &http.Client{Timeout: timeout.Duration(), Transport: &http.Transport{}},
	}
}

// Close lets go of idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the entry's own state.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return read[Status](ctx, c, "/v1/status")
}

// Config returns the configuration in force on the entry.
func (c *Client) Config(ctx context.Context) (croft.Config, error) {
	return read[croft.Config](ctx, c, "/v1/config")
}

// Pools returns a line for each pool.
func (c *Client) Pools(ctx context.Context) ([]PoolLine, error) {
	return read[[]PoolLine](ctx, c, "/v1/pools")
}

// VMs returns a line for each VM.
func (c *Client) VMs(ctx context.Context) ([]VMLine, error) { return read[[]VMLine](ctx, c, "/v1/vms") }

// Jobs returns a line for each job.
func (c *Client) Jobs(ctx context.Context) ([]JobLine, error) {
	return read[[]JobLine](ctx, c, "/v1/jobs")
}

// Vars returns the metrics of the entry's process by name, the entry's own under VarsEntry.
func (c *Client) Vars(ctx context.Context) (map[string]json.RawMessage, error) {
	return read[map[string]json.RawMessage](ctx, c, "/debug/vars")
}

// Accept puts a configuration in force if the version reviewed still is, and returns the new version.
func (c *Client) Accept(ctx context.Context, acceptance Acceptance) (Accepted, error) {
	var accepted Accepted
	err := c.do(ctx, http.MethodPost, "/v1/config", acceptance, &accepted)
	return accepted, err
}

// Move has a VM moved to another pool.
func (c *Client) Move(ctx context.Context, vm croft.VMID, to croft.PoolID) error {
	return c.order(ctx, vm, "move", Move{To: to})
}

// Drain has a VM drained and held.
func (c *Client) Drain(ctx context.Context, vm croft.VMID) error {
	return c.order(ctx, vm, "drain", nil)
}

// Resume ends the hold of a VM.
func (c *Client) Resume(ctx context.Context, vm croft.VMID) error {
	return c.order(ctx, vm, "resume", nil)
}

// Maintain has a VM drained, rebooted and taken back.
func (c *Client) Maintain(ctx context.Context, vm croft.VMID) error {
	return c.order(ctx, vm, "maintain", nil)
}

func (c *Client) order(ctx context.Context, vm croft.VMID, verb string, body any) error {
	return c.do(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(string(vm))+"/"+verb, body, nil)
}

// Submit asks for a job to be placed.
func (c *Client) Submit(ctx context.Context, job NewJob) error {
	return c.do(ctx, http.MethodPost, "/v1/jobs", job, nil)
}

// Cancel ends jobs that are no longer wanted.
func (c *Client) Cancel(ctx context.Context, ids []croft.JobID) error {
	return c.do(ctx, http.MethodPost, "/v1/jobs/cancel", Cancellation{IDs: ids}, nil)
}

// Cut drops the entry's traffic to and from IP prefixes.
func (c *Client) Cut(ctx context.Context, prefixes []string) error {
	return c.do(ctx, http.MethodPost, "/v1/faults/cut", Cut{Prefixes: prefixes}, nil)
}

// Heal ends every cut.
func (c *Client) Heal(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/faults/heal", nil, nil)
}

func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	var answer T
	err := c.do(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

func (c *Client) do(ctx context.Context, method, path string, body, answer any) error {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.failed(method, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, answerBytes))
	if err != nil {
		return c.failed(method, err)
	}
	if response.StatusCode < 300 {
		return c.decode(method, text, answer)
	}
	var p Problem
	if err := json.Unmarshal(text, &p); err != nil || p.Status != response.StatusCode {
		return c.failed(method, errors.New("not an entry's answer: "+response.Status))
	}
	return errorOf(p)
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return nil, &InvalidError{Problems: []string{err.Error()}}
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(text))
	if err != nil {
		return nil, &UnreachableError{Address: c.address, Reason: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (c *Client) decode(method string, text []byte, answer any) error {
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return c.failed(method, err)
	}
	return nil
}

// failed tells a command that cannot have reached the entry from one whose answer was lost.
func (c *Client) failed(method string, err error) error {
	var operation *net.OpError
	if method == http.MethodGet || (errors.As(err, &operation) && operation.Op == "dial") {
		return &UnreachableError{Address: c.address, Reason: err.Error()}
	}
	return &UnknownError{Reason: err.Error()}
}
