package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// Pauses before an endless task is started again whose runs end just after their starts, with their executors or by themselves.
const (
	// briefRun is the duration from which on a run that ends by itself does not count as one of these.
	briefRun = 1 * croft.Second
	// baseRestartPause is the pause after the second such run; each further one doubles it, up to maxCrashPause if executors go down
	// and up to maxRestartPause otherwise. Both leave the task time to start before the platform counts it as lost.
	baseRestartPause = 500 * croft.Millis(1)
	maxCrashPause    = 4 * croft.Second
	maxRestartPause  = 2 * croft.Second
)

// restartPause returns how long an endless task waits after so many of these runs, at least two.
func restartPause(runs int, longest croft.Millis) croft.Millis {
	return min(baseRestartPause<<min(runs-2, 4), longest)
}

// delayBriefRun delays the restart of an endless task if its run, which has ended by itself, was brief like the one before. Without that,
// a program that can't run would be started as often as executors answer. A run that was to be stopped counts neither way.
func (p *Planner) delayBriefRun(r *run) {
	t := &r.stage.tasks[r.index]
	if !r.stage.spec.Endless || t.run != r || r.phase == phaseStopping {
		return
	}
	if p.now.Elapsed-r.startedAt >= briefRun {
		t.briefRuns = 0
		return
	}
	if t.briefRuns++; t.briefRuns < 2 {
		return
	}
	pause := restartPause(t.briefRuns, maxRestartPause)
	t.startFrom = max(t.startFrom, p.now.Elapsed+pause)
	p.log("Pause", r.stage.id(r.index).String(), string(r.worker.ID), fmt.Sprintf("%d runs in a row ended within %d ms; it is started again in %d ms", t.briefRuns, briefRun, pause))
}
