package fleet

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/place"
)

// reportInterval is the time between two reports of a worker.
const reportInterval = 10 * croft.Second

// workerSim simulates the workers that run tasks on a world's VMs. A VM with the status failed is only unreachable: its
// tasks run on until their leases expire.
type workerSim struct {
	runs map[croft.VMID]map[croft.JobID]*taskRun
	// runTimes holds how long each job runs, sizePercent its real size in percent of the declared one.
	runTimes    map[croft.JobID]croft.Millis
	sizePercent map[croft.JobID]int64
	// checkpoints holds the progress that each checkpoint has saved, by the checkpoint's name.
	checkpoints map[string]croft.Millis
	// badWorkers are the VMs that fail every task, badJobs the jobs that fail on every VM.
	badWorkers map[croft.VMID]bool
	badJobs    map[croft.JobID]bool
	// jobs are the newest job rows.
	jobs map[croft.JobID]croft.Job
	// starts are the times at which each job began to run.
	starts map[croft.JobID][]croft.Millis
	// resumedRuns counts the runs that resumed from a checkpoint.
	resumedRuns int
	// quotaViolations describes the placements that took a team above its quota.
	quotaViolations []string
}

// taskRun is one run of a job on a VM.
type taskRun struct {
	// run is the number of the job's run, boot that of the VM's incarnation.
	run, boot uint64
	leaseEnd  croft.Millis
	startedAt croft.Millis
	// resumedFrom is the progress of the checkpoint that the run resumed from, remaining the run time after it.
	resumedFrom croft.Millis
	remaining   croft.Millis
	// size is what the run really uses.
	size croft.Resources
	// fails makes the run fail soon after its start.
	fails bool
	// checkpointed says that the run was stopped by an order to checkpoint.
	checkpointed bool
	// checkpoint names the newest checkpoint object, empty for none.
	checkpoint string
}

// startWorkers adds workers to the VMs, which run tasks and report regularly.
func (w *world) startWorkers() {
	w.workers = &workerSim{
		runs:        map[croft.VMID]map[croft.JobID]*taskRun{},
		runTimes:    map[croft.JobID]croft.Millis{},
		sizePercent: map[croft.JobID]int64{},
		checkpoints: map[string]croft.Millis{},
		badWorkers:  map[croft.VMID]bool{},
		badJobs:     map[croft.JobID]bool{},
		jobs:        map[croft.JobID]croft.Job{},
		starts:      map[croft.JobID][]croft.Millis{},
	}
	w.after(reportInterval, w.sendReports)
}

// state returns the state of the run, which ends when its time is up or its lease expires.
func (r *taskRun) state(now croft.Millis) croft.TaskState {
	end := r.startedAt + r.remaining
	outcome := croft.TaskDone
	if r.fails {
		end = r.startedAt + 500
		outcome = croft.TaskFailed
	}
	switch {
	case r.checkpointed && now < r.leaseEnd:
		return croft.TaskCheckpointed
	case !r.checkpointed && end <= now && end <= r.leaseEnd:
		return outcome
	case r.leaseEnd <= now:
		return croft.TaskLapsed
	}
	return croft.TaskRunning
}

// orderTask executes an order to a worker and delivers the outcome; while the ordering entry is paused, the order waits.
func (w *world) orderTask(n *simEntry, f croft.OrderTask) {
	if w.now < n.pausedUntil {
		w.after(n.pausedUntil-w.now, func() { w.orderTask(n, f) })
		return
	}
	e := croft.OrderEnded{Token: f.Token, Failed: w.executeTaskOrder(f)}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

// executeTaskOrder executes an order as a worker does and returns why it failed, empty for success.
func (w *world) executeTaskOrder(f croft.OrderTask) string {
	runs := w.workers.runs[f.VM]
	current := runs[f.Job]
	switch {
	case w.happens(w.faultRates.orderFailure):
		return "unavailable"
	case w.vms[f.VM].Status == croft.VMFailed:
		return "the VM is gone"
	case current != nil && f.Run < current.run:
		return "an older run"
	case w.now >= f.Expires:
		return "the order has expired"
	case f.Verb == croft.TaskStart:
		return w.startTask(f, current)
	case f.Verb == croft.TaskStop:
		delete(runs, f.Job)
		return ""
	case current == nil || current.run != f.Run || current.state(w.now) != croft.TaskRunning && current.state(w.now) != croft.TaskCheckpointed:
		return "no such run"
	}
	if f.Verb == croft.TaskRenew {
		current.leaseEnd = min(w.now+f.Lease, f.Expires)
	}
	if f.Verb == croft.TaskCheckpoint && !current.checkpointed {
		current.checkpointed = true
		current.checkpoint = fmt.Sprintf("checkpoint/%s/%d", f.Job, f.Run)
		w.workers.checkpoints[current.checkpoint] = current.resumedFrom + w.now - current.startedAt
	}
	return ""
}

// startTask starts a run of a job, unless the worker has started it already, and returns why it failed, empty for
// success. It records a violation if the job is running on another VM.
func (w *world) startTask(f croft.OrderTask, current *taskRun) string {
	sim := w.workers
	if current != nil && current.run == f.Run {
		if s := current.state(w.now); s != croft.TaskRunning {
			return "the run has ended as " + string(s)
		}
		return ""
	}
	for vm, runs := range sim.runs {
		if r := runs[f.Job]; r != nil && vm != f.VM && r.state(w.now) == croft.TaskRunning {
			w.addViolation("%s run %d starts on %s while run %d is on %s", f.Job, f.Run, f.VM, r.run, vm)
		}
	}
	if sim.runs[f.VM] == nil {
		sim.runs[f.VM] = map[croft.JobID]*taskRun{}
	}
	resumedFrom := sim.checkpoints[f.Checkpoint]
	if resumedFrom > 0 {
		sim.resumedRuns++
	}
	declared := w.job(f.Job).Declared
	percent := max(1, sim.sizePercent[f.Job])
	sim.runs[f.VM][f.Job] = &taskRun{
		run: f.Run, boot: w.vms[f.VM].Boot, leaseEnd: min(w.now+f.Lease, f.Expires), startedAt: w.now,
		resumedFrom: resumedFrom, remaining: sim.runTimes[f.Job] - resumedFrom, checkpoint: f.Checkpoint,
		size:  croft.Resources{MilliCores: declared.MilliCores * percent / 100, MemoryMB: declared.MemoryMB * percent / 100},
		fails: sim.badWorkers[f.VM] || sim.badJobs[f.Job],
	}
	sim.starts[f.Job] = append(sim.starts[f.Job], w.now)
	return ""
}

// checkRebootInterruptsNoTask records a violation if an ordered reboot of a VM interrupts a running task.
func (w *world) checkRebootInterruptsNoTask(v croft.VM) {
	if w.workers == nil || w.vms[v.ID].Boot != v.Boot {
		return
	}
	for id, r := range w.workers.runs[v.ID] {
		if r.state(w.now) == croft.TaskRunning {
			w.addViolation("the restart of %s interrupts %s", v.ID, id)
		}
	}
}

// sendReports sends the reports of all reachable workers to all entries, each after a random delay, and schedules the
// next reports.
func (w *world) sendReports() {
	e := croft.WorkersReported{}
	for _, id := range w.vmIDs {
		if w.vms[id].Status == croft.VMFailed {
			continue
		}
		r := croft.WorkerReport{VM: id, Taken: w.now, Boot: w.vms[id].Boot}
		for job, t := range w.workers.runs[id] {
			report := croft.TaskReport{Job: job, Run: t.run, State: t.state(w.now), Checkpoint: t.checkpoint}
			if report.State == croft.TaskRunning {
				report.Used = t.size
			}
			r.Tasks = append(r.Tasks, report)
		}
		sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Job < r.Tasks[j].Job })
		e.Reports = append(e.Reports, r)
	}
	for _, n := range w.entries {
		w.after(croft.Millis(500+w.rnd.IntN(4000)), func() {
			e := e
			e.At = croft.At{Time: w.now}
			w.deliver(n, e)
		})
	}
	w.after(reportInterval, w.sendReports)
}

// submit submits a job and returns its ID; its real size is sizePercent of the declared one.
func (w *world) submit(n *simEntry, j croft.Job, runTime croft.Millis, sizePercent int64) croft.JobID {
	w.workers.runTimes[j.ID] = runTime
	w.workers.sizePercent[j.ID] = sizePercent
	w.sendCommand(n, croft.SubmitJob{Job: j})
	return j.ID
}

func (w *world) job(id croft.JobID) croft.Job { return w.workers.jobs[id] }

// recordJobWrite records the newest row of a job. If the write places the job and thereby takes its team above the
// quota, by the newest rows of all jobs, it also records a quota violation.
func (w *world) recordJobWrite(o croft.Op) {
	var next croft.Job
	if !strings.HasPrefix(o.Key, croft.JobPrefix) || json.Unmarshal(o.Value, &next) != nil {
		return
	}
	before := w.workers.jobs[next.ID]
	w.workers.jobs[next.ID] = next
	if !isPlaced(next) || before.Run == next.Run {
		return
	}
	var used croft.Resources
	for _, j := range w.workers.jobs {
		if j.Team == next.Team && isPlaced(j) {
			used = used.Plus(place.Size(j))
		}
	}
	for _, t := range w.config.Teams {
		if t.ID == next.Team && t.Quota.MilliCores > 0 && used.MilliCores > t.Quota.MilliCores {
			w.workers.quotaViolations = append(w.workers.quotaViolations, fmt.Sprintf("%s takes team %s to %d of %d", next.ID, t.ID, used.MilliCores, t.Quota.MilliCores))
		}
	}
}

// isPlaced reports whether a job holds resources on a worker.
func isPlaced(j croft.Job) bool {
	return j.Status == croft.JobStarting || j.Status == croft.JobRunning || j.Status == croft.JobCheckpointing
}
