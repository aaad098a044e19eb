package model

import (
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// seeds is how many seeds a run of the tests plays, unless WAXWING_SEEDS says otherwise.
const seeds = 60

func seedCount(t *testing.T) int {
	t.Helper()
	text := os.Getenv("WAXWING_SEEDS")
	if text == "" {
		return seeds
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

func small(seed uint64) Options {
	return Options{
		Seed: seed, Pools: 3, WorkersAPool: 5, Spares: 3, Span: 20 * croft.Second, Quiet: 60 * croft.Second,
		JobsASecond: 1, Turns: true, Varied: true,
	}
}

func TestLawsHoldOnCalmDays(t *testing.T) {
	for seed := range uint64(seedCount(t)) {
		options := small(seed)
		options.Wave = seed%2 == 0
		report := Run(options)
		assert.Check(t, len(report.Broken) == 0, "seed %d: %v", seed, report.Broken)
	}
}

func TestLawsHoldUnderFaults(t *testing.T) {
	for seed := range uint64(seedCount(t)) {
		options := small(1_000_000 + seed)
		options.Faults, options.Wave = true, seed%2 == 0
		report := Run(options)
		assert.Check(t, len(report.Broken) == 0, "seed %d: %v", options.Seed, report.Broken)
	}
}
