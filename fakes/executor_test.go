package fakes_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/invoke"
)

// waitTimeout limits the waits of a test; no result depends on its value.
const waitTimeout = 10 * time.Second

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "timed out waiting for: %s", what)
	}
}

// response is a complete HTTP response.
type response struct {
	Status int
	Header http.Header
	Body   []byte
}

// sendAttempt sends an attempt to an executor and returns the response.
func sendAttempt(url, attempt string) (response, error) {
	request, err := http.NewRequest(http.MethodPost, url+"/run/lens/read", strings.NewReader(attempt))
	if err != nil {
		return response{}, err
	}
	request.Header.Set(invoke.HeaderAttempt, attempt)
	resp, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return response{Status: resp.StatusCode, Header: resp.Header, Body: body}, err
}

// A reboot first makes the executor refuse new attempts and waits for the running one; a repeated order changes nothing.
func TestRebootWaitsForRunningRequestsAndInterruptsNone(t *testing.T) {
	m := clock.NewManual(1_000_000)
	e := fakes.NewExecutor(fakes.ExecutorOptions{
		Clock: m, VM: "vm1", Boot: 1, Behaviour: fakes.Behaviour{WorkMs: 10_000},
	})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	vm := croft.VM{ID: "vm1", Boot: 1, Status: croft.VMLive, Address: server.Listener.Addr().String()}
	p := fakes.NewPlatform(fakes.PlatformOptions{Clock: m, RebootMs: 2000, VMs: []croft.VM{vm}})
	defer p.Close()

	ended := make(chan int, 1)
	go func() {
		long, _ := sendAttempt(server.URL, "long") // the status is zero after an error
		ended <- long.Status
	}()
	eventually(t, "the attempt to run", func() bool { return e.Status().Running == 1 })
	order := croft.OrderVM{VM: "vm1", Boot: 1, Verb: croft.VMReboot}
	assert.NilError(t, p.OrderVM(t.Context(), order))
	assert.NilError(t, p.OrderVM(t.Context(), order))
	eventually(t, "the executor to be leaving", func() bool { return e.Status().Leaving })
	refused, err := sendAttempt(server.URL, "refused")
	assert.NilError(t, err)
	assert.Equal(t, refused.Header.Get(invoke.HeaderReason), invoke.ReasonLeaving)

	listed := func() croft.VM {
		delta, err := p.ListVMs(t.Context(), 0)
		assert.NilError(t, err)
		return delta.Changed[0]
	}
	for range 100 { // 5 s, in steps of the platform's polling interval; the run takes 10 s
		m.Advance(50)
	}
	assert.DeepEqual(t, listed(), vm.WithStatus(croft.VMLeaving))
	m.Advance(5000)
	assert.Equal(t, <-ended, http.StatusOK)
	eventually(t, "the VM to be listed with its next boot", func() bool {
		m.Advance(500)
		return listed().Boot == 2
	})
	assert.DeepEqual(t, e.Status(), fakes.Status{VM: "vm1", Boot: 2})
	runs := e.Ledger().Runs
	assert.Equal(t, len(runs), 1)
	assert.Assert(t, !runs[0].Cut && runs[0].Ended > 0)
}

func TestExecutorRefusesBeyondItsSlots(t *testing.T) {
	m := clock.NewManual(1_000_000)
	e := fakes.NewExecutor(fakes.ExecutorOptions{Clock: m, VM: "vm1", Behaviour: fakes.Behaviour{WorkMs: 1000}})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	ended := make(chan error, fakes.DefaultSlots)
	for range fakes.DefaultSlots {
		go func() {
			_, err := sendAttempt(server.URL, "a")
			ended <- err
		}()
	}
	eventually(t, "all slots to be in use", func() bool { return m.Sleepers() == fakes.DefaultSlots })
	ninth, err := sendAttempt(server.URL, "ninth")
	assert.NilError(t, err)
	assert.Equal(t, ninth.Header.Get(invoke.HeaderReason), invoke.ReasonBusy)
	m.Advance(1000)
	for range fakes.DefaultSlots {
		assert.NilError(t, <-ended)
	}
	assert.Equal(t, len(e.Ledger().Runs), fakes.DefaultSlots)
	assert.Equal(t, e.Ledger().Refused, 1)
}

// With Cross set to two, two concurrent answers are swapped with headers and body, and the third is sent unchanged.
func TestCrossedAnswersAreSwappedWhole(t *testing.T) {
	m := clock.NewManual(1_000_000)
	e := fakes.NewExecutor(fakes.ExecutorOptions{Clock: m, VM: "vm1", Behaviour: fakes.Behaviour{Cross: 2}})
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	first := make(chan string, 1)
	// sendAndIdentify returns the attempts that the body and the header of the received answer name.
	sendAndIdentify := func(attempt string) string {
		a, err := sendAttempt(server.URL, attempt)
		if err != nil {
			return err.Error()
		}
		var answered fakes.Answered
		if err := json.Unmarshal(a.Body, &answered); err != nil {
			return err.Error()
		}
		return answered.Attempt + " " + a.Header.Get(invoke.HeaderAttempt)
	}
	go func() { first <- sendAndIdentify("one") }()
	eventually(t, "the first answer to wait for a swap", func() bool { return m.Sleepers() == 1 })
	assert.Equal(t, sendAndIdentify("two"), "one one")
	assert.Equal(t, <-first, "two two")
	assert.Equal(t, sendAndIdentify("three"), "three three")
}
