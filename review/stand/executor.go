//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of executors, as in the example of the settings file.
const (
	maxHold      = 10 * time.Second
	stopDuration = 20 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	maxListed    = 500
)

// span is one run of a task as an executor saw it, in milliseconds of the record.
type span struct {
	task     string
	run      int
	executor string
	born     int64
	start    int64
	end      int64
	// how is how the run ended, empty while it runs; notedAt is when last_seen reached the end.
	how     string
	notedAt int64
	saved   string
	// lapsed reports that the executor's lease lapsed between the end and notedAt.
	lapsed bool
	// killed reports that the executor went down with the run.
	killed bool
}

// ledger has all runs of all executors in the order of their starts.
type ledger struct {
	mu    sync.Mutex
	spans []*span
}

func (l *ledger) add(s *span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, s)
}

// byTask returns copies of the runs by task.
func (l *ledger) byTask() map[string][]span {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string][]span{}
	for _, s := range l.spans {
		out[s.task] = append(out[s.task], *s)
	}
	return out
}

// machine is a VM with its rack, which keeps its place while executors come and go.
type machine struct {
	id, pool, zone, rack, state string
	cpu, memMB                  int64
	exec                        *executor
	// unlisted reports that the VM API leaves the machine out of its list.
	unlisted bool
}

// executor is one life of an executor.
type executor struct {
	id, service, address string
	vm                   *machine
	w                    *world
	server               *http.Server
	stopped              chan struct{}

	mu    sync.Mutex
	began time.Time
	born  int64
	fence uint64
	// until is when the lease ends, by this executor's clock.
	until   int64
	running map[string]*activeRun
	// last has the highest run of each task that ended or was stopped here.
	last  map[string]int
	ended []endedRun
	count int64
	// wake is closed when a run ends.
	wake chan struct{}
	down bool
	// tickets reports which jobs need a ticket and has the valid ones.
	needsTicket func(task string) (string, bool)
}

type activeRun struct {
	span     *span
	timer    *time.Timer
	duration time.Duration
	stopping bool
}

type endedRun struct {
	n    int64
	span *span
}

// startExecutor starts an executor on a machine. A given address is used again.
func (w *world) startExecutor(vm *machine, id, address string) *executor {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		w.cannotRun("executor: %v", err)
	}
	e := &executor{
		id: id, service: vm.pool, address: l.Addr().String(), vm: vm, w: w, stopped: make(chan struct{}), began: time.Now(), born: time.Now().UnixMilli(),
		running: map[string]*activeRun{}, last: map[string]int{}, wake: make(chan struct{}), needsTicket: w.needsTicket,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", e.serveStart)
	mux.HandleFunc("POST /-/run-stop", e.serveStop)
	mux.HandleFunc("POST /-/hold", e.serveHold)
	mux.HandleFunc("POST /-/pace", e.servePace)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	w.mu.Lock()
	vm.exec, vm.state = e, "up"
	w.mu.Unlock()
	w.rec.note(id, "up on machine %s of pool %s at %s, born %d", vm.id, vm.pool, e.address, e.born)
	go e.register()
	go e.watchLease()
	return e
}

// register keeps the entry of the executor in the store.
func (e *executor) register() {
	for {
		e.mu.Lock()
		down, clock := e.down, e.clock()
		e.mu.Unlock()
		if down {
			return
		}
		e.w.store.put("servers", e.id, map[string]any{
			"service": e.service, "address": e.address, "zone": e.vm.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"capacity": map[string]int64{"cpu": e.vm.cpu, "mem_mb": e.vm.memMB, "gpu": 0}, "labels": []string{"a", e.vm.rack}, "clock_ms": clock, "born": e.born, "seq": clock,
		})
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

// clock is the executor's steady clock in milliseconds; the caller holds e.mu.
func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() + 1000 }

// watchLease ends everything that runs once the lease is over.
func (e *executor) watchLease() {
	for {
		select {
		case <-e.stopped:
			return
		case <-time.After(10 * time.Millisecond):
		}
		e.mu.Lock()
		if !e.down && e.until > 0 && e.clock() > e.until {
			for _, r := range e.running {
				r.timer.Stop()
				e.end(r, "lapsed")
			}
			for _, end := range e.ended {
				end.span.lapsed = true
			}
		}
		e.mu.Unlock()
	}
}

// crash ends the executor at once: it loses all that it runs and knows, and its connections are reset. It reports whether the
// executor was up.
func (e *executor) crash() bool {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return false
	}
	e.down = true
	close(e.stopped)
	now := e.w.rec.now()
	for _, r := range e.running {
		r.timer.Stop()
		r.span.end, r.span.killed = now, true
	}
	n := len(e.running)
	e.running = map[string]*activeRun{}
	e.mu.Unlock()
	e.w.mu.Lock()
	if e.vm.exec == e {
		// The machine is up; its executor is back soon.
		e.vm.exec = nil
	}
	e.w.mu.Unlock()
	e.w.rec.note(e.id, "goes down with %d runs", n)
	_ = e.server.Close()
	return true
}

// end records the end of a run; the caller holds e.mu.
func (e *executor) end(r *activeRun, how string) {
	s := r.span
	if e.running[s.task] != r {
		return
	}
	delete(e.running, s.task)
	s.end, s.how = e.w.rec.now(), how
	e.last[s.task] = max(e.last[s.task], s.run)
	e.count++
	e.ended = append(e.ended, endedRun{e.count, s})
	e.w.rec.note(e.id, "run %d of %s ends %s", s.run, s.task, how)
	close(e.wake)
	e.wake = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	Saved      string `json:"saved"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int    `json:"wait_ms"`
}

// receive decodes an order and checks what all orders have in common. It returns with e.mu held if the order may be
// carried out.
func (e *executor) receive(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if r.Header.Get("Waxwingcroft-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.FenceToken < e.fence {
		e.refuse(w, "fence")
		e.mu.Unlock()
		return o, false
	}
	e.fence = o.FenceToken
	return o, true
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "born": e.born, "reason": reason})
}

func (e *executor) accept(w http.ResponseWriter) {
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born})
}

// extend lengthens the lease; the caller holds e.mu.
func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	o, ok := e.receive(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.extend(o.UntilMs)
	if a := e.running[o.Task]; a != nil && a.span.run == o.Run {
		e.accept(w)
		return
	}
	if a := e.running[o.Task]; (a != nil && o.Run <= a.span.run) || o.Run <= e.last[o.Task] {
		e.refuse(w, "old")
		return
	}
	if e.until <= e.clock() {
		e.refuse(w, "late")
		return
	}
	if e.needsTicket != nil {
		if ticket, needed := e.needsTicket(o.Task); needed && ticket != o.Ticket {
			e.w.noteTicketRefusal(e.id, o)
			e.refuse(w, "ticket")
			return
		}
	}
	duration, how := e.w.work(o.Task, o.Run)
	s := &span{task: o.Task, run: o.Run, executor: e.id, born: e.born, start: e.w.rec.now(), saved: o.Saved}
	e.w.runs.add(s)
	e.w.rec.note(e.id, "run %d of %s starts, fence %d", o.Run, o.Task, o.FenceToken)
	a := &activeRun{span: s, duration: duration}
	e.running[o.Task] = a
	a.timer = time.AfterFunc(duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.down && !a.stopping {
			e.end(a, how)
		}
	})
	e.accept(w)
	if e.w.onStart != nil {
		go e.w.onStart(e, o.Task)
	}
}

func (e *executor) serveStop(w http.ResponseWriter, r *http.Request) {
	o, ok := e.receive(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	e.last[o.Task] = max(e.last[o.Task], o.Run)
	if a := e.running[o.Task]; a != nil && a.span.run <= o.Run && !a.stopping {
		a.stopping = true
		a.timer.Stop()
		e.w.rec.note(e.id, "run %d of %s is told to stop", a.span.run, o.Task)
		time.AfterFunc(stopDuration, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if !e.down {
				e.end(a, "stopped")
			}
		})
	}
	e.accept(w)
}

func (e *executor) servePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := e.receive(w, r); ok {
		e.accept(w)
		e.mu.Unlock()
	}
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.receive(w, r)
	if !ok {
		return
	}
	e.extend(o.UntilMs)
	now := e.w.rec.now()
	for len(e.ended) > 0 && e.ended[0].n <= o.LastSeen {
		e.ended[0].span.notedAt = now
		e.ended = e.ended[1:]
	}
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(e.ended) == 0; {
		wake := e.wake
		e.mu.Unlock()
		select {
		case <-wake:
		case <-deadline:
			waiting = false
		case <-e.stopped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, a := range e.running {
		elapsed := e.w.rec.now() - a.span.start
		percent := min(99, elapsed*100/max(a.duration.Milliseconds(), 1))
		if a.duration > time.Hour {
			percent = 100
		}
		running = append(running, []any{a.span.task, a.span.run, "", percent, 0})
	}
	for _, end := range e.ended[:min(len(e.ended), maxListed)] {
		ended = append(ended, []any{end.n, end.span.task, end.span.run, end.span.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born, "running": running, "ended": ended})
}

// jobOf returns the job's ID in the name of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// describe lists runs for the record.
func describe(spans []span) string {
	var b strings.Builder
	for _, s := range spans {
		fmt.Fprintf(&b, "  run %d on %s: started %d, ended %d %s", s.run, s.executor, s.start, s.end, s.how)
		if s.killed {
			b.WriteString("with its executor")
		}
		if s.notedAt > 0 {
			fmt.Fprintf(&b, ", taken note of %d", s.notedAt)
		}
		b.WriteString("\n")
	}
	return b.String()
}
