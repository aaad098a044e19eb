package plat

import "waxwing.example/croft"

// Headers of the platform's responses and their values.
const (
	// HeaderOutcome is set to OutcomeNotRun if the platform certainly did nothing.
	HeaderOutcome = "Croft-Outcome"
	// OutcomeNotRun is the only value of HeaderOutcome.
	OutcomeNotRun = "NotRun"
)

// Paths of the platform's HTTP API.
const (
	PathRow     = "/table/row"
	PathRows    = "/table/rows"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathVMs     = "/vms"
	PathReports = "/reports"
	PathTasks   = "/tasks/order"
)

// RowsAnswer is the response to a scan.
type RowsAnswer struct{ Rows []croft.Row }

// CommitAsked is the request body of a transaction.
type CommitAsked struct{ Ops []croft.Op }

// CommitAnswer is the response to a transaction that was committed.
type CommitAnswer struct{ Version uint64 }

// ConflictAnswer is the response to a transaction whose version checks failed; it holds the current rows.
type ConflictAnswer struct{ Rows []croft.Row }

// VMOrdered is the request body of an order to a VM.
type VMOrdered struct {
	// Boot is the boot of the VM that the order is meant for; the platform ignores an order for another boot.
	Boot uint64
	Verb croft.VMVerb
}

// TaskOrdered is the request body of an order to a worker.
type TaskOrdered struct {
	VM  croft.VMID
	Job croft.JobID
	// Run is the fencing token; a worker rejects an order with a lower one than the highest it has seen.
	Run  uint64
	Verb croft.TaskVerb
	// Lease is how long the worker may run the task without another order.
	Lease croft.Millis
	// Expires is the instant, by the wall clock, from which the order is rejected and at which its lease ends at the
	// latest; zero for none.
	Expires croft.Millis
	Size    croft.Resources
	// Checkpoint is the object to resume from, empty for none.
	Checkpoint string
}

// ReportsAsked is the request body for the reports that the VMs made after the instant Since.
type ReportsAsked struct {
	Since croft.Millis
	VMs   []croft.VMID
}

// ReportsAnswer is the response with the workers' reports.
type ReportsAnswer struct{ Reports []croft.WorkerReport }

// Problem is the body of an error response, as in RFC 9457 but with Pascal case names.
type Problem struct {
	Status int
	Title  string
	Detail string
}
