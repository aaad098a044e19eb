package place

import (
	"encoding/json"
	"fmt"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/lease"
	"waxwing.example/croft/pools"
)

// Durations, in milliseconds, and counts of placement.
const (
	// TaskLease is how long a worker may run a task without a renewal.
	TaskLease = 60 * croft.Second
	// CheckpointTimeout is how long a planned stop waits for the checkpoint before the task is stopped without it.
	CheckpointTimeout = 30 * croft.Second
	// FailuresToStop is the number of distinct workers a job fails on before it is stopped.
	FailuresToStop = 3
	// FaultsToQuarantine is the number of jobs that failed on a worker and ran elsewhere before it is quarantined.
	FaultsToQuarantine = 3

	// CautionTime is how long after a task failure a worker gets only one task at a time, and only of jobs that never failed.
	CautionTime = 10 * croft.Minute

	renewInterval    = TaskLease / 3
	orderResendAfter = 10 * croft.Second
	scanInterval     = 2 * croft.Second
	// plannerScanInterval bounds the delay before a pool's planner sees a job that was submitted at another entry.
	plannerScanInterval = croft.Second / 2
	commitResendAfter   = 6 * croft.Second
	// maxBatchRows is the most job rows of one transaction.
	maxBatchRows = 25
	// cancelConflicts is how many batches of one cancellation are repeated after a conflict.
	cancelConflicts = 20
	// maxExamined is the most waiting jobs considered for one transaction.
	maxExamined = 1000
)

// Inputs holds what Reduce needs from other packages.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Lease  lease.State
	Pools  pools.State
	// PlatformReachable says that the platform answered recently.
	PlatformReachable bool
}

// plansFor reports whether this entry is the pool's planner, that is, holds the pool's lease.
func (in Inputs) plansFor(pool croft.PoolID, now croft.Millis) bool {
	return in.Lease.Holds(in.Self.ID, pool, now)
}

// VersionedJob is a job row as last read, with its version.
type VersionedJob struct {
	croft.Job
	// Version is the row's version in the table.
	Version uint64
}

// State holds what one entry knows about jobs and the workers that run them.
type State struct {
	jobs keyed.Map[croft.JobID, VersionedJob]
	// waiting has each pool's waiting jobs by waitingKey: urgency, then age.
	waiting keyed.Map[croft.PoolID, keyed.Map[string, croft.JobID]]
	// due has each pool's placed jobs by dueKey: the instant at which they are processed next.
	due     keyed.Map[croft.PoolID, keyed.Map[string, croft.JobID]]
	tasks   keyed.Map[croft.JobID, task]
	workers keyed.Map[croft.VMID, workerState]
	// teamRows has the rows of the teams with a quota, and busyTeams the token of the unfinished write of such a row.
	teamRows  keyed.Map[croft.TeamID, versionedUsage]
	busyTeams keyed.Map[croft.TeamID, string]
	writes    keyed.Map[string, write]
	// busy has the token of the unfinished write of a job's row.
	busy keyed.Map[croft.JobID, string]
	// cancellations has the commands to cancel jobs that are not yet answered, by their tokens.
	cancellations keyed.Map[string, cancellation]
	// loaded says that all job rows were read once.
	loaded bool
	// lastScanVersion is the newest row version when the last scan ended.
	lastScanVersion uint64
	// previousScanVersion is the same for the scan before the last one; the next scan starts there, so that it reads a row
	// that was written between two pages of the last one.
	previousScanVersion uint64
	lastScan            croft.Millis
	// serial numbers the tokens of commits.
	serial uint64
}

// task holds what this entry knows about a placed job beyond its row.
type task struct {
	// run is the number of the job's run, which grows with each placement.
	run uint64
	// nextDue is when the job is processed next.
	nextDue croft.Millis
	// epoch is the epoch of the pool's plan row when this entry last processed the task.
	epoch uint64
	// lastReport is when a worker last reported the task, or when this entry first saw it placed.
	lastReport croft.Millis
	// missingSince is when the worker was first seen as failed or unlisted, zero while it is neither.
	missingSince croft.Millis
	// lastRenewal is when this entry last ordered an extension of the lease, or until when another planner may have, or when
	// this entry first found the task's reports overdue.
	lastRenewal croft.Millis
	// stopAccepted says that the worker accepted the order to stop.
	stopAccepted bool
	// checkpointRequested is when a checkpoint was requested, zero before.
	checkpointRequested croft.Millis
	// checkpointed says that the worker reported the requested checkpoint.
	checkpointed bool
}

// workerState holds the placed jobs and the failures of the worker on one VM.
type workerState struct {
	used  croft.Resources
	tasks keyed.Map[croft.JobID, struct{}]
	// failedJobs are the jobs that failed here and ran on another worker.
	failedJobs keyed.Map[croft.JobID, struct{}]
	// lastFailure is when a task last failed here, zero for never or if a task has finished here since.
	lastFailure croft.Millis
	// quarantined says that the worker gets no further jobs.
	quarantined bool
}

// write is an unfinished commit of job rows.
type write struct {
	rows []croft.Job
	// teams has the rows of teams that are written with them.
	teams map[croft.TeamID]usage
	ops   []croft.Op
	// commandToken is the token of a command to submit a job, empty otherwise.
	commandToken string
	// cancelToken is the token of a command to cancel jobs, empty otherwise.
	cancelToken string
	sent        croft.Millis
	decisions   []croft.Decision
}

// cancellation is an operator's unfinished command to cancel jobs, which is executed in batches.
type cancellation struct {
	remaining []croft.JobID
	// refused counts the jobs that could not be cancelled.
	refused int
	// firstRefusal is why the first of these was refused.
	firstRefusal string
	// conflicts counts the batches that conflicted with another entry's write.
	conflicts int
}

// New returns the state of an entry that has read nothing.
func New() State { return State{} }

// Jobs returns the known job rows in the order of their IDs.
func (s State) Jobs() keyed.Map[croft.JobID, VersionedJob] { return s.jobs }

// Tasks returns how many jobs are placed on a VM.
func (s State) Tasks(id croft.VMID) int {
	w, _ := s.workers.Get(id)
	return w.tasks.Len()
}

// Used returns the resources of the jobs placed on a VM.
func (s State) Used(id croft.VMID) croft.Resources {
	w, _ := s.workers.Get(id)
	return w.used
}

// Quarantined reports whether a VM gets no further jobs because too many failed there and ran elsewhere.
func (s State) Quarantined(id croft.VMID) bool {
	w, _ := s.workers.Get(id)
	return w.quarantined
}

// Size returns the resources a job counts as: those reported by its worker, or the declared ones before any report.
func Size(j croft.Job) croft.Resources {
	if j.Reported != (croft.Resources{}) {
		return j.Reported
	}
	return j.Declared
}

// placed reports whether the job is assigned to a worker.
func placed(j croft.Job) bool {
	switch j.Status {
	case croft.JobStarting, croft.JobRunning, croft.JobCheckpointing:
		return true
	}
	return false
}

// hasEnded reports whether the job is in a final status.
func hasEnded(j croft.Job) bool {
	switch j.Status {
	case croft.JobDone, croft.JobCancelled, croft.JobRefused, croft.JobStopped:
		return true
	}
	return false
}

// waitingKey returns the key that sorts waiting jobs by urgency, then by age.
func waitingKey(j croft.Job) string {
	return fmt.Sprintf("%04d/%015d/%s", min(max(j.Urgency, 0), 9999), j.Created, j.ID)
}

// dueKey returns the key that sorts placed jobs by when they are processed next.
func dueKey(at croft.Millis, id croft.JobID) string { return fmt.Sprintf("%015d/%s", at, id) }

func decodeJob(r croft.Row) (croft.Job, bool) {
	var j croft.Job
	if json.Unmarshal(r.Value, &j) != nil || string(j.ID) != strings.TrimPrefix(r.Key, croft.JobPrefix) {
		return croft.Job{}, false
	}
	return j, true
}

func encode(row any) []byte {
	body, err := json.Marshal(row)
	if err != nil {
		// Unreachable: a struct of strings and numbers always encodes.
		panic(err)
	}
	return body
}

// Pools returns the pools that have placed jobs.
func (s State) Pools() []croft.PoolID {
	var ids []croft.PoolID
	for id, due := range s.due.All() {
		if due.Len() > 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// PoolVMs returns the VM of each placed job of a pool; a VM with several jobs is repeated.
func (s State) PoolVMs(pool croft.PoolID) []croft.VMID {
	due, _ := s.due.Get(pool)
	vms := make([]croft.VMID, 0, due.Len())
	for _, id := range due.All() {
		if j, ok := s.jobs.Get(id); ok {
			vms = append(vms, j.Worker)
		}
	}
	return vms
}
