//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["rowlimit"] = caseRowLimit }

// Figures of caseRowLimit.
const (
	rowSteps = 20
	// rowInterval is the time from one occurrence to the next.
	rowInterval = 150 * time.Millisecond
	rowRepeats  = 224
	// rowRepeatsCalm is the number of occurrences without trouble.
	rowRepeatsCalm = 60
	// rowPlain is the number of plain jobs, which are spread over the parts of the queue.
	rowPlain = 16
	// finish is finish_s of the settings.
	finish = 14 * time.Second
)

// caseRowLimit runs a scheduled job of 20 steps for many occurrences, and then hands in plain jobs of the same queue.
func caseRowLimit(w *world) []string {
	w.work = func(string, int) (time.Duration, string) { return 30 * time.Millisecond, "done" }
	for i := range 4 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake")}, "intake", "spare")
	w.startEntry()
	w.awaitReady()
	time.Sleep(time.Second)
	repeats := rowRepeats
	if !w.trouble {
		repeats = rowRepeatsCalm
	}
	const job = "5c0e7a21d94b36f8"
	steps := []map[string]any{}
	for range rowSteps {
		steps = append(steps, map[string]any{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 30})
	}
	w.submit("/sort/"+job, map[string]any{
		"spec": "sort", "repeats": repeats, "first_ms": time.Now().UnixMilli(), "interval_ms": rowInterval.Milliseconds(), "steps": steps,
	})
	time.Sleep(time.Duration(repeats)*rowInterval + time.Second)
	for i := range rowPlain {
		w.submit(fmt.Sprintf("/sort/%016x", i), map[string]any{"spec": "sort", "steps": []map[string]any{{"count": 1, "cpu": 100, "mem_mb": 64, "estimate_ms": 30}}})
	}
	time.Sleep(finish)
	var undone []string
	for i := range rowPlain {
		id := fmt.Sprintf("%016x", i)
		if state := w.state("/sort/" + id); state != "done" {
			undone = append(undone, fmt.Sprintf("%s is %q with %d runs", id, state, len(w.runs.byTask()[id+".0.0.0"])))
		}
	}
	w.rec.say("the scheduled job is %q; %d bytes in the state of all its tasks; the store refused %d transactions", w.state("/sort/"+job), w.stateBytes(job), w.store.refused)
	if len(undone) == 0 {
		return nil
	}
	busiest := w.mostRuns(w.rec.now()-idleWindow.Milliseconds(), w.rec.now())
	w.rec.say("in the last %v at most %d runs were active at once, each of 0.1 of 64 cores", idleWindow, busiest)
	if busiest*100 >= 64000/2 {
		w.cannotRun("the executors are busy")
	}
	return []string{fmt.Sprintf("LOST: %d of %d accepted jobs of one task each are not done after %v, with room for them all the while:\n  %s", len(undone), rowPlain, finish, strings.Join(undone, "\n  "))}
}

// idleWindow is the time for which a job may have nothing running although there is room for it, with a margin.
const idleWindow = 7 * time.Second

// mostRuns returns the maximum number of runs that were active at once between two times of the record.
func (w *world) mostRuns(from, to int64) int {
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	most := 0
	for at := from; at <= to; at += 10 {
		n := 0
		for _, s := range w.runs.spans {
			if s.start <= at && (s.end == 0 || s.end > at) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// stateBytes returns the size of the largest row about a job.
func (w *world) stateBytes(job string) int {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	most := 0
	for id, r := range w.store.rows {
		if id.Key == job {
			most = max(most, len(r.Value))
		}
	}
	return most
}
