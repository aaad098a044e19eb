package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// published returns the loads of the newest Publish, after a tick.
func (b *bench) published() (Load, bool) {
	b.t.Helper()
	got := of[Publish](b.advance(loadSpan))
	assert.Equal(b.t, len(got), 1)
	return got[0].Loads["q"], got[0].Shared
}

// A flood beyond what the pool does while its jobs are of use is refused, with the time after which
// a new job would be served, and the word is taken back when the flood is over.
func TestFloodBeyondUseIsRefused(t *testing.T) {
	b := newBench(t)
	b.lead(1, 1)
	var flood []JobRow
	for i := range 60 {
		flood = append(flood, testJob(croft.JobID(rune('a'+i)), step(4, 16)))
	}
	b.event(JobsRead{Jobs: flood})
	load, shared := b.published()
	assert.Assert(t, load.Refuse && shared)
	// 60 jobs of 4 tasks of 16 cores and 600 ms keep 64 cores busy for 36 s; each is of use for 4.7 s.
	assert.Assert(t, load.Wait > 30*croft.Second && load.Wait < 32*croft.Second, "%d", load.Wait)
	b.now += 6 * croft.Second
	load, shared = b.published()
	assert.Assert(t, !load.Refuse && shared)
	_, shared = b.published()
	assert.Assert(t, !shared)
}

func TestTurnWithinUseIsNotRefused(t *testing.T) {
	b := newBench(t)
	b.lead(1, 1)
	var turn []JobRow
	for i := range 6 {
		turn = append(turn, testJob(croft.JobID(rune('a'+i)), step(4, 16)))
	}
	b.event(JobsRead{Jobs: turn})
	load, _ := b.published()
	assert.Assert(t, !load.Refuse)
}
