//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["twice"] = func(w *world) []string { return caseTwice(w, quickOrder) }
	cases["twiceslow"] = func(w *world) []string { return caseTwice(w, slowOrder) }
}

// Figures of caseTwice.
const (
	twiceMachines = 24
	twiceDuration = 20 * time.Second
	twiceCap      = 6
	// quickOrder and slowOrder are how long the VM API takes to answer an order.
	quickOrder = 5 * time.Millisecond
	slowOrder  = 60 * time.Millisecond
	// minCopyDelay and maxCopyDelay bound how late the second copy of an answer is.
	minCopyDelay = 20 * time.Millisecond
	maxCopyDelay = 200 * time.Millisecond
	// busyTime is how long every second machine is busy from its first order on.
	busyTime = time.Second
)

// repeater serves the VM API over plain connections and sends some answers to orders twice.
type repeater struct {
	w         *world
	api       http.Handler
	orderTime time.Duration

	mu sync.Mutex
	// busyUntil has the machines that are busy for a while after their first order.
	busyUntil map[string]time.Time
	// sent counts the second copies, and onIdle those of them that came while no order that had been read waited on the
	// connection.
	sent, onIdle int
	// met has the machine of each order that waited when a second copy came, with the status of its own answer.
	met []metOrder
}

// metOrder is an order that a second copy of another order's answer came for.
type metOrder struct {
	machine string
	status  int
}

// repeatedConn is a connection of the entry.
type repeatedConn struct {
	net.Conn
	mu sync.Mutex
	// waiting is the machine of the order that is unanswered, and copied counts the copies that came meanwhile.
	waiting string
	copied  int
}

// answer is a response that is kept until it is sent.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

// encode returns the response as it is on the wire.
func (a *answer) encode() []byte {
	resp := http.Response{
		StatusCode: a.status, ProtoMajor: 1, ProtoMinor: 1, Header: a.header, ContentLength: int64(a.body.Len()), Body: io.NopCloser(&a.body),
	}
	var raw bytes.Buffer
	// Writing to a buffer does not fail.
	_ = resp.Write(&raw)
	return raw.Bytes()
}

// listen starts serving and returns the address.
func (r *repeater) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.w.cannotRun("listen: %v", err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(&repeatedConn{Conn: conn})
		}
	}()
	return l.Addr().String()
}

// serve answers the requests on one connection.
func (r *repeater) serve(c *repeatedConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		var o machineOrder
		if req.Method == http.MethodPost && json.Unmarshal(body, &o) != nil {
			return
		}
		c.begin(o.Machine)
		a := &answer{header: http.Header{}, status: http.StatusOK}
		if o.Machine != "" {
			time.Sleep(r.orderTime)
		}
		if o.Machine != "" && r.isBusy(o.Machine) {
			_, _ = fmt.Sscan(req.Header.Get("Waxwingcroft-Fencing-Token"), &o.fence)
			r.w.answerOrder(a, o, http.StatusConflict, "busy")
		} else {
			r.api.ServeHTTP(a, req)
		}
		raw := a.encode()
		copied, err := c.finish(raw)
		if err != nil {
			return
		}
		if copied > 0 {
			r.recordMet(o.Machine, a.status)
		}
		if r.w.trouble && o.Machine != "" && a.status == http.StatusOK {
			delay := minCopyDelay + rand.N(maxCopyDelay-minCopyDelay)
			time.AfterFunc(delay, func() { r.sendCopy(c, raw, o.Machine, delay) })
		}
	}
}

// begin records that an order waits for its answer.
func (c *repeatedConn) begin(machine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.copied = machine, 0
}

// finish sends an answer and returns how many copies of others came before it.
func (c *repeatedConn) finish(raw []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = ""
	_, err := c.Write(raw)
	return c.copied, err
}

// isBusy reports whether a machine is busy: every second one is for busyTime from its first order on.
func (r *repeater) isBusy(id string) bool {
	var n int
	_, _ = fmt.Sscanf(id, "m-%d", &n)
	if n%2 == 1 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busyUntil[id].IsZero() {
		r.busyUntil[id] = time.Now().Add(busyTime)
	}
	return time.Now().Before(r.busyUntil[id])
}

// sendCopy sends the answer to the order for a machine a second time.
func (r *repeater) sendCopy(c *repeatedConn, raw []byte, machine string, delay time.Duration) {
	c.mu.Lock()
	waiting := c.waiting
	_, err := c.Write(raw)
	if waiting != "" {
		c.copied++
	}
	c.mu.Unlock()
	if err != nil {
		r.w.rec.note("cloud", "the connection was closed before the second copy of the answer for %s", machine)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if waiting == "" {
		r.onIdle++
	}
	r.w.rec.note("cloud", "second copy of the answer for %s after %v; the order that waits on the connection: %q", machine, delay, waiting)
}

// recordMet records the status of an order for which copies of other answers came.
func (r *repeater) recordMet(machine string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.met = append(r.met, metOrder{machine, status})
	r.w.rec.note("cloud", "own answer of the order for %s that a second copy came for: %d", machine, status)
}

// caseTwice lets the VM API answer each accepted order twice, the second time late, and refuse other orders as busy. The
// machines are spare ones, so that several orders are sent at once.
func caseTwice(w *world, orderTime time.Duration) []string {
	r := &repeater{w: w, api: w.cloud(), orderTime: orderTime, busyUntil: map[string]time.Time{}}
	w.cloudAddress = r.listen()
	w.startExecutor(w.addMachine("m-front", "intake", "r1-1", 16000, 32768), "i-front", "")
	ids := []string{}
	for i := range twiceMachines {
		ids = append(ids, w.addMachine(fmt.Sprintf("m-%d", i+1), "spare", "r1-2", 16000, 32768).id)
	}
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake")}, "intake", "spare")
	w.startEntry()
	w.awaitReady()
	time.Sleep(settled)
	w.admitWave(1, ids)
	w.writeWave(1, ids, twiceDuration, twiceCap)
	w.awaitWave(1)
	findings := w.judgeWave(1)
	time.Sleep(afterDone)
	w.sayUpkeeps(1)
	w.sayFinished()
	w.sayCopies(r)
	return findings
}

// sayCopies says how many second copies there were, and how many of them the entry took as the answer of another order.
func (w *world) sayCopies(r *repeater) {
	accepted := []string{}
	for _, l := range w.entryLines("Begun", "Accepted") {
		accepted = append(accepted, l.Subject)
	}
	taken := 0
	for _, id := range w.awaiting(1) {
		if slices.Contains(accepted, id) {
			taken++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := 0
	for _, m := range r.met {
		if m.status == http.StatusConflict {
			refused++
		}
	}
	w.rec.say("second copies: %d sent, %d of them while no order had been read on the connection; %d orders waited when a copy came, %d of them were refused", r.sent, r.onIdle, len(r.met), refused)
	w.rec.say("%d machines counted as accepted though the VM API accepted no order for them", taken)
}
