package crowd

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is a started process.
type process struct {
	cmd *exec.Cmd
	// listeners are the addresses that it listens on.
	listeners []string
	output    output
	exited    chan struct{}
}

// output collects what a process prints; it is safe for concurrent use.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the output.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// String returns the whole output.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// startProcess starts a process that is stopped when the test ends.
func startProcess(t *testing.T, cmd *exec.Cmd, listeners []string) *process {
	t.Helper()
	p := &process{cmd: cmd, listeners: listeners, exited: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = &p.output, &p.output
	assert.NilError(t, cmd.Start())
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() { p.stop(t) })
	return p
}

// await waits until a condition holds; it fails if the process ends.
func (p *process) await(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-p.exited:
			t.Fatalf("the process ended: %s", p.output.String())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// stop ends the process; on a failure it shows the end of its output.
func (p *process) stop(t *testing.T) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(20 * time.Second):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if t.Failed() {
		text := p.output.String()
		t.Logf("the process's last output: %s", text[max(0, len(text)-2000):])
	}
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// usage is what a process has used.
type usage struct{ peakKB, unreadKB, descriptors int }

// usage returns the present usage of a process that lives.
func (p *process) usage(t *testing.T) usage {
	t.Helper()
	assert.Assert(t, p.lives(), "the process has ended")
	return usage{p.peakKB(t), p.unreadKB(t), p.descriptors(t)}
}

// check checks the usage against the limits of the process.
func (u usage) check(t *testing.T, memoryMB, maxFDs int) {
	t.Helper()
	assert.Check(t, u.peakKB+u.unreadKB <= memoryMB<<10, "memory: %d KB and %d KB unread, at most %d MB", u.peakKB, u.unreadKB, memoryMB)
	assert.Check(t, u.descriptors <= maxFDs, "%d descriptors, at most %d", u.descriptors, maxFDs)
}

// peakKB returns the largest resident size that the process has had, in KB.
func (p *process) peakKB(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(raw), "VmHWM:")
	assert.Assert(t, found)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(t, err)
	return kb
}

// unreadKB returns how much the kernel has received for the process's listeners and the process has not read, in KB.
func (p *process) unreadKB(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(t, err)
	ports := map[string]bool{}
	for _, address := range p.listeners {
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
func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	assert.NilError(t, err)
	return len(names)
}
