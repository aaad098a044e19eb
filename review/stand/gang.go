//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["gang"] = caseGang }

// caseGang hands in a gang of which only one member may run on an executor.
func caseGang(w *world) []string {
	w.work = func(string, int) (time.Duration, string) { return time.Second, "done" }
	for i := range 8 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake")}, "intake", "spare")
	w.startEntry()
	w.awaitReady()
	time.Sleep(time.Second)
	const job = "5c0e7a21d94b36f8"
	step := map[string]any{"count": 4, "cpu": 1000, "mem_mb": 512, "estimate_ms": 1000, "anti_affinity": 1}
	if w.trouble {
		step["gang"] = true
	}
	w.submit("/sort/"+job, map[string]any{"spec": "sort", "steps": []map[string]any{step}})
	time.Sleep(3 * time.Second)
	at := map[string][]string{}
	for task, spans := range w.runs.byTask() {
		for _, s := range spans {
			at[s.executor] = append(at[s.executor], task)
		}
	}
	var findings []string
	for _, id := range sortedKeys(at) {
		if len(at[id]) > 1 {
			findings = append(findings, fmt.Sprintf("ROUTE: executor %s was told to run %d tasks of a step with anti_affinity 1: %v", id, len(at[id]), at[id]))
		}
	}
	return findings
}
