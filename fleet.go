package croft

// VMStatus is the status of a VM in the platform's VM list.
type VMStatus string

// The statuses of a VM in the platform's VM list.
const (
	VMLive    VMStatus = "Live"
	VMLeaving VMStatus = "Leaving"
	VMFailed  VMStatus = "Failed"
)

// Resources are amounts of processor time, memory and accelerators.
type Resources struct {
	// MilliCores is the processor time in thousandths of a core.
	MilliCores int64
	// MemoryMB is the memory in mebibytes.
	MemoryMB int64
	// Accelerators is the number of whole accelerator devices.
	Accelerators int64
}

// Plus returns the sum of both resource amounts.
func (r Resources) Plus(other Resources) Resources {
	r.MilliCores += other.MilliCores
	r.MemoryMB += other.MemoryMB
	r.Accelerators += other.Accelerators
	return r
}

// Minus subtracts the other resource amounts; the result may be negative.
func (r Resources) Minus(other Resources) Resources {
	r.MilliCores -= other.MilliCores
	r.MemoryMB -= other.MemoryMB
	r.Accelerators -= other.Accelerators
	return r
}

// Fits reports whether no amount exceeds that of the capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCores <= capacity.MilliCores &&
		r.MemoryMB <= capacity.MemoryMB &&
		r.Accelerators <= capacity.Accelerators
}

// VM is one item of the platform's VM list: a worker in a rack, which runs one executor.
type VM struct {
	ID         VMID
	DataCentre DataCentre
	Rack       RackID
	// Address is the IP address and port of the VM's executor, empty if it has none.
	Address string
	// Boot counts the starts of the VM; a higher number is a newer incarnation.
	Boot   uint64
	Status VMStatus
	// Room is the VM's total capacity.
	Room Resources
}

// WithStatus returns a copy of the VM with another status.
func (v VM) WithStatus(status VMStatus) VM {
	v.Status = status
	return v
}

// VMDelta is a response of the VM list: the changes after a version of the list, or the whole list.
type VMDelta struct {
	// Version is the version of the list after these changes.
	Version uint64
	// Whole reports that Changed is the whole list, so that VMs missing from it are gone.
	Whole   bool
	Changed []VM
	Removed []VMID
}

// Phase is the phase of a VM's membership in its pool.
type Phase string

// The phases of a pool member.
const (
	// PhaseServing means that the VM accepts new work.
	PhaseServing Phase = "Serving"
	// PhaseDraining means that the VM accepts no new work and finishes its running work.
	PhaseDraining Phase = "Draining"
	// PhaseAway means that the VM is unavailable: the platform reboots or repairs it.
	PhaseAway Phase = "Away"
)

// Purpose is why a pool member is draining or unavailable.
type Purpose string

// The purposes of a drain.
const (
	PurposeNone     Purpose = ""
	PurposeMove     Purpose = "Move"
	PurposeMaintain Purpose = "Maintain"
	PurposeHold     Purpose = "Hold"
)

// Member is the stored row that assigns a VM to a pool; MemberKey gives its key.
type Member struct {
	VM    VMID
	Pool  PoolID
	Phase Phase
	// Purpose is why the VM is not serving.
	Purpose Purpose
	// Target is the destination pool of a move; the VM belongs to Pool until the last write of the move.
	Target PoolID
	// Epoch grows by one with each write of the row.
	Epoch uint64
	// Since is when the phase began, by the wall clock of the entry that wrote the row.
	Since Millis
	// Maintained is when the VM's last maintenance ended, zero if it had none.
	Maintained Millis
	// Boot is the VM's incarnation when the phase began.
	Boot uint64
	// Nonce is unique to this write, so that its writer recognises it after a lost answer.
	Nonce string
}

// WithPhase returns a copy of the member that enters another phase, with its epoch increased by one.
func (m Member) WithPhase(phase Phase, purpose Purpose, since Millis) Member {
	m.Phase = phase
	m.Purpose = purpose
	m.Since = since
	m.Epoch++
	return m
}

// WithTarget returns a copy of the member with a destination pool.
func (m Member) WithTarget(pool PoolID) Member {
	m.Target = pool
	return m
}

// WithPool returns a copy of the member in another pool and without a pending move.
func (m Member) WithPool(pool PoolID) Member {
	m.Pool = pool
	m.Target = ""
	return m
}

// WithNonce returns a copy of the member with the nonce of its next write.
func (m Member) WithNonce(nonce string) Member {
	m.Nonce = nonce
	return m
}

// JobStatus is the state of a job in its life cycle.
type JobStatus string

// The states of a job.
const (
	JobWaiting       JobStatus = "Waiting"
	JobStarting      JobStatus = "Starting"
	JobRunning       JobStatus = "Running"
	JobCheckpointing JobStatus = "Checkpointing"
	JobDone          JobStatus = "Done"
	JobCancelled     JobStatus = "Cancelled"
	// JobRefused means that the job can never be placed: its size exceeds its team's quota or its pool's VMs.
	JobRefused JobStatus = "Refused"
	// JobStopped means that the job has failed on so many workers that it is not tried again.
	JobStopped JobStatus = "Stopped"
)

// Job is the stored row of a job that is placed on one worker; JobKey gives its key.
type Job struct {
	ID      JobID
	Service ServiceID
	Pool    PoolID
	Team    TeamID
	// Urgency is the priority of the job; zero is the most urgent.
	Urgency int
	// Declared is the size stated at submission.
	Declared Resources
	// Reported is the measured size according to the workers, zero before the first report.
	Reported Resources
	Status   JobStatus
	// Reason explains the status in a sentence.
	Reason string
	// Worker is the VM that holds the job's lease.
	Worker VMID
	// Run counts the placements; it is the fencing token of the worker's lease.
	Run uint64
	// Checkpoint names the newest checkpoint object, empty for none.
	Checkpoint string
	// FailedOn lists the workers on which the job failed, each once.
	FailedOn []VMID
	Created  Millis
	// Nonce is unique to this write, so that its writer recognises it after a lost answer.
	Nonce string
}

// TaskReport is the state of one task as its worker reported it; it arrives with a lag.
type TaskReport struct {
	Job   JobID
	Run   uint64
	State TaskState
	Used  Resources
	// Checkpoint names the newest checkpoint object, empty for none.
	Checkpoint string
}

// TaskState is the state of a task as its worker reports it.
type TaskState string

// The states of a task on a worker.
const (
	TaskRunning      TaskState = "Running"
	TaskCheckpointed TaskState = "Checkpointed"
	TaskDone         TaskState = "Done"
	TaskFailed       TaskState = "Failed"
	TaskLapsed       TaskState = "Lapsed"
)

// WorkerReport is one worker's report on its tasks; it arrives with a lag.
type WorkerReport struct {
	VM VMID
	// Taken is when the report was made, by the worker's wall clock.
	Taken Millis
	Boot  uint64
	Tasks []TaskReport
}
