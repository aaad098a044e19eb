package croft

import (
	"context"
	"fmt"
	"strconv"
	"strings"
)

// WorkerID names one registration of an executor; another start of it may bear the same name.
type WorkerID string

// QueueID names a queue of jobs.
type QueueID string

// TaskID names one task: a job, its occurrence, the step and the index within it.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// taskIDParts is the number of parts of a task's name.
const taskIDParts = 4

// String returns the name as job.occurrence.step.index.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTaskID reads a name written by String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != taskIDParts || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task %q: want job.occurrence.step.index", text)
	}
	id := TaskID{Job: JobID(parts[0])}
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: part %d is no index", text, i+1)
		}
		*field = n
	}
	return id, nil
}

// JobSpec is what a caller submits.
type JobSpec struct {
	// Payload is handed to every task unread.
	Payload string
	Steps   []Step
	// Repeats is how often the steps run, zero for once and at once.
	Repeats int
	// First is when the first occurrence is due, by the wall clock.
	First Millis
	// Interval is the span between occurrences.
	Interval Millis
}

// Step is a set of like tasks of a job.
type Step struct {
	Count int
	// Needs is what each task takes.
	Needs Resources
	// Estimate is the caller's rough guess of a task's duration.
	Estimate Millis
	// After lists earlier steps that must be done first.
	After []int
	// SavesProgress says that a task can resume from a checkpoint.
	SavesProgress bool
	// Gang says that the tasks run only together.
	Gang bool
	// SameRack says that the tasks are slower when spread over racks.
	SameRack bool
	// Requires is a label that the executor must have, empty for none.
	Requires string
	// DataRack is the rack that holds the data; the tasks are slower on others.
	DataRack RackID
	// MostPerWorker bounds the step's tasks on one executor, zero for no bound.
	MostPerWorker int
	// Duplicates says that copies of a task may run at once.
	Duplicates bool
	// Endless says that the tasks run until the job is cancelled.
	Endless bool
	// Image names what the tasks run.
	Image string
	// TailTarget is the bound on the tail latency that an endless task serves with.
	TailTarget Millis
	// Filler says that the tasks use only the processor time that others leave.
	Filler bool
	// MayMiss is how many tasks of an endless step may be away through our doing.
	MayMiss int
}

// RunOrder asks an executor to start or stop one run of a task.
type RunOrder struct {
	Worker  WorkerID
	Address string
	Task    TaskID
	// Run numbers the starts of the task.
	Run     int
	Payload string
	// Until is when the executor's leases end, by its own clock.
	Until Millis
	Fence uint64
	// Checkpoint is where to resume from, empty for the beginning.
	Checkpoint string
	// Ticket is the advice service's permit, empty where none is needed.
	Ticket string
	// Percent is the share of its processor time that the run may use; for Pace only.
	Percent int
}

// HoldOrder renews the leases of an executor and asks for its lists.
type HoldOrder struct {
	Worker  WorkerID
	Address string
	Fence   uint64
	// Seen is the number of the last end that may be forgotten.
	Seen int64
	// Until is when the leases end by the executor's clock, zero to leave them.
	Until Millis
	// Wait is how long the answer may wait for an end.
	Wait Millis
}

// EndKind is how a run ended.
type EndKind string

// The ways a run ends.
const (
	EndDone    EndKind = "Done"
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	EndLapsed  EndKind = "Lapsed"
	// EndBroken follows the end of another member of the gang.
	EndBroken EndKind = "Broken"
	// EndAlone means that the other members of the gang did not come.
	EndAlone EndKind = "Alone"
)

// ActiveRun is a run that an executor lists as there.
type ActiveRun struct {
	Task       TaskID
	Run        int
	Checkpoint string
	// Percent is 100 for an endless task that is at work.
	Percent int
	// Gauge is the tail latency in milliseconds of an endless task, the processor use of another.
	Gauge int64
}

// EndedRun is a run that an executor lists as ended.
type EndedRun struct {
	// Number counts the ends of one incarnation of the executor, from 1.
	Number     int64
	Task       TaskID
	Run        int
	How        EndKind
	Checkpoint string
}

// HoldReport is an executor's answer to a hold.
type HoldReport struct {
	// Clock is the executor's own clock.
	Clock Millis
	// Born is when this incarnation of the executor began.
	Born   int64
	Active []ActiveRun
	Ended  []EndedRun
}

// Runner carries out orders on executors.
type Runner interface {
	// Start begins a run; it returns the executor's clock, *RunRefusedError, *UnavailableError
	// (not done) or *LostAnswerError (done or not, or done later).
	Start(ctx context.Context, order RunOrder) (Millis, error)
	// Stop ends a run, or keeps it from starting.
	Stop(ctx context.Context, order RunOrder) error
	// Pace limits the processor share of a run.
	Pace(ctx context.Context, order RunOrder) error
	// Hold renews the leases of an executor and returns what runs and what ended.
	Hold(ctx context.Context, order HoldOrder) (HoldReport, error)
}

// RunRefusal is why an executor refused an order.
type RunRefusal string

// The reasons of a refusal.
const (
	// RefusedFence means that another planner has ordered with a higher fencing token.
	RefusedFence RunRefusal = "Fence"
	// RefusedOld means that a higher run is there or has been.
	RefusedOld RunRefusal = "Old"
	// RefusedLate means that the lease had ended before the order came.
	RefusedLate RunRefusal = "Late"
	RefusedRoom RunRefusal = "Room"
	// RefusedTicket means that the advice service's permit is missing or no longer valid.
	RefusedTicket RunRefusal = "Ticket"
	// RefusedIncarnation means that another incarnation of the executor is at the address.
	RefusedIncarnation RunRefusal = "Incarnation"
	RefusedForm        RunRefusal = "Form"
)

// RunRefusedError tells that the executor did nothing.
type RunRefusedError struct{ Reason RunRefusal }

// Error gives the reason.
func (e *RunRefusedError) Error() string { return "executor refused: " + string(e.Reason) }
