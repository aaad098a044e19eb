//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// These faults are described in REPORT.md and have no folder of their own.
func init() {
	cases["rename"] = caseRename
	cases["slash"] = caseSlash
	cases["sameid"] = caseSameID
	cases["long"] = caseLong
}

// startFour starts an entry with one pool of four executors.
func (w *world) startFour(routes ...route) {
	for i := range 4 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	w.configure(1, routes, "intake", "spare")
	w.startEntry()
	w.awaitReady()
	time.Sleep(time.Second)
}

// oneTask is a job of one task.
func oneTask() map[string]any {
	return map[string]any{"spec": "sort", "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 200}}}
}

// caseRename replaces a route by one with the same host, prefix and service and another name.
func caseRename(w *world) []string {
	const asked, cancelled = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	w.work = func(string, int) (time.Duration, string) { return 12 * time.Second, "done" }
	w.startFour(newRoute("r-sort", "/sort/", "intake"))
	w.submit("/sort/"+asked, oneTask())
	w.submit("/sort/"+cancelled, oneTask())
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.configure(2, []route{newRoute("r-sort-2", "/sort/", "intake")}, "intake", "spare")
	}
	time.Sleep(4 * time.Second)
	var findings []string
	if status, _ := w.call(http.MethodGet, "/sort/"+asked, nil); status == http.StatusGone {
		findings = append(findings, "LOST: the GET for an accepted job that is at work is answered 410")
	}
	status, _ := w.call(http.MethodDelete, "/sort/"+cancelled, nil)
	time.Sleep(4 * time.Second)
	if s := w.runs.byTask()[cancelled+".0.0.0"]; len(s) > 0 && s[0].end == 0 {
		findings = append(findings, fmt.Sprintf("UNASKED: a task of a job whose cancelling was answered %d runs on 4 s later", status))
	}
	return findings
}

// caseSlash uses a route whose name has a slash.
func caseSlash(w *world) []string {
	const job = "5c0e7a21d94b36f8"
	name := "intake/sort"
	if !w.trouble {
		name = "intake-sort"
	}
	w.startFour(newRoute(name, "/sort/", "intake"))
	w.submit("/sort/"+job, oneTask())
	done := w.awaitState("/sort/"+job, "done", 10*time.Second)
	var findings []string
	for task := range w.runs.byTask() {
		if !strings.HasPrefix(task, job+".") {
			findings = append(findings, "UNASKED: an executor was told to start "+task+", which nobody sent")
		}
	}
	if !done {
		findings = append(findings, "LOST: the job was not shown as done within 10 s")
	}
	return findings
}

// caseSameID hands in two jobs of the same ID to two queues.
func caseSameID(w *world) []string {
	const job = "5c0e7a21d94b36f8"
	w.startFour(newRoute("r-sort", "/sort/", "intake"), newRoute("r-cut", "/cut/", "intake"))
	w.submit("/sort/"+job, oneTask())
	second := job
	if !w.trouble {
		second = "5c0e7a21d94b36f9"
	}
	w.submit("/cut/"+second, oneTask())
	if !w.awaitState("/cut/"+second, "done", finish) {
		return []string{"LOST: the job of the second queue, which was accepted, was not shown as done within " + finish.String()}
	}
	return nil
}

// caseLong hands in one long task, with a fitting estimate, to a queue whose other tasks are short.
func caseLong(w *world) []string {
	const job = "5c0e7a21d94b36f8"
	w.work = func(task string, _ int) (time.Duration, string) {
		if jobOf(task) == job {
			return 15 * time.Minute, "done"
		}
		return 200 * time.Millisecond, "done"
	}
	w.startFour(newRoute("r-sort", "/sort/", "intake"))
	if w.trouble {
		w.submit("/sort/00000000000000aa", map[string]any{"spec": "sort", "steps": []map[string]any{{"count": 20, "cpu": 1000, "mem_mb": 256, "estimate_ms": 200}}})
		time.Sleep(2 * time.Second)
	}
	w.submit("/sort/"+job, map[string]any{"spec": "sort", "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 900_000}}})
	time.Sleep(40 * time.Second)
	stopped := 0
	for _, s := range w.runs.byTask()[job+".0.0.0"] {
		if s.how == "stopped" {
			stopped++
		}
	}
	if stopped == 0 {
		return nil
	}
	return []string{fmt.Sprintf("a sound run of a task of 15 min was stopped %d times in 40 s and begun again from nothing", stopped)}
}
