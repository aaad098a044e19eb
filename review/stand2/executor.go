//go:build review2

package main

import (
	"encoding/json"
	"flag"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval of an executor's status reports, maxHold the longest lease and stopTime how long a stop takes.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10_000
	stopTime  = 50 * time.Millisecond
	// failTime is how long after its start a work unit fails that does so.
	failTime = 5 * time.Millisecond
	// holdsInterval is how often the number of holds is recorded.
	holdsInterval = 15 * time.Second
)

// taskRun is a run on an executor.
type taskRun struct {
	run       int
	startedAt time.Time
	length    time.Duration
	stopping  bool
	timer     *time.Timer
}

// endRow is a row of the list of ended runs.
type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

// executor is one lifetime of an executor.
type executor struct {
	id, address, service, store string
	labels                      []string
	capacity                    amount
	life                        string
	record                      *recorder
	began                       time.Time
	born                        int64

	mu       sync.Mutex
	fence    uint64
	until    int64
	runs     map[string]*taskRun
	rejected map[string]int
	ends     []endRow
	lastEnd  int64
	// failing reports that work units that last fail just after their start.
	failing bool
	holds   int
	changed chan struct{}
}

// clock returns the time by the executor's steady clock, in milliseconds since the start of this lifetime.
func (x *executor) clock() int64 { return time.Since(x.began).Milliseconds() }

// runExecutor runs an executor until its process is killed.
func runExecutor(args []string) error {
	flags := flag.NewFlagSet("executor", flag.ExitOnError)
	x := &executor{runs: map[string]*taskRun{}, rejected: map[string]int{}, changed: make(chan struct{}), began: time.Now()}
	listen := flags.String("listen", "", "address to listen at")
	flags.StringVar(&x.id, "id", "", "id of the executor")
	flags.StringVar(&x.address, "address", "", "address to register")
	flags.StringVar(&x.service, "service", "", "service")
	flags.StringVar(&x.store, "store", "", "address of the store")
	flags.StringVar(&x.life, "life", "", "name of this lifetime in the record")
	flags.Int64Var(&x.capacity.CPU, "cpu", 16000, "capacity")
	recordPath := flags.String("record", "", "file of the record")
	kind := flags.String("kind", "a", "label of the executor's kind")
	rack := flags.String("rack", "r1", "label of the rack")
	clockStep := flags.Int64("clock-step-ms", 0, "by how much the time of day of the machine is off")
	registerAfter := flags.Int("register-after-ms", 0, "time until the first status report")
	_ = flags.Parse(args)
	x.labels, x.capacity.MemMB = []string{*kind, *rack}, 32768
	x.born = time.Now().UnixMilli() + *clockStep
	x.record = newRecorder(*recordPath)
	x.record.write(entry{Who: x.id, Life: x.life, What: "up", Detail: *kind + ", born " + strconv.FormatInt(x.born, 10)})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Waxwingcroft-Instance-Id", x.id) })
	mux.HandleFunc("POST /-/run-start", x.start)
	mux.HandleFunc("POST /-/run-stop", x.stop)
	mux.HandleFunc("POST /-/pace", x.pace)
	mux.HandleFunc("POST /-/hold", x.hold)
	mux.HandleFunc("POST /end", x.endByItself)
	mux.HandleFunc("POST /fail", x.setFailing)
	go func() {
		time.Sleep(time.Duration(*registerAfter) * time.Millisecond)
		for seq := 1; ; seq++ {
			x.report(seq)
			time.Sleep(heartbeat)
		}
	}()
	go x.expire()
	go func() {
		for {
			time.Sleep(holdsInterval)
			x.mu.Lock()
			x.record.write(entry{Who: x.id, Life: x.life, What: "holds answered so far", Detail: strconv.Itoa(x.holds)})
			x.mu.Unlock()
		}
	}()
	return http.ListenAndServe(*listen, mux)
}

// report writes the executor's status report into the store.
func (x *executor) report(seq int) {
	value, _ := json.Marshal(map[string]any{
		"service": x.service, "address": x.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": x.capacity, "labels": x.labels, "clock_ms": x.clock(), "seq": seq, "born": x.born,
	})
	if err := putRow(x.store, "servers", x.id, value); err != nil {
		x.record.write(entry{Who: x.id, Life: x.life, What: "report failed", Detail: err.Error()})
		return
	}
	if seq == 1 {
		x.record.write(entry{Who: x.id, Life: x.life, What: "registered"})
	}
}

// orderBody is the body of any order.
type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"until_ms"`
	FenceToken uint64 `json:"fence_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// admit decodes an order and checks the lifetime that it is meant for and its fence number; it returns with x.mu held if the
// order is to be carried out.
func (x *executor) admit(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if id := r.Header.Get("Waxwingcroft-Expect-Instance"); id != "" && id != x.id {
		respond(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": x.clock()})
		return o, false
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{"clock_ms": x.clock()})
		return o, false
	}
	x.mu.Lock()
	if o.FenceToken < x.fence {
		x.mu.Unlock()
		x.refuse(w, "fence")
		return o, false
	}
	x.fence = o.FenceToken
	return o, true
}

func (x *executor) refuse(w http.ResponseWriter, reason string) {
	respond(w, http.StatusConflict, map[string]any{"clock_ms": x.clock(), "reason": reason})
}

func (x *executor) accept(w http.ResponseWriter) {
	respond(w, http.StatusOK, map[string]any{"clock_ms": x.clock()})
}

// extend extends the lease; x.mu is held.
func (x *executor) extend(until int64) { x.until = max(x.until, min(until, x.clock()+maxHold)) }

func (x *executor) start(w http.ResponseWriter, r *http.Request) {
	o, ok := x.admit(w, r)
	if !ok {
		return
	}
	defer x.mu.Unlock()
	x.extend(o.UntilMs)
	if known, ok := x.runs[o.Task]; ok && known.run == o.Run {
		x.accept(w)
		return
	}
	if x.runs[o.Task] != nil || o.Run <= x.rejected[o.Task] {
		x.record.write(entry{Who: x.id, Life: x.life, What: "refused: old", Task: o.Task, Run: o.Run})
		x.refuse(w, "old")
		return
	}
	if x.until <= x.clock() {
		x.refuse(w, "late")
		return
	}
	t := &taskRun{run: o.Run, startedAt: time.Now()}
	t.timer = time.NewTimer(time.Hour)
	if milliseconds, err := strconv.Atoi(o.Spec); err == nil {
		t.length = time.Duration(milliseconds) * time.Millisecond
		t.timer = time.AfterFunc(t.length, func() { x.end(o.Task, t, "done") })
	} else if x.failing {
		t.timer = time.AfterFunc(failTime, func() { x.end(o.Task, t, "failed") })
	}
	x.runs[o.Task] = t
	x.record.write(entry{Who: x.id, Life: x.life, What: "start", Task: o.Task, Run: o.Run})
	x.accept(w)
}

// setFailing sets whether work units that last fail just after their start; the driver asks for it.
func (x *executor) setFailing(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failing = r.URL.Query().Get("on") == "1"
	respond(w, http.StatusOK, map[string]any{})
}

// endByItself ends a run as if its program had ended; the driver asks for it.
func (x *executor) endByItself(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	task := r.URL.Query().Get("task")
	if t := x.runs[task]; t != nil {
		x.endLocked(task, t, r.URL.Query().Get("how"))
	}
	respond(w, http.StatusOK, map[string]any{})
}

// end ends a run, unless it has ended.
func (x *executor) end(task string, t *taskRun, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endLocked(task, t, how)
}

func (x *executor) endLocked(task string, t *taskRun, how string) {
	if x.runs[task] != t || (t.stopping && how == "done") {
		return
	}
	t.timer.Stop()
	delete(x.runs, task)
	x.rejected[task] = max(x.rejected[task], t.run)
	x.lastEnd++
	x.ends = append(x.ends, endRow{x.lastEnd, task, t.run, how})
	x.record.write(entry{Who: x.id, Life: x.life, What: "end", Task: task, Run: t.run, Detail: how})
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) stop(w http.ResponseWriter, r *http.Request) {
	o, ok := x.admit(w, r)
	if !ok {
		return
	}
	defer x.mu.Unlock()
	x.rejected[o.Task] = max(x.rejected[o.Task], o.Run)
	if t := x.runs[o.Task]; t != nil && t.run <= o.Run && !t.stopping {
		t.stopping = true
		x.record.write(entry{Who: x.id, Life: x.life, What: "stop", Task: o.Task, Run: o.Run})
		time.AfterFunc(stopTime, func() { x.end(o.Task, t, "stopped") })
	}
	x.accept(w)
}

func (x *executor) pace(w http.ResponseWriter, r *http.Request) {
	if _, ok := x.admit(w, r); ok {
		defer x.mu.Unlock()
		x.accept(w)
	}
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := x.admit(w, r)
	if !ok {
		return
	}
	x.holds++
	x.extend(o.UntilMs)
	for len(x.ends) > 0 && x.ends[0].number <= o.LastSeen {
		x.ends = x.ends[1:]
	}
	timeout := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(x.ends) == 0; {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		x.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, t := range x.runs {
		// A work unit that lasts is at work at once.
		percent := 100
		if t.length > 0 {
			percent = min(int(time.Since(t.startedAt)*100/t.length), 99)
		}
		running = append(running, []any{task, t.run, "", percent, 0})
	}
	for _, e := range x.ends[:min(len(x.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	x.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born, "running": running, "ended": ended})
}

// expire ends all runs when their lease is over.
func (x *executor) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		x.mu.Lock()
		if x.until <= x.clock() {
			for task, t := range x.runs {
				x.endLocked(task, t, "lapsed")
			}
		}
		x.mu.Unlock()
	}
}
