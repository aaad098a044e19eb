package admit

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
)

func newTestGate(slots int, c croft.Clock) (*Gate, croft.Class) {
	id := croft.Class{Service: "s", Kind: "k"}
	g := NewGate(c, NewFairShare())
	g.Set(Settings{Slots: slots, Classes: []Class{{ID: id, FloorShare: 100, Deadline: croft.Second}}})
	return g, id
}

// TestGateNeverLosesSlots guards against a slot that is leaked or granted twice when a caller cancels while the
// gate grants it a slot: many goroutines enter, leave and cancel, and the slots in use are counted.
func TestGateNeverLosesSlots(t *testing.T) {
	const slots = 3
	manual := clock.NewManual(0)
	gate, id := newTestGate(slots, manual)
	var inUse, most atomic.Int64
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if i%4 == 0 {
				cancel()
			}
			pass, err := gate.Enter(ctx, id, croft.Second)
			if err != nil {
				assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
				return
			}
			now := inUse.Add(1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			inUse.Add(-1)
			pass.Leave()
			pass.Leave()
		})
	}
	all.Wait()
	assert.Equal(t, gate.Wanted(), 0)
	assert.Assert(t, most.Load() <= slots)
}

// TestWaiterIsRefusedWhenNoSlotFreesInTime holds the only slot and checks that a second caller is refused once its
// deadline has passed, with a delay after which to retry.
func TestWaiterIsRefusedWhenNoSlotFreesInTime(t *testing.T) {
	manual := clock.NewManual(0)
	gate, id := newTestGate(1, manual)
	_, err := gate.Enter(t.Context(), id, croft.Second)
	assert.NilError(t, err)
	result := make(chan error, 1)
	go func() {
		_, err := gate.Enter(t.Context(), id, croft.Second)
		result <- err
	}()
	for gate.Wanted() < 2 {
		// The other goroutine is about to queue.
	}
	manual.Advance(croft.Second + 1)
	gate.Expire()
	var refused *RefusedError
	assert.Assert(t, errors.As(<-result, &refused))
	assert.Assert(t, refused.Limit && refused.RetryAfter >= minRetryAfter)
	assert.Equal(t, gate.Wanted(), 1)
}
