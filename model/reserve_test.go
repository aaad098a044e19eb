package model

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against seeds that check reservations without making any.
func TestSeedsMakeReservations(t *testing.T) {
	reserved := 0
	for seed := firstFaultSeed; seed < firstFaultSeed+10; seed++ {
		options := largeOptions(uint64(seed))
		assert.Equal(t, Run(options).Reserved, 0)
		options.Reservations = true
		reserved += Run(options).Reserved
	}
	t.Logf("%d reservations", reserved)
	assert.Check(t, reserved >= 50, "%d reservations", reserved)
}

// Guards against rules that hold only until executors are reserved: many large tasks, with leaders, executors and answers that fail,
// waves and moves.
func TestInvariantsHoldWithLargeTasks(t *testing.T) {
	checkSeeds(t, firstFaultSeed, largeOptions)
}

func largeOptions(seed uint64) Options {
	options := waveOptions(seed)
	options.LargeTasks, options.Faults, options.MoreWaves = true, true, moreWaves
	return options
}
