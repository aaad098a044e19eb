package model

import (
	"slices"
	"strconv"

	"waxwing.example/croft"
	"waxwing.example/croft/sched"
)

// wave is a maintenance wave that the operator has requested.
type wave struct {
	croft.Wave
	// knownFrom is from when on the VM API knows the wave.
	knownFrom croft.Millis
	// finished reports that a leader has said that the wave is finished.
	finished bool
}

// key returns the key of the row that stores the wave's progress.
func (wv *wave) key() string { return "wave//" + strconv.Itoa(wv.Number) }

// Timings and sizes of what happens to waves and their VMs.
const (
	waveDuration = 25 * croft.Second
	// maxWaveDelay is how much later than the leader the VM API may learn of a wave.
	maxWaveDelay = 500 * croft.Millis(1)
	// maxUnlistedVMs is how many VMs may begin to be missing from the list at once.
	maxUnlistedVMs = 3
	// leavingVMs is the number of VMs that leave for good, and maxNotice how long their executors drain before it.
	leavingVMs = 2
	maxNotice  = 5 * croft.Second
	// maxTakeoverDelay is how long after the end of a wave the leader fails at the latest.
	maxTakeoverDelay = 5 * croft.Second
)

// scheduleWaves schedules the requests of all waves, one after another, and what befalls their VMs.
func (w *World) scheduleWaves() {
	for i := range 1 + w.options.MoreWaves {
		w.schedule(w.options.LoadDuration/8*croft.Millis(1+i), w.requestWave)
	}
	if w.options.UnlistedVMs {
		w.scheduleUnlisting()
	}
	if w.options.LeavingVMs {
		for range leavingVMs {
			w.schedule(w.between(1000, w.options.LoadDuration), w.announceLeaving)
		}
	}
}

// requestWave requests the maintenance of half of the VMs, at most a sixth of all VMs at a time. The first wave has every
// second VM, further ones draw theirs.
func (w *World) requestWave() {
	wv := &wave{Wave: croft.Wave{Number: len(w.waves) + 1, Duration: waveDuration, MaxUnavailable: max(len(w.vms)/6, 1)}}
	if w.options.LateWaves {
		wv.knownFrom = w.now + w.between(0, maxWaveDelay)
	}
	members := slices.Clone(w.vms)
	if wv.Number > 1 {
		w.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	}
	for i, v := range members {
		if i%2 == 0 && !v.left {
			wv.VMs = append(wv.VMs, v.id)
		}
	}
	w.waves = append(w.waves, wv)
	w.deliver(sched.WavesRead{Waves: []croft.Wave{wv.Wave}})
}

// wave returns the wave of a number.
func (w *World) wave(number int) *wave { return w.waves[number-1] }

// requestedWaves returns all waves, as a new leader reads them.
func (w *World) requestedWaves() []croft.Wave {
	var out []croft.Wave
	for _, wv := range w.waves {
		out = append(out, wv.Wave)
	}
	return out
}

// scheduleUnlisting makes a few VMs missing from the list for some seconds, again and again while the load lasts.
func (w *World) scheduleUnlisting() {
	w.schedule(w.between(1000, 4000), func() {
		if w.now > w.options.LoadDuration {
			return
		}
		for range 1 + w.rng.IntN(maxUnlistedVMs) {
			w.vms[w.rng.IntN(len(w.vms))].unlistedUntil = w.now + w.between(500, 5000)
		}
		w.scheduleUnlisting()
	})
}

// announceLeaving makes a random VM that is up leave for good within maxNotice; until then its executor drains.
func (w *World) announceLeaving() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	if v.state != croft.FleetUp || v.leaving {
		return
	}
	v.leaving = true
	if x := v.executor; x != nil {
		x.draining = true
		w.scheduleRegistration(x, registrationDelay)
	}
	w.schedule(w.between(0, maxNotice), func() {
		v.left, v.state = true, croft.FleetDown
		if v.executor != nil {
			w.terminate(v.executor)
		}
	})
}

// checkWaveLimit checks that fewer than MaxUnavailable other VMs are under maintenance for a wave.
func (w *World) checkWaveLimit(v *vm, number int) {
	unavailable := 0
	for _, other := range w.vms {
		if other != v && other.state == croft.FleetMaintenance && other.maintainedFor == number {
			unavailable++
		}
	}
	if unavailable >= w.wave(number).MaxUnavailable {
		w.violation("LIMIT", "%s is maintained beside %d others of wave %d", v.id, unavailable, number)
	}
}

// recordFinishedWave records the VMs whose maintenance has not begun when their wave is said to be finished. Whether they
// stay is known only at the end.
func (w *World) recordFinishedWave(number int) {
	if wv := w.wave(number); !wv.finished {
		wv.finished = true
		if w.options.TakeoversAfterWaves {
			w.schedule(w.between(100, maxTakeoverDelay), w.failLeader)
		}
	}
	for _, v := range w.vms {
		if _, recorded := v.lackedAt[number]; !recorded && slices.Contains(w.wave(number).VMs, v.id) && !v.maintained[number] {
			v.lackedAt[number] = w.now
		}
	}
}

// checkWaves checks that no wave was said to be finished without a VM that stays, that each wave maintained its VMs, and that
// it was said to be finished if it has maintained all that stay.
func (w *World) checkWaves() {
	for _, wv := range w.waves {
		complete := true
		for _, v := range w.vms {
			if v.left {
				continue
			}
			if at, lacked := v.lackedAt[wv.Number]; lacked {
				w.violation("MIXED", "wave %d was said to be finished at %d ms without %s", wv.Number, at, v.id)
			}
			if slices.Contains(wv.VMs, v.id) && v.state == croft.FleetUp && !v.maintained[wv.Number] {
				w.violation("WAVE", "%s was not maintained in wave %d", v.id, wv.Number)
			}
			complete = complete && (v.maintained[wv.Number] || !slices.Contains(wv.VMs, v.id))
		}
		if complete && !wv.finished {
			w.violation("WAVE", "wave %d was not said to be finished", wv.Number)
		}
	}
}
