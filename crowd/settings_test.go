package crowd

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/invoke"
	"waxwing.example/croft/links"
	"waxwing.example/croft/ops"
	"waxwing.example/croft/peer"
)

// Limits of an entry with its own settings. The memory is that of a node of the target; the sizes of bodies are the defaults.
const (
	ownMemoryMB      = 256
	ownMaxFDs        = 256
	ownBodyBytes     = 1 << 20
	ownOperatorBytes = 4 << 20
	answerBytes      = 4 << 20
	// addressSpaceKB ends a process that exceeds its memory by far, for the sake of the machine.
	addressSpaceKB = 4 << 20
)

// Keys of the own settings.
const (
	operatorToken = "operators-token-0001"
	peerKey       = "key-of-all-entries-1"
)

// ownEntry is an entry that was started with its own settings.
type ownEntry struct {
	*process
	callers, operators, peers string
}

// startOwnEntry starts an entry with three executors, and returns once it has answered a request. maxFDs is the limit of the
// process's descriptors, zero for that of the test.
func startOwnEntry(t *testing.T, maxFDs int) *ownEntry {
	t.Helper()
	platform := fakes.NewPlatform(fakes.PlatformOptions{VMs: vmsWithExecutors(t, 3)})
	t.Cleanup(platform.Close)
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.Close)
	addresses := freeAddresses(t, 3)
	e := &ownEntry{callers: addresses[0], operators: addresses[1], peers: addresses[2]}
	settings := filepath.Join(t.TempDir(), "entry.json")
	text := fmt.Sprintf(`{"DataCentre": "a", "Callers": %q, "Operators": %q, "Peers": %q, "PlatformAddress": %q, "OperatorToken": %q, "PeerKey": %q}`,
		e.callers, e.operators, e.peers, platformServer.Listener.Addr(), operatorToken, peerKey)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	limits := fmt.Sprintf("ulimit -v %d", addressSpaceKB)
	if maxFDs > 0 {
		limits += fmt.Sprintf(" && ulimit -n %d", maxFDs)
	}
	e.process = startProcess(t, exec.Command("sh", "-c", limits+` && exec "$0" "$@"`, program, settings), addresses)
	e.await(t, func() bool { return e.operate(http.MethodGet, "/v1/status", "") == http.StatusOK })
	e.await(t, func() bool { return e.operate(http.MethodPost, "/v1/config", acceptance(t)) == http.StatusOK })
	e.await(t, func() bool { return e.request() == http.StatusOK })
	return e
}

// acceptance returns the body that puts a configuration with one service in force.
func acceptance(t *testing.T) string {
	t.Helper()
	body, err := json.Marshal(ops.Acceptance{Who: "test", Config: croft.Config{
		Pools: []croft.Pool{
			{ID: "intake", Promise: 990_000, MinServing: 1, Size: 3, WaveSize: 1},
			{ID: "spare", Promise: 900_000, Spare: true, WaveSize: 1},
		},
		Teams: []croft.Team{{ID: "camps", Quota: croft.Resources{MilliCores: 40_000, MemoryMB: 60_000}}},
		Services: []croft.Service{{ID: "intake", Team: "camps", Pool: "intake", Kinds: []croft.Kind{
			{ID: "reading", FloorShare: 500, Deadline: 2 * croft.Second, Repeatable: true, MeanRate: 10_000},
		}}},
	}})
	assert.NilError(t, err)
	return string(body)
}

// Types of requests by their Content-Type, which executors receive.
const (
	typeLarge = "text/large"
	typeSlow  = "text/slow"
)

// vmsWithExecutors returns VMs whose executors answer every request: those of typeLarge with answerBytes, and those of typeSlow after
// a second.
func vmsWithExecutors(t *testing.T, count int) []croft.VM {
	t.Helper()
	large := bytes.Repeat([]byte("a"), answerBytes)
	var vms []croft.VM
	for i := range count {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			answer := []byte("done")
			switch r.Header.Get("Content-Type") {
			case typeLarge:
				answer = large
			case typeSlow:
				time.Sleep(time.Second)
			}
			w.Header().Set(invoke.HeaderAttempt, r.Header.Get(invoke.HeaderAttempt))
			w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
			_, _ = w.Write(answer)
		}))
		t.Cleanup(server.Close)
		vms = append(vms, croft.VM{
			ID: croft.VMID(fmt.Sprintf("vm%d", i)), DataCentre: "a", Rack: croft.RackID(fmt.Sprintf("r%d", i)), Boot: 1,
			Address: server.Listener.Addr().String(), Status: croft.VMLive, Room: croft.Resources{MilliCores: 16_000, MemoryMB: 30_720},
		})
	}
	return vms
}

// request sends a small request of a caller and returns the status, zero without a response.
func (e *ownEntry) request() int {
	return statusOf(http.MethodPost, e.callers, "/v1/intake/reading", "small")
}

// operate sends a request of an operator and returns the status, zero without a response.
func (e *ownEntry) operate(method, path, body string) int {
	return statusOf(method, e.operators, path, body, "Authorization", "Bearer "+operatorToken)
}

// probePeer sends a message of another entry and reports whether it was answered.
func (e *ownEntry) probePeer(t *testing.T) bool {
	client := peer.NewClient([]byte(peerKey), (&net.Dialer{}).DialContext, links.NewMeter())
	defer client.Close()
	return client.Call(t.Context(), e.peers, peer.MethodFleet, peer.FleetQuestion{}, &peer.FleetAnswer{}) == nil
}

// settle repeats an ordinary request until it is answered, as clients do after a refusal; it reports whether it was.
func (e *ownEntry) settle(answered func() bool) bool {
	const limit = 2 * time.Minute
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if answered() {
			return true
		}
		select {
		case <-e.exited:
			return false
		case <-time.After(time.Second):
		}
	}
	return false
}

// checkServes checks that the entry answers one ordinary request at each listener.
func (e *ownEntry) checkServes(t *testing.T) {
	t.Helper()
	assert.Check(t, e.settle(func() bool { return e.request() == http.StatusOK }), "a caller was not answered")
	assert.Check(t, e.settle(func() bool { return e.operate(http.MethodGet, "/v1/status", "") == http.StatusOK }), "an operator was not answered")
	assert.Check(t, e.settle(func() bool { return e.probePeer(t) }), "another entry was not answered")
}

// bodyScripts adds the scripts of clients that send a body in the usual ways: whole or in pieces, with its length, in chunks or after
// Expect: 100-continue. head returns the headers of a request, given those of its body.
func bodyScripts(out map[string]script, suffix, address string, body []byte, head func(bodyHeaders string) func(int) string) {
	short, end := body[:len(body)-missingBytes], body[len(body)-missingBytes:]
	length := fmt.Sprintf("Content-Length: %d", len(body))
	sized, streamed := head(length), head("Transfer-Encoding: chunked")
	lastChunk := append(chunked(end, missingBytes), "0\r\n\r\n"...)
	out["whole"+suffix] = script{address, sized, short, end, len(body)}
	out["pieces"+suffix] = script{address, sized, short, end, 2 << 10}
	out["large-chunks"+suffix] = script{address, streamed, chunked(short, 16<<10), lastChunk, 64 << 10}
	out["small-chunks"+suffix] = script{address, streamed, chunked(short, 4), lastChunk, 4 << 10}
	out["expect"+suffix] = script{address, head("Expect: 100-continue\r\n" + length), short, end, 2 << 10}
}

// ownScripts returns the scripts of the crowds at an entry with its own settings, by name.
func ownScripts(e *ownEntry) map[string]script {
	out := map[string]script{}
	post := func(path, headers string) func(string) func(int) string {
		return func(bodyHeaders string) func(int) string {
			return func(int) string {
				return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s%s\r\n\r\n", path, headers, bodyHeaders)
			}
		}
	}
	reading := bytes.Repeat([]byte("r"), ownBodyBytes)
	bodyScripts(out, "", e.callers, reading, post("/v1/intake/reading", ""))
	cancellation := []byte(`{"IDs": [` + strings.Repeat(`"a",`, (ownOperatorBytes-20)/4) + `"a"]}`)
	token := "Authorization: Bearer " + operatorToken + "\r\n"
	bodyScripts(out, "-operators", e.operators, cancellation, post("/v1/jobs/cancel", token))
	none := func(int) string { return "" }
	partOfHead := func(int) string { return "GET /ready HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 15<<10) }
	length := fmt.Sprintf("Content-Length: %d", len(reading))
	short, end := reading[:len(reading)-missingBytes], reading[len(reading)-missingBytes:]
	large := strings.Repeat("POST /v1/intake/reading HTTP/1.1\r\nHost: h\r\nContent-Type: "+typeLarge+"\r\nContent-Length: 0\r\n\r\n", 100)
	lists := strings.Repeat("GET /debug/vars HTTP/1.1\r\nHost: h\r\n"+token+"\r\n", 500)
	for name, s := range map[string]script{
		"headers":           {e.callers, partOfHead, nil, []byte("\r\n\r\n"), 1},
		"idle":              {e.callers, none, nil, nil, 1},
		"unknown-service":   {e.callers, post("/v1/none/none", "")(length), short, end, len(reading)},
		"ready-bodies":      {e.callers, func(int) string { return "GET /ready HTTP/1.1\r\nHost: h\r\n" + length + "\r\n\r\n" }, short, end, len(reading)},
		"queued":            {e.callers, post("/v1/intake/reading", "Content-Type: "+typeSlow+"\r\n")(length), reading, nil, len(reading)},
		"no-reading":        {e.callers, none, []byte(large), nil, 16 << 10},
		"headers-operators": {e.operators, partOfHead, nil, []byte("\r\n\r\n"), 1},
		"idle-operators":    {e.operators, none, nil, nil, 1},
		"denied-operators":  {e.operators, post("/v1/jobs/cancel", "")(length), short, end, len(reading)},
		"reading-operators": {e.operators, none, []byte(lists), nil, 16 << 10},
		"idle-peers":        {e.peers, none, nil, nil, 1},
		"denied-peers":      {e.peers, none, reading, nil, len(reading)},
	} {
		out[name] = s
	}
	return out
}

// largeMessage is most of a message of another entry, and announces 64 MiB.
func largeMessage() []byte {
	const announced, sent = 64 << 20, 4 << 20
	message := binary.AppendUvarint(nil, announced)
	message = append(message, `{"jsonrpc":"2.0","id":1,"method":"Probe","params":"`...)
	return append(message, bytes.Repeat([]byte("a"), sent)...)
}

// proveKey proves on a new connection that the client holds the key of the entries.
func proveKey(conn net.Conn) error {
	const challengeBytes, dialer = 32, 'D'
	challenge := make([]byte, challengeBytes)
	if _, err := conn.Write(challenge); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, challenge); err != nil {
		return err
	}
	mac := hmac.New(sha256.New, []byte(peerKey))
	mac.Write(append([]byte{dialer}, challenge...))
	if _, err := conn.Write(mac.Sum(nil)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, sha256.Size))
	return err
}

// fleetRequests are many requests of another entry for the fleet.
func fleetRequests() []byte {
	const count = 2000
	request := `{"jsonrpc":"2.0","id":1,"method":"Fleet","params":{}}`
	return bytes.Repeat(append(binary.AppendUvarint(nil, uint64(len(request))), request...), count)
}

// gatherPeers connects all clients at once as other entries that hold the key; each sends a message and reads nothing.
func gatherPeers(t *testing.T, address string, message []byte) {
	t.Helper()
	gatherConns(t, func(int) net.Conn {
		conn, err := net.DialTimeout("tcp", address, clientTimeout)
		if err != nil {
			return nil
		}
		_ = conn.SetDeadline(time.Now().Add(clientTimeout))
		if proveKey(conn) == nil {
			// An error means that the entry has closed the connection, which it may do.
			_, _ = conn.Write(message)
		}
		return conn
	})
}

// ownNames are the names of the crowds at an entry with its own settings.
var ownNames = []string{
	"whole", "pieces", "large-chunks", "small-chunks", "expect", "headers", "idle", "unknown-service", "ready-bodies", "queued", "no-reading",
	"whole-operators", "pieces-operators", "large-chunks-operators", "small-chunks-operators", "expect-operators",
	"headers-operators", "idle-operators", "denied-operators", "reading-operators",
	"idle-peers", "denied-peers", "messages-peers", "reading-peers",
}

// playOwn plays a crowd at the entry.
func playOwn(t *testing.T, e *ownEntry, name string) {
	t.Helper()
	switch name {
	case "messages-peers":
		gatherPeers(t, e.peers, largeMessage())
		return
	case "reading-peers":
		gatherPeers(t, e.peers, fleetRequests())
		return
	}
	s, ok := ownScripts(e)[name]
	assert.Assert(t, ok)
	gather(t, s)
}

// Guards against clients that end or stall an entry with its own settings by holding bodies and responses open: the entry exceeded
// its memory.
func TestEntryWithOwnSettingsStandsCrowds(t *testing.T) {
	for _, name := range ownNames {
		t.Run(name, func(t *testing.T) {
			e := startOwnEntry(t, 0)
			before := e.usage(t)
			playOwn(t, e, name)
			unread := e.unreadKB(t)
			e.checkServes(t)
			after := e.usage(t)
			after.unreadKB = unread
			t.Logf("%+v before, %+v after", before, after)
			after.check(t, ownMemoryMB, 1<<20)
		})
	}
}

// Guards against clients that take the descriptors of an entry with its own settings: the process ended, since the listener for
// other entries failed.
func TestEntryWithOwnSettingsStandsConnections(t *testing.T) {
	for _, name := range []string{"idle", "headers", "no-reading", "idle-operators", "idle-peers", "messages-peers"} {
		t.Run(name, func(t *testing.T) {
			e := startOwnEntry(t, ownMaxFDs)
			playOwn(t, e, name)
			e.checkServes(t)
			after := e.usage(t)
			t.Logf("%+v", after)
			after.check(t, ownMemoryMB, ownMaxFDs)
		})
	}
}

// Guards against limits that refuse a single request within the documented limits.
func TestEntryWithOwnSettingsServesTheLargestBodies(t *testing.T) {
	e := startOwnEntry(t, 0)
	body := strings.Repeat("r", ownBodyBytes)
	assert.Equal(t, statusOf(http.MethodPost, e.callers, "/v1/intake/reading", body), http.StatusOK)
	assert.Equal(t, statusOf(http.MethodPost, e.callers, "/v1/intake/reading", body, "Content-Type", typeLarge), http.StatusOK)
	assert.Equal(t, statusOf(http.MethodPost, e.callers, "/v1/intake/reading", body+"r"), http.StatusRequestEntityTooLarge)
	text := `{"IDs": ["a"]}`
	text += strings.Repeat(" ", ownOperatorBytes-len(text))
	assert.Equal(t, e.operate(http.MethodPost, "/v1/jobs/cancel", text), http.StatusConflict, "there is no such job")
	assert.Equal(t, e.operate(http.MethodPost, "/v1/jobs/cancel", text+" "), http.StatusRequestEntityTooLarge)
}
