package front

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/inflow"
	"waxwing.example/croft/serve"
)

// startLimited starts a server of the bench's front behind a gate; it returns the address.
func startLimited(t *testing.T, b *testBench, limits inflow.Limits) string {
	t.Helper()
	gate := inflow.NewGate(inflow.Options{Limits: limits, Clock: clock.NewSystem(), Log: b, Count: func(inflow.Reason) {}})
	b.front.Gate = gate
	b.front.Limits.BodyTimeout = 200
	l, err := inflow.Listen("127.0.0.1:0", limits)
	assert.NilError(t, err)
	s := serve.New(b.front.Handler(), serve.HeaderLimits{Bytes: 4096, Timeout: croft.Second, Idle: croft.Second})
	go func() { _ = s.Serve(gate.Wrap(l)) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// sendPart sends a request on a connection of its own, with a part of its body, and returns the status of the response, its problem,
// and whether it announces that the connection is closed.
func sendPart(t *testing.T, address, headers, body string, length int) (status int, problem Problem, closes bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /v1/lens/read HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", headers, length, body)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if resp.StatusCode != http.StatusOK {
		assert.NilError(t, json.Unmarshal(raw, &problem))
	}
	return resp.StatusCode, problem, resp.Close
}

var limitsOfTest = inflow.Limits{Connections: 10, ReceivedBytes: 1 << 20, ProcessedBytes: 40, ResponseBytes: 1 << 20}

// Guards against a body that is held back for ever.
func TestBodyTimeout(t *testing.T) {
	address := startLimited(t, newSystemBench(t), limitsOfTest)
	status, problem, closes := sendPart(t, address, "", "part", 10)
	assert.Equal(t, status, http.StatusRequestTimeout)
	assert.Assert(t, closes)
	assert.Equal(t, problem.Outcome, croft.OutcomeNotRun)
	_, problem, _ = sendPart(t, address, HeaderKey+": k\r\n", "part", 10)
	assert.Equal(t, problem.Outcome, croft.OutcomeUnknown, "an earlier request with the key may have run")
	status, _, _ = sendPart(t, address, "", "whole", 5)
	assert.Equal(t, status, http.StatusOK)
}

// Guards against requests for which there is no memory before their deadline, and that were sent all the same or not answered.
func TestRequestWithoutMemoryIsNotRun(t *testing.T) {
	b := newSystemBench(t)
	address := startLimited(t, b, limitsOfTest)
	release, err := b.front.Gate.Process(context.Background(), nil, limitsOfTest.ProcessedBytes)
	assert.NilError(t, err)
	status, problem, _ := sendPart(t, address, HeaderTimeout+": 100\r\n", "whole", 5)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, problem.Outcome, croft.OutcomeNotRun)
	assert.Equal(t, problem.RetryAfter, droppedRetryAfter)
	assert.Equal(t, len(b.attempts), 0)
	release()
	status, _, _ = sendPart(t, address, "", "whole", 5)
	assert.Equal(t, status, http.StatusOK)
}
