package model

import (
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
)

// vm is one VM of the modelled platform.
type vm struct {
	id    croft.VMID
	rack  croft.RackID
	pool  croft.PoolID
	state croft.FleetState
	// worker is the executor on it, nil while there is none.
	worker *executor
	fence  uint64
	// maintained has the waves in which it was maintained.
	maintained map[int]bool
}

// executor is one incarnation of an executor.
type executor struct {
	id    croft.WorkerID
	vm    *vm
	born  int64
	start croft.Millis
	// drift is how much slower its clock runs, in thousandths.
	drift croft.Millis
	fence uint64
	lease croft.Millis
	runs  map[croft.TaskID]*running
	ended []croft.EndedRun
	count int64
	// highest is the highest run that was stopped or ended here, of each task.
	highest map[croft.TaskID]int
	// endedAt has when each listed end came, and lapsed when the lease last ended.
	endedAt map[int64]croft.Millis
	lapsed  croft.Millis
	waiting []*waiter
	dead    bool
	// dark is until when it answers nobody, though it runs on.
	dark     croft.Millis
	draining bool
	failing  float64
}

// running is one run on an executor.
type running struct {
	task    croft.TaskID
	number  int
	began   croft.Millis
	needs   croft.Resources
	gang    bool
	working bool
	ending  bool
}

// waiter is a hold that waits for an end.
type waiter struct {
	done   bool
	answer func()
}

// clock is what the executor's own clock shows.
func (x *executor) clock(now croft.Millis) croft.Millis {
	return (now - x.start) * (1000 - x.drift) / 1000
}

func (w *World) addVM(pool croft.PoolID) {
	n := len(w.vms)
	v := &vm{id: croft.VMID(fmt.Sprintf("m%02d", n)), rack: croft.RackID(fmt.Sprintf("r%d", n/rackSize)), pool: pool, state: croft.FleetUp, maintained: map[int]bool{}}
	w.vms = append(w.vms, v)
	if pool != spareName {
		w.boot(v)
	}
}

// boot starts a new executor on a VM.
func (w *World) boot(v *vm) {
	w.incarnations++
	x := &executor{
		id: croft.WorkerID(fmt.Sprintf("x%03d", w.incarnations)), vm: v, born: int64(epochWall + w.now), start: w.now - w.between(0, 5000),
		drift: w.between(-5, 20), runs: map[croft.TaskID]*running{}, highest: map[croft.TaskID]int{}, endedAt: map[int64]croft.Millis{},
	}
	v.worker, v.state = x, croft.FleetUp
	w.executors[x.id] = x
	w.later(registerSpan, func() { w.tell(registered(w.registration(x))) })
}

// end ends an incarnation: all that runs there is gone with it.
func (w *World) end(x *executor) {
	if x.dead {
		return
	}
	x.dead = true
	runs := x.runs
	x.runs = map[croft.TaskID]*running{}
	for _, id := range sortedTasks(runs) {
		w.away(id)
		if runs[id].gang {
			w.breakGang(runs[id])
		}
	}
	x.waiting = nil
	w.after(unregisterLag, func() { w.tell(unregistered(x.id)) })
	if x.vm.worker == x {
		x.vm.worker = nil
	}
}

func (x *executor) used() croft.Resources {
	var sum croft.Resources
	for _, r := range x.runs {
		sum = sum.Plus(r.needs)
	}
	return sum
}

func room() croft.Resources { return croft.Resources{MilliCores: workerCores, MemoryMB: workerMemory} }

// reachable reports whether an executor answers.
func (w *World) reachable(id croft.WorkerID) (*executor, bool) {
	x, ok := w.executors[id]
	return x, ok && !x.dead && w.now >= x.dark
}

func (w *World) checkFence(x *executor, fence uint64) error {
	if fence < x.fence {
		return &croft.RunRefusedError{Reason: croft.RefusedFence}
	}
	x.fence = fence
	return nil
}

// extend lengthens the lease of an executor.
func (w *World) extend(x *executor, until croft.Millis) {
	if until == 0 {
		return
	}
	span := min(until-x.clock(w.now), mostHold)
	end := w.now + span*1000/(1000-x.drift)
	if end <= x.lease {
		return
	}
	x.lease = end
	w.after(end-w.now, func() {
		if !x.dead && w.now >= x.lease {
			x.lapsed = w.now
			for _, id := range sortedTasks(x.runs) {
				w.endRun(x, x.runs[id], croft.EndLapsed)
			}
		}
	})
}

func sortedTasks[V any](m map[croft.TaskID]V) []croft.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b croft.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
}

// start carries out a start.
func (w *World) start(x *executor, o croft.RunOrder) error {
	if err := w.checkFence(x, o.Fence); err != nil {
		return err
	}
	if o.Until <= x.clock(w.now) {
		return &croft.RunRefusedError{Reason: croft.RefusedLate}
	}
	w.extend(x, o.Until)
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	if o.Run <= x.highest[o.Task] || x.runs[o.Task] != nil {
		return &croft.RunRefusedError{Reason: croft.RefusedOld}
	}
	w.report.Starts++
	r := &running{task: o.Task, number: o.Run, began: w.now}
	if !w.checkStart(x, r, o) {
		return nil
	}
	x.runs[o.Task] = r
	w.begin(x, r)
	return nil
}

// begin lets a run work until its end.
func (w *World) begin(x *executor, r *running) {
	t := w.jobs[r.task.Job]
	step := t.record.Spec.Steps[r.task.Step]
	if step.Gang {
		r.gang = true
		w.meetGang(x, r, step.Count)
		return
	}
	r.working = true
	if step.Endless {
		w.after(w.between(100, 700), func() { w.present(x, r) })
		return
	}
	w.after(t.length(w, x, step), func() { w.finish(x, r) })
}

// finish ends a run by itself.
func (w *World) finish(x *executor, r *running) {
	if x.dead || x.runs[r.task] != r || r.ending {
		return
	}
	if w.chance(x.failing) || w.jobs[r.task.Job].poison {
		w.endRun(x, r, croft.EndFailed)
		return
	}
	w.endRun(x, r, croft.EndDone)
}

// meetGang starts the work of a gang once all members of one run are there.
func (w *World) meetGang(x *executor, r *running, count int) {
	members := w.gangMembers(r)
	if len(members) == count {
		t := w.jobs[r.task.Job]
		span := t.length(w, x, t.record.Spec.Steps[r.task.Step])
		for _, m := range members {
			m.working = true
		}
		w.after(span, func() { w.finishGang(r, count) })
		return
	}
	w.after(gangSpan, func() {
		if !x.dead && x.runs[r.task] == r && !r.working && !r.ending {
			w.endRun(x, r, croft.EndAlone)
		}
	})
}

func (w *World) gangMembers(r *running) []*running {
	var out []*running
	for _, id := range slices.Sorted(maps.Keys(w.executors)) {
		for _, task := range sortedTasks(w.executors[id].runs) {
			other := w.executors[id].runs[task]
			if task.Job == r.task.Job && task.Occurrence == r.task.Occurrence && task.Step == r.task.Step && other.number == r.number && !other.ending {
				out = append(out, other)
			}
		}
	}
	return out
}

func (w *World) finishGang(r *running, count int) {
	members := w.gangMembers(r)
	if len(members) < count {
		return
	}
	for _, m := range members {
		for _, id := range slices.Sorted(maps.Keys(w.executors)) {
			if x := w.executors[id]; x.runs[m.task] == m {
				w.endRun(x, m, croft.EndDone)
			}
		}
	}
}

// endRun lists a run as ended.
func (w *World) endRun(x *executor, r *running, how croft.EndKind) {
	delete(x.runs, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.number)
	x.count++
	x.endedAt[x.count] = w.now
	x.ended = append(x.ended, croft.EndedRun{Number: x.count, Task: r.task, Run: r.number, How: how})
	w.tookEnd(x, r, how)
	if r.gang && how != croft.EndDone {
		w.breakGang(r)
	}
	for _, hold := range x.waiting {
		if !hold.done {
			hold.done = true
			hold.answer()
		}
	}
	x.waiting = nil
}

func (w *World) breakGang(r *running) {
	for _, m := range w.gangMembers(r) {
		for _, id := range slices.Sorted(maps.Keys(w.executors)) {
			if x := w.executors[id]; x.runs[m.task] == m && m.working {
				m.gang = false
				w.endRun(x, m, croft.EndBroken)
			}
		}
	}
}

// stop carries out a stop.
func (w *World) stop(x *executor, o croft.RunOrder) error {
	if err := w.checkFence(x, o.Fence); err != nil {
		return err
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	r := x.runs[o.Task]
	if r == nil || r.number > o.Run || r.ending {
		return nil
	}
	w.checkTaken(r.task, "a stop")
	r.ending = true
	w.after(w.between(1, stopSpan), func() {
		if !x.dead && x.runs[r.task] == r {
			w.endRun(x, r, croft.EndStopped)
		}
	})
	return nil
}

// hold carries out a hold; answer is called with the lists.
func (w *World) hold(x *executor, o croft.HoldOrder, answer func(croft.HoldReport, error)) {
	if err := w.checkFence(x, o.Fence); err != nil {
		answer(croft.HoldReport{}, err)
		return
	}
	w.extend(x, o.Until)
	w.forget(x, o.Seen)
	if len(x.ended) > 0 || o.Wait == 0 {
		answer(x.lists(w.now), nil)
		return
	}
	h := &waiter{}
	h.answer = func() { answer(x.lists(w.now), nil) }
	x.waiting = append(x.waiting, h)
	w.after(o.Wait, func() {
		if !h.done && !x.dead {
			h.done = true
			h.answer()
		}
	})
}

func (x *executor) lists(now croft.Millis) croft.HoldReport {
	report := croft.HoldReport{Clock: x.clock(now), Born: x.born, Ended: slices.Clone(x.ended)}
	for _, id := range sortedTasks(x.runs) {
		r := x.runs[id]
		percent := 0
		if r.working {
			percent = int(min((now-r.began)/10, 100))
		}
		report.Active = append(report.Active, croft.ActiveRun{Task: id, Run: r.number, Percent: percent})
	}
	return report
}

// forget drops the ends that the leader has taken note of.
func (w *World) forget(x *executor, seen int64) {
	for len(x.ended) > 0 && x.ended[0].Number <= seen {
		w.noted(x, x.ended[0])
		x.ended = x.ended[1:]
	}
}
