package front

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/logs"
	"waxwing.example/croft/route"
	"waxwing.example/croft/setup"
)

// BenchmarkPath compares requests through the front, which logs its decisions to a file, with requests through a
// handler that only forwards them. The two alternate, so that other load on the machine affects both.
func BenchmarkPath(b *testing.B) {
	for _, callers := range []int{1, 32} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkPath(b, callers) })
	}
}

func benchmarkPath(b *testing.B, callers int) {
	executor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer executor.Close()
	client := newClient(callers)
	defer client.CloseIdleConnections()
	bareServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		answer, err := post(r.Context(), client, executor.URL, body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = w.Write(answer)
	}))
	defer bareServer.Close()
	log := fileLog(b)
	defer log.Close()
	state := &testBench{view: newView()}
	// There are as many slots as callers, so that no time in the queue is measured.
	for len(state.view.Endpoints["p"])*route.SlotsPerEndpoint < callers {
		e := state.view.Endpoints["p"][0]
		e.VM = croft.VMID(fmt.Sprintf("more%d", len(state.view.Endpoints["p"])))
		state.view.Endpoints["p"] = append(state.view.Endpoints["p"], e)
	}
	frontServer := httptest.NewServer(New(Options{Clock: clock.NewSystem(), Viewer: state, Claimer: state, Poster: state,
		Log: log, Executor: forwarder{client, executor.URL}}).Handler())
	defer frontServer.Close()

	measurements := [2]measurement{{url: bareServer.URL}, {url: frontServer.URL + "/v1/lens/read"}}
	for b.Loop() {
		for i := range measurements {
			measurements[i].run(b, callers)
		}
	}
	b.ReportMetric(measurements[1].rate()/measurements[0].rate(), "rate-ratio")
	b.ReportMetric(measurements[1].median()/measurements[0].median(), "median-ratio")
	b.ReportMetric(measurements[0].rate(), "bare-req/s")
	b.ReportMetric(measurements[1].rate(), "front-req/s")
	b.ReportMetric(measurements[0].median(), "bare-median-µs")
	b.ReportMetric(measurements[1].median(), "front-median-µs")
	b.ReportMetric(float64(logCounter(log, "Dropped")), "lines-dropped")
	assert.Assert(b, logCounter(log, "Written") > 0)
}

// newClient returns an HTTP client that keeps one connection for each concurrent caller.
func newClient(callers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
}

// fileLog returns a decision log that writes JSON lines to a temporary file.
func fileLog(b *testing.B) *logs.Logger {
	file, err := os.Create(filepath.Join(b.TempDir(), "decisions.jsonl"))
	assert.NilError(b, err)
	b.Cleanup(func() { _ = file.Close() })
	settings := setup.DefaultEntry().Log
	settings.Format = "json"
	return logs.New(file, settings, clock.NewSystem())
}

// logCounter returns the value of one of the log's counters.
func logCounter(log *logs.Logger, name string) int64 {
	return log.Metrics().(*expvar.Map).Get(name).(*expvar.Int).Value()
}

// measurement holds the time and the latencies of the requests sent to one server.
type measurement struct {
	url       string
	elapsed   time.Duration
	mu        sync.Mutex
	latencies []time.Duration
}

// run sends requests from concurrent callers, each of which sends the same number one after the other.
func (m *measurement) run(b *testing.B, callers int) {
	const requestsPerCaller = 50
	body := bytes.Repeat([]byte("x"), 1024)
	caller := newClient(callers)
	defer caller.CloseIdleConnections()
	var running sync.WaitGroup
	start := time.Now()
	for range callers {
		running.Go(func() {
			for range requestsPerCaller {
				sent := time.Now()
				answer, err := post(b.Context(), caller, m.url, body)
				latency := time.Since(sent)
				assert.Check(b, err == nil && len(answer) == len(body), "%v", err)
				m.mu.Lock()
				m.latencies = append(m.latencies, latency)
				m.mu.Unlock()
			}
		})
	}
	running.Wait()
	m.elapsed += time.Since(start)
}

// rate returns the requests per second.
func (m *measurement) rate() float64 { return float64(len(m.latencies)) / m.elapsed.Seconds() }

// median returns the median latency in microseconds.
func (m *measurement) median() float64 {
	slices.Sort(m.latencies)
	return float64(m.latencies[len(m.latencies)/2].Nanoseconds()) / 1000
}

// forwarder is a croft.Executor that forwards bodies to a URL without any checks of the reply.
type forwarder struct {
	client *http.Client
	url    string
}

func (f forwarder) Run(ctx context.Context, _ croft.Endpoint, a croft.Attempt) (croft.Reply, error) {
	body, err := post(ctx, f.client, f.url, a.Request.Body)
	return croft.Reply{Status: http.StatusOK, Body: body}, err
}

func post(ctx context.Context, client *http.Client, url string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}
