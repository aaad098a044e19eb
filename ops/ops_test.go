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

// recorder is a Backend that notes what it is asked and answers with one error.
type recorder struct {
	asked []string
	err   error
}

func (r *recorder) note(format string, args ...any) error {
	r.asked = append(r.asked, fmt.Sprintf(format, args...))
	return r.err
}

func (r *recorder) Ask(_ context.Context, command croft.Command) error {
	text, err := json.Marshal(command)
	return errors.Join(r.note("%T%s", command, text), err)
}

func (r *recorder) Accept(_ context.Context, config croft.Config, reviewed uint64, who string) (uint64, error) {
	return reviewed + 1, r.note("accept %d pools over %d by %s", len(config.Pools), reviewed, who)
}

func (r *recorder) Config() croft.Config {
	return croft.Config{
		Version:  7,
		Pools:    []croft.Pool{{ID: "lens"}},
		Services: []croft.Service{{ID: "intake", Team: "saeng", Pool: "lens"}},
	}
}

func (r *recorder) Status() Status              { return Status{Entry: "e1", Version: 7, Ready: true} }
func (r *recorder) Pools() []PoolLine           { return []PoolLine{{Pool: "lens", Serving: 3}} }
func (r *recorder) VMs() []VMLine               { return []VMLine{{VM: "vm1", Pool: "lens"}} }
func (r *recorder) Jobs() []JobLine             { return nil }
func (r *recorder) Cut(prefixes []string) error { return r.note("cut %v", prefixes) }
func (r *recorder) Heal() error                 { return r.note("heal") }

func serve(t *testing.T, backend Backend) (*httptest.Server, *Client) {
	t.Helper()
	s := httptest.NewServer(NewHandler(backend, Options{Token: token, BodyBytes: 4096}))
	t.Cleanup(s.Close)
	c := NewClient(s.Listener.Addr().String(), token, croft.Minute)
	t.Cleanup(c.Close)
	return s, c
}

// commands are all calls that change something.
func commands(ctx context.Context, c *Client) []error {
	_, accepting := c.Accept(ctx, Acceptance{Reviewed: 7, Who: "ann", Config: croft.Config{Pools: []croft.Pool{{ID: "lens"}}}})
	return []error{
		accepting,
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

func TestEveryCommandReachesTheBackendOnce(t *testing.T) {
	backend := &recorder{}
	_, c := serve(t, backend)
	for _, err := range commands(t.Context(), c) {
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, backend.asked, []string{
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

func TestBackendErrorsReachTheClientAsTheyAre(t *testing.T) {
	for _, want := range []error{
		&RefusedError{Reason: "vm1 is draining"},
		&InvalidError{Problems: []string{"config: Pools[0]: no service"}},
		&RaceError{Reviewed: 7, InForce: 9, Winner: "bob"},
		&UnavailableError{Reason: "the table does not answer"},
		&UnknownError{Reason: "the table's answer was lost"},
	} {
		_, c := serve(t, &recorder{err: want})
		for _, err := range commands(t.Context(), c) {
			assert.DeepEqual(t, err, want)
		}
	}
}

func TestNothingIsToldOrDoneWithoutTheToken(t *testing.T) {
	backend := &recorder{}
	s, _ := serve(t, backend)
	for _, wrong := range []string{"", token + "x", token[1:]} {
		c := NewClient(s.Listener.Addr().String(), wrong, croft.Minute)
		defer c.Close()
		_, statusErr := c.Status(t.Context())
		_, varsErr := c.Vars(t.Context())
		for _, err := range append(commands(t.Context(), c), statusErr, varsErr) {
			assert.DeepEqual(t, err, &DeniedError{})
		}
	}
	assert.Equal(t, len(backend.asked), 0)
}

func TestBadBodiesAreRefusedWithTheirField(t *testing.T) {
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
	backend := &recorder{}
	s, _ := serve(t, backend)
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
	assert.Equal(t, len(backend.asked), 0)
}

func TestReadsCarryEveryLine(t *testing.T) {
	_, c := serve(t, &recorder{})
	status, err := c.Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, status.Entry, croft.EntryID("e1"))
	config, err := c.Config(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, config, (&recorder{}).Config())
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

func TestLostAnswerIsUnknownAndNoConnectionIsNot(t *testing.T) {
	cutting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			conn.Close()
		}
	}))
	defer cutting.Close()
	c := NewClient(cutting.Listener.Addr().String(), token, croft.Minute)
	defer c.Close()
	var unknown *UnknownError
	assert.Assert(t, errors.As(c.Drain(t.Context(), "vm1"), &unknown))

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	away := NewClient(closed.Addr().String(), token, croft.Minute)
	var unreachable *UnreachableError
	assert.Assert(t, errors.As(away.Drain(t.Context(), "vm1"), &unreachable))
}

func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"Reviewed": 1, "Who": "ann", "Config": {"Services": [{"ID": "s", "Kinds": [{"ID": "k"}]}]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, into := range []any{&Acceptance{}, &Move{}, &NewJob{}, &Cancellation{}, &Cut{}} {
			err := invalid(setup.Decode("body", body, into))
			var faults *InvalidError
			assert.Assert(t, err == nil || errors.As(err, &faults) && len(faults.Problems) > 0)
		}
	})
}
