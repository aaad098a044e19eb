//go:build review3

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// capacity is the room of an executor.
type capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// activeRun is a run on an executor.
type activeRun struct {
	task  string
	run   int
	began time.Time
	// duration is zero for a run that lasts until it is stopped.
	duration time.Duration
	stopping bool
}

// endedRun is a row of the list of ended runs.
type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

// executor is a stand-in of an executor that does not guard its capacity. A run takes as long as the first number of its spec says,
// in milliseconds; zero lasts until the run is stopped.
type executor struct {
	id, service, address, machine string
	room                          capacity
	born                          time.Time
	rec                           *record
	store                         *store
	// onStart is called for each run that begins, with the executor's lock held.
	onStart func(e *executor, task string, run int)
	// kind is the executor's first label.
	kind string
	// lateJob is the job whose first start gets no answer and is kept in late, to be carried out by the next lifetime.
	lateJob string
	late    *order
	// onNoted is called for each end `done` that is taken note of.
	onNoted func(task string)

	server *http.Server

	mu      sync.Mutex
	changed *sync.Cond
	// dead reports that this life of the machine has ended.
	dead bool
	// cutFrom is the fencing token above which the senders of orders have lost their path to the executor, zero for none.
	cutFrom uint64
	fence   uint64
	until   int64
	runs    map[string]*activeRun
	ended   []endedRun
	next    int64
	// barred has the highest run of each task that was stopped or ended here.
	barred map[string]int
}

const maxHold = 10 * time.Second

func newExecutor(id, service, machine string, room capacity, st *store, rec *record) *executor {
	e := &executor{id: id, service: service, machine: machine, room: room, born: time.Now(), store: st, rec: rec, runs: map[string]*activeRun{}, barred: map[string]int{}}
	e.changed = sync.NewCond(&e.mu)
	return e
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// serve registers the executor and reports every 1.5 s.
func (e *executor) serve() error {
	if e.address == "" {
		e.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go func() {
		for !e.isDead() {
			time.Sleep(10 * time.Millisecond)
			e.expire()
		}
	}()
	e.report(1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(reportInterval)
			if e.isDead() {
				break
			}
			e.report(seq)
		}
		time.Sleep(2 * reportInterval)
		e.store.apply(transaction{Remove: []row{{Table: "servers", Key: e.id}}})
	}()
	return nil
}

// labels are the executor's kind and its rack.
func (e *executor) labels() []string {
	if e.kind == "" {
		return []string{"a", "r1-1"}
	}
	return []string{e.kind, "r1-1"}
}

// reportInterval is the interval of status reports; the entry is removed after three of them without one.
const reportInterval = 1500 * time.Millisecond

func (e *executor) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// crash ends this life of the machine, with all that runs there.
func (e *executor) crash() {
	e.mu.Lock()
	e.dead = true
	e.rec.printf("crash of %s with %d runs", e.id, len(e.runs))
	e.runs = map[string]*activeRun{}
	e.changed.Broadcast()
	e.mu.Unlock()
	_ = e.server.Close()
}

func (e *executor) report(seq int) {
	e.store.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": e.room, "labels": e.labels(), "clock_ms": e.clock(), "seq": seq, "born": e.born.UnixMilli(),
	})
}

// expire ends the runs that are complete, and all of them once their leases have ended.
func (e *executor) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	lapsed := e.until != 0 && e.clock() > e.until
	for _, r := range e.runs {
		switch {
		case lapsed:
			e.end(r, "lapsed")
		case r.stopping:
		case r.duration > 0 && time.Since(r.began) >= r.duration:
			e.end(r, "done")
		}
	}
	if lapsed {
		e.until = 0
	}
}

// end moves a run to the list of ended ones; the caller holds the lock.
func (e *executor) end(r *activeRun, how string) {
	delete(e.runs, r.task)
	e.next++
	e.ended = append(e.ended, endedRun{number: e.next, task: r.task, run: r.run, how: how})
	e.barred[r.task] = max(e.barred[r.task], r.run)
	e.rec.printf("end %s run %d on %s: %s", r.task, r.run, e.id, how)
	e.changed.Broadcast()
}

// count returns the number of runs whose task's name begins with a prefix.
func (e *executor) count(prefix string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for task := range e.runs {
		if strings.HasPrefix(task, prefix) {
			n++
		}
	}
	return n
}

// setCut cuts off the senders whose fencing token is above one, or none.
func (e *executor) setCut(fence uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutFrom = fence
}

func (e *executor) isCutOff(fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutFrom > 0 && fence > e.cutFrom
}

// keepLate keeps the first start of lateJob.
func (e *executor) keepLate(o order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lateJob == "" || e.late != nil || !strings.HasPrefix(o.Task, e.lateJob+".") {
		return false
	}
	e.late = &o
	e.rec.printf("no answer to the start of %s run %d on %s, which is late", o.Task, o.Run, e.id)
	return true
}

// order is the body of the requests to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until_ms"`
	Fence    uint64 `json:"fence_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	}
	if want := r.Header.Get("Waxwingcroft-Expect-Instance"); want != "" && want != e.id {
		writeJSON(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if e.isCutOff(o.Fence) || (r.URL.Path == "/-/run-start" && e.keepLate(o)) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		panic(http.ErrAbortHandler)
	}
	if o.Fence < e.fence {
		e.refuse(w, "fence")
		return
	}
	e.fence = o.Fence
	if o.Until > 0 {
		e.until = max(e.until, min(o.Until, e.clock()+maxHold.Milliseconds()))
	}
	switch r.URL.Path {
	case "/-/run-start":
		e.start(w, o)
	case "/-/run-stop":
		e.stop(w, o)
	case "/-/hold":
		e.hold(w, o)
	case "/-/pace":
		e.answer(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) answer(w http.ResponseWriter, body map[string]any) {
	body["clock_ms"], body["born"] = e.clock(), e.born.UnixMilli()
	writeJSON(w, http.StatusOK, body)
}

func (e *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "reason": reason})
}

func (e *executor) start(w http.ResponseWriter, o order) {
	have := e.runs[o.Task]
	switch {
	case have != nil && have.run == o.Run:
		e.answer(w, map[string]any{})
		return
	case o.Run <= e.barred[o.Task] || have != nil:
		e.refuse(w, "old")
		return
	case o.Until != 0 && o.Until <= e.clock():
		e.refuse(w, "late")
		return
	}
	e.begin(o)
	e.answer(w, map[string]any{})
}

// begin begins a run; the caller holds the lock.
func (e *executor) begin(o order) {
	word, _, _ := strings.Cut(o.Spec, " ")
	ms, _ := strconv.Atoi(word)
	e.runs[o.Task] = &activeRun{task: o.Task, run: o.Run, began: time.Now(), duration: time.Duration(ms) * time.Millisecond}
	e.rec.printf("start %s run %d on %s, fence %d, spec %q", o.Task, o.Run, e.id, o.Fence, o.Spec)
	if e.onStart != nil {
		e.onStart(e, o.Task, o.Run)
	}
}

func (e *executor) stop(w http.ResponseWriter, o order) {
	e.barred[o.Task] = max(e.barred[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
		r.stopping = true
		e.rec.printf("stop %s run %d on %s, fence %d", o.Task, o.Run, e.id, o.Fence)
		time.AfterFunc(100*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[r.task] == r && !e.dead {
				e.end(r, "stopped")
			}
		})
	}
	e.answer(w, map[string]any{})
}

func (e *executor) hold(w http.ResponseWriter, o order) {
	for len(e.ended) > 0 && e.ended[0].number <= o.LastSeen {
		e.rec.printf("taken note of: end of %s run %d on %s", e.ended[0].task, e.ended[0].run, e.id)
		if e.ended[0].how == "done" && e.onNoted != nil {
			e.onNoted(e.ended[0].task)
		}
		e.ended = e.ended[1:]
	}
	deadline := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), e.changed.Broadcast)
	defer timer.Stop()
	for len(e.ended) == 0 && time.Now().Before(deadline) && !e.dead {
		e.changed.Wait()
	}
	if e.dead {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := 100
		if r.duration > 0 {
			percent = min(int(time.Since(r.began)*100/r.duration), 99)
		}
		running = append(running, []any{r.task, r.run, "", percent, 0})
	}
	for _, end := range e.ended[:min(len(e.ended), 500)] {
		ended = append(ended, []any{end.number, end.task, end.run, end.how, ""})
	}
	e.answer(w, map[string]any{"running": running, "ended": ended})
}
