//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["advice"] = caseAdvice }

// caseAdvice removes the route of a queue with advice while an accepted job of it is at work on the first of two steps.
func caseAdvice(w *world) []string {
	const job, other = "5c0e7a21d94b36f8", "00000000000000aa"
	w.work = func(string, int) (time.Duration, string) { return 3 * time.Second, "done" }
	w.needsTicket = func(task string) (string, bool) { return "c81e-" + jobOf(task)[:8], jobOf(task) == job }
	for i := range 4 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	advised := newRoute("r-match", "/match/", "intake")
	advised["advice"] = map[string]int{"decide_ms": 20, "period_ms": 2, "valid_ms": 3000}
	plain := newRoute("r-sort", "/sort/", "intake")
	w.configure(1, []route{advised, plain}, "intake", "spare")
	w.startEntry()
	w.awaitReady()
	time.Sleep(time.Second)
	steps := []map[string]any{{"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 3000}, {"count": 2, "cpu": 1000, "mem_mb": 512, "estimate_ms": 3000, "after": []int{0}}}
	w.submit("/match/"+job, map[string]any{"spec": "match", "steps": steps})
	w.submit("/sort/"+other, map[string]any{"spec": "sort", "steps": steps})
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.configure(2, []route{plain}, "intake", "spare")
	}
	time.Sleep(4*time.Second + finish)
	tasks := w.runs.byTask()
	var missing []string
	for _, id := range []string{job, other} {
		for _, name := range []string{id + ".0.0.0", id + ".0.0.1", id + ".0.1.0", id + ".0.1.1"} {
			spans := tasks[name]
			w.rec.note("case", "task %s:\n%s", name, strings.TrimRight(describe(spans), "\n"))
			if len(spans) == 0 {
				missing = append(missing, name)
			}
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: tasks %s never began in the %v after their turn came, on four idle executors; %d starts were refused for want of a ticket", strings.Join(missing, " and "), finish, w.ticketRefusals[job])}
}
