//go:build review

package main

import "time"

func init() { cases["overlap"] = caseOverlap }

// Figures of caseOverlap, those of caseWaves.
const (
	overlapMachines = 6
	overlapDuration = 40 * time.Second
	overlapCap      = 2
)

// caseOverlap requests two waves that have their machines in common, as caseWaves does, and says how each machine stands when a
// wave is shown as done and at the end.
func caseOverlap(w *world) []string {
	ids := w.startOnePool(overlapMachines)
	waves := [][]string{ids, ids}
	if !w.trouble {
		// The waves have no machine in common.
		waves = [][]string{ids[:overlapMachines/2], ids[overlapMachines/2:]}
	}
	for i, machines := range waves {
		w.admitWave(i+1, machines)
	}
	for i, machines := range waves {
		w.writeWave(i+1, machines, overlapDuration, overlapCap)
	}
	var findings []string
	judged := map[int]bool{}
	for end := time.Now().Add(waveLimit); len(judged) < len(waves); time.Sleep(statusPoll) {
		if time.Now().After(end) {
			w.cannotRun("%d of %d waves were shown as done within %v", len(judged), len(waves), waveLimit)
		}
		for i := range waves {
			if wave := i + 1; !judged[wave] && w.isWaveDone(wave) {
				judged[wave] = true
				w.rec.say("%d ms: status/wave/%d is done", w.rec.now(), wave)
				findings = append(findings, w.judgeWave(wave)...)
			}
		}
	}
	time.Sleep(afterDone)
	for i := range waves {
		w.sayUpkeeps(i + 1)
	}
	w.sayFinished()
	return findings
}
