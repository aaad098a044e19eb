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

// Spans and counts of placement; spans in milliseconds.
const (
	// TaskLease is how long a worker may run a task without a renewal.
	TaskLease = 60 * croft.Second
	// CheckpointWithin is how long a planned stop waits for a checkpoint.
	CheckpointWithin = 30 * croft.Second
	// FailuresToStop is the number of distinct workers a job fails on before it is stopped.
	FailuresToStop = 3
	// FaultsToQuarantine is the number of jobs that failed on a worker and ran elsewhere before it is quarantined.
	FaultsToQuarantine = 3

	// SuspectSpan is how long a worker on which a task failed is given one task at a time, none of which failed elsewhere.
	SuspectSpan = 10 * croft.Minute

	renewEvery  = TaskLease / 3
	startWithin = 10 * croft.Second
	scanEvery   = 2 * croft.Second
	// scanHeldEvery bounds how late a planner learns of a job that was submitted at another entry.
	scanHeldEvery = croft.Second / 2
	writeWithin   = 6 * croft.Second
	// batchRows is the most rows of one transaction.
	batchRows = 25
	// cancelConflicts is how many batches of one cancellation are taken again after a conflict.
	cancelConflicts = 20
	// maxSeen is the most waiting jobs looked at for one transaction.
	maxSeen = 1000
)

// Inputs are what the decisions about jobs read from other parts.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Lease  lease.State
	Pools  pools.State
	// Reachable says that the platform answered lately.
	Reachable bool
}

func (in Inputs) holds(pool croft.PoolID, now croft.Millis) bool {
	return in.Lease.Holds(in.Self.ID, pool, now)
}

// Known is a job row as last seen.
type Known struct {
	croft.Job
	// Version is the row's version in the table.
	Version uint64
}

// State is what one entry knows of jobs and of the workers that hold them.
type State struct {
	jobs keyed.Map[croft.JobID, Known]
	// waiting orders each pool's waiting jobs by urgency and age.
	waiting keyed.Map[croft.PoolID, keyed.Map[string, croft.JobID]]
	// due orders each pool's placed jobs by their next order.
	due     keyed.Map[croft.PoolID, keyed.Map[string, croft.JobID]]
	tasks   keyed.Map[croft.JobID, task]
	workers keyed.Map[croft.VMID, worker]
	teams   keyed.Map[croft.TeamID, croft.Resources]
	writes  keyed.Map[string, write]
	busy    keyed.Map[croft.JobID, string]
	cancels keyed.Map[string, cancel]
	loaded  bool
	cursor  uint64
	// previous is where the scan before the last one ended.
	previous uint64
	scanned  croft.Millis
	serial   uint64
}

// task is what this entry knows of a placed job beyond its row.
type task struct {
	run  uint64
	next croft.Millis
	// epoch is the takeover of the pool under which this entry last looked at the task.
	epoch uint64
	// heard is when a worker last reported the task, or when this entry first saw it placed.
	heard croft.Millis
	// lost is when the worker was first seen gone, zero while it is there.
	lost croft.Millis
	// renewed is when an order that lengthens the lease was last sent, or when this entry first missed the task.
	renewed croft.Millis
	// stopped says that the worker took the order to stop.
	stopped bool
	// asked is when a checkpoint was asked for, zero before.
	asked croft.Millis
	// checkpointed says that the worker reported the checkpoint asked for.
	checkpointed bool
}

// worker is the load of one VM.
type worker struct {
	used  croft.Resources
	tasks keyed.Map[croft.JobID, struct{}]
	// faults are the jobs that failed here and ran elsewhere.
	faults keyed.Map[croft.JobID, struct{}]
	// suspect is when a task last failed here with none seen running since, zero for never.
	suspect croft.Millis
	// quarantined keeps further jobs away.
	quarantined bool
}

// write is a commit of job rows in flight.
type write struct {
	rows      []croft.Job
	ops       []croft.Op
	asked     string
	cancel    string
	sent      croft.Millis
	decisions []croft.Decision
}

// cancel is an operator's command to cancel jobs, taken in batches.
type cancel struct {
	left    []croft.JobID
	refused int
	first   string
	// conflicts counts the batches that met rows which others had changed.
	conflicts int
}

// New returns the state of an entry that has read nothing.
func New() State { return State{} }

// Jobs returns the known job rows in the order of their names.
func (s State) Jobs() keyed.Map[croft.JobID, Known] { return s.jobs }

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

// Quarantined reports whether further jobs are kept away from a VM.
func (s State) Quarantined(id croft.VMID) bool {
	w, _ := s.workers.Get(id)
	return w.quarantined
}

// Size returns the resources a job is counted as: what workers reported, or what was declared before any report.
func Size(j croft.Job) croft.Resources {
	if j.Reported != (croft.Resources{}) {
		return j.Reported
	}
	return j.Declared
}

func placed(j croft.Job) bool {
	switch j.Status {
	case croft.JobStarting, croft.JobRunning, croft.JobCheckpointing:
		return true
	}
	return false
}

func ended(j croft.Job) bool {
	switch j.Status {
	case croft.JobDone, croft.JobCancelled, croft.JobRefused, croft.JobStopped:
		return true
	}
	return false
}

// rank orders waiting jobs: urgent first, then by age.
func rank(j croft.Job) string {
	return fmt.Sprintf("%04d/%015d/%s", min(max(j.Urgency, 0), 9999), j.Created, j.ID)
}

func dueKey(at croft.Millis, id croft.JobID) string { return fmt.Sprintf("%015d/%s", at, id) }

func decodeJob(r croft.Row) (croft.Job, bool) {
	var j croft.Job
	if json.Unmarshal(r.Value, &j) != nil || string(j.ID) != strings.TrimPrefix(r.Key, croft.JobPrefix) {
		return croft.Job{}, false
	}
	return j, true
}

func encode(j croft.Job) []byte {
	body, err := json.Marshal(j)
	if err != nil {
		// A plain struct of strings and numbers always encodes.
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

// PoolVMs returns the VMs that placed jobs of a pool are on, one for each job.
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
