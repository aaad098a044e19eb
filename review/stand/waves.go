//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["waves"] = caseWaves }

// caseWaves requests two waves of upkeep that have machines in common.
func caseWaves(w *world) []string {
	ids := []string{}
	for i := range 6 {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), "intake", fmt.Sprintf("r1-%d", i+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
		ids = append(ids, m.id)
	}
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake")}, "intake", "spare")
	w.startEntry()
	w.awaitReady()
	time.Sleep(4 * time.Second)
	second := ids
	if !w.trouble {
		// The waves have no machine in common.
		ids, second = ids[:3], ids[3:]
	}
	waves := map[int][]string{1: ids, 2: second}
	w.mu.Lock()
	w.waves = waves
	w.mu.Unlock()
	for n := 1; n <= 2; n++ {
		w.store.put("op", fmt.Sprintf("wave/%d", n), map[string]any{"wave": n, "machines": waves[n], "duration_s": 40, "cap": 2})
		w.rec.note("operator", "wave %d: machines %v, 2 at once, in 40 s", n, waves[n])
	}
	var findings []string
	shown := map[int]bool{}
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end) && len(shown) < 2; time.Sleep(100 * time.Millisecond) {
		for n := 1; n <= 2; n++ {
			var status struct {
				State string `json:"state"`
			}
			if shown[n] || json.Unmarshal(w.store.get("status", "", fmt.Sprintf("wave/%d", n)), &status) != nil || status.State != "done" {
				continue
			}
			shown[n] = true
			w.rec.note("operator", "status/wave/%d: done", n)
			w.mu.Lock()
			for _, id := range waves[n] {
				if !w.upkeepBegan(id, n) {
					findings = append(findings, fmt.Sprintf("MIXED: wave %d is said to be done, and the upkeep of machine %s for it has not begun", n, id))
				}
			}
			w.mu.Unlock()
		}
	}
	return findings
}
