package jobs

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func TestKeysAreSplitAsTheyWereMade(t *testing.T) {
	part := Part("r-1", "5c0e7a21d94b36f8")
	assert.Assert(t, slices.Contains(Parts("r-1"), part))
	gotPart, id, err := SplitKey(Key(StateTable, part, "5c0e7a21d94b36f8"))
	assert.NilError(t, err)
	assert.Equal(t, gotPart, part)
	assert.Equal(t, id, croft.JobID("5c0e7a21d94b36f8"))
	_, _, err = SplitKey("state")
	assert.ErrorContains(t, err, "want table/part/job")
}

func TestFinishedTasksAreKeptAsBits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := map[int]bool{}
		var bits []byte
		for _, index := range rapid.SliceOf(rapid.IntRange(0, 300)).Draw(t, "done") {
			want[index] = true
			bits = WithBit(bits, index)
		}
		raw := Encode(Progress{Status: Running, Done: map[string][]byte{StageName(0, 1): bits}, Failed: map[string][]int{TaskName(0, 1, 2): {1, 4}}})
		back, err := DecodeProgress(raw)
		assert.NilError(t, err)
		for index := range 310 {
			assert.Equal(t, HasBit(back.Done["0.1"], index), want[index])
		}
		assert.DeepEqual(t, back.Failed["0.1.2"], []int{1, 4})
	})
}

func FuzzDecodeRows(f *testing.F) {
	f.Add(Encode(Progress{Status: Done, Fence: 7, Announced: true}))
	f.Add(Encode(Record{Queue: "q", Spec: croft.JobSpec{Steps: []croft.Step{{Count: 2, After: []int{0}}}}}))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = DecodeProgress(raw)
		_, _ = DecodeRecord(raw)
	})
}

// At the busiest queue's 190 submissions a second in its turn, with one transaction each, a part must
// stay below half of the 160 that the store takes in one: two parts queued at it, and while the store
// was slow most submissions were refused.
func TestPartsShareTheBusiestQueue(t *testing.T) {
	const submissions, most = 190, 160 / 2
	count := map[string]int{}
	for i := range 100 * submissions {
		count[Part("q", croft.JobID(fmt.Sprintf("%016x", i)))]++
	}
	for part, n := range count {
		assert.Assert(t, n/100 <= most, "%d a second in %s", n/100, part)
	}
	assert.Equal(t, len(count), len(Parts("q")))
}
