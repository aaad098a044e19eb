package verbs

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/platform"
	"waxwing.example/croft/setup"
)

const token = "operators-secret-1"

// stubEntry is an entry with fixed data; its answer to a command depends on the name of the VM.
type stubEntry struct{ config croft.Config }

func newStubEntry() *stubEntry {
	return &stubEntry{config: croft.Config{
		Version:  7,
		Pools:    []croft.Pool{{ID: "lens"}, {ID: "spare", Spare: true}},
		Services: []croft.Service{{ID: "intake", Pool: "lens", Team: "saeng"}},
	}}
}

func (e *stubEntry) Execute(_ context.Context, command croft.Command) error {
	switch c := command.(type) {
	case croft.MoveVM:
		return commandError(c.VM)
	case croft.MaintainVM:
		return commandError(c.VM)
	case croft.DrainVM:
		return commandError(c.VM)
	}
	return nil
}

// commandError returns the error that a command for this VM is answered with.
func commandError(vm croft.VMID) error {
	switch vm {
	case "vm-held":
		return &ops.RefusedError{Reason: "vm-held is held by an operator"}
	case "vm-lost":
		return &ops.UnknownError{Reason: "the table's answer was lost"}
	case "vm-away":
		return &ops.UnavailableError{Reason: "the platform does not answer"}
	}
	return nil
}

func (e *stubEntry) Accept(_ context.Context, config croft.Config, reviewed uint64, who string) (uint64, error) {
	if reviewed != e.config.Version {
		return 0, &ops.RaceError{Reviewed: reviewed, InForce: e.config.Version, Winner: "bob"}
	}
	if who != "ann" || len(config.Pools) != 1 {
		return 0, errors.New("not what the file declares")
	}
	return reviewed + 1, nil
}

func (e *stubEntry) Config() croft.Config { return e.config }

func (e *stubEntry) Status() ops.Status {
	return ops.Status{
		Entry: "e1", DataCentre: "dc1", Version: 7, Ready: true, PlatformReachable: true,
		Peers:   []croft.Peer{{ID: "e2", DataCentre: "dc2", Address: "127.0.2.1:7402", ConfigVersion: 7}},
		Classes: []croft.ClassCount{{Class: croft.Class{Service: "intake", Kind: "reading"}, Offered: 12, Answered: 10, NotRun: 2}},
	}
}

func (e *stubEntry) Pools() []ops.PoolLine {
	return []ops.PoolLine{{Pool: "lens", Serving: 11, Draining: 1, Endpoints: 11, Buffer: 2, Moves: 3, Due: 4, Holder: "e2"}, {Pool: "spare"}}
}

func (e *stubEntry) VMs() []ops.VMLine {
	return []ops.VMLine{{VM: "vm1", Pool: "lens", Phase: croft.PhaseServing, Epoch: 3, DataCentre: "dc1", Rack: "r1", Status: croft.VMLive, Boot: 1, Since: 1_700_000_000_000}}
}

func (e *stubEntry) Jobs() []ops.JobLine {
	return []ops.JobLine{{Job: "j1", Service: "intake", Pool: "lens", Status: croft.JobRefused, Reason: "no worker has 900 cores"}}
}

func (e *stubEntry) Cut([]string) error { return &ops.RefusedError{Reason: "faults are not allowed"} }

func (e *stubEntry) Heal() error { return &ops.RefusedError{Reason: "faults are not allowed"} }

// newMetrics returns the metrics that the stub entry serves.
func newMetrics() expvar.Var {
	classes := new(expvar.Map)
	classes.Add("Offered", 12)
	all := new(expvar.Map)
	all.Set("intake/reading", classes)
	all.Add("Undeclared", 1)
	return all
}

// stubGenerator decodes the answers as a configuration and returns it as the generated one.
type stubGenerator struct{}

func (stubGenerator) Names() []string { return []string{"saeng"} }

func (stubGenerator) Example(name string) ([]byte, bool) {
	return []byte("{\n  // The pools.\n  \"Pools\": [],\n}\n"), name == "saeng"
}

func (stubGenerator) Generate(file string, answers []byte) (croft.Config, error) {
	var config croft.Config
	err := setup.Decode(file, answers, &config)
	return config, err
}

func (stubGenerator) Diff(old, next croft.Config) []string {
	if len(old.Pools) == len(next.Pools) {
		return nil
	}
	return []string{fmt.Sprintf("Pools: %d -> %d", len(old.Pools), len(next.Pools))}
}

func testDependencies() Dependencies {
	return Dependencies{
		Generator: stubGenerator{},
		Queues:    QueueDecoder{Config: platform.DecodeStrict, Job: platform.DecodeJob},
		Demo: func(_ context.Context, stdout io.Writer) error {
			_, err := io.WriteString(stdout, "demonstrated\n")
			return err
		},
	}
}

// TestCases runs the command line in the file cmd of each case against a stub entry, and compares exit code, stdout and
// stderr with the file expected in the same directory; -update rewrites that file.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/cases/*/cmd")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 20)
	for _, f := range files {
		dir := filepath.Dir(f)
		t.Run(filepath.Base(dir), func(t *testing.T) {
			command, err := os.ReadFile(f)
			assert.NilError(t, err)
			server := httptest.NewServer(ops.NewHandler(newStubEntry(), ops.Options{Token: token, BodyBytes: 1 << 16, Metrics: newMetrics()}))
			defer server.Close()
			t.Setenv("WAX_ENTRY", server.Listener.Addr().String())
			t.Setenv("WAX_SETTINGS", "testdata/wax.json")
			args := strings.Fields(string(command))
			assert.Equal(t, args[0], "wax")
			var stdout, stderr bytes.Buffer
			code := Main(testDependencies(), args[1:], &stdout, &stderr)
			got := fmt.Sprintf("exit %d\n-- stdout --\n%s-- stderr --\n%s", code, stdout.String(), stderr.String())
			golden.Assert(t, got, filepath.Join("cases", filepath.Base(dir), "expected"))
		})
	}
}

// TestReferencePageIsCurrent compares the output of wax reference with docs/REFERENCE.md; -update rewrites the page.
func TestReferencePageIsCurrent(t *testing.T) {
	var stdout, stderr bytes.Buffer
	assert.Equal(t, Main(testDependencies(), []string{"reference"}, &stdout, &stderr), exitDone)
	golden.Assert(t, stdout.String(), "../../docs/REFERENCE.md")
}

func TestEveryVerbHasHelpAndACase(t *testing.T) {
	for _, v := range Table() {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, Main(testDependencies(), []string{"help", v.Name}, &stdout, &stderr), exitDone, stderr.String())
		assert.Assert(t, strings.HasPrefix(stdout.String(), v.Usage))
		cases, err := filepath.Glob("testdata/cases/" + v.Name + "*/cmd")
		assert.NilError(t, err)
		assert.Assert(t, len(cases) > 0, v.Name)
	}
}

// failingWriter fails every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space left") }

// TestFailedOutputHasItsOwnExitCode runs a verb that succeeds but cannot write its output: the exit code must differ from
// that of a failed verb.
func TestFailedOutputHasItsOwnExitCode(t *testing.T) {
	var stderr bytes.Buffer
	assert.Equal(t, Main(testDependencies(), []string{"demo"}, failingWriter{}, &stderr), exitOutput)
	assert.Equal(t, stderr.String(), "wax demo: no space left\n")
}
