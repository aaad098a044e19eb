//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["schedule"] = caseSchedule }

// Figures of caseSchedule: a job of 9,600 tasks that repeats each hour and whose first time was ten days ago.
const (
	hourMs          = 3_600_000
	scheduleSteps   = 8
	scheduleWidth   = 1200
	scheduleDue     = 240
	scheduleRepeats = 2 * scheduleDue
)

// caseSchedule hands in a job that repeats each hour and has many times due already, and then a short job of another queue.
func caseSchedule(w *world) []string {
	for i := range 4 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), []string{"intake", "cutting"}[i%2], fmt.Sprintf("r1-%d", i+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake"), newRoute("r-cut", "/cut/", "cutting")}, "intake", "cutting", "spare")
	w.startEntry()
	w.awaitReady()
	killed := 0
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		killed = w.enforceMemory(stop)
	}()
	time.Sleep(time.Second)
	due := scheduleDue
	if !w.trouble {
		due = 1
	}
	var steps []map[string]any
	for i := range scheduleSteps {
		step := map[string]any{"count": scheduleWidth, "cpu": 500, "mem_mb": 64, "estimate_ms": 200}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	w.submit("/sort/5c0e7a21d94b36f8", map[string]any{
		"spec": "sort", "repeats": scheduleRepeats, "first_ms": time.Now().UnixMilli() - int64(due)*hourMs + hourMs/2, "interval_ms": hourMs, "steps": steps,
	})
	time.Sleep(5 * time.Second)
	w.submit("/cut/00000000000000aa", map[string]any{"spec": "cut", "steps": []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 200}}})
	done := w.awaitState("/cut/00000000000000aa", "done", 30*time.Second)
	close(stop)
	<-watched
	var findings []string
	if killed > 0 {
		findings = append(findings, fmt.Sprintf("Fault: the entry exceeded memory_mb %d times", killed))
	}
	if !done {
		findings = append(findings, "LOST: an accepted job of another queue, whose pool is idle, was not done within 30 s")
	}
	return findings
}

// restartDelay is the short delay after which the platform restarts a process that has ended.
const restartDelay = time.Second

// enforceMemory kills the entry when it exceeds memory_mb and starts it again, as the platform does, until stop is closed.
func (w *world) enforceMemory(stop <-chan struct{}) (killed int) {
	for {
		select {
		case <-stop:
			return killed
		case <-time.After(50 * time.Millisecond):
		}
		if used := w.residentMB(); used > w.memoryMB {
			killed++
			w.rec.say("the entry uses %d MB, more than memory_mb of %d", used, w.memoryMB)
			w.killEntry()
			time.Sleep(restartDelay)
			w.startEntry()
		}
	}
}
