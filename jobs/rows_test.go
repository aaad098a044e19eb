package jobs

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func TestSplitKeyInvertsKey(t *testing.T) {
	part := Part("r-1", "5c0e7a21d94b36f8")
	assert.Assert(t, slices.Contains(Parts("r-1"), part))
	gotPart, id, err := SplitKey(Key(StateTable, part, "5c0e7a21d94b36f8"))
	assert.NilError(t, err)
	assert.Equal(t, gotPart, part)
	assert.Equal(t, id, croft.JobID("5c0e7a21d94b36f8"))
	_, _, err = SplitKey("state")
	assert.ErrorContains(t, err, "want table/part/job")
}

func TestFinishedTaskBitsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		finished := map[int]bool{}
		var bits []byte
		for _, index := range rapid.SliceOf(rapid.IntRange(0, 300)).Draw(t, "done") {
			finished[index] = true
			bits = WithBit(bits, index)
		}
		raw := Encode(Progress{Status: Running, Done: map[string][]byte{StageName(0, 1): bits}, Failed: map[string][]int{TaskName(0, 1, 2): {1, 4}}})
		decoded, err := DecodeProgress(raw)
		assert.NilError(t, err)
		for index := range 310 {
			assert.Equal(t, HasBit(decoded.Done["0.1"], index), finished[index])
		}
		assert.DeepEqual(t, decoded.Failed["0.1.2"], []int{1, 4})
	})
}

func TestFinishedOccurrencesAreRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		finished := map[int]bool{}
		p := Progress{Status: Running}
		for _, occurrence := range rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "finished") {
			finished[occurrence] = true
			p = p.WithFinished(occurrence)
		}
		p, err := DecodeProgress(Encode(p))
		assert.NilError(t, err)
		ranges := 0
		for occurrence := range 42 {
			assert.Equal(t, p.IsFinished(occurrence), finished[occurrence])
			if finished[occurrence] && !finished[occurrence-1] {
				ranges++
			}
		}
		assert.Equal(t, len(p.Finished), 2*ranges)
	})
}

func TestProgressOfFinishedOccurrencesIsDropped(t *testing.T) {
	p := Progress{
		Done:    map[string][]byte{StageName(1, 0): {1}, StageName(12, 0): {2}},
		Failed:  map[string][]int{TaskName(1, 0, 3): {1}, TaskName(12, 0, 3): {2}},
		Crashed: map[string]int{TaskName(1, 0, 3): 1},
	}
	got := p.WithFinished(1)
	assert.DeepEqual(t, got, Progress{Finished: []int{1, 2}, Done: map[string][]byte{"12.0": {2}}, Failed: map[string][]int{"12.0.3": {2}}, Crashed: map[string]int{}})
	assert.Equal(t, len(p.Done), 2)
}

func FuzzDecodeRows(f *testing.F) {
	f.Add(Encode(Progress{Status: Done, Fence: 7, Announced: true}))
	f.Add(Encode(Progress{Status: Running, Finished: []int{0, 3, 5, 6}}))
	f.Add(Encode(Record{Queue: "q", Spec: croft.JobSpec{Steps: []croft.Step{{Count: 2, After: []int{0}}}}}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = DecodeProgress(raw)
		_, _ = DecodeRecord(raw)
	})
}

// At its peak the busiest queue has 190 submissions per second, each a transaction. No part may get more than
// half of the 160 transactions per second that the store handles in one part: with two parts, transactions
// queued up, and while the store was slow most submissions were refused.
func TestBusiestQueueIsSpreadOverItsParts(t *testing.T) {
	const submissionsPerSecond, maxPerPart = 190, 160 / 2
	count := map[string]int{}
	for i := range 100 * submissionsPerSecond {
		count[Part("q", croft.JobID(fmt.Sprintf("%016x", i)))]++
	}
	for part, n := range count {
		assert.Assert(t, n/100 <= maxPerPart, "%d a second in %s", n/100, part)
	}
	assert.Equal(t, len(count), len(Parts("q")))
}
