package ops

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/setup"
)

const token = "operators-secret-1"

// backendRecorder is a Backend that records its calls and returns the same error from each.
type backendRecorder struct {
	calls []string
	err   error
}

func (r *backendRecorder) record(format string, args ...any) error {
	r.calls = append(r.calls, fmt.Sprintf(format, args...))
	return r.err
}

func (r *backendRecorder) Execute(_ context.Context, command croft.Command) error {
	text, err := json.Marshal(command)
	return errors.Join(r.record("%T%s", command, text), err)
}

func (r *backendRecorder) Accept(_ context.Context, config croft.Config, reviewed uint64, who string) (uint64, error) {
	return reviewed + 1, r.record("accept %d pools over %d by %s", len(config.Pools), reviewed, who)
}

func (r *backendRecorder) Config() croft.Config {
	return croft.Config{
		Version:  7,
		Pools:    []croft.Pool{{ID: "lens"}},
		Services: []croft.Service{{ID: "intake", Team: "saeng", Pool: "lens"}},
	}
}

func (r *backendRecorder) Status() Status              { return Status{Entry: "e1", Version: 7, Ready: true} }
func (r *backendRecorder) Pools() []PoolLine           { return []PoolLine{{Pool: "lens", Serving: 3}} }
func (r *backendRecorder) VMs() []VMLine               { return []VMLine{{VM: "vm1", Pool: "lens"}} }
func (r *backendRecorder) Jobs() []JobLine             { return nil }
func (r *backendRecorder) Cut(prefixes []string) error { return r.record("cut %v", prefixes) }
func (r *backendRecorder) Heal() error                 { return r.record("heal") }

// startServer serves a backend and returns the server and a client with the right token.
func startServer(t *testing.T, backend Backend) (*httptest.Server, *Client) {
	t.Helper()
	s := httptest.NewServer(NewHandler(backend, Options{Token: token, BodyBytes: 4096}))
	t.Cleanup(s.Close)
	c := NewClient(s.Listener.Addr().String(), token, croft.Minute)
	t.Cleanup(c.Close)
	return s, c
}

// callEveryCommand makes each call that changes something and returns the errors.
func callEveryCommand(ctx context.Context, c *Client) []error {
	_, acceptErr := c.Accept(ctx, Acceptance{Reviewed: 7, Who: "ann", Config: croft.Config{Pools: []croft.Pool{{ID: "lens"}}}})
	return []error{
		acceptErr,
		c.Move(ctx, "vm1", "lens"),
		c.Drain(ctx, "vm1"),
		c.Resume(ctx, "vm1"),
		c.Maintain(ctx, "vm1"),
		c.Submit(ctx, NewJob{ID: "j1", Service: "intake", Declared: croft.Resources{MilliCores: 500}}),
		c.Cancel(ctx, []croft.JobID{"j1", "j2"}),
		c.Cut(ctx, []string{"127.0.2.0/24"}),
		c.Heal(ctx),
	}
}

func TestEachCommandCallsBackendOnce(t *testing.T) {
	backend := &backendRecorder{}
	_, c := startServer(t, backend)
	for _, err := range callEveryCommand(t.Context(), c) {
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, backend.calls, []string{
		`accept 1 pools over 7 by ann`,
		`croft.MoveVM{"VM":"vm1","To":"lens"}`,
		`croft.DrainVM{"VM":"vm1","End":false}`,
		`croft.DrainVM{"VM":"vm1","End":true}`,
		`croft.MaintainVM{"VM":"vm1"}`,
		`croft.SubmitJob{"Job":{"ID":"j1","Service":"intake","Pool":"lens","Team":"saeng","Urgency":0,` +
			`"Declared":{"MilliCores":500,"MemoryMB":0,"Accelerators":0},"Reported":{"MilliCores":0,"MemoryMB":0,"Accelerators":0},` +
			`"Status":"Waiting","Reason":"","Worker":"","Run":0,"Checkpoint":"","FailedOn":null,"Created":0,"Nonce":""}}`,
		`croft.CancelJobs{"IDs":["j1","j2"]}`,
		`cut [127.0.2.0/24]`,
		`heal`,
	})
}

func TestClientReturnsBackendErrors(t *testing.T) {
	for _, want := range []error{
		&RefusedError{Reason: "vm1 is draining"},
		&InvalidError{Problems: []string{"config: Pools[0]: no service"}},
		&RaceError{Reviewed: 7, InForce: 9, Winner: "bob"},
		&UnavailableError{Reason: "the table does not answer"},
		&UnknownError{Reason: "the table's answer was lost"},
	} {
		_, c := startServer(t, &backendRecorder{err: want})
		for _, err := range callEveryCommand(t.Context(), c) {
			assert.DeepEqual(t, err, want)
		}
	}
}

// No read or command may succeed without the token, and no command may reach the backend.
func TestWrongTokenIsDenied(t *testing.T) {
	backend := &backendRecorder{}
	s, _ := startServer(t, backend)
	for _, wrong := range []string{"", token + "x", token[1:]} {
		c := NewClient(s.Listener.Addr().String(), wrong, croft.Minute)
		defer c.Close()
		_, statusErr := c.Status(t.Context())
		_, varsErr := c.Vars(t.Context())
		for _, err := range append(callEveryCommand(t.Context(), c), statusErr, varsErr) {
			assert.DeepEqual(t, err, &DeniedError{})
		}
	}
	assert.Equal(t, len(backend.calls), 0)
}

func TestInvalidBodiesAreRejectedByField(t *testing.T) {
	cases := []struct {
		path, body string
		status     int
		want       string
	}{
		{"/v1/config", `{"Reviewed": -1, "Who": "a b", "Config": {"Pool": []}}`, 400, "Config.Pool: unknown field"},
		{"/v1/vms/vm1/move", `{"To": "nowhere"}`, 400, "To: no pool nowhere is declared"},
		{"/v1/vms/%2e%2e/drain", ``, 400, "VM: not an identifier"},
		{"/v1/jobs", `{"ID": "j", "Service": "none"}`, 400, "Service: no service none is declared"},
		{"/v1/jobs/cancel", `{"IDs": []}`, 400, "IDs: must be at least 1 elements long"},
		{"/v1/faults/cut", `{"Prefixes": ["localhost"]}`, 400, "Prefixes[0]: must be an IP prefix"},
		{"/v1/jobs", strings.Repeat(" ", 5000), 413, "Request Entity Too Large"},
		{"/v1/none", ``, 404, "Not Found"},
	}
	backend := &backendRecorder{}
	s, _ := startServer(t, backend)
	for _, c := range cases {
		request, err := http.NewRequest(http.MethodPost, s.URL+c.path, strings.NewReader(c.body))
		assert.NilError(t, err)
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := s.Client().Do(request)
		assert.NilError(t, err)
		var p Problem
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&p))
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, c.status, c.path)
		assert.Equal(t, response.Header.Get("Content-Type"), "application/problem+json")
		assert.Assert(t, strings.Contains(p.Title+p.Detail, c.want), "%s: %s %s", c.path, p.Title, p.Detail)
	}
	assert.Equal(t, len(backend.calls), 0)
}

func TestReadsReturnBackendState(t *testing.T) {
	_, c := startServer(t, &backendRecorder{})
	status, err := c.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Entry, croft.EntryID("e1"))
	config, err := c.Config(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, config, (&backendRecorder{}).Config())
	vms, err := c.VMs(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, vms[0].VM, croft.VMID("vm1"))
	jobs, err := c.Jobs(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, jobs != nil && len(jobs) == 0)
	vars, err := c.Vars(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, len(vars["memstats"]) > 0)
}

// A server that closes the connection without a response may have executed the command; if the connection was
// refused, it cannot have.
func TestLostResponseIsUnknownButRefusedConnectionIsUnreachable(t *testing.T) {
	hangingUp := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			conn.Close()
		}
	}))
	defer hangingUp.Close()
	c := NewClient(hangingUp.Listener.Addr().String(), token, croft.Minute)
	defer c.Close()
	var unknown *UnknownError
	assert.Assert(t, errors.As(c.Drain(t.Context(), "vm1"), &unknown))

	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, refusing.Close())
	unreachableClient := NewClient(refusing.Addr().String(), token, croft.Minute)
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(unreachableClient.Drain(t.Context(), "vm1"), &unreachable))
}

// FuzzBodies decodes arbitrary bodies: each must be valid or fail with an InvalidError that has problems.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"Reviewed": 1, "Who": "ann", "Config": {"Services": [{"ID": "s", "Kinds": [{"ID": "k"}]}]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, target := range []any{&Acceptance{}, &Move{}, &NewJob{}, &Cancellation{}, &Cut{}} {
			err := toInvalidError(setup.Decode("body", body, target))
			var invalid *InvalidError
			assert.Assert(t, err == nil || errors.As(err, &invalid) && len(invalid.Problems) > 0)
		}
	})
}
