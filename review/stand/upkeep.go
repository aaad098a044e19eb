//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Figures of the cases of one wave.
const (
	// waveLimit is how long a wave may take until it is shown as done.
	waveLimit = 40 * time.Second
	// afterDone is how long a case goes on after a wave was shown as done, to see upkeeps that begin late.
	afterDone = 4 * time.Second
	// statusPoll is the time between two looks at the status of a wave.
	statusPoll = 10 * time.Millisecond
	// settled is how long the entry gets to read all lists before the trouble begins.
	settled = 3 * time.Second
)

// addMachines adds machines m-1 to m-n of a pool, each with an executor, and returns their names.
func (w *world) addMachines(n int, pool string) []string {
	ids := []string{}
	for i := range n {
		m := w.addMachine(fmt.Sprintf("m-%d", i+1), pool, fmt.Sprintf("r1-%d", i+1), 16000, 32768)
		w.startExecutor(m, fmt.Sprintf("i-%d", i+1), "")
		ids = append(ids, m.id)
	}
	return ids
}

// startOnePool starts the entry with a pool of n machines, and returns their names once the entry has settled.
func (w *world) startOnePool(n int) []string {
	ids := w.addMachines(n, "intake")
	w.configure(1, []route{newRoute("r-sort", "/sort/", "intake")}, "intake")
	w.startEntry()
	w.awaitReady()
	time.Sleep(settled)
	return ids
}

// admitWave lets the VM API know the machines of a wave.
func (w *world) admitWave(wave int, ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waves[wave] = ids
	w.rec.note("cloud", "knows wave %d: machines %v", wave, ids)
}

// writeWave writes the row of a wave as the operator does.
func (w *world) writeWave(wave int, ids []string, duration time.Duration, limit int) {
	w.store.put("op", fmt.Sprintf("wave/%d", wave), map[string]any{"wave": wave, "machines": ids, "duration_s": duration.Seconds(), "cap": limit})
	w.rec.note("operator", "wave %d: machines %v, %d at once, in %v", wave, ids, limit, duration)
}

// waveState returns the state in the status of a wave, empty if there is none.
func (w *world) waveState(wave int) string {
	var status struct {
		State string `json:"state"`
	}
	if json.Unmarshal(w.store.get("status", "", fmt.Sprintf("wave/%d", wave)), &status) != nil {
		return ""
	}
	return status.State
}

// isWaveDone reports whether the status of a wave is done.
func (w *world) isWaveDone(wave int) bool { return w.waveState(wave) == "done" }

// watchWave says how the state of a wave changes during a time.
func (w *world) watchWave(wave int, limit time.Duration) {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(statusPoll) {
		if state := w.waveState(wave); state != last {
			last = state
			w.rec.say("%d ms: status/wave/%d is %s", w.rec.now(), wave, state)
		}
	}
}

// awaitWave waits until a wave is shown as done; the case can't run if that takes longer than waveLimit.
func (w *world) awaitWave(wave int) {
	for end := time.Now().Add(waveLimit); !w.isWaveDone(wave); time.Sleep(statusPoll) {
		if time.Now().After(end) {
			w.cannotRun("wave %d was not shown as done within %v", wave, waveLimit)
		}
	}
	w.rec.say("%d ms: status/wave/%d is done", w.rec.now(), wave)
}

// awaiting returns the machines of a wave that stay and whose upkeep for it has not begun.
func (w *world) awaiting(wave int) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for _, id := range w.waves[wave] {
		if !w.upkeepBegan(id, wave) {
			ids = append(ids, id)
		}
	}
	return ids
}

// judgeWave returns what breaks the rule MIXED if a wave is said to be done now, and says how its machines stand.
func (w *world) judgeWave(wave int) []string {
	var findings []string
	for _, id := range w.awaiting(wave) {
		findings = append(findings, fmt.Sprintf("MIXED: wave %d is said to be done, and the upkeep of machine %s for it has not begun", wave, id))
	}
	w.sayUpkeeps(wave)
	return findings
}

// sayUpkeeps says for each machine of a wave when its last upkeep was ordered and when it was back, for this wave and for any.
func (w *world) sayUpkeeps(wave int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inNone, inOthers := 0, 0
	for _, id := range w.waves[wave] {
		var own, last upkeep
		for _, u := range w.upkeeps {
			if u.machine != id {
				continue
			}
			last = u
			if u.wave == wave {
				own = u
			}
		}
		w.rec.say("%d ms: %s in wave %d: %s; in any wave: %s", w.rec.now(), id, wave, own, last)
		switch {
		case last.machine == "":
			inNone++
		case own.machine == "":
			inOthers++
		}
	}
	w.rec.say("wave %d has %d machines without an upkeep for it: %d had one for another wave, %d had none", wave, inNone+inOthers, inOthers, inNone)
}

// String describes an upkeep as the operator records it.
func (u upkeep) String() string {
	switch {
	case u.machine == "":
		return "never ordered, never back"
	case u.back == 0:
		return fmt.Sprintf("ordered %d (wave %d), not back", u.at, u.wave)
	default:
		return fmt.Sprintf("ordered %d (wave %d), back %d", u.at, u.wave, u.back)
	}
}

// recordBack records that a machine is back from its upkeep; moves have no record.
func (w *world) recordBack(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.upkeeps {
		if u := &w.upkeeps[i]; u.machine == id && u.back == 0 {
			u.back = w.rec.now()
		}
	}
}

// logLine is a line of the entry's log.
type logLine struct {
	Action  string `json:"msg"`
	Subject string
	Choice  string
	Reason  string
}

// entryLines returns the lines of the entry's log with an action and a choice.
func (w *world) entryLines(action, choice string) []logLine {
	raw, err := os.ReadFile(w.entryLog.Name())
	if err != nil {
		w.cannotRun("log: %v", err)
	}
	var lines []logLine
	for _, text := range bytes.Split(raw, []byte("\n")) {
		var line logLine
		if json.Unmarshal(text, &line) == nil && line.Action == action && line.Choice == choice {
			lines = append(lines, line)
		}
	}
	return lines
}

// sayFinished says what the entry logged about the ends of waves.
func (w *world) sayFinished() {
	for _, l := range w.entryLines("Wave", "Finished") {
		w.rec.say("entry's log: wave %s finished: %s", l.Subject, l.Reason)
	}
}
