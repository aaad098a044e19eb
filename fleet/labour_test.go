package fleet

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/place"
)

const reportEvery = 10 * croft.Second

// labour runs tasks on a world's VMs; a VM that the list calls failed is only cut off, its tasks run on until
// their leases lapse.
type labour struct {
	runs map[croft.VMID]map[croft.JobID]*taskRun
	// needs are the run times of jobs, ratios their real sizes in percent of the declared.
	needs  map[croft.JobID]croft.Millis
	ratios map[croft.JobID]int64
	// saved is the progress in each checkpoint.
	saved      map[string]croft.Millis
	badWorkers map[croft.VMID]bool
	badJobs    map[croft.JobID]bool
	jobs       map[croft.JobID]croft.Job
	// starts are the instants at which each job began to run.
	starts  map[croft.JobID][]croft.Millis
	resumed int
	// over are the placements that took a team above its quota.
	over []string
}

type taskRun struct {
	run, boot  uint64
	lease      croft.Millis
	begun      croft.Millis
	before     croft.Millis
	left       croft.Millis
	size       croft.Resources
	fails      bool
	held       bool
	checkpoint string
}

func (w *world) employ() {
	w.labour = &labour{
		runs:       map[croft.VMID]map[croft.JobID]*taskRun{},
		needs:      map[croft.JobID]croft.Millis{},
		ratios:     map[croft.JobID]int64{},
		saved:      map[string]croft.Millis{},
		badWorkers: map[croft.VMID]bool{},
		badJobs:    map[croft.JobID]bool{},
		jobs:       map[croft.JobID]croft.Job{},
		starts:     map[croft.JobID][]croft.Millis{},
	}
	w.after(reportEvery, w.report)
}

func (r *taskRun) state(now croft.Millis) croft.TaskState {
	end := r.begun + r.left
	outcome := croft.TaskDone
	if r.fails {
		end = r.begun + 500
		outcome = croft.TaskFailed
	}
	switch {
	case r.held && now < r.lease:
		return croft.TaskCheckpointed
	case !r.held && end <= now && end <= r.lease:
		return outcome
	case r.lease <= now:
		return croft.TaskLapsed
	}
	return croft.TaskRunning
}

// orderTask does what a worker does with an order; one that a frozen entry had queued goes out when the entry goes on.
func (w *world) orderTask(n *node, f croft.OrderTask) {
	if w.now < n.frozen {
		w.after(n.frozen-w.now, func() { w.orderTask(n, f) })
		return
	}
	e := croft.OrderEnded{Token: f.Token, Failed: w.obeyTask(f)}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

func (w *world) obeyTask(f croft.OrderTask) string {
	all := w.labour.runs[f.VM]
	r := all[f.Job]
	switch {
	case w.chance(w.faults.orderFails):
		return "unavailable"
	case w.vms[f.VM].Status == croft.VMFailed:
		return "the VM is gone"
	case r != nil && f.Run < r.run:
		return "an older run"
	case w.now >= f.Expires:
		return "the order has expired"
	case f.Verb == croft.TaskStart:
		return w.startTask(f, r)
	case f.Verb == croft.TaskStop:
		delete(all, f.Job)
		return ""
	case r == nil || r.run != f.Run || r.state(w.now) != croft.TaskRunning && r.state(w.now) != croft.TaskCheckpointed:
		return "no such run"
	}
	if f.Verb == croft.TaskRenew {
		r.lease = min(w.now+f.Lease, f.Expires)
	}
	if f.Verb == croft.TaskCheckpoint && !r.held {
		r.held = true
		r.checkpoint = fmt.Sprintf("checkpoint/%s/%d", f.Job, f.Run)
		w.labour.saved[r.checkpoint] = r.before + w.now - r.begun
	}
	return ""
}

func (w *world) startTask(f croft.OrderTask, known *taskRun) string {
	l := w.labour
	if known != nil && known.run == f.Run {
		if s := known.state(w.now); s != croft.TaskRunning {
			return "the run has ended as " + string(s)
		}
		return ""
	}
	for vm, all := range l.runs {
		if r := all[f.Job]; r != nil && vm != f.VM && r.state(w.now) == croft.TaskRunning {
			w.fail("%s run %d starts on %s while run %d is on %s", f.Job, f.Run, f.VM, r.run, vm)
		}
	}
	if l.runs[f.VM] == nil {
		l.runs[f.VM] = map[croft.JobID]*taskRun{}
	}
	before := l.saved[f.Checkpoint]
	if before > 0 {
		l.resumed++
	}
	declared := w.job(f.Job).Declared
	ratio := max(1, l.ratios[f.Job])
	l.runs[f.VM][f.Job] = &taskRun{
		run: f.Run, boot: w.vms[f.VM].Boot, lease: min(w.now+f.Lease, f.Expires), begun: w.now,
		before: before, left: l.needs[f.Job] - before, checkpoint: f.Checkpoint,
		size:  croft.Resources{MilliCores: declared.MilliCores * ratio / 100, MemoryMB: declared.MemoryMB * ratio / 100},
		fails: l.badWorkers[f.VM] || l.badJobs[f.Job],
	}
	l.starts[f.Job] = append(l.starts[f.Job], w.now)
	return ""
}

// checkCut fails where a restart that was ordered ends a task that runs.
func (w *world) checkCut(v croft.VM) {
	if w.labour == nil || w.vms[v.ID].Boot != v.Boot {
		return
	}
	for id, r := range w.labour.runs[v.ID] {
		if r.state(w.now) == croft.TaskRunning {
			w.fail("the restart of %s cuts %s", v.ID, id)
		}
	}
}

// report gives all entries what the workers say, with a lag.
func (w *world) report() {
	e := croft.WorkersReported{}
	for _, id := range w.order {
		if w.vms[id].Status == croft.VMFailed {
			continue
		}
		r := croft.WorkerReport{VM: id, Taken: w.now, Boot: w.vms[id].Boot}
		for job, t := range w.labour.runs[id] {
			said := croft.TaskReport{Job: job, Run: t.run, State: t.state(w.now), Checkpoint: t.checkpoint}
			if said.State == croft.TaskRunning {
				said.Used = t.size
			}
			r.Tasks = append(r.Tasks, said)
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
	w.after(reportEvery, w.report)
}

// submit asks for a job and returns its ID; its real size is a share of the declared one in percent.
func (w *world) submit(n *node, j croft.Job, need croft.Millis, ratio int64) croft.JobID {
	w.labour.needs[j.ID] = need
	w.labour.ratios[j.ID] = ratio
	w.ask(n, croft.SubmitJob{Job: j})
	return j.ID
}

func (w *world) job(id croft.JobID) croft.Job { return w.labour.jobs[id] }

// learnJob holds a placement against its team's quota, by the rows as they stand.
func (w *world) learnJob(o croft.Op) {
	var next croft.Job
	if !strings.HasPrefix(o.Key, croft.JobPrefix) || json.Unmarshal(o.Value, &next) != nil {
		return
	}
	before := w.labour.jobs[next.ID]
	w.labour.jobs[next.ID] = next
	if !placedRow(next) || before.Run == next.Run {
		return
	}
	var used croft.Resources
	for _, j := range w.labour.jobs {
		if j.Team == next.Team && placedRow(j) {
			used = used.Plus(place.Size(j))
		}
	}
	for _, t := range w.config.Teams {
		if t.ID == next.Team && t.Quota.MilliCores > 0 && used.MilliCores > t.Quota.MilliCores {
			w.labour.over = append(w.labour.over, fmt.Sprintf("%s takes team %s to %d of %d", next.ID, t.ID, used.MilliCores, t.Quota.MilliCores))
		}
	}
}

func placedRow(j croft.Job) bool {
	return j.Status == croft.JobStarting || j.Status == croft.JobRunning || j.Status == croft.JobCheckpointing
}
