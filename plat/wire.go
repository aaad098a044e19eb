package plat

import "waxwing.example/croft"

// Header names and values of the platform's answers.
const (
	// HeaderOutcome says NotRun where the platform surely did nothing.
	HeaderOutcome = "Croft-Outcome"
	// OutcomeNotRun is the only value of HeaderOutcome.
	OutcomeNotRun = "NotRun"
)

// Paths of the platform's HTTP form.
const (
	PathRow     = "/table/row"
	PathRows    = "/table/rows"
	PathCommit  = "/table/commit"
	PathObjects = "/objects/"
	PathVMs     = "/vms"
	PathReports = "/reports"
	PathTasks   = "/tasks/order"
)

// RowsAnswer is the answer to a scan.
type RowsAnswer struct{ Rows []croft.Row }

// CommitAsked is the body of a transaction.
type CommitAsked struct{ Ops []croft.Op }

// CommitAnswer is the answer to a transaction that was done.
type CommitAnswer struct{ Version uint64 }

// ConflictAnswer is the answer to a transaction that met other versions.
type ConflictAnswer struct{ Rows []croft.Row }

// VMOrdered is the body of an order to a VM.
type VMOrdered struct {
	Boot uint64
	Verb croft.VMVerb
}

// TaskOrdered is the body of an order to a worker.
type TaskOrdered struct {
	VM         croft.VMID
	Job        croft.JobID
	Run        uint64
	Verb       croft.TaskVerb
	Lease      croft.Millis
	Expires    croft.Millis
	Size       croft.Resources
	Checkpoint string
}

// ReportsAsked asks for the reports of some VMs made after an instant.
type ReportsAsked struct {
	Since croft.Millis
	VMs   []croft.VMID
}

// ReportsAnswer is the answer of the workers' reports.
type ReportsAnswer struct{ Reports []croft.WorkerReport }

// Problem is the body of a refusal, as in RFC 9457 but with Pascal case names.
type Problem struct {
	Status int
	Title  string
	Detail string
}
