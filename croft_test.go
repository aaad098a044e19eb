package croft

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestResourcesFitOnlyWithinEachAmount(t *testing.T) {
	room := Resources{MilliCores: 4000, MemoryMB: 1024, Accelerators: 1}
	assert.Assert(t, room.Fits(room))
	assert.Assert(t, !room.Plus(Resources{Accelerators: 1}).Fits(room))
	assert.Assert(t, room.Minus(Resources{MemoryMB: 1}).Fits(room))
}

func TestMemberEpochGrowsWithEachPhase(t *testing.T) {
	member := Member{VM: "vm1", Pool: "a", Phase: PhaseServing, Epoch: 3}
	drained := member.WithPhase(PhaseDraining, PurposeMove, 10).WithTarget("b")
	assert.Equal(t, drained.Epoch, uint64(4))
	assert.Equal(t, drained.Pool, PoolID("a"))
	assert.Equal(t, member.Phase, PhaseServing)
}
