package croft

// VMStatus is what the platform's VM list says of a VM.
type VMStatus string

// The states of a VM in the platform's list.
const (
	VMLive    VMStatus = "Live"
	VMLeaving VMStatus = "Leaving"
	VMFailed  VMStatus = "Failed"
)

// Resources are amounts of processor, memory and accelerators.
type Resources struct {
	// MilliCores counts thousandths of a core.
	MilliCores int64
	// MemoryMB counts mebibytes.
	MemoryMB int64
	// Accelerators counts whole devices.
	Accelerators int64
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	r.MilliCores += other.MilliCores
	r.MemoryMB += other.MemoryMB
	r.Accelerators += other.Accelerators
	return r
}

// Minus returns the difference of both amounts, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	r.MilliCores -= other.MilliCores
	r.MemoryMB -= other.MemoryMB
	r.Accelerators -= other.Accelerators
	return r
}

// Fits reports whether the amount is within the room given.
func (r Resources) Fits(room Resources) bool {
	return r.MilliCores <= room.MilliCores &&
		r.MemoryMB <= room.MemoryMB &&
		r.Accelerators <= room.Accelerators
}

// VM is one line of the platform's VM list: a worker in a rack with one executor on it.
type VM struct {
	ID         VMID
	DataCentre DataCentre
	Rack       RackID
	// Address is the IP number and port of the VM's executor, empty where it has none.
	Address string
	// Boot counts the starts of the VM; a higher one is a newer incarnation.
	Boot   uint64
	Status VMStatus
	Room   Resources
}

// WithStatus returns the VM with another status.
func (v VM) WithStatus(status VMStatus) VM {
	v.Status = status
	return v
}

// VMDelta is an answer of the VM list: what changed after a version of the list, or all of it.
type VMDelta struct {
	// Version is the list's version that the delta leads to.
	Version uint64
	// Whole says that VMs missing from Changed are no longer in the list.
	Whole   bool
	Changed []VM
	Removed []VMID
}

// Phase is where a VM stands in its pool.
type Phase string

// The phases of a pool member.
const (
	// PhaseServing takes new work.
	PhaseServing Phase = "Serving"
	// PhaseDraining takes no new work and finishes what it has.
	PhaseDraining Phase = "Draining"
	// PhaseAway is rebooted by the platform or under repair.
	PhaseAway Phase = "Away"
)

// Purpose is why a member is draining or away.
type Purpose string

// The purposes of a drain.
const (
	PurposeNone     Purpose = ""
	PurposeMove     Purpose = "Move"
	PurposeMaintain Purpose = "Maintain"
	PurposeHold     Purpose = "Hold"
)

// Member is the one row that says which pool a VM belongs to; its key is MemberKey.
type Member struct {
	VM    VMID
	Pool  PoolID
	Phase Phase
	// Purpose is why the VM is not serving.
	Purpose Purpose
	// Target is the pool a move leads to; the VM belongs to Pool until the move's last write.
	Target PoolID
	// Epoch grows by one with each write of the row.
	Epoch uint64
	// Since is when the phase began, by the writer's wall clock.
	Since Millis
	// Maintained is when the VM's last maintenance ended, zero for never.
	Maintained Millis
	// Boot is the incarnation seen when the phase began.
	Boot uint64
	// Nonce is the writer's own mark of this write.
	Nonce string
}

// WithPhase returns the member in another phase from an instant on, its epoch advanced.
func (m Member) WithPhase(phase Phase, purpose Purpose, since Millis) Member {
	m.Phase = phase
	m.Purpose = purpose
	m.Since = since
	m.Epoch++
	return m
}

// WithTarget returns the member with the pool its move leads to.
func (m Member) WithTarget(pool PoolID) Member {
	m.Target = pool
	return m
}

// WithPool returns the member in another pool with no move pending.
func (m Member) WithPool(pool PoolID) Member {
	m.Pool = pool
	m.Target = ""
	return m
}

// WithNonce returns the member with its writer's mark.
func (m Member) WithNonce(nonce string) Member {
	m.Nonce = nonce
	return m
}

// JobStatus is where a job stands.
type JobStatus string

// The states of a job.
const (
	JobWaiting       JobStatus = "Waiting"
	JobStarting      JobStatus = "Starting"
	JobRunning       JobStatus = "Running"
	JobCheckpointing JobStatus = "Checkpointing"
	JobDone          JobStatus = "Done"
	JobCancelled     JobStatus = "Cancelled"
	JobRefused       JobStatus = "Refused"
	JobStopped       JobStatus = "Stopped"
)

// Job is one row of work placed on a worker; its key is JobKey.
type Job struct {
	ID      JobID
	Service ServiceID
	Pool    PoolID
	Team    TeamID
	// Urgency orders jobs, zero the most urgent.
	Urgency  int
	Declared Resources
	// Reported is the size that workers reported, zero before the first report.
	Reported Resources
	Status   JobStatus
	// Reason says in a sentence why the job is in its status.
	Reason string
	// Worker is the VM that holds the job's lease.
	Worker VMID
	// Run counts the placements and fences the worker's lease.
	Run uint64
	// Checkpoint names the newest checkpoint object, empty for none.
	Checkpoint string
	// FailedOn lists the distinct workers the job failed on.
	FailedOn []VMID
	Created  Millis
	// Nonce is the writer's own mark of this write.
	Nonce string
}

// TaskReport is what a worker says of one task, with a lag.
type TaskReport struct {
	Job   JobID
	Run   uint64
	State TaskState
	Used  Resources
	// Checkpoint names the newest checkpoint object, empty for none.
	Checkpoint string
}

// TaskState is a worker's word on a task.
type TaskState string

// The states of a task on a worker.
const (
	TaskRunning      TaskState = "Running"
	TaskCheckpointed TaskState = "Checkpointed"
	TaskDone         TaskState = "Done"
	TaskFailed       TaskState = "Failed"
	TaskLapsed       TaskState = "Lapsed"
)

// WorkerReport is one worker's lagging report.
type WorkerReport struct {
	VM VMID
	// Taken is when the report was made, by the worker's wall clock.
	Taken Millis
	Boot  uint64
	Tasks []TaskReport
}
