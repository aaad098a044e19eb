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

// BenchmarkPath measures requests through the front, which logs its decisions to a file, against a handler
// that only copies them; in turns, so that what else the machine does falls on both.
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
	client := clientOf(callers)
	defer client.CloseIdleConnections()
	bare := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		answer, err := post(r.Context(), client, executor.URL, body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		_, _ = w.Write(answer)
	}))
	defer bare.Close()
	log := fileLog(b)
	defer log.Close()
	state := &bench{view: viewOf()}
	// As many slots as callers, so that the path is measured and not the queue.
	for len(state.view.Endpoints["p"])*route.SlotsPerEndpoint < callers {
		e := state.view.Endpoints["p"][0]
		e.VM = croft.VMID(fmt.Sprintf("more%d", len(state.view.Endpoints["p"])))
		state.view.Endpoints["p"] = append(state.view.Endpoints["p"], e)
	}
	ours := httptest.NewServer(New(Options{Clock: clock.NewSystem(), Viewer: state, Claimer: state, Poster: state,
		Log: log, Executor: copier{client, executor.URL}}).Handler())
	defer ours.Close()

	rounds := [2]rounds{{url: bare.URL}, {url: ours.URL + "/v1/lens/read"}}
	for b.Loop() {
		for i := range rounds {
			rounds[i].run(b, callers)
		}
	}
	b.ReportMetric(rounds[1].rate()/rounds[0].rate(), "rate-ratio")
	b.ReportMetric(rounds[1].median()/rounds[0].median(), "median-ratio")
	b.ReportMetric(rounds[0].rate(), "bare-req/s")
	b.ReportMetric(rounds[1].rate(), "front-req/s")
	b.ReportMetric(rounds[0].median(), "bare-median-µs")
	b.ReportMetric(rounds[1].median(), "front-median-µs")
	b.ReportMetric(float64(lines(log, "Dropped")), "lines-dropped")
	assert.Assert(b, lines(log, "Written") > 0)
}

func clientOf(callers int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
}

func fileLog(b *testing.B) *logs.Logger {
	file, err := os.Create(filepath.Join(b.TempDir(), "decisions.jsonl"))
	assert.NilError(b, err)
	b.Cleanup(func() { _ = file.Close() })
	settings := setup.DefaultEntry().Log
	settings.Format = "json"
	return logs.New(file, settings, clock.NewSystem())
}

func lines(log *logs.Logger, name string) int64 {
	return log.Metrics().(*expvar.Map).Get(name).(*expvar.Int).Value()
}

// rounds are the requests sent to one server.
type rounds struct {
	url   string
	spent time.Duration
	mu    sync.Mutex
	took  []time.Duration
}

// run sends a round of requests from concurrent callers.
func (r *rounds) run(b *testing.B, callers int) {
	const each = 50
	body := bytes.Repeat([]byte("x"), 1024)
	caller := clientOf(callers)
	defer caller.CloseIdleConnections()
	var running sync.WaitGroup
	begun := time.Now()
	for range callers {
		running.Go(func() {
			for range each {
				sent := time.Now()
				answer, err := post(b.Context(), caller, r.url, body)
				took := time.Since(sent)
				assert.Check(b, err == nil && len(answer) == len(body), "%v", err)
				r.mu.Lock()
				r.took = append(r.took, took)
				r.mu.Unlock()
			}
		})
	}
	running.Wait()
	r.spent += time.Since(begun)
}

func (r *rounds) rate() float64 { return float64(len(r.took)) / r.spent.Seconds() }

// median returns microseconds.
func (r *rounds) median() float64 {
	slices.Sort(r.took)
	return float64(r.took[len(r.took)/2].Nanoseconds()) / 1000
}

// copier is an executor's client without any check.
type copier struct {
	client *http.Client
	url    string
}

func (c copier) Run(ctx context.Context, _ croft.Endpoint, a croft.Attempt) (croft.Reply, error) {
	body, err := post(ctx, c.client, c.url, a.Request.Body)
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
