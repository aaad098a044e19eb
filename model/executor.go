package model

import (
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
)

// vm is a VM of the simulated platform.
type vm struct {
	id    croft.VMID
	rack  croft.RackID
	pool  croft.PoolID
	state croft.FleetState
	// executor is the executor that runs on it, nil for none.
	executor *executor
	// fencingToken is the highest fencing token of the orders accepted so far.
	fencingToken uint64
	// maintained is the set of the numbers of the waves in which it was maintained.
	maintained map[int]bool
	// maintainedFor is the wave of its last maintenance.
	maintainedFor int
	// lackedAt is when a wave was first said to be finished before the VM's maintenance had begun, by the wave's number.
	lackedAt map[int]croft.Millis
	// unlistedUntil is until when the list of VMs lacks it, although it stays.
	unlistedUntil croft.Millis
	// returning is the executor that has crashed and starts again under its ID, nil for none; listedExecutor is what the list of
	// VMs shows until then.
	returning      *executor
	listedExecutor croft.WorkerID
	// leaving reports that it takes no orders any more, since it is about to leave for good, and left that it has left.
	leaving, left bool
}

// executor is one incarnation of an executor on a VM.
type executor struct {
	id croft.WorkerID
	vm *vm
	// former is the former incarnation under its ID, nil for none.
	former *executor
	// born is the wall clock time of its boot, in milliseconds.
	born int64
	// clockStart is when its own clock showed zero.
	clockStart croft.Millis
	// clockDrift is how much slower its own clock runs than the simulation's, in thousandths.
	clockDrift croft.Millis
	// fencingToken is the highest fencing token of the orders accepted so far.
	fencingToken uint64
	// leaseEnd is when all its runs end unless a leader extends the lease.
	leaseEnd croft.Millis
	runs     map[croft.TaskID]*run
	// endedRuns are the ends that no leader has acknowledged yet.
	endedRuns []croft.EndedRun
	// endsPerList is the maximum number of ends in one answer, zero for no limit.
	endsPerList int
	// endCount counts all ends so far; each end is numbered by it.
	endCount int64
	// highestRun is the highest run number of each task that was stopped or has ended here.
	highestRun map[croft.TaskID]int
	// endedAt is when each run ended, by the number of its end.
	endedAt map[int64]croft.Millis
	// leaseLapsedAt is when the lease last lapsed.
	leaseLapsedAt croft.Millis
	pendingHolds  []*pendingHold
	dead          bool
	// unreachableUntil is when a network partition ends, during which its runs go on but it receives nothing.
	unreachableUntil croft.Millis
	// cutWith is the only leader that reaches the executor until cutUntil, since both are in a rack that is cut off.
	cutWith  *leader
	cutUntil croft.Millis
	draining bool
	// failureRate is the share of its runs that fail.
	failureRate float64
}

// run is one run of a task on an executor.
type run struct {
	task      croft.TaskID
	number    int
	startedAt croft.Millis
	needs     croft.Resources
	// inGang reports that the run belongs to a gang that breaks if the run ends without being done.
	inGang bool
	// working reports that the run does the task's work; it is false for a gang member that waits for the others.
	working bool
	// lateness says how late its start was carried out, empty if it was not late.
	lateness string
	// stopping reports that a stop order was accepted and the run is about to end.
	stopping bool
}

// pendingHold is a hold order that is answered when the next run ends, or when its wait is over.
type pendingHold struct {
	answered bool
	answer   func()
}

// localTime returns the time by the executor's own clock.
func (x *executor) localTime(now croft.Millis) croft.Millis {
	return (now - x.clockStart) * (1000 - x.clockDrift) / 1000
}

func (w *World) addVM(pool croft.PoolID) {
	n := len(w.vms)
	v := &vm{id: croft.VMID(fmt.Sprintf("m%02d", n)), rack: croft.RackID(fmt.Sprintf("r%d", n/vmsPerRack)), pool: pool, state: croft.FleetUp, maintained: map[int]bool{}, lackedAt: map[int]croft.Millis{}}
	w.vms = append(w.vms, v)
	if pool != sparePool {
		w.bootExecutor(v)
	}
}

// bootExecutor starts an executor with a new ID on a VM.
func (w *World) bootExecutor(v *vm) {
	w.incarnations++
	w.startExecutor(v, croft.WorkerID(fmt.Sprintf("x%03d", w.incarnations)), int64(startWallTime+w.now), registrationDelay)
}

// startExecutor starts a new incarnation of an executor on a VM.
func (w *World) startExecutor(v *vm, id croft.WorkerID, born int64, delay croft.Millis) {
	x := &executor{
		id: id, vm: v, former: w.executors[id], born: born, clockStart: w.now - w.between(0, 5000),
		clockDrift: w.between(-5, 20), runs: map[croft.TaskID]*run{}, highestRun: map[croft.TaskID]int{}, endedAt: map[int64]croft.Millis{},
		endsPerList: w.options.EndsPerList,
	}
	v.executor, v.state = x, croft.FleetUp
	v.returning, v.listedExecutor = nil, ""
	w.executors[x.id] = x
	w.note("%s starts on %s, incarnation %d", x.id, v.id, x.born)
	w.scheduleRegistration(x, delay)
}

// terminate ends an incarnation of an executor together with its runs.
func (w *World) terminate(x *executor) {
	if x.dead {
		return
	}
	x.dead = true
	w.note("%s ends with %d runs", x.id, len(x.runs))
	runs := x.runs
	x.runs = map[croft.TaskID]*run{}
	for _, id := range sortedTasks(runs) {
		w.recordLost(id)
		if runs[id].inGang {
			w.breakGang(runs[id])
		}
	}
	x.pendingHolds = nil
	delay := unregistrationDelay
	if w.options.SameIDs {
		delay = w.between(minUnregistrationDelay, unregistrationDelay)
	}
	w.schedule(delay, func() { w.unregister(x) })
	if x.vm.executor == x {
		x.vm.executor = nil
	}
}

func (x *executor) used() croft.Resources {
	var sum croft.Resources
	for _, r := range x.runs {
		sum = sum.Plus(r.needs)
	}
	return sum
}

// vmCapacity returns the resources of each VM and its executor.
func vmCapacity() croft.Resources {
	return croft.Resources{MilliCores: executorMilliCores, MemoryMB: executorMemoryMB}
}

// reachable returns an executor and whether orders of a leader reach it.
func (w *World) reachable(l *leader, id croft.WorkerID) (*executor, bool) {
	x, ok := w.executors[id]
	if !ok || x.dead || w.now < x.unreachableUntil {
		return x, false
	}
	if w.now < x.cutUntil || w.now < l.cutUntil {
		return x, x.cutWith == l
	}
	return x, true
}

// checkFencingToken refuses an order whose fencing token is lower than that of an earlier order, and records the others.
func (w *World) checkFencingToken(x *executor, token uint64) error {
	if token < x.fencingToken {
		return &croft.RunRefusedError{Reason: croft.RefusedFence}
	}
	x.fencingToken = token
	return nil
}

// extendLease extends an executor's lease to an instant by its own clock, zero for no extension; all its runs end when
// the lease lapses.
func (w *World) extendLease(x *executor, until croft.Millis) {
	if until == 0 {
		return
	}
	duration := min(until-x.localTime(w.now), maxLease)
	end := w.now + duration*1000/(1000-x.clockDrift)
	if end <= x.leaseEnd {
		return
	}
	x.leaseEnd = end
	w.schedule(end-w.now, func() {
		if !x.dead && w.now >= x.leaseEnd {
			x.leaseLapsedAt = w.now
			for _, id := range sortedTasks(x.runs) {
				// The end of a gang member may have ended others here.
				if r := x.runs[id]; r != nil {
					w.endRun(x, r, croft.EndLapsed)
				}
			}
		}
	})
}

// sortedTasks returns the tasks of a map ordered by their texts, so that a seed always repeats the same simulation.
func sortedTasks[V any](m map[croft.TaskID]V) []croft.TaskID {
	return slices.SortedFunc(maps.Keys(m), func(a, b croft.TaskID) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
}

// handleStart carries out a start order.
func (w *World) handleStart(x *executor, o croft.RunOrder) error {
	if err := w.checkFencingToken(x, o.Fence); err != nil {
		return err
	}
	if o.Until <= x.localTime(w.now) {
		return &croft.RunRefusedError{Reason: croft.RefusedLate}
	}
	w.extendLease(x, o.Until)
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	if o.Run <= x.highestRun[o.Task] || x.runs[o.Task] != nil {
		return &croft.RunRefusedError{Reason: croft.RefusedOld}
	}
	w.report.Starts++
	w.note("%s carries out START %s %d of fence %d, incarnation %d", x.id, o.Task, o.Run, o.Fence, x.born)
	r := &run{task: o.Task, number: o.Run, startedAt: w.now, lateness: w.describeLateness(x, o)}
	if !w.checkStart(x, r, o) {
		return nil
	}
	x.runs[o.Task] = r
	w.executeRun(x, r)
	if w.jobs[r.task.Job].isDeadly(r.task) {
		w.schedule(crashDelay, func() { w.crashUnder(x, r) })
	}
	return nil
}

// crashDelay is the time from the start of a deadly task until its executor goes down.
const crashDelay = 10 * croft.Millis(1)

// isDeadly reports whether a task crashes each executor that starts it.
func (t *trackedJob) isDeadly(id croft.TaskID) bool {
	return t.deadly && id.Occurrence == 0 && id.Step == 0 && id.Index == 0
}

// crashUnder crashes an executor on which a deadly task runs.
func (w *World) crashUnder(x *executor, r *run) {
	if x.dead || x.runs[r.task] != r {
		return
	}
	w.jobs[r.task.Job].history(r.task).crashes++
	w.crash(x)
}

// executeRun begins the work of a run and schedules its end; a gang member first waits for the other members.
func (w *World) executeRun(x *executor, r *run) {
	t := w.jobs[r.task.Job]
	step := t.record.Spec.Steps[r.task.Step]
	if step.Gang {
		r.inGang = true
		w.joinGang(x, r, step.Count)
		return
	}
	r.working = true
	if step.Endless {
		w.schedule(w.between(100, 700), func() { w.recordWorking(x, r) })
		if w.options.EndlessEnds {
			w.scheduleOwnEnd(x, r)
		}
		return
	}
	w.schedule(t.runDuration(w, x, step), func() { w.finishRun(x, r) })
}

// maxEndlessDuration is how long a run of an endless task goes on at most before it ends by itself, if such runs do.
const maxEndlessDuration = 4 * croft.Second

// scheduleOwnEnd has a run of an endless task end by itself, as done or as failed, unless no jobs are submitted any more then.
func (w *World) scheduleOwnEnd(x *executor, r *run) {
	how := croft.EndDone
	if w.chance(0.5) {
		how = croft.EndFailed
	}
	duration := w.between(1, maxEndlessDuration)
	if w.now+duration > w.options.LoadDuration {
		return
	}
	w.schedule(duration, func() {
		if !x.dead && x.runs[r.task] == r && !r.stopping {
			w.endRun(x, r, how)
		}
	})
}

// finishRun ends a run whose work is over, as done or failed.
func (w *World) finishRun(x *executor, r *run) {
	if x.dead || x.runs[r.task] != r || r.stopping {
		return
	}
	if w.chance(x.failureRate) || w.jobs[r.task.Job].alwaysFails {
		w.endRun(x, r, croft.EndFailed)
		return
	}
	w.endRun(x, r, croft.EndDone)
}

// joinGang begins the work of a gang once all its members of the same run number are present; a member that still waits
// after gangTimeout ends.
func (w *World) joinGang(x *executor, r *run, count int) {
	members := w.gangMembers(r)
	if len(members) == count {
		t := w.jobs[r.task.Job]
		duration := t.runDuration(w, x, t.record.Spec.Steps[r.task.Step])
		for _, m := range members {
			m.working = true
		}
		w.schedule(duration, func() { w.finishGang(r, count) })
		return
	}
	w.schedule(gangTimeout, func() {
		if !x.dead && x.runs[r.task] == r && !r.working && !r.stopping {
			w.endRun(x, r, croft.EndAlone)
		}
	})
}

// gangMembers returns the runs of a run's gang, itself included: those of the same step and run number that are not
// stopping.
func (w *World) gangMembers(r *run) []*run {
	var out []*run
	for _, id := range slices.Sorted(maps.Keys(w.executors)) {
		for _, task := range sortedTasks(w.executors[id].runs) {
			other := w.executors[id].runs[task]
			if task.Job == r.task.Job && task.Occurrence == r.task.Occurrence && task.Step == r.task.Step && other.number == r.number && !other.stopping {
				out = append(out, other)
			}
		}
	}
	return out
}

// finishGang ends all members of a gang as done, unless one of them has ended or is stopping.
func (w *World) finishGang(r *run, count int) {
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

// endRun moves a run to the list of ended runs, ends the rest of its gang unless it was done, and answers pending holds.
func (w *World) endRun(x *executor, r *run, how croft.EndKind) {
	delete(x.runs, r.task)
	x.highestRun[r.task] = max(x.highestRun[r.task], r.number)
	x.endCount++
	x.endedAt[x.endCount] = w.now
	x.endedRuns = append(x.endedRuns, croft.EndedRun{Number: x.endCount, Task: r.task, Run: r.number, How: how})
	w.recordEnd(x, r, how)
	if r.inGang && how != croft.EndDone {
		w.breakGang(r)
	}
	for _, hold := range x.pendingHolds {
		if !hold.answered {
			hold.answered = true
			hold.answer()
		}
	}
	x.pendingHolds = nil
}

// breakGang ends the other members of a gang that were working.
func (w *World) breakGang(r *run) {
	for _, m := range w.gangMembers(r) {
		for _, id := range slices.Sorted(maps.Keys(w.executors)) {
			if x := w.executors[id]; x.runs[m.task] == m && m.working {
				m.inGang = false
				w.endRun(x, m, croft.EndBroken)
			}
		}
	}
}

// handleStop carries out a stop order.
func (w *World) handleStop(x *executor, o croft.RunOrder) error {
	if err := w.checkFencingToken(x, o.Fence); err != nil {
		return err
	}
	w.note("%s carries out STOP %s %d of fence %d, incarnation %d", x.id, o.Task, o.Run, o.Fence, x.born)
	x.highestRun[o.Task] = max(x.highestRun[o.Task], o.Run)
	r := x.runs[o.Task]
	if r == nil || r.number > o.Run || r.stopping {
		return nil
	}
	w.checkAvailability(r.task, "a stop")
	r.stopping = true
	w.schedule(w.between(1, maxStopDuration), func() {
		if !x.dead && x.runs[r.task] == r {
			w.endRun(x, r, croft.EndStopped)
		}
	})
	return nil
}

// handleHold carries out a hold order, which extends the lease and acknowledges ended runs; it calls answer with the
// executor's report, at once if there are ended runs to report.
func (w *World) handleHold(x *executor, o croft.HoldOrder, answer func(croft.HoldReport, error)) {
	if err := w.checkFencingToken(x, o.Fence); err != nil {
		answer(croft.HoldReport{}, err)
		return
	}
	w.extendLease(x, o.Until)
	w.forgetEnds(x, o.Seen)
	if len(x.endedRuns) > 0 || o.Wait == 0 {
		answer(x.holdReport(w.now), nil)
		return
	}
	h := &pendingHold{}
	h.answer = func() { answer(x.holdReport(w.now), nil) }
	x.pendingHolds = append(x.pendingHolds, h)
	w.schedule(o.Wait, func() {
		if !h.answered && !x.dead {
			h.answered = true
			h.answer()
		}
	})
}

// holdReport returns the answer to a hold order: the ended and the active runs.
func (x *executor) holdReport(now croft.Millis) croft.HoldReport {
	report := croft.HoldReport{Clock: x.localTime(now), Born: x.born, Ended: slices.Clone(x.endedRuns)}
	if x.endsPerList > 0 && len(x.endedRuns) >= x.endsPerList {
		report.Ended, report.MoreEnds = report.Ended[:x.endsPerList], true
	}
	for _, id := range sortedTasks(x.runs) {
		r := x.runs[id]
		percent := 0
		if r.working {
			percent = int(min((now-r.startedAt)/10, 100))
		}
		report.Active = append(report.Active, croft.ActiveRun{Task: id, Run: r.number, Percent: percent})
	}
	return report
}

// forgetEnds removes the ended runs that the leader has acknowledged: those whose end has a number up to seen.
func (w *World) forgetEnds(x *executor, seen int64) {
	for len(x.endedRuns) > 0 && x.endedRuns[0].Number <= seen {
		w.recordAck(x, x.endedRuns[0])
		x.endedRuns = x.endedRuns[1:]
	}
}
