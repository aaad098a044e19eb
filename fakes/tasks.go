package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
)

// failAfterMs is how long a task that is to fail runs before it does, in milliseconds; a shorter task fails at its end.
const failAfterMs croft.Millis = 500

// Progress is the body of a checkpoint object.
type Progress struct {
	Job croft.JobID
	Run uint64
	// Done is the run time that is already completed, in milliseconds.
	Done croft.Millis
}

// task is one run of a job on a worker; between two orders its state depends only on the time.
type task struct {
	run  uint64
	size croft.Resources
	// used is the resource usage of the task when it is not throttled.
	used croft.Resources
	// leaseEnd is when the lease lapses, by the platform's clock.
	leaseEnd croft.Millis
	started  croft.Millis
	// runTime is the run time that remained at the start.
	runTime croft.Millis
	// priorRunTime is the run time completed by the checkpoint that the task was started from.
	priorRunTime croft.Millis
	fails        bool
	throttled    bool
	checkpoint   string
	// fixedState is the state that an order set, empty while the state depends on the time.
	fixedState croft.TaskState
}

// state returns the state of the task at an instant.
func (t *task) state(now croft.Millis) croft.TaskState {
	if t.fixedState != "" && (t.fixedState != croft.TaskCheckpointed || now < t.leaseEnd) {
		return t.fixedState
	}
	end := t.started + t.runTime
	outcome := croft.TaskDone
	if t.fails && failAfterMs < t.runTime {
		end = t.started + failAfterMs
	}
	if t.fails {
		outcome = croft.TaskFailed
	}
	switch {
	case t.fixedState == "" && end <= now && end <= t.leaseEnd:
		return outcome
	case t.leaseEnd <= now:
		return croft.TaskLapsed
	}
	return croft.TaskRunning
}

func (t *task) ended(now croft.Millis) bool {
	s := t.state(now)
	return s != croft.TaskRunning && s != croft.TaskCheckpointed
}

func (t *task) report(job croft.JobID, now croft.Millis) croft.TaskReport {
	r := croft.TaskReport{Job: job, Run: t.run, State: t.state(now), Checkpoint: t.checkpoint}
	if r.State != croft.TaskRunning {
		return r
	}
	r.Used = t.used
	if t.throttled {
		r.Used.MilliCores = min(t.used.MilliCores, t.size.MilliCores)
	}
	return r
}

// OrderTask carries out an order for a task; it rejects an order for an older run than the worker's latest one of the job.
func (p *Platform) OrderTask(_ context.Context, order croft.OrderTask) error {
	if err := p.injectFaults(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generateReports()
	w, ok := p.workers[order.VM]
	if !ok || w.vm.Status == croft.VMFailed {
		return rejected(http.StatusNotFound, "VM: %q runs no tasks", order.VM)
	}
	if order.Expires > 0 && p.options.Clock.Now() >= order.Expires {
		return rejected(http.StatusConflict, "Expires: %d has passed", order.Expires)
	}
	known := w.tasks[order.Job]
	if known != nil && order.Run < known.run {
		return rejected(http.StatusConflict, "Run: %d is older than %d", order.Run, known.run)
	}
	if order.Verb == croft.TaskStart {
		return p.startTask(w, known, order)
	}
	if order.Verb == croft.TaskStop {
		delete(w.tasks, order.Job)
		return nil
	}
	if known == nil || order.Run != known.run {
		return rejected(http.StatusNotFound, "Job: %q has no run %d here", order.Job, order.Run)
	}
	return p.changeTask(known, order)
}

func (p *Platform) startTask(w *worker, known *task, order croft.OrderTask) error {
	now := p.options.Clock.Now()
	if known != nil && order.Run == known.run && !known.ended(now) {
		return nil // a repeated order
	}
	if known != nil && order.Run == known.run {
		return rejected(http.StatusConflict, "Run: %d has ended", order.Run)
	}
	if order.Lease <= 0 {
		return rejected(http.StatusBadRequest, "Lease: %d is not above zero", order.Lease)
	}
	priorRunTime := croft.Millis(0)
	if order.Checkpoint != "" {
		var progress Progress
		if err := json.Unmarshal(p.objects[order.Checkpoint], &progress); err != nil {
			return rejected(http.StatusNotFound, "Checkpoint: %q is not there", order.Checkpoint)
		}
		priorRunTime = progress.Done
	}
	total := p.varyByJob(order.Job, "time", int64(p.options.TaskMs))
	w.tasks[order.Job] = &task{
		run:          order.Run,
		size:         order.Size,
		used:         p.taskUsage(order),
		leaseEnd:     leaseEnd(now, order),
		started:      now,
		runTime:      max(0, croft.Millis(total)-priorRunTime),
		priorRunTime: priorRunTime,
		checkpoint:   order.Checkpoint,
		fails:        slices.Contains(p.faults.FailWorkers, w.vm.ID) || slices.Contains(p.faults.FailJobs, order.Job),
	}
	return nil
}

// leaseEnd returns when the lease of an order ends, which is not after the order's expiry.
func leaseEnd(now croft.Millis, order croft.OrderTask) croft.Millis {
	if order.Expires == 0 {
		return now + order.Lease
	}
	return min(now+order.Lease, order.Expires)
}

func (p *Platform) changeTask(t *task, order croft.OrderTask) error {
	now := p.options.Clock.Now()
	if t.ended(now) {
		return rejected(http.StatusConflict, "Job: %q has ended as %s", order.Job, t.state(now))
	}
	switch order.Verb {
	case croft.TaskRenew:
		t.leaseEnd = leaseEnd(now, order)
	case croft.TaskThrottle:
		t.throttled = true
		t.size = order.Size
	case croft.TaskCheckpoint:
		return p.checkpointTask(t, order.Job, now)
	default:
		return rejected(http.StatusBadRequest, "Verb: %q is not known", order.Verb)
	}
	return nil
}

// checkpointTask stores the task's progress as an object and suspends the task.
func (p *Platform) checkpointTask(t *task, job croft.JobID, now croft.Millis) error {
	if t.fixedState == croft.TaskCheckpointed {
		return nil
	}
	done := Progress{Job: job, Run: t.run, Done: t.priorRunTime + now - t.started}
	body, err := json.Marshal(done)
	if err != nil {
		return rejected(http.StatusBadRequest, "Job: %v", err)
	}
	t.checkpoint = fmt.Sprintf("checkpoint/%s/%d", job, t.run)
	t.fixedState = croft.TaskCheckpointed
	p.objects[t.checkpoint] = body
	return nil
}

// varyByJob returns a value between 0.5 and 1.5 times an amount, derived from a hash of seed, quantity and job.
func (p *Platform) varyByJob(job croft.JobID, quantity string, amount int64) int64 {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s/%s", p.options.Seed, quantity, job))
	return amount/2 + amount*int64(h%1024)/1024
}

// taskUsage returns the resource usage of a task: 0.5 to 1.5 times the ordered cores and memory, and all accelerators.
func (p *Platform) taskUsage(order croft.OrderTask) croft.Resources {
	return croft.Resources{
		MilliCores:   p.varyByJob(order.Job, "cores", order.Size.MilliCores),
		MemoryMB:     p.varyByJob(order.Job, "memory", order.Size.MemoryMB),
		Accelerators: order.Size.Accelerators,
	}
}
