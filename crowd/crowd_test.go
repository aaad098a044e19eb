package crowd

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The crowd. Its bodies take more than the entry's memory and its connections more than its descriptors.
const (
	clients = 400
	// missingBytes is how much of its body a client does not send.
	missingBytes = 64
	// wholeEvery is the share of clients that send their bodies whole: one in so many.
	wholeEvery = 10
	// clientTimeout ends the writes of a client that the entry neither reads nor closes.
	clientTimeout = 30 * time.Second
)

// largeBody is a valid job of exactly maxBodyBytes with 9,984 tasks.
func largeBody() []byte {
	const steps, label = 256, 900
	step := `{"count":39,"cpu":500,"requires":"` + strings.Repeat("r", label) + `"},`
	body := `{"spec":"s","steps":[` + strings.TrimSuffix(strings.Repeat(step, steps), ",") + `]`
	return []byte(body + strings.Repeat(" ", maxBodyBytes-len(body)-1) + "}")
}

// paddedBody is a valid job of exactly maxBodyBytes with one task, which takes no memory of the planner once it is stored.
func paddedBody() []byte {
	const body = `{"spec":"s","steps":[{"count":1,"cpu":500}]`
	return []byte(body + strings.Repeat(" ", maxBodyBytes-len(body)-1) + "}")
}

// chunked returns the body in chunks of a size, without the last chunk.
func chunked(body []byte, size int) []byte {
	out := make([]byte, 0, len(body)+len(body)/size*10+20)
	for len(body) > 0 {
		n := min(size, len(body))
		out = fmt.Appendf(out, "%x\r\n", n)
		out = append(append(out, body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return out
}

// script is what a client sends.
type script struct {
	address string
	// head is sent first, then body in pieces of pieceBytes, and end only by those that send their requests whole.
	head       func(number int) string
	body, end  []byte
	pieceBytes int
}

// play connects and sends; it returns the connection, which stays open, nil if none was made.
func (s script) play(number int) net.Conn {
	conn, err := net.DialTimeout("tcp", s.address, clientTimeout)
	if err != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(clientTimeout))
	parts := [][]byte{[]byte(s.head(number))}
	for rest := s.body; len(rest) > 0; {
		n := min(s.pieceBytes, len(rest))
		parts = append(parts, rest[:n])
		rest = rest[n:]
	}
	if number%wholeEvery == 0 {
		parts = append(parts, s.end)
	}
	for _, part := range parts {
		// An error means that the entry has closed the connection, which it may do.
		if _, err := conn.Write(part); err != nil {
			break
		}
	}
	return conn
}

// gather plays the script as all clients at once and returns when each has sent what it can. The connections stay open until
// the test ends.
func gather(t *testing.T, s script) {
	t.Helper()
	gatherConns(t, s.play)
}

// gatherConns plays all clients at once; play returns the connection of one, nil if it made none.
func gatherConns(t *testing.T, play func(number int) net.Conn) {
	t.Helper()
	conns := make([]net.Conn, clients)
	var group sync.WaitGroup
	for i := range conns {
		group.Go(func() { conns[i] = play(i) })
	}
	group.Wait()
	t.Cleanup(func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	})
}

func submitHead(headers string) func(int) string {
	return func(number int) string {
		return fmt.Sprintf("POST /q/%016x HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", number+1, headers)
	}
}

// scripts returns the scripts of the crowds by name.
func scripts(e *entry) map[string]script {
	out := otherScripts(e)
	for suffix, body := range map[string][]byte{"": largeBody(), "-one-task": paddedBody()} {
		bodyScripts(out, suffix, e.callers, body, submitHead)
	}
	return out
}

// sized begins a request whose body has maxBodyBytes.
var sized = submitHead(fmt.Sprintf("Content-Length: %d", maxBodyBytes))

// otherScripts returns the scripts that are not about the bodies of callers.
func otherScripts(e *entry) map[string]script {
	body := largeBody()
	short, end := body[:len(body)-missingBytes], body[len(body)-missingBytes:]
	partOfHead := func(int) string { return "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 15<<10) }
	endOfHead := []byte("\r\n\r\n")
	statusRequests := []byte(strings.Repeat("GET /q/00000000000000ff HTTP/1.1\r\nHost: h\r\n\r\n", 2000))
	metricsRequests := []byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 2000))
	none := func(int) string { return "" }
	return map[string]script{
		"headers":         {e.callers, partOfHead, nil, endOfHead, 1},
		"idle":            {e.callers, none, nil, nil, 1},
		"no-reading":      {e.callers, none, statusRequests, nil, 16 << 10},
		"ready-headers":   {e.ready, partOfHead, nil, endOfHead, 1},
		"ready-bodies":    {e.ready, sized, short, end, len(body)},
		"metrics-headers": {e.metrics, partOfHead, nil, endOfHead, 1},
		"metrics-reading": {e.metrics, none, metricsRequests, nil, 16 << 10},
	}
}

// Guards against clients that end or stall an entry by holding connections and bodies open: the entry exceeded its memory and
// its descriptors, for which the platform kills it or refuses its calls.
func TestEntryStandsCrowds(t *testing.T) {
	for _, name := range []string{
		"whole", "pieces", "large-chunks", "small-chunks",
		"whole-one-task", "pieces-one-task", "large-chunks-one-task", "small-chunks-one-task", "expect-one-task",
		"headers", "idle", "no-reading", "ready-headers", "ready-bodies", "metrics-headers", "metrics-reading",
	} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t)
			before := e.usage(t)
			gather(t, scripts(e)[name])
			unread := e.unreadKB(t)
			status, probe := e.submit("abcdef0123456789"), e.probe()
			after := e.usage(t)
			after.unreadKB = unread
			t.Logf("%+v before, %+v after, job %d, probe %d", before, after, status, probe)
			after.check(t, memoryMB, maxFDs)
			assert.Check(t, status == http.StatusOK, "an ordinary job was answered %d", status)
			assert.Check(t, probe == http.StatusOK, "a readiness probe was answered %d", probe)
		})
	}
}

// Guards against limits that refuse a single request within the documented limits.
func TestEntryServesTheLargestBody(t *testing.T) {
	e := startEntry(t)
	body := `{"spec":"s","steps":[{"count":10000,"cpu":500}]`
	body += strings.Repeat(" ", maxBodyBytes-len(body)-1) + "}"
	assert.Equal(t, statusOf(http.MethodPost, e.callers, "/q/abcdef0123456789", body), http.StatusOK)
	assert.Equal(t, statusOf(http.MethodPost, e.callers, "/q/abcdef012345678a", body+" "), http.StatusRequestEntityTooLarge)
}

// Guards against stored jobs that end each new leader, which decoded all of them before it parked any: some 100 KB for each.
func TestLeaderStandsStoredJobs(t *testing.T) {
	const jobs, id = 2000, "00000000000000aa"
	s := newStore(t, config)
	former := startEntryOn(t, s)
	assert.Equal(t, statusOf(http.MethodPost, former.callers, "/q/"+id, string(storedBody())), http.StatusOK)
	former.stop(t)
	var ids []string
	for i := range jobs {
		ids = append(ids, fmt.Sprintf("%016x", i+0x1000))
	}
	s.copyJob(id, ids)
	e := startEntryOn(t, s)
	e.await(t, func() bool { return strings.Contains(e.output.String(), "all stored jobs have been read") })
	status, probe := e.submit("abcdef0123456789"), e.probe()
	after := e.usage(t)
	t.Logf("%+v, job %d, probe %d", after, status, probe)
	after.check(t, memoryMB, maxFDs)
	assert.Check(t, status == http.StatusOK || status == http.StatusTooManyRequests, "an ordinary job was answered %d", status)
	assert.Check(t, probe == http.StatusOK, "a readiness probe was answered %d", probe)
}

// storedBody is a valid job of 256 steps, whose record is small once it is compressed.
func storedBody() []byte {
	const steps = 256
	step := `{"count":39,"cpu":500,"requires":"` + strings.Repeat("r", 200) + `"},`
	return []byte(`{"spec":"s","steps":[` + strings.TrimSuffix(strings.Repeat(step, steps), ",") + `]}`)
}

// incompressibleBody is a valid job of 256 steps whose record takes some 50 KB once it is compressed.
func incompressibleBody(number int) string {
	const steps, labelBytes = 256, 200
	random := rand.NewChaCha8([32]byte{byte(number), byte(number >> 8)})
	label := make([]byte, labelBytes)
	body := `{"spec":"s","steps":[`
	for i := range steps {
		_, _ = random.Read(label)
		if i > 0 {
			body += ","
		}
		body += `{"count":39,"cpu":500,"requires":"` + hex.EncodeToString(label) + `"}`
	}
	return body + "]}"
}

// Guards against accepted jobs that take the leader's memory, and that of the entries which stand by: their records were not limited.
func TestLeaderStandsLargeRecords(t *testing.T) {
	const jobs = 1500
	e := startEntry(t)
	counts := map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	numbers := make(chan int)
	for range 20 {
		group.Go(func() {
			for number := range numbers {
				status := statusOf(http.MethodPost, e.callers, fmt.Sprintf("/q/%016x", number+1), incompressibleBody(number))
				mu.Lock()
				counts[status]++
				mu.Unlock()
			}
		})
	}
	for number := range jobs {
		numbers <- number
	}
	close(numbers)
	group.Wait()
	status, probe := e.submit("abcdef0123456789"), e.probe()
	after := e.usage(t)
	t.Logf("%+v, jobs %v, then %d, probe %d", after, counts, status, probe)
	after.check(t, memoryMB, maxFDs)
	assert.Check(t, counts[http.StatusOK] > 0, "%v", counts)
	assert.Check(t, status == http.StatusOK || status == http.StatusTooManyRequests, "an ordinary job was answered %d", status)
	assert.Check(t, probe == http.StatusOK, "a readiness probe was answered %d", probe)
}
