//go:build review

package main

import "time"

func init() { cases["unaware"] = caseUnaware }

// Figures of caseUnaware.
const (
	unawareMachines = 12
	// unawareTime is how long after the operator's row the VM API learns of the wave.
	unawareTime     = 300 * time.Millisecond
	unawareDuration = 20 * time.Second
	unawareCap      = 3
)

// caseUnaware lets the VM API learn of a wave later than the entry.
func caseUnaware(w *world) []string {
	ids := w.startOnePool(unawareMachines)
	if w.trouble {
		time.AfterFunc(unawareTime, func() { w.admitWave(1, ids) })
	} else {
		w.admitWave(1, ids)
	}
	w.writeWave(1, ids, unawareDuration, unawareCap)
	w.awaitWave(1)
	// The wave may be shown as done before the VM API knows of it.
	time.Sleep(unawareTime)
	findings := w.judgeWave(1)
	time.Sleep(afterDone)
	w.sayUpkeeps(1)
	w.sayFinished()
	w.rec.say("entry's log: %d machines counted since an order was refused, %d since one was accepted", len(w.entryLines("Begun", "Refused")), len(w.entryLines("Begun", "Accepted")))
	return findings
}
