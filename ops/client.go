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

// maxResponseBytes is the size at which the client truncates a response.
const maxResponseBytes = 16 << 20

// Client calls the operators' API of one entry; its errors are those of this package.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// NewClient returns a client of the entry at an IP address and port; the timeout bounds each call.
func NewClient(address, token string, timeout croft.Millis) *Client {
	return &Client{
		address: address,
		token:   token,
		http:    &http.Client{Timeout: timeout.Duration(), Transport: &http.Transport{}},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Status returns the state of the entry itself.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, "/v1/status")
}

// Config returns the configuration in force on the entry.
func (c *Client) Config(ctx context.Context) (croft.Config, error) {
	return get[croft.Config](ctx, c, "/v1/config")
}

// Pools returns the state of each pool.
func (c *Client) Pools(ctx context.Context) ([]PoolLine, error) {
	return get[[]PoolLine](ctx, c, "/v1/pools")
}

// VMs returns the state of each VM.
func (c *Client) VMs(ctx context.Context) ([]VMLine, error) { return get[[]VMLine](ctx, c, "/v1/vms") }

// Jobs returns the state of each job.
func (c *Client) Jobs(ctx context.Context) ([]JobLine, error) {
	return get[[]JobLine](ctx, c, "/v1/jobs")
}

// Vars returns the metrics of the entry's process by name; those of the entry itself are under VarsEntry.
func (c *Client) Vars(ctx context.Context) (map[string]json.RawMessage, error) {
	return get[map[string]json.RawMessage](ctx, c, "/debug/vars")
}

// Accept puts a configuration in force and returns its version. If the reviewed version is no longer in force, it
// returns a *RaceError.
func (c *Client) Accept(ctx context.Context, acceptance Acceptance) (Accepted, error) {
	var accepted Accepted
	err := c.do(ctx, http.MethodPost, "/v1/config", acceptance, &accepted)
	return accepted, err
}

// Move requests that a VM be moved to another pool.
func (c *Client) Move(ctx context.Context, vm croft.VMID, to croft.PoolID) error {
	return c.commandVM(ctx, vm, "move", Move{To: to})
}

// Drain requests that a VM be drained and kept out of service until Resume.
func (c *Client) Drain(ctx context.Context, vm croft.VMID) error {
	return c.commandVM(ctx, vm, "drain", nil)
}

// Resume requests that a drained VM be returned to service.
func (c *Client) Resume(ctx context.Context, vm croft.VMID) error {
	return c.commandVM(ctx, vm, "resume", nil)
}

// Maintain requests that a VM be drained, rebooted and returned to service.
func (c *Client) Maintain(ctx context.Context, vm croft.VMID) error {
	return c.commandVM(ctx, vm, "maintain", nil)
}

// commandVM posts a command about one VM.
func (c *Client) commandVM(ctx context.Context, vm croft.VMID, verb string, body any) error {
	return c.do(ctx, http.MethodPost, "/v1/vms/"+url.PathEscape(string(vm))+"/"+verb, body, nil)
}

// Submit submits a job for placement.
func (c *Client) Submit(ctx context.Context, job NewJob) error {
	return c.do(ctx, http.MethodPost, "/v1/jobs", job, nil)
}

// Cancel cancels jobs.
func (c *Client) Cancel(ctx context.Context, ids []croft.JobID) error {
	return c.do(ctx, http.MethodPost, "/v1/jobs/cancel", Cancellation{IDs: ids}, nil)
}

// Cut drops the entry's traffic to and from IP prefixes until Heal, to simulate a network partition.
func (c *Client) Cut(ctx context.Context, prefixes []string) error {
	return c.do(ctx, http.MethodPost, "/v1/faults/cut", Cut{Prefixes: prefixes}, nil)
}

// Heal ends all partitions made by Cut.
func (c *Client) Heal(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/faults/heal", nil, nil)
}

// get sends a GET request and decodes the response.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var result T
	err := c.do(ctx, http.MethodGet, path, nil, &result)
	return result, err
}

// do sends a request with a JSON body, if it has one, and decodes the response into result, unless that is nil.
// It converts a problem in the response to an error of this package.
func (c *Client) do(ctx context.Context, method, path string, body, result any) error {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.callError(method, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return c.callError(method, err)
	}
	if response.StatusCode < 300 {
		return c.decode(method, content, result)
	}
	var p Problem
	if err := json.Unmarshal(content, &p); err != nil || p.Status != response.StatusCode {
		return c.callError(method, errors.New("not an entry's answer: "+response.Status))
	}
	return toError(p)
}

// request builds a request with the token and a JSON body, which is empty if body is nil.
func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return nil, &InvalidError{Problems: []string{err.Error()}}
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(content))
	if err != nil {
		return nil, &UnreachableError{Address: c.address, Reason: err.Error()}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// decode decodes a response into result, unless that is nil.
func (c *Client) decode(method string, content []byte, result any) error {
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(content, result); err != nil {
		return c.callError(method, err)
	}
	return nil
}

// callError returns the error of a call without a valid response. If the call was a read, or if no connection was
// established, nothing was done; otherwise the outcome is unknown.
func (c *Client) callError(method string, err error) error {
	var netErr *net.OpError
	if method == http.MethodGet || (errors.As(err, &netErr) && netErr.Op == "dial") {
		return &UnreachableError{Address: c.address, Reason: err.Error()}
	}
	return &UnknownError{Reason: err.Error()}
}
