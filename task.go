package croft

import (
	"context"
	"fmt"
	"strconv"
	"strings"
)

// WorkerID names the registration of an executor; a restarted executor may register under the same
// name.
type WorkerID string

// QueueID names a queue of jobs.
type QueueID string

// TaskID identifies a task by its job, the occurrence of the job, the step and the index in the step.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// taskIDParts is the number of dot-separated parts of a task id's text form.
const taskIDParts = 4

// String returns the text form job.occurrence.step.index.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the text form that String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task %q: want job.occurrence.step.index", text)
	}
	id := TaskID{Job: JobID(parts[0])}
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: part %d is not a non-negative integer", text, i+1)
		}
		*field = n
	}
	return id, nil
}

// JobSpec is the specification of a job as submitted by a caller.
type JobSpec struct {
	// Payload is passed to every task without interpretation.
	Payload string
	Steps   []Step
	// Repeats is the number of occurrences of a scheduled job; zero means one, which is due immediately.
	Repeats int
	// First is when the first occurrence is due, by the wall clock.
	First Millis
	// Interval is the time between the due times of consecutive occurrences.
	Interval Millis
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int
	// Needs are the resources that each task takes.
	Needs Resources
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate Millis
	// After lists the indices of earlier steps that must finish before this one starts.
	After []int
	// SavesProgress means that a task can resume from a checkpoint.
	SavesProgress bool
	// Gang means that the tasks can only run all at the same time.
	Gang bool
	// SameRack means that the tasks run slower when spread over several racks.
	SameRack bool
	// Requires is a label that the executor must have, empty for no requirement.
	Requires string
	// DataRack is the rack that holds the data; the tasks run slower in other racks.
	DataRack RackID
	// MostPerWorker is the maximum number of the step's tasks on one executor, zero for no limit.
	MostPerWorker int
	// Duplicates means that several copies of a task may run at the same time.
	Duplicates bool
	// Endless means that the tasks run until the job is cancelled.
	Endless bool
	// Image names the image that the tasks run.
	Image string
	// TailTarget is the target for the tail latency of an endless task.
	TailTarget Millis
	// Filler means that the tasks use only the processor time that other tasks leave unused.
	Filler bool
	// MayMiss is the maximum number of tasks of an endless step that the planner may take out of
	// service at once, counting tasks that are out of service anyway; zero means no limit.
	MayMiss int
}

// RunOrder is an order to an executor to start, stop or pace one run of a task.
type RunOrder struct {
	Worker  WorkerID
	Address string
	Task    TaskID
	// Run is the number of the run among all runs of the task.
	Run     int
	Payload string
	// Until is when the executor's leases end, by the executor's clock.
	Until Millis
	// Fence is the planner's fencing token.
	Fence uint64
	// Checkpoint is the checkpoint to resume from, empty to start at the beginning.
	Checkpoint string
	// Ticket is the permit of the advice service, empty if none is needed.
	Ticket string
	// Percent is the share of its processor time that the run may use; only Pace uses it.
	Percent int
}

// HoldOrder renews the leases of an executor and requests the lists of its active and ended runs.
type HoldOrder struct {
	Worker  WorkerID
	Address string
	// Fence is the planner's fencing token.
	Fence uint64
	// Seen acknowledges ended runs: the executor may forget those up to this number.
	Seen int64
	// Until is the new end of the leases by the executor's clock, zero to leave it unchanged.
	Until Millis
	// Wait is how long the executor may delay its answer until a run ends (long polling).
	Wait Millis
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "Done"
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	// EndLapsed means that the executor's lease expired.
	EndLapsed EndKind = "Lapsed"
	// EndBroken means that another member of the gang ended.
	EndBroken EndKind = "Broken"
	// EndAlone means that the other members of the gang were not started in time.
	EndAlone EndKind = "Alone"
)

// ActiveRun is an item of an executor's list of active runs.
type ActiveRun struct {
	Task       TaskID
	Run        int
	Checkpoint string
	// Percent is the progress of the run; for an endless task, 100 means that it is serving.
	Percent int
	// Gauge is the tail latency in milliseconds for an endless task, the processor use for others.
	Gauge int64
}

// EndedRun is an item of an executor's list of ended runs.
type EndedRun struct {
	// Number counts the ended runs of one incarnation of the executor, from 1.
	Number     int64
	Task       TaskID
	Run        int
	How        EndKind
	Checkpoint string
}

// HoldReport is an executor's answer to a HoldOrder.
type HoldReport struct {
	// Clock is the reading of the executor's clock.
	Clock Millis
	// Born is when this incarnation of the executor started.
	Born   int64
	Active []ActiveRun
	Ended  []EndedRun
	// MoreEnds reports that Ended may not be complete: further runs may have ended that a later answer lists.
	MoreEnds bool
}

// Runner carries out orders on executors.
type Runner interface {
	// Start starts a run and returns the reading of the executor's clock. Its errors are
	// *RunRefusedError and *UnavailableError (not done) and *LostAnswerError (done or not, or
	// done later).
	Start(ctx context.Context, order RunOrder) (Millis, error)
	// Stop ends a run, or prevents it from starting.
	Stop(ctx context.Context, order RunOrder) error
	// Pace limits the processor time of a run to Percent of its share.
	Pace(ctx context.Context, order RunOrder) error
	// Hold renews the leases of an executor and returns its active and ended runs.
	Hold(ctx context.Context, order HoldOrder) (HoldReport, error)
}

// RunRefusal is the reason for which an executor refused an order.
type RunRefusal string

// The reasons for which an executor refuses an order.
const (
	// RefusedFence means that another planner has sent orders with a higher fencing token.
	RefusedFence RunRefusal = "Fence"
	// RefusedOld means that the executor has, or had, a run of the task with a higher number.
	RefusedOld RunRefusal = "Old"
	// RefusedLate means that the lease had ended before the order arrived.
	RefusedLate RunRefusal = "Late"
	// RefusedRoom means that the executor has too little free capacity.
	RefusedRoom RunRefusal = "Room"
	// RefusedTicket means that the advice service's ticket is missing or no longer valid.
	RefusedTicket RunRefusal = "Ticket"
	// RefusedIncarnation means that another incarnation of the executor is at the address.
	RefusedIncarnation RunRefusal = "Incarnation"
	// RefusedForm means that the executor found the order malformed.
	RefusedForm RunRefusal = "Form"
)

// RunRefusedError reports that an executor refused an order and did nothing.
type RunRefusedError struct{ Reason RunRefusal }

// Error includes the reason.
func (e *RunRefusedError) Error() string { return "executor refused: " + string(e.Reason) }
