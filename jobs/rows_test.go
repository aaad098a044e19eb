package jobs

import (
	"compress/flate"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

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

// Guards against jobs that never start, and tasks that nobody submitted: a queue whose name has a slash had its keys split elsewhere
// than they were joined.
func TestKeysOfQueuesWithSlashesAreSplitWhereTheyWereJoined(t *testing.T) {
	seen := map[string]croft.QueueID{}
	for _, queue := range []croft.QueueID{"intake/sort", "intake%2Fsort", "/", "a/b/c", "a%b"} {
		part := Part(queue, "5c0e7a21d94b36f8")
		assert.Assert(t, slices.Contains(Parts(queue), part))
		assert.Equal(t, seen[part], croft.QueueID(""), "%s and %s share a part", queue, seen[part])
		seen[part] = queue
		gotPart, id, err := SplitKey(Key(StateTable, part, "5c0e7a21d94b36f8"))
		assert.NilError(t, err)
		assert.Equal(t, gotPart, part)
		assert.Equal(t, id, croft.JobID("5c0e7a21d94b36f8"))
	}
}

func TestFinishedTaskBitsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		finished := map[int]bool{}
		var bits []byte
		for _, index := range rapid.SliceOf(rapid.IntRange(0, 300)).Draw(t, "done") {
			finished[index] = true
			bits = WithBit(bits, index)
		}
		raw := EncodeProgress(Progress{Status: Running, Done: map[string][]byte{StageName(0, 1): bits}, Failed: map[string][]int{TaskName(0, 1, 2): {1, 4}}})
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
		p, err := DecodeProgress(EncodeProgress(p))
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

// largestProgress returns the state of a job with as many open tasks as there may be, each in a step of its own: about half of
// them are done, and the others have failed runs.
func largestProgress(failures int) Progress {
	const occurrences, steps = 39, 256
	p := Progress{Status: Running, Announced: true, Done: map[string][]byte{}}
	if failures > 0 {
		p.Failed = map[string][]int{}
	}
	random := rand.New(rand.NewPCG(1, 2))
	for occurrence := range occurrences {
		for step := range steps {
			if random.IntN(2) == 0 {
				p.Done[StageName(occurrence, step)] = []byte{1}
				continue
			}
			number := 9_900_001
			for range failures {
				name := TaskName(occurrence, step, 0)
				p.Failed[name] = append(p.Failed[name], number)
				number += 1 + random.IntN(3)
			}
		}
	}
	return p
}

// Guards against jobs that never start, since the store refuses each transaction with a state that is too large for a row: the
// state of a job with thousands of tasks whose runs fail.
func TestProgressOfTheLargestJobFitsARow(t *testing.T) {
	const rowBytes, maxFailures = 65_536, 7
	for failures := range maxFailures + 1 {
		p := largestProgress(failures)
		raw := EncodeProgress(p)
		assert.Assert(t, len(raw) <= rowBytes, "%d failed runs of each task: %d bytes", failures, len(raw))
		decoded, err := DecodeProgress(raw)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, p)
	}
}

// Guards against jobs that are refused though they keep to the limits of the entry: 256 steps, each after all earlier ones.
func TestLargestRecordFitsARow(t *testing.T) {
	const rowBytes, steps = 65_536, 256
	r := Record{Queue: "q", Pool: "p"}
	for number := range steps {
		s := croft.Step{Count: 39, Needs: croft.Resources{MilliCores: int64(number), MemoryMB: 256}, Estimate: croft.Millis(number * 7)}
		for earlier := range number {
			s.After = append(s.After, earlier)
		}
		r.Spec.Steps = append(r.Spec.Steps, s)
	}
	raw := EncodeRecord(r)
	assert.Assert(t, len(raw) <= rowBytes, "%d bytes", len(raw))
	decoded, err := DecodeRecord(raw)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, r)
}

func TestDamagedCompressedProgressIsAnError(t *testing.T) {
	raw := EncodeProgress(largestProgress(1))
	for _, damaged := range [][]byte{nil, {compressedMark}, raw[:len(raw)/2], append([]byte{compressedMark}, raw...)} {
		_, err := DecodeProgress(damaged)
		assert.ErrorContains(t, err, "state row")
	}
}

func BenchmarkEncodeLargestProgress(b *testing.B) {
	p := largestProgress(1)
	for b.Loop() {
		EncodeProgress(p)
	}
}

func FuzzDecodeRows(f *testing.F) {
	f.Add(EncodeProgress(Progress{Status: Done, Fence: 7, Announced: true}))
	f.Add(EncodeProgress(Progress{Status: Running, Finished: []int{0, 3, 5, 6}}))
	f.Add(EncodeProgress(largestProgress(1)))
	f.Add(EncodeRecord(Record{Queue: "q", Spec: croft.JobSpec{Steps: []croft.Step{{Count: 2, After: []int{0}}}}}))
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

// Guards against the memory of a compressor for each row that is encoded at the same time.
func TestCompressorsAreFew(t *testing.T) {
	record := Record{Spec: croft.JobSpec{Payload: strings.Repeat("s", minCompressedBytes)}}
	var held []*flate.Writer
	for range maxCompressors {
		held = append(held, acquireCompressor())
	}
	encoded := make(chan []byte)
	go func() { encoded <- EncodeRecord(record) }()
	select {
	case <-encoded:
		t.Fatal("a row was compressed while all compressors are in use")
	case <-time.After(20 * time.Millisecond):
	}
	for _, w := range held {
		compressors <- w
	}
	decoded, err := DecodeRecord(<-encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, record)
}

// Guards against an organisation that keeps the jobs of another one from being stored, and against jobs that are stored after their
// cancellation.
func TestTombstoneRejectsJobsThatItsOrganisationsMayCancel(t *testing.T) {
	red := Progress{}.WithCancellationBy("red")
	both := red.WithCancellationBy("blue")
	public := red.WithCancellationBy("")
	for _, test := range []struct {
		progress  Progress
		org       croft.OrganisationID
		cancelled bool
		rejects   bool
	}{
		{Progress{Status: Canceled}, "red", false, false},
		{Progress{Status: Canceled}, "", false, false},
		{red, "red", true, true},
		{red, "blue", false, false},
		{red, "", false, true},
		{both, "blue", true, true},
		{both, "red", true, true},
		{both, "green", false, false},
		{public, "green", true, true},
		{public, "", true, true},
	} {
		decoded, err := DecodeProgress(EncodeProgress(test.progress))
		assert.NilError(t, err)
		assert.Equal(t, decoded.Status, Canceled)
		assert.Equal(t, decoded.IsCancelledBy(test.org), test.cancelled, "%v %q", test.progress.CancelledBy, test.org)
		assert.Equal(t, decoded.RejectsJobOf(test.org), test.rejects, "%v %q", test.progress.CancelledBy, test.org)
	}
	assert.Equal(t, len(red.CancelledBy), 1)
}
