package jobs

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"waxwing.example/croft"
)

// Progress is the stored state of a job.
type Progress struct {
	Status Status
	// Organisation owns the job, empty if it belongs to none or was stored by a version without organisations.
	Organisation croft.OrganisationID `json:",omitempty"`
	// Announced reports that a leader may have started tasks of the job although its status is Pending.
	Announced bool `json:",omitempty"`
	// Fence is the fencing token of the last planner that wrote the row, zero before the first one.
	Fence uint64 `json:",omitempty"`
	// Finished has the finished occurrences as ranges in ascending order: the first occurrence of each and the one after its
	// last. The fields below have nothing of these.
	Finished []int `json:",omitempty"`
	// Done has the finished tasks of each stage as a bitmap; the keys are made by StageName.
	Done map[string][]byte `json:",omitempty"`
	// Failed has the numbers of the failed runs of each task; the keys are made by TaskName.
	Failed map[string][]int `json:",omitempty"`
	// Crashed has the tasks because of which the executor of their last start may have gone down, and for each how many
	// executors went down just after they had begun it, since one last survived that; the keys are made by TaskName.
	Crashed map[string]int `json:",omitempty"`
	// CancelledBy makes the row a tombstone: it has the organisations that cancelled the ID while no job with it was stored, "" for
	// callers of public queues.
	CancelledBy []croft.OrganisationID `json:",omitempty"`
}

// IsTombstone reports whether the row is that of an ID that was cancelled while no job with it was stored.
func (p Progress) IsTombstone() bool { return len(p.CancelledBy) > 0 }

// IsCancelledBy reports whether the row is a tombstone that covers all jobs which callers of an organisation may cancel.
func (p Progress) IsCancelledBy(org croft.OrganisationID) bool {
	return slices.Contains(p.CancelledBy, "") || slices.Contains(p.CancelledBy, org)
}

// RejectsJobOf reports whether the row is a tombstone of a caller who may cancel the jobs of an organisation.
func (p Progress) RejectsJobOf(org croft.OrganisationID) bool {
	return p.IsTombstone() && (org == "" || p.IsCancelledBy(org))
}

// WithCancellationBy returns a copy that is a tombstone, also of an organisation.
func (p Progress) WithCancellationBy(org croft.OrganisationID) Progress {
	p.Status = Canceled
	p.CancelledBy = append(slices.Clone(p.CancelledBy), org)
	return p
}

// IsVisibleTo reports whether callers of an organisation may ask for the job and cancel it.
func (p Progress) IsVisibleTo(org croft.OrganisationID) bool {
	return p.Organisation == "" || p.Organisation == org
}

// IsFinished reports whether an occurrence is finished.
func (p Progress) IsFinished(occurrence int) bool {
	// The number of bounds up to the occurrence is odd within a range.
	bounds, _ := slices.BinarySearch(p.Finished, occurrence+1)
	return bounds%2 == 1
}

// Occurrences returns the number of occurrences up to the last one of which there is progress.
func (p Progress) Occurrences() int {
	n := 0
	if len(p.Finished) > 0 {
		n = p.Finished[len(p.Finished)-1]
	}
	for _, keys := range []iter.Seq[string]{maps.Keys(p.Done), maps.Keys(p.Failed), maps.Keys(p.Crashed)} {
		for key := range keys {
			number, _, _ := strings.Cut(key, ".")
			if occurrence, err := strconv.Atoi(number); err == nil {
				n = max(n, occurrence+1)
			}
		}
	}
	return n
}

// WithFinished returns a copy in which an occurrence is finished, without the progress of its tasks.
func (p Progress) WithFinished(occurrence int) Progress {
	if !p.IsFinished(occurrence) {
		p.Finished = withRange(p.Finished, occurrence)
	}
	prefix := strconv.Itoa(occurrence) + "."
	p.Done, p.Failed, p.Crashed = withoutPrefix(p.Done, prefix), withoutPrefix(p.Failed, prefix), withoutPrefix(p.Crashed, prefix)
	return p
}

// withRange returns a copy of ascending ranges with a number that none of them has. A bound that the number shares with a range
// next to it vanishes.
func withRange(ranges []int, number int) []int {
	ranges = slices.Clone(ranges)
	for _, bound := range []int{number, number + 1} {
		at, found := slices.BinarySearch(ranges, bound)
		if found {
			ranges = slices.Delete(ranges, at, at+1)
		} else {
			ranges = slices.Insert(ranges, at, bound)
		}
	}
	return ranges
}

// withoutPrefix returns a copy of a map without the keys that begin with a prefix.
func withoutPrefix[V any](m map[string]V, prefix string) map[string]V {
	kept := make(map[string]V, len(m))
	for key, value := range m {
		if !strings.HasPrefix(key, prefix) {
			kept[key] = value
		}
	}
	return kept
}

// StageName returns the key in Done of a stage, that is a step of one occurrence.
func StageName(occurrence, step int) string {
	return strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// TaskName returns the key in Failed and Crashed of a task.
func TaskName(occurrence, step, index int) string {
	return StageName(occurrence, step) + "." + strconv.Itoa(index)
}

// HasBit reports whether the bit of a task is set in a bitmap of finished tasks.
func HasBit(bits []byte, index int) bool {
	return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
}

// WithBit returns a copy of the bitmap with the bit of a task set.
func WithBit(bits []byte, index int) []byte {
	extended := make([]byte, max(len(bits), index/8+1))
	copy(extended, bits)
	extended[index/8] |= 1 << (index % 8)
	return extended
}
