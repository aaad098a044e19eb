package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"waxwing.example/croft/track"
)

// controlTimeout limits one request to an executor.
const controlTimeout = 2 * time.Second

// controlClient sends the platform's control requests to the executors on its VMs.
type controlClient struct{ httpClient *http.Client }

func newControlClient(dial track.Dial) *controlClient {
	return &controlClient{httpClient: &http.Client{
		Transport: &http.Transport{DialContext: dial},
		Timeout:   controlTimeout,
	}}
}

func (c *controlClient) close() { c.httpClient.CloseIdleConnections() }

// setLeaving makes an executor refuse further attempts, or accept them again.
func (c *controlClient) setLeaving(ctx context.Context, address string, leave bool) error {
	return c.send(ctx, http.MethodPost, address, "/behave", leaveRequest{Leave: leave}, nil)
}

// leaveRequest is the part of Behaviour that the platform sets.
type leaveRequest struct{ Leave bool }

// status returns an executor's status.
func (c *controlClient) status(ctx context.Context, address string) (Status, error) {
	var s Status
	err := c.send(ctx, http.MethodGet, address, "/status", nil, &s)
	return s, err
}

// restart makes an executor start a boot with the given number.
func (c *controlClient) restart(ctx context.Context, address string, boot uint64) error {
	return c.send(ctx, http.MethodPost, address, "/restart", Restart{Boot: boot}, nil)
}

// send sends a request with a JSON body and decodes the response into result, unless that is nil.
func (c *controlClient) send(ctx context.Context, method, address, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("fakes: encoding a control request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("fakes: creating a control request: %w", err)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("fakes: sending a control request: %w", err)
	}
	defer response.Body.Close()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxRequest))
	if err != nil {
		return fmt.Errorf("fakes: reading a control response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("fakes: executor at %s responded to %s %s with status %d", address, method, path, response.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(received, result)
}
