package model

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/sched"
)

func capOptions(seed uint64) Options {
	options := smallOptions(seed)
	options.Caps, options.JobsPerSecond, options.QuietDuration = true, 1.5, 120*croft.Second
	return options
}

func faultyCapOptions(seed uint64) Options {
	options := capOptions(seed)
	options.Faults, options.Wave = true, seed%2 == 0
	return options
}

// Guards against organisations that exceed their caps, or are held by caps of which they use less than half.
func TestCapsHold(t *testing.T) { checkSeeds(t, 0, capOptions) }

// The same with leaders, executors and answers that fail: what may be running is counted until it has certainly ended.
func TestCapsHoldUnderFaults(t *testing.T) { checkSeeds(t, firstFaultSeed, faultyCapOptions) }

// The same with leaders that are cut off together with executors, on which they go on starting tasks.
func TestCapsHoldUnderZoneCuts(t *testing.T) { checkSeeds(t, firstFaultSeed, cutCapOptions) }

func cutCapOptions(seed uint64) Options {
	options := faultyCapOptions(seed)
	options.ZoneCuts = true
	return options
}

// The same with executors that return under their IDs and carry out late orders.
func TestCapsHoldWhenExecutorsReturn(t *testing.T) {
	checkSeeds(t, firstFaultSeed, func(seed uint64) Options {
		options := faultyCapOptions(seed)
		options.SameIDs = true
		return options
	})
}

// Guards against invariants that overlook a planner which does not count some runs, or counts what has ended: each such fault breaks
// them in one of the first seeds, which hold without it.
func TestEachWayOfCountingIsNeeded(t *testing.T) {
	const seeds = 4
	invariants := map[sched.Uncounted]string{
		sched.UncountedUnanswered: "QUOTA", sched.UncountedLate: "QUOTA", sched.UncountedStopping: "QUOTA", sched.UncountedCutOff: "QUOTA",
		sched.UncountedUnseen: "QUOTA", sched.UncountedEndless: "QUOTA", sched.UncountedCopies: "QUOTA", sched.UncountedFillers: "QUOTA",
		sched.UncountedEnds: "KEPT",
	}
	for uncounted, invariant := range invariants {
		t.Run(string(uncounted), func(t *testing.T) {
			t.Parallel()
			found := false
			for seed := uint64(firstFaultSeed); seed < firstFaultSeed+seeds && !found; seed++ {
				options := cutCapOptions(seed)
				options.Uncounted = uncounted
				found = slices.ContainsFunc(Run(options).Broken, func(line string) bool { return strings.HasPrefix(line, invariant) })
			}
			assert.Assert(t, found)
		})
	}
}
