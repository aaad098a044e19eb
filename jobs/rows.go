package jobs

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"waxwing.example/croft"
)

// The tables of jobs; the rows of one job are in the same part of each.
const (
	// JobTable holds what a caller submitted until the job ends.
	JobTable = "job"
	// StateTable holds what callers are shown and what of a job is done.
	StateTable = "state"
	// WaitTable holds an empty row for each job that has not begun.
	WaitTable = "wait"
	// CancelTable holds a row for each cancelled job until the planner has stopped it.
	CancelTable = "cancel"
)

// Mark is the value of rows that only have to be there.
var Mark = []byte("1")

// shards is the number of parts of a queue. The store takes some 160 transactions a second in one
// part, far fewer while it is slow, and the busiest queue of the grown deployments has 190
// submissions a second.
const shards = 4

// Part returns the part that holds a job's rows.
func Part(queue croft.QueueID, id croft.JobID) string {
	return partOf(queue, int(xxhash.Sum64String(string(id))%shards))
}

func partOf(queue croft.QueueID, shard int) string { return string(queue) + "." + strconv.Itoa(shard) }

// Parts returns all parts of a queue.
func Parts(queue croft.QueueID) []string {
	parts := make([]string, shards)
	for i := range parts {
		parts[i] = partOf(queue, i)
	}
	return parts
}

// Key returns the key of a job's row in a table.
func Key(table, part string, id croft.JobID) string { return table + "/" + part + "/" + string(id) }

// SplitKey returns the part and the job of a row's key.
func SplitKey(key string) (part string, id croft.JobID, err error) {
	_, rest, ok := strings.Cut(key, "/")
	part, name, found := strings.Cut(rest, "/")
	if !ok || !found {
		return "", "", errors.Newf("key %q: want table/part/job", key)
	}
	return part, croft.JobID(name), nil
}

// Record is a submitted job.
type Record struct {
	Queue croft.QueueID
	// Pool, MostAttempts, Stretch and Latency are the queue's at submission, since a queue may be
	// removed before its jobs end.
	Pool         croft.PoolID
	Priority     int
	MostAttempts int
	Stretch      float64
	Latency      croft.Millis
	// Accepted is when the job came, by the wall clock of the entry that took it.
	Accepted croft.Millis
	Spec     croft.JobSpec
}

// Status is what callers are told of a job.
type Status string

// The states of a job.
const (
	Pending  Status = "Pending"
	Running  Status = "Running"
	Done     Status = "Done"
	Failed   Status = "Failed"
	Canceled Status = "Canceled"
)

// Final reports whether a job in the status has ended.
func (s Status) Final() bool { return s == Done || s == Failed || s == Canceled }

// Progress is the row of a job's state.
type Progress struct {
	Status Status
	// Announced says that a leader may have started tasks of the job, though it is shown as pending.
	Announced bool `json:",omitempty"`
	// Fence is the fencing token of the planner that wrote the row, zero for an entry.
	Fence uint64 `json:",omitempty"`
	// Done has the finished tasks of each stage, as bits of bytes, by occurrence.step.
	Done map[string][]byte `json:",omitempty"`
	// Failed has the numbers of a task's failed runs, by occurrence.step.index.
	Failed map[string][]int `json:",omitempty"`
}

// StageName returns the name of a stage in Done.
func StageName(occurrence, step int) string {
	return strconv.Itoa(occurrence) + "." + strconv.Itoa(step)
}

// TaskName returns the name of a task in Failed.
func TaskName(occurrence, step, index int) string {
	return StageName(occurrence, step) + "." + strconv.Itoa(index)
}

// HasBit reports whether a task is among the finished ones.
func HasBit(bits []byte, index int) bool {
	return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
}

// WithBit returns the bits with a task added.
func WithBit(bits []byte, index int) []byte {
	out := make([]byte, max(len(bits), index/8+1))
	copy(out, bits)
	out[index/8] |= 1 << (index % 8)
	return out
}

// Encode returns a row's value.
func Encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		// The rows have no field that JSON cannot hold.
		panic(err)
	}
	return raw
}

// DecodeRecord reads a row of JobTable.
func DecodeRecord(raw []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(raw, &r)
	return r, errors.Wrap(err, "job row")
}

// DecodeProgress reads a row of StateTable.
func DecodeProgress(raw []byte) (Progress, error) {
	var p Progress
	err := json.Unmarshal(raw, &p)
	return p, errors.Wrap(err, "state row")
}
