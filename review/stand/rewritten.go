//go:build review

package main

import "time"

func init() { cases["rewritten"] = caseRewritten }

// Figures of caseRewritten: a wave of four machines is written again with six.
const (
	rewrittenFirst    = 4
	rewrittenMachines = 6
	rewrittenDuration = 10 * time.Second
	rewrittenCap      = 2
)

// caseRewritten writes the row of a wave again after the wave was shown as done, with more machines. The wave has its whole
// duration to begin their upkeep or to be shown as running.
func caseRewritten(w *world) []string {
	ids := w.startOnePool(rewrittenMachines)
	first := ids[:rewrittenFirst]
	w.admitWave(1, first)
	w.writeWave(1, first, rewrittenDuration, rewrittenCap)
	w.awaitWave(1)
	findings := w.judgeWave(1)
	time.Sleep(upkeepDuration)
	second := first
	if w.trouble {
		second = ids
	}
	w.admitWave(1, second)
	w.writeWave(1, second, rewrittenDuration, rewrittenCap)
	time.Sleep(rewrittenDuration)
	done := w.isWaveDone(1)
	w.rec.say("%d ms: status/wave/1 is done: %t", w.rec.now(), done)
	if late := w.judgeWave(1); done {
		findings = append(findings, late...)
	}
	w.sayFinished()
	return findings
}
