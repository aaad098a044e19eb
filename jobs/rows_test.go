package jobs

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func TestKeysAreSplitAsTheyWereMade(t *testing.T) {
	part := Part("r-1", "5c0e7a21d94b36f8")
	assert.Assert(t, part == Parts("r-1")[0] || part == Parts("r-1")[1])
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
