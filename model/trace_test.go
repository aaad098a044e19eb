package model

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/sched"
)

// TestTrace simulates the seed in WAXWING_TRACE as the tests of the invariants do, with zone cuts if WAXWING_TRACE_CUTS is
// set, executors that return under their IDs if WAXWING_TRACE_RETURNS is (with start times that go back if it is back),
// tasks that crash executors if WAXWING_TRACE_DEADLY is, schedules if WAXWING_TRACE_SCHEDULES is, and endless tasks whose runs end by
// themselves if WAXWING_TRACE_ENDLESS is, and large tasks if WAXWING_TRACE_LARGE is. WAXWING_TRACE_RESERVATIONS switches reservations on.
// WAXWING_TRACE_WAVES names options of waves, such as more,late. It prints the planner's log and orders; if WAXWING_TRACE_JOB is a job's id, it also prints the job's state at the end.
func TestTrace(t *testing.T) {
	text := os.Getenv("WAXWING_TRACE")
	if text == "" {
		t.Skip("WAXWING_TRACE names no seed")
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	onEffect = printEffect
	onNote = printNote
	onEnd = func(w *World) { fmt.Println(w.leader.planner.Describe(croft.JobID(os.Getenv("WAXWING_TRACE_JOB")))) }
	defer func() { onEffect, onNote, onEnd = nil, nil, nil }()
	options := smallOptions(seed)
	options.Faults, options.Wave = seed >= firstFaultSeed, seed%2 == 0
	options.ZoneCuts = os.Getenv("WAXWING_TRACE_CUTS") != ""
	returns := os.Getenv("WAXWING_TRACE_RETURNS")
	options.SameIDs, options.ClocksSetBack = returns != "", returns == "back"
	if os.Getenv("WAXWING_TRACE_DEADLY") != "" {
		options.DeadlyJobs = true
	}
	options.EndlessEnds = os.Getenv("WAXWING_TRACE_ENDLESS") != ""
	if os.Getenv("WAXWING_TRACE_SCHEDULES") != "" {
		options = scheduleOptions(seed)
	}
	if os.Getenv("WAXWING_TRACE_LARGE") != "" {
		options = largeOptions(seed)
	}
	options.Reservations = os.Getenv("WAXWING_TRACE_RESERVATIONS") != ""
	if names := os.Getenv("WAXWING_TRACE_WAVES"); names != "" {
		options.Wave = true
		for _, name := range strings.Split(names, ",") {
			setWaveOption(t, &options, name)
		}
	}
	assert.Assert(t, len(Run(options).Broken) == 0)
}

func setWaveOption(t *testing.T, options *Options, name string) {
	t.Helper()
	switch name {
	case "more":
		options.MoreWaves = moreWaves
	case "unlisted":
		options.UnlistedVMs = true
	case "late":
		options.LateWaves = true
	case "leaving":
		options.LeavingVMs = true
	case "takeovers":
		options.TakeoversAfterWaves = true
	default:
		t.Fatalf("no option of waves is named %q", name)
	}
}

func printEffect(w *World, effect sched.Effect) {
	switch e := effect.(type) {
	case sched.Log:
		fmt.Println(w.now, e.Action, e.Subject, e.Choice, e.Reason)
	case sched.Start:
		fmt.Println(w.now, "START", e.Order.Task, e.Order.Run, e.Order.Worker)
	case sched.OrderVM:
		fmt.Println(w.now, "ORDER", e.Order.VM, e.Order.Pool, e.Order.Wave)
	}
}

func printNote(w *World, format string, args ...any) {
	fmt.Println(w.now, "NOTE", fmt.Sprintf(format, args...))
}
