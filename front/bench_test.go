package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// BenchmarkPath measures a request through the front against a handler that only copies it, in turns.
func BenchmarkPath(b *testing.B) {
	executor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer executor.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
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

	c := clock.NewSystem()
	state := &bench{view: viewOf()}
	ours := httptest.NewServer(New(Options{Clock: c, Viewer: state, Claimer: state, Poster: state, Log: quiet{},
		Executor: copier{client, executor.URL}}).Handler())
	defer ours.Close()

	var spent [2]croft.Millis
	body := bytes.Repeat([]byte("x"), 1024)
	caller := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer caller.CloseIdleConnections()
	// Rounds in turns, so that what else the machine does falls on both.
	const round = 500
	for b.Loop() {
		for i, url := range []string{bare.URL, ours.URL + "/v1/lens/read"} {
			begun := c.Elapsed()
			for range round {
				answer, err := post(b.Context(), caller, url, body)
				assert.NilError(b, err)
				assert.Equal(b, len(answer), len(body))
			}
			spent[i] += c.Elapsed() - begun
		}
	}
	b.ReportMetric(float64(spent[1])/float64(spent[0]), "ratio")
	b.ReportMetric(float64(spent[0])*1000/float64(b.N)/round, "bare-µs")
	b.ReportMetric(float64(spent[1])*1000/float64(b.N)/round, "front-µs")
}

type quiet struct{}

func (quiet) Log(croft.Decision) {}

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
