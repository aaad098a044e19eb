package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The limits of the started entry. They are lower than any deployment's, so that a small crowd exceeds them.
const (
	memoryMB     = 64
	maxFDs       = 256
	maxBodyBytes = 256 << 10
)

const config = `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/q/","service":"s","timeout_ms":3000}],
	"services":[{"name":"s"}],"limits":{"max_body_bytes":262144,"max_header_bytes":16384,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// program is the path of the built entry.
var program string

func TestMain(m *testing.M) { os.Exit(build(m)) }

// build builds the entry and runs the tests; it returns their exit code.
func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "entry")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "../entry").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the entry: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// entry is an entry that was started with the platform's settings.
type entry struct {
	*process
	callers, ready, metrics string
}

// startEntry starts an entry with a store of its own and returns once it is ready.
func startEntry(t *testing.T) *entry {
	t.Helper()
	return startEntryOn(t, newStore(t, config))
}

// startEntryOn starts an entry with a store and returns once it is ready.
func startEntryOn(t *testing.T, s *store) *entry {
	t.Helper()
	e := launchEntry(t, s, "e1")
	e.await(t, func() bool { return e.probe() == http.StatusOK })
	return e
}

// launchEntry starts an entry with a name, which no other entry on the store may have.
func launchEntry(t *testing.T, s *store, name string) *entry {
	t.Helper()
	addresses := freeAddresses(t, 3)
	e := &entry{callers: addresses[0], ready: addresses[1], metrics: addresses[2]}
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("node_name: %s\nzone: a\nlisten: {front: %q, ready: %q, metrics: %q}\nlimits: {cpu_share: 0.8, memory_mb: %d, max_fds: %d}\n"+
		// A configuration that is not confirmed in time, since the machine is busy, makes an entry answer 503 without any crowd.
		"bounds: {config_apply_ms: 60000}\n"+
		"platform: {address: %q}\ncloud: {address: %q}\n", name, e.callers, e.ready, e.metrics, memoryMB, maxFDs, s.address, s.address)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "WAXWINGCROFT_NODE_FILE="+settings)
	e.process = startProcess(t, cmd, addresses)
	return e
}

// entryHost is the loopback address of the entry. It is not the one from which clients connect: the system may give the port of
// a listener that has just been closed to one of their connections, and the entry could not listen there.
const entryHost = "127.0.0.2"

// givenAddresses has the addresses that freeAddresses has returned: an entry that starts may not listen yet on those it was given.
var givenAddresses = map[string]bool{}

// freeAddresses returns loopback addresses on which nothing listens, each only once.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < count {
		l, err := net.Listen("tcp", net.JoinHostPort(entryHost, "0"))
		assert.NilError(t, err)
		defer l.Close()
		if address := l.Addr().String(); !givenAddresses[address] {
			givenAddresses[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// probe returns the status of a readiness probe, zero without a response.
func (e *entry) probe() int { return statusOf(http.MethodGet, e.ready, "/", "") }

// smallJob is a valid job of one task.
const smallJob = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}`

// submit submits a small valid job and returns the status, zero without a response.
func (e *entry) submit(id string) int {
	return statusOf(http.MethodPost, e.callers, "/q/"+id, smallJob)
}

// statusOf sends a request on a connection of its own, with a header if one is given by its name and value, and returns the status,
// zero without a response.
func statusOf(method, address, path, body string, header ...string) int {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	if len(header) > 0 {
		r.Header.Set(header[0], header[1])
	}
	client := http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
