package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
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

// entry is a started entry.
type entry struct {
	process                 *os.Process
	exited                  chan struct{}
	callers, ready, metrics string
}

// startEntry starts an entry and returns once it is ready.
func startEntry(t *testing.T) *entry {
	t.Helper()
	addresses := freeAddresses(t, 3)
	e := &entry{callers: addresses[0], ready: addresses[1], metrics: addresses[2], exited: make(chan struct{})}
	storeAddress := newStore(t, config)
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("node_name: e1\nzone: a\nlisten: {front: %q, ready: %q, metrics: %q}\nlimits: {cpu_share: 0.8, memory_mb: %d, max_fds: %d}\n"+
		// A configuration that is not confirmed in time, since the machine is busy, makes an entry answer 503 without any crowd.
		"bounds: {config_apply_ms: 60000}\n"+
		"platform: {address: %q}\ncloud: {address: %q}\n", e.callers, e.ready, e.metrics, memoryMB, maxFDs, storeAddress, storeAddress)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	var out bytes.Buffer
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "WAXWINGCROFT_NODE_FILE="+settings)
	cmd.Stdout, cmd.Stderr = &out, &out
	assert.NilError(t, cmd.Start())
	e.process = cmd.Process
	go func() {
		_ = cmd.Wait()
		close(e.exited)
	}()
	t.Cleanup(func() { e.stop(t, &out) })
	for e.probe() != http.StatusOK {
		select {
		case <-e.exited:
			t.Fatalf("the entry ended: %s", out.String())
		case <-time.After(100 * time.Millisecond):
		}
	}
	return e
}

// entryHost is the loopback address of the entry. It is not the one from which clients connect: the system may give the port of
// a listener that has just been closed to one of their connections, and the entry could not listen there.
const entryHost = "127.0.0.2"

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(entryHost, "0"))
		assert.NilError(t, err)
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// stop ends the entry; on a failure it shows the end of its output.
func (e *entry) stop(t *testing.T, out *bytes.Buffer) {
	_ = e.process.Signal(syscall.SIGTERM)
	select {
	case <-e.exited:
	case <-time.After(20 * time.Second):
		_ = e.process.Kill()
		<-e.exited
	}
	if t.Failed() {
		t.Logf("the entry's last output: %s", out.Bytes()[max(0, out.Len()-2000):])
	}
}

// lives reports whether the process has not ended.
func (e *entry) lives() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// probe returns the status of a readiness probe, zero without a response.
func (e *entry) probe() int { return statusOf(http.MethodGet, e.ready, "/", "") }

// submit submits a small valid job and returns the status, zero without a response.
func (e *entry) submit(id string) int {
	return statusOf(http.MethodPost, e.callers, "/q/"+id, `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}`)
}

// statusOf sends a request on a connection of its own and returns the status, zero without a response.
func statusOf(method, address, path, body string) int {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	client := http.Client{Timeout: time.Minute, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// peakKB returns the largest resident size that the process has had, in KB.
func (e *entry) peakKB(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Pid))
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	assert.Assert(t, found)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(t, err)
	return kb
}

// unreadKB returns how much the kernel has received for the entry's listeners and the entry has not read, in KB.
func (e *entry) unreadKB(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(t, err)
	ports := map[string]bool{}
	for _, address := range []string{e.callers, e.ready, e.metrics} {
		_, port, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		n, err := strconv.Atoi(port)
		assert.NilError(t, err)
		ports[fmt.Sprintf("%04X", n)] = true
	}
	total := 0
	const localField, stateField, queueField, established = 1, 3, 4, "01"
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		_, port, _ := strings.Cut(fields[localField], ":")
		if !ports[port] || fields[stateField] != established {
			continue
		}
		_, received, _ := strings.Cut(fields[queueField], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		assert.NilError(t, err)
		total += int(n)
	}
	return total >> 10
}

// descriptors returns the number of the process's open descriptors.
func (e *entry) descriptors(t *testing.T) int {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.process.Pid))
	assert.NilError(t, err)
	return len(names)
}
