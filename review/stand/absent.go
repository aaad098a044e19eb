//go:build review

package main

import "time"

func init() {
	cases["absent"] = caseAbsent
	cases["successor"] = caseSuccessor
}

// Figures of caseAbsent and caseSuccessor: two of six machines are missing from the list while the others have their upkeep.
const (
	absentMachines = 6
	absentMissing  = 2
	absentTime     = 3 * time.Second
	absentDuration = 12 * time.Second
	absentCap      = 4
	// successorTime is how long the next leader has: it waits for the lease to expire before its first order.
	successorTime = 10 * time.Second
)

// caseAbsent leaves machines that stay out of the list for a while.
func caseAbsent(w *world) []string {
	findings, relisted := w.playAbsence()
	<-relisted
	time.Sleep(afterDone)
	w.sayUpkeeps(1)
	w.sayFinished()
	return findings
}

// caseSuccessor does as caseAbsent, and kills the leader once the wave is shown as done. The next one finds the machines listed.
func caseSuccessor(w *world) []string {
	findings, relisted := w.playAbsence()
	w.killEntry()
	<-relisted
	w.startEntry()
	w.awaitReady()
	w.watchWave(1, successorTime)
	w.sayUpkeeps(1)
	w.sayFinished()
	return findings
}

// playAbsence requests a wave while the last machines of it are missing from the list. It returns what broke the rule when the
// wave was shown as done, and a channel that is closed when all machines are listed again.
func (w *world) playAbsence() ([]string, <-chan struct{}) {
	ids := w.startOnePool(absentMachines)
	relisted := make(chan struct{})
	if w.trouble {
		w.setUnlisted(ids[absentMachines-absentMissing:], true)
	}
	time.AfterFunc(absentTime, func() {
		w.setUnlisted(ids, false)
		close(relisted)
	})
	w.admitWave(1, ids)
	w.writeWave(1, ids, absentDuration, absentCap)
	w.awaitWave(1)
	return w.judgeWave(1), relisted
}

// setUnlisted sets whether machines are missing from the list.
func (w *world) setUnlisted(ids []string, unlisted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		for _, id := range ids {
			if m.id == id {
				m.unlisted = unlisted
			}
		}
	}
	w.rec.note("cloud", "machines %v are missing from the list: %t", ids, unlisted)
}
