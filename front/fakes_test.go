package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

// testBench is a front behind an HTTP server, with fakes for all that it depends on; it records the calls to them.
type testBench struct {
	front  *Front
	server *httptest.Server
	clock  croft.Clock

	mu         sync.Mutex
	attempts   []croft.Attempt
	attemptVMs []croft.VMID
	claims     []string
	released   []string
	// releaseBounded says that the context of the last release had a deadline and had not ended.
	releaseBounded bool
	events         []croft.Event
	decisions      []croft.Decision
	view           croft.View
	// execute runs an attempt; if it is nil, each request is answered with its own body.
	execute func(ctx context.Context, e croft.Endpoint, a croft.Attempt) (croft.Reply, error)
	// grantClaim returns the result of taking a claim; if it is nil, each claim is granted.
	grantClaim func(r croft.Request) error
}

func newTestBench(t *testing.T, c croft.Clock) *testBench {
	b := &testBench{clock: c, view: newView()}
	b.front = New(Options{Clock: c, Viewer: b, Executor: b, Claimer: b, Poster: b, Log: b,
		Limits: Limits{BalancerDelay: -1, BodyBytes: 64}})
	b.server = httptest.NewServer(b.front.Handler())
	t.Cleanup(b.server.Close)
	return b
}

// newView returns a view with one pool of two executors, and a service with a repeatable kind (read) and one that may
// not be repeated (book).
func newView() croft.View {
	v := croft.View{
		Self:   croft.Peer{ID: "e1", DataCentre: "d1"},
		Ready:  true,
		Share:  map[croft.PoolID]int{"p": 1000},
		Config: croft.Config{Version: 1, Pools: []croft.Pool{{ID: "p"}}},
		Endpoints: map[croft.PoolID][]croft.Endpoint{"p": {
			{VM: "vm1", Pool: "p", DataCentre: "d1", Boot: 1},
			{VM: "vm2", Pool: "p", DataCentre: "d1", Boot: 1},
		}},
	}
	v.Config.Services = []croft.Service{{ID: "lens", Pool: "p", Kinds: []croft.Kind{
		{ID: "read", FloorShare: 100, Deadline: 10 * croft.Second, Repeatable: true},
		{ID: "book", FloorShare: 100, Deadline: 10 * croft.Second},
	}}}
	return v
}

// newSystemBench returns a test bench with the system clock.
func newSystemBench(t *testing.T) *testBench { return newTestBench(t, clock.NewSystem()) }

func (b *testBench) View() *croft.View { return &b.view }

func (b *testBench) Run(ctx context.Context, e croft.Endpoint, a croft.Attempt) (croft.Reply, error) {
	b.mu.Lock()
	b.attempts = append(b.attempts, a)
	b.attemptVMs = append(b.attemptVMs, e.VM)
	b.mu.Unlock()
	if b.execute != nil {
		return b.execute(ctx, e, a)
	}
	header := http.Header{"Content-Type": {"text/plain"}}
	return croft.Reply{Status: http.StatusOK, Header: header, Body: a.Request.Body}, nil
}

func (b *testBench) Claim(_ context.Context, r croft.Request, attempt string) error {
	if b.grantClaim != nil {
		if err := b.grantClaim(r); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claims = append(b.claims, attempt)
	return nil
}

func (b *testBench) Release(ctx context.Context, _ croft.Request, attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, hasDeadline := ctx.Deadline()
	b.releaseBounded = hasDeadline && ctx.Err() == nil
	b.released = append(b.released, attempt)
}

func (b *testBench) Post(event croft.Event) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, event)
	return true
}

func (b *testBench) Log(decision croft.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decisions = append(b.decisions, decision)
}

// httpResponse is a response with its body.
type httpResponse struct {
	*http.Response
	body string
}

// send sends an HTTP request with pairs of header names and values, and returns the response.
func (b *testBench) send(t *testing.T, method, path, body string, headers ...string) httpResponse {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, b.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := b.server.Client().Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return httpResponse{response, string(text)}
}
