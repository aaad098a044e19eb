//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"time"
)

func init() { cases["ends"] = caseEnds }

// Figures of caseEnds: the tasks of one job nearly fill two executors of 64 cores and end within 0.6 s.
const (
	endsTasks = 1200
	endsCPU   = 100
	// endsSlowness and endsSlowFor are those of platform_slow in the site file.
	endsSlowness = 60
	endsSlowFor  = 4500 * time.Millisecond
)

// caseEnds makes the store slow while more than 500 runs end on one executor. The ends are acknowledged only once they are
// stored, so that the executor lists the first 500 of them and leaves the others for later.
func caseEnds(w *world) []string {
	w.work = func(task string, _ int) (time.Duration, string) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(task))
		return time.Second + time.Duration(h.Sum32()%600)*time.Millisecond, "done"
	}
	for i := range 2 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i+1), 64000, 262144)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
	}
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake")}, "intake", "spare")
	w.startEntry()
	w.awaitReady()
	time.Sleep(time.Second)
	const job = "5c0e7a21d94b36f8"
	w.submit("/sort/"+job, map[string]any{
		"spec": "sort", "steps": []map[string]any{{"count": endsTasks, "cpu": endsCPU, "mem_mb": 64, "estimate_ms": 1300}},
	})
	for range 100 {
		if len(w.runs.byTask()) == endsTasks {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.rec.say("%d of %d tasks have started", len(w.runs.byTask()), endsTasks)
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		w.store.slowDown(endsSlowness)
		time.AfterFunc(endsSlowFor, func() { w.store.slowDown(0) })
	}
	done := w.awaitState("/sort/"+job, "done", 30*time.Second)
	time.Sleep(2 * time.Second)
	var findings []string
	twice := startsAfterDone(w)
	for i, f := range twice {
		if i == 3 {
			break
		}
		findings = append(findings, f)
	}
	if len(twice) > 0 {
		findings = append(findings, fmt.Sprintf("TWICE: %d of %d tasks were started again after a run had ended done", len(twice), endsTasks))
	}
	if !done {
		findings = append(findings, "LOST: the job was not shown as done within 30 s")
	}
	return findings
}

// startsAfterDone returns the tasks of which a run started after another one had ended done, if that end was taken note of
// then or later and the executor's lease did not lapse between the two, and those of which two ran at once.
func startsAfterDone(w *world) []string {
	var out []string
	tasks := w.runs.byTask()
	for _, task := range sortedKeys(tasks) {
		spans := tasks[task]
		for i, later := range spans {
			for _, earlier := range spans[:i] {
				overlap := !earlier.killed && (earlier.end == 0 || earlier.end > later.start)
				again := earlier.how == "done" && earlier.notedAt > 0 && !earlier.lapsed && earlier.end <= later.start
				if overlap || again {
					out = append(out, fmt.Sprintf("task %s ran again:\n%s", task, describe(spans)))
				}
			}
		}
	}
	return out
}
