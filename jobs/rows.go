package jobs

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"waxwing.example/croft"
)

// The tables of jobs. Each is divided into parts, the partitions of the store; the rows of a job are in the part of the
// same name in each table.
const (
	// JobTable holds a Record for each job until the job ends.
	JobTable = "job"
	// StateTable holds the Progress of each job: the status that callers see and the finished tasks.
	StateTable = "state"
	// WaitTable holds a row without content for each job that has not begun.
	WaitTable = "wait"
	// CancelTable holds a row without content for each cancelled job until the planner has stopped it.
	CancelTable = "cancel"
)

// PresenceValue is the value of rows without content, which only have to exist.
var PresenceValue = []byte("1")

// partsPerQueue is the number of parts over which the jobs of a queue are spread. The store handles about 160
// transactions per second in one part, far fewer while it is slow, and the busiest queue of the grown
// deployments has 190 submissions per second.
const partsPerQueue = 4

// Part returns the name of the part that holds a job's rows; it is derived from a hash of the job's id.
func Part(queue croft.QueueID, id croft.JobID) string {
	return partName(queue, int(xxhash.Sum64String(string(id))%partsPerQueue))
}

// partEscapes are the characters that names of parts must not have, since they divide keys, and the one that marks them.
var partEscapes = strings.NewReplacer("%", "%25", "/", "%2F")

// partName returns the name of one part of a queue.
func partName(queue croft.QueueID, n int) string {
	return partEscapes.Replace(string(queue)) + "." + strconv.Itoa(n)
}

// Parts returns the names of all parts of a queue.
func Parts(queue croft.QueueID) []string {
	parts := make([]string, partsPerQueue)
	for i := range parts {
		parts[i] = partName(queue, i)
	}
	return parts
}

// Key returns the key of a job's row in a table, in the form table/part/job.
func Key(table, part string, id croft.JobID) string { return table + "/" + part + "/" + string(id) }

// LiveRowDeletions returns the operations that delete all rows of a job but its state, whether or not they are there.
func LiveRowDeletions(part string, id croft.JobID) []croft.Op {
	var ops []croft.Op
	for _, table := range []string{JobTable, CancelTable, WaitTable} {
		ops = append(ops, croft.Op{Kind: croft.OpDelete, Key: Key(table, part, id), Version: croft.AnyVersion})
	}
	return ops
}

// SplitKey returns the part and the job of a key that was made by Key.
func SplitKey(key string) (part string, id croft.JobID, err error) {
	_, rest, hasTable := strings.Cut(key, "/")
	part, name, hasPart := strings.Cut(rest, "/")
	if !hasTable || !hasPart {
		return "", "", errors.Newf("key %q: want table/part/job", key)
	}
	return part, croft.JobID(name), nil
}

// Record is the stored form of a submitted job.
type Record struct {
	Queue croft.QueueID
	// Organisation owns the job, empty if it belongs to none.
	Organisation croft.OrganisationID `json:",omitempty"`
	// Pool, Priority, MostAttempts, Stretch, Latency and NeedsAdvice are copied from the queue at submission, since the queue
	// may be removed before its jobs end.
	Pool         croft.PoolID
	Priority     int
	MostAttempts int
	Stretch      float64
	Latency      croft.Millis
	NeedsAdvice  bool `json:",omitempty"`
	// Accepted is when the job was submitted, by the wall clock of the entry that accepted it.
	Accepted croft.Millis
	Spec     croft.JobSpec
}

// Status is the status of a job as reported to callers.
type Status string

// The statuses of a job.
const (
	Pending  Status = "Pending"
	Running  Status = "Running"
	Done     Status = "Done"
	Failed   Status = "Failed"
	Canceled Status = "Canceled"
)

// Final reports whether a job with this status has ended.
func (s Status) Final() bool { return s == Done || s == Failed || s == Canceled }
