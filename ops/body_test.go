package ops

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/inflow"
	"waxwing.example/croft/setup"
)

type discardLog struct{}

func (discardLog) Log(croft.Decision) {}

// Guards against bodies that take more memory than the gate counts for them.
func TestProcessedFactor(t *testing.T) {
	for name, body := range map[string]string{
		"services": `{"Config": {"Services": [` + strings.Repeat(`{},`, 13_000) + `{}]}}`,
		"kinds":    `{"Config": {"Services": [{"Kinds": [` + strings.Repeat(`{"A":1},`, 9_000) + `{}]}]}}`,
		"names":    `{"IDs": [` + strings.Repeat(`"a",`, 30_000) + `"a"]}`,
		"mistyped": `{"IDs": [` + strings.Repeat(`1,`, 30_000) + `1]}`,
		"lists":    `{"IDs": [` + strings.Repeat(`[],`, 15_000) + `[]]}`,
		"unknown":  `{` + strings.Repeat(`"a":1,`, 15_000) + `"a":1}`,
		"spaces":   `{"IDs": ["a"]` + strings.Repeat(" ", 100_000) + `}`,
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var target any = &Cancellation{}
		if strings.Contains(body, "Config") {
			target = &Acceptance{}
		}
		err := setup.Decode("body", []byte(body), target)
		runtime.ReadMemStats(&after)
		factor := (after.TotalAlloc - before.TotalAlloc) / uint64(len(body))
		t.Logf("%s: %d bytes for a byte, error %t", name, factor, err != nil)
		assert.Check(t, factor <= processedFactor, name)
	}
}

// Guards against requests that wait for ever, or were carried out, although there was no memory for them.
func TestRequestWithoutMemoryIsNotDone(t *testing.T) {
	limits := inflow.Limits{Connections: 10, ReceivedBytes: 1 << 20, ProcessedBytes: 100, ResponseBytes: 100}
	gate := inflow.NewGate(inflow.Options{Limits: limits, Clock: clock.NewSystem(), Log: discardLog{}, Count: func(inflow.Reason) {}})
	recorder := &backendRecorder{}
	handler := NewHandler(recorder, Options{Token: token, BodyBytes: 1000, Gate: gate})
	for method, path := range map[string]string{http.MethodPost: "/v1/jobs/cancel", http.MethodGet: "/v1/status"} {
		release, err := gate.Process(t.Context(), nil, limits.ProcessedBytes)
		assert.NilError(t, err)
		releaseResponse, err := gate.Respond(t.Context(), limits.ResponseBytes)
		assert.NilError(t, err)
		ended := make(chan int)
		r := httptest.NewRequest(method, path, strings.NewReader(`{"IDs": ["a"]}`))
		r.Header.Set("Authorization", "Bearer "+token)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r.WithContext(ctx))
			ended <- w.Code
		}()
		cancel()
		assert.Equal(t, <-ended, http.StatusServiceUnavailable, path)
		assert.Equal(t, fmt.Sprint(recorder.calls), "[]")
		release()
		releaseResponse()
	}
}
