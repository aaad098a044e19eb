package clock

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

var (
	_ croft.Clock = (*System)(nil)
	_ croft.Clock = (*Manual)(nil)
)

// Guards against a sleeper that wakes a millisecond early, or does not wake when its duration has passed.
func TestManualWakesSleeperWhenItsTimeHasCome(t *testing.T) {
	m := NewManual(1000)
	result := make(chan error, 1)
	go func() { result <- m.Sleep(context.Background(), 50) }()
	for m.Sleepers() == 0 {
	}
	m.Advance(49)
	assert.Equal(t, m.Sleepers(), 1)
	m.Advance(1)
	assert.NilError(t, <-result)
	assert.Equal(t, m.Now(), croft.Millis(1050))
}

func TestSleepEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, NewManual(0).Sleep(ctx, 1), context.Canceled)
	assert.ErrorIs(t, NewSystem().Sleep(ctx, 60_000), context.Canceled)
}
