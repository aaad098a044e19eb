package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"waxwing.example/croft/sent"
)

// controlTimeout bounds one exchange with an executor.
const controlTimeout = 2 * time.Second

// control is the platform's way to the executors on its VMs.
type control struct{ client *http.Client }

func newControl(dial sent.Dial) *control {
	return &control{client: &http.Client{
		Transport: &http.Transport{DialContext: dial},
		Timeout:   controlTimeout,
	}}
}

func (c *control) close() { c.client.CloseIdleConnections() }

// leave tells an executor to take no further work, or to take it again.
func (c *control) leave(ctx context.Context, address string, leave bool) error {
	return c.call(ctx, http.MethodPost, address, "/behave", leaveOrder{Leave: leave}, nil)
}

// leaveOrder is the part of Behaviour that the platform orders.
type leaveOrder struct{ Leave bool }

// status asks an executor what it runs.
func (c *control) status(ctx context.Context, address string) (Status, error) {
	var s Status
	err := c.call(ctx, http.MethodGet, address, "/status", nil, &s)
	return s, err
}

// restart has an executor begin a boot.
func (c *control) restart(ctx context.Context, address string, boot uint64) error {
	return c.call(ctx, http.MethodPost, address, "/restart", Restart{Boot: boot}, nil)
}

func (c *control) call(ctx context.Context, method, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("encoding an order: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("making an order: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("ordering: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxRequest))
	if err != nil {
		return fmt.Errorf("reading an answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("executor answered with status %d", response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}
