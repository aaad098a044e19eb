package croft

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestResourcesFitOnlyIfEveryAmountFits(t *testing.T) {
	capacity := Resources{MilliCores: 4000, MemoryMB: 1024, Accelerators: 1}
	assert.Assert(t, capacity.Fits(capacity))
	assert.Assert(t, !capacity.Plus(Resources{Accelerators: 1}).Fits(capacity))
	assert.Assert(t, capacity.Minus(Resources{MemoryMB: 1}).Fits(capacity))
}

func TestMemberEpochIncreasesWithEachPhase(t *testing.T) {
	member := Member{VM: "vm1", Pool: "a", Phase: PhaseServing, Epoch: 3}
	drained := member.WithPhase(PhaseDraining, PurposeMove, 10).WithTarget("b")
	assert.Equal(t, drained.Epoch, uint64(4))
	assert.Equal(t, drained.Pool, PoolID("a"))
	assert.Equal(t, member.Phase, PhaseServing)
}
