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

// bench is a front with everything around it under the test's hand.
type bench struct {
	front  *Front
	server *httptest.Server
	clock  croft.Clock

	mu       sync.Mutex
	runs     []croft.Attempt
	on       []croft.VMID
	claims   []string
	released []string
	// releaseBounded says that the last claim was given back under a live context with a deadline.
	releaseBounded bool
	events         []croft.Event
	lines          []croft.Decision
	view           croft.View
	// execute is the executor's behaviour; nil answers each request with its own body.
	execute func(ctx context.Context, e croft.Endpoint, a croft.Attempt) (croft.Reply, error)
	// claimer is the claim's behaviour; nil grants it.
	claimer func(r croft.Request) error
}

func newBench(t *testing.T, c croft.Clock) *bench {
	b := &bench{clock: c, view: viewOf()}
	b.front = New(Options{Clock: c, Viewer: b, Executor: b, Claimer: b, Poster: b, Log: b,
		Limits: Limits{BalancerSpan: -1, BodyBytes: 64}})
	b.server = httptest.NewServer(b.front.Handler())
	t.Cleanup(b.server.Close)
	return b
}

// viewOf has one pool of two executors, and a service with a repeatable kind and one that may not be repeated.
func viewOf() croft.View {
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

func systemBench(t *testing.T) *bench { return newBench(t, clock.NewSystem()) }

func (b *bench) View() *croft.View { return &b.view }

func (b *bench) Run(ctx context.Context, e croft.Endpoint, a croft.Attempt) (croft.Reply, error) {
	b.mu.Lock()
	b.runs = append(b.runs, a)
	b.on = append(b.on, e.VM)
	b.mu.Unlock()
	if b.execute != nil {
		return b.execute(ctx, e, a)
	}
	header := http.Header{"Content-Type": {"text/plain"}}
	return croft.Reply{Status: http.StatusOK, Header: header, Body: a.Request.Body}, nil
}

func (b *bench) Claim(_ context.Context, r croft.Request, attempt string) error {
	if b.claimer != nil {
		if err := b.claimer(r); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.claims = append(b.claims, attempt)
	return nil
}

func (b *bench) Release(ctx context.Context, _ croft.Request, attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, limited := ctx.Deadline()
	b.releaseBounded = limited && ctx.Err() == nil
	b.released = append(b.released, attempt)
}

func (b *bench) Post(event croft.Event) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, event)
	return true
}

func (b *bench) Log(decision croft.Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, decision)
}

// answer is a whole HTTP answer.
type answer struct {
	*http.Response
	body string
}

func (b *bench) ask(t *testing.T, method, path, body string, headers ...string) answer {
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
	return answer{response, string(text)}
}
