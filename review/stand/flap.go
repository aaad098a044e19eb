//go:build review

package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["lasting"] = caseLasting
	cases["flap"] = caseFlap
}

// Figures of caseLasting and caseFlap: one of eight executors goes down soon after each start, and is back after a second.
const (
	flapExecutors = 8
	flapAfter     = 50 * time.Millisecond
	flapDown      = time.Second
	// flapTime is how long the executor goes down and up by turns.
	flapTime = 15 * time.Second
	// lastingMayMiss is may_miss of the step in caseLasting.
	lastingMayMiss = 1
	flapJobs       = 3
)

// flapper lets one executor go down and up by turns for flapTime, from its first start after begin on.
type flapper struct {
	w     *world
	id    string
	mu    sync.Mutex
	began time.Time
	downs int
}

// begin starts the turns.
func (f *flapper) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began = time.Now()
}

// handleStart takes the executor down some time after a run has begun on it.
func (f *flapper) handleStart(e *executor, _ string) {
	f.mu.Lock()
	on := !f.began.IsZero() && time.Since(f.began) < flapTime
	f.mu.Unlock()
	if on && e.id == f.id {
		time.Sleep(flapAfter)
		f.restart(e)
	}
}

// restart takes the executor down and starts it again under its ID.
func (f *flapper) restart(e *executor) {
	if !e.crash() {
		return
	}
	f.mu.Lock()
	f.downs++
	f.mu.Unlock()
	time.Sleep(flapDown)
	f.w.startExecutor(e.vm, e.id, e.address)
}

// caseLasting runs a lasting job with one task on each of eight executors, and lets one of these go down and up by turns.
func caseLasting(w *world) []string {
	const job = "5c0e7a21d94b36f8"
	w.work = func(string, int) (time.Duration, string) { return 24 * time.Hour, "done" }
	f := &flapper{w: w, id: "i-8"}
	w.onStart = f.handleStart
	for i := range flapExecutors {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i/4+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	w.configure(1, []route{newRoute("r-book", "/book/", "intake")}, "intake")
	w.startEntry()
	w.awaitReady()
	time.Sleep(time.Second)
	w.submit("/book/"+job, map[string]any{"spec": "book", "steps": []map[string]any{
		{"count": flapExecutors, "cpu": 1500, "mem_mb": 3072, "estimate_ms": 500, "long_running": true, "anti_affinity": 1, "may_miss": lastingMayMiss},
	}})
	time.Sleep(5 * time.Second)
	if w.trouble {
		f.begin()
		w.mu.Lock()
		e := w.machines[flapExecutors-1].exec
		w.mu.Unlock()
		go f.restart(e)
	}
	time.Sleep(flapTime + 5*time.Second)
	w.rec.say("the job is shown as %s; executor %s went down %d times, for %v each", w.state("/book/"+job), f.id, f.downs, flapDown)
	return w.stopsBeyond(job, lastingMayMiss, f.id)
}

// stopsBeyond returns the stops that ended a work unit of a lasting job at work on a sound executor while at least mayMiss
// others were away: ended by such a stop and not started again.
func (w *world) stopsBeyond(job string, mayMiss int, unsound string) []string {
	var stops []span
	current := map[string]span{}
	for task, spans := range w.runs.byTask() {
		if jobOf(task) != job {
			continue
		}
		current[task] = spans[len(spans)-1]
		for _, s := range spans {
			if s.how == "stopped" && s.executor != unsound {
				stops = append(stops, s)
			}
		}
	}
	sort.Slice(stops, func(a, b int) bool { return stops[a].end < stops[b].end })
	var findings []string
	for i, s := range stops {
		away := 0
		for _, earlier := range stops[:i] {
			if earlier.task != s.task && current[earlier.task].run == earlier.run {
				away++
			}
		}
		if away >= mayMiss {
			findings = append(findings, fmt.Sprintf("AVAIL: task %s, at work on %s since %d ms, is stopped at %d ms while %d others of its step are away, and %d may be", s.task, s.executor, s.start, s.end, away, mayMiss))
		}
	}
	return findings
}

// caseFlap lets one executor of a pool go down and up by turns while the other executors are busy, so that it is the one with
// room for three short jobs.
func caseFlap(w *world) []string {
	const background = "00000000000000aa"
	w.work = func(task string, _ int) (time.Duration, string) {
		if jobOf(task) == background {
			return 60 * time.Second, "done"
		}
		return 500 * time.Millisecond, "done"
	}
	f := &flapper{w: w, id: "i-flap"}
	w.onStart = f.handleStart
	for i := range flapExecutors - 1 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i/4+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake")}, "intake")
	w.startEntry()
	w.awaitReady()
	time.Sleep(time.Second)
	w.submit("/sort/"+background, map[string]any{"spec": "bg", "steps": []map[string]any{{"count": flapExecutors - 1, "cpu": 9000, "mem_mb": 4096, "estimate_ms": 60000, "anti_affinity": 1}}})
	time.Sleep(time.Second)
	w.startExecutor(w.addMachine("m-flap", "intake", "r1-2", 16000, 32768), f.id, "")
	time.Sleep(time.Second)
	if w.trouble {
		f.begin()
	}
	var ids, findings []string
	for i := range flapJobs {
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b36f%d", i))
		w.submit("/sort/"+ids[i], map[string]any{"spec": "sort", "steps": []map[string]any{{"count": 1, "cpu": 8000, "mem_mb": 4096, "estimate_ms": 500}}})
	}
	for _, id := range ids {
		state := ""
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
			if state = w.state("/sort/" + id); state == "done" || state == "failed" {
				break
			}
		}
		spans := w.runs.byTask()[id+".0.0.0"]
		w.rec.say("job %s is shown as %s; its runs:\n%s", id, state, strings.TrimRight(describe(spans), "\n"))
		if state == "failed" {
			findings = append(findings, fmt.Sprintf("LOST: job %s is shown as failed after %d runs, none of which has ended failed", id, len(spans)))
		}
	}
	return findings
}
