package stubs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"waxwing.example/croft"
	"waxwing.example/croft/fakes"
)

// awaitStatus returns the status of an executor once it matches.
func awaitStatus(t *testing.T, address string, match func(fakes.Status) bool) fakes.Status {
	t.Helper()
	var status fakes.Status
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + address + "/status")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer response.Body.Close()
		if err := json.NewDecoder(response.Body).Decode(&status); err != nil || !match(status) {
			return poll.Continue("%+v %v", status, err)
		}
		return poll.Success()
	})
	return status
}

// Guards against a drain that is lost because it arrives between the listing of the VM and the response to its executor, which
// then began its boot anew.
func TestDrainDuringTheRegistrationIsKept(t *testing.T) {
	const address = "127.77.3.1:8001"
	platform := fakes.NewPlatform(fakes.PlatformOptions{})
	defer platform.Close()
	registry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		platform.Handler().ServeHTTP(recorder, r)
		assert.Check(t, platform.OrderVM(r.Context(), croft.OrderVM{VM: "vm1", Boot: 1, Verb: croft.VMDrain}))
		awaitStatus(t, address, func(s fakes.Status) bool { return s.Leaving })
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer registry.Close()

	o := streams{Out: io.Discard, Err: io.Discard}
	executor, err := parseExecutor([]string{"--listen", address, "--vm", "vm1", "--platform", registry.URL}, o)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- executor.run(ctx, o) }()
	defer func() {
		cancel()
		assert.ErrorIs(t, <-ended, context.Canceled)
	}()
	status := awaitStatus(t, address, func(s fakes.Status) bool { return s.Boot == 1 })
	assert.Equal(t, status, fakes.Status{VM: "vm1", Boot: 1, Leaving: true})
}
