package model

import (
	"encoding/json"
	"slices"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// registered returns the event that adds or updates an executor in the leader's list.
func registered(e croft.WorkerEntry) sched.Event {
	return sched.WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{e}}}
}

// unregistered returns the event that removes an executor from the leader's list.
func unregistered(id croft.WorkerID) sched.Event {
	return sched.WorkersRead{Changes: croft.WorkerChanges{Unusable: []croft.WorkerID{id}}}
}

func (w *World) registration(x *executor) croft.WorkerEntry {
	return croft.WorkerEntry{
		ID: x.id, Pool: x.vm.pool, Address: "model:" + string(x.id), Labels: []string{"a", string(x.vm.rack)}, Rack: x.vm.rack,
		Room: vmCapacity(), Draining: x.draining, Born: x.born,
	}
}

// registry returns all executors, as a new leader reads them.
func (w *World) registry() croft.WorkerChanges {
	changes := croft.WorkerChanges{Whole: true, Entries: w.sortedEntries()}
	if w.options.SameIDs {
		return changes
	}
	for _, v := range w.vms {
		if v.executor != nil {
			changes.Entries = append(changes.Entries, w.registration(v.executor))
		}
	}
	return changes
}

// onEffect, if set, is called with each effect, and onNote with what happens to executors; TestTrace uses them.
var (
	onEffect func(*World, sched.Effect)
	onNote   func(w *World, format string, args ...any)
)

func (w *World) note(format string, args ...any) {
	if onNote != nil {
		onNote(w, format, args...)
	}
}

// countEffect counts what an effect says of the planner's decisions.
func (w *World) countEffect(effect sched.Effect) {
	switch e := effect.(type) {
	case sched.CountReservation:
		if e.Outcome == "Made" {
			w.report.Reserved++
		}
	case sched.PublishLoads:
		w.report.MostParked = max(w.report.MostParked, e.ParkedJobs)
	}
}

// perform carries out an effect that the current leader's planner requested.
func (w *World) perform(effect sched.Effect) {
	if onEffect != nil {
		onEffect(w, effect)
	}
	w.countEffect(effect)
	switch e := effect.(type) {
	case sched.Start:
		w.sendStart(e)
	case sched.Stop:
		w.sendOrder(e.Order.Worker, func(x *executor) error { return w.handleStop(x, e.Order) },
			func(_ croft.Millis, err error) sched.Event { return sched.Stopped{Stop: e, Err: err} })
	case sched.Hold:
		w.performHold(e)
	case sched.Commit:
		w.performCommit(e)
	case sched.ListFleet:
		w.performListFleet(e)
	case sched.OrderVM:
		w.performVMOrder(e)
	case sched.Wake:
		w.scheduleForLeader(e.After, func() { w.deliver(sched.Woken{}) })
	case sched.ReportWave:
		w.performWave(e)
	case sched.Log:
		w.recordCapLog(e.Decision)
	case sched.StepDown:
		if w.leader.alive = false; !w.leader.storeUnreachable {
			w.scheduleTakeover(leaderLease, w.now)
		}
	}
}

// sendStart sends a start, after the earlier ones if each of them takes time.
func (w *World) sendStart(e sched.Start) {
	send := func() {
		w.sendOrder(e.Order.Worker, func(x *executor) error { return w.handleStart(x, e.Order) },
			func(clock croft.Millis, err error) sched.Event {
				return sched.Started{Start: e, Clock: clock, Err: err}
			})
	}
	if w.options.StartTime == 0 {
		send()
		return
	}
	w.queueStart(e)
}

// queueStart carries out a start once the earlier ones of the leader have been sent, and delivers the result, which is an answer only
// if that takes less than answerTimeout.
func (w *World) queueStart(e sched.Start) {
	l, lost := w.leader, &croft.LostAnswerError{Reason: "model"}
	l.startsInFlight++
	w.report.InFlight = append(w.report.InFlight, l.startsInFlight)
	l.startsUntil = max(l.startsUntil, w.now) + w.options.StartTime
	wait := l.startsUntil - w.now
	result := func(clock croft.Millis, err error) {
		l.startsInFlight--
		w.deliver(sched.Started{Start: e, Clock: clock, Err: err})
	}
	sent, unanswered := w.now, wait+networkDelay >= answerTimeout
	w.schedule(wait, func() {
		x, ok := w.reachable(l, e.Order.Worker)
		if !ok {
			if !unanswered {
				w.scheduleFor(l, answerTimeout-wait, func() { result(0, lost) })
			}
			return
		}
		var err error
		w.runDelayed(sent, func() { err = w.handleStart(x, e.Order) })
		if clock := x.localTime(w.now); !unanswered {
			w.scheduleFor(l, networkDelay, func() { result(clock, err) })
		}
	})
	if unanswered {
		w.report.Unanswered++
		w.scheduleFor(l, answerTimeout, func() { result(0, lost) })
	}
}

// sendOrder sends an order, which handle carries out, to an executor and delivers the result as the event that newEvent
// returns. Some answers are lost; their orders are carried out seconds later if the executor is reachable then.
func (w *World) sendOrder(id croft.WorkerID, handle func(*executor) error, newEvent func(croft.Millis, error) sched.Event) {
	lost := &croft.LostAnswerError{Reason: "model"}
	l, sent := w.leader, w.now
	answered := false
	answer := func(clock croft.Millis, err error) {
		if !answered {
			answered = true
			w.deliver(newEvent(clock, err))
		}
	}
	carryOut := func(x *executor) {
		err := handle(x)
		clock := x.localTime(w.now)
		w.scheduleFor(l, w.between(networkDelay, 3*networkDelay), func() { answer(clock, err) })
	}
	if w.chance(w.answerLossRate / 10) {
		w.schedule(w.lostOrderDelay(), func() {
			if x, ok := w.reachable(l, id); ok {
				// The result of a delayed order is not delivered.
				w.runDelayed(sent, func() { _ = handle(x) })
			}
		})
		w.scheduleForLeader(answerTimeout, func() { w.deliver(newEvent(0, lost)) })
		return
	}
	w.schedule(w.between(networkDelay, 3*networkDelay), func() {
		x, ok := w.reachable(l, id)
		if !ok {
			w.scheduleFor(l, answerTimeout, func() { answer(0, lost) })
			w.scheduleLate(l, id, carryOut)
			return
		}
		carryOut(x)
	})
}

// runDelayed carries out an order that was sent at an instant and delayed in the network.
func (w *World) runDelayed(sent croft.Millis, do func()) {
	w.orderDelayed, w.orderSentAt = true, sent
	do()
	w.orderDelayed = false
}

// performHold sends a hold order and delivers the answer, or a lost answer if none arrives within answerTimeout after the
// order's wait.
func (w *World) performHold(e sched.Hold) {
	l := w.leader
	answered := false
	answer := func(report croft.HoldReport, err error) {
		if answered {
			return
		}
		answered = true
		w.scheduleFor(l, networkDelay, func() { w.deliver(sched.Held{Hold: e, Report: report, Err: err}) })
	}
	delay := networkDelay
	if w.options.SameIDs && w.chance(w.answerLossRate/10) {
		delay = w.lostOrderDelay()
	}
	sent := w.now
	w.schedule(delay, func() {
		if x, ok := w.reachable(l, e.Order.Worker); ok {
			carryOut := func() { w.handleHold(x, e.Order, answer) }
			if delay == networkDelay {
				carryOut()
			} else {
				w.runDelayed(sent, carryOut)
			}
			return
		}
		w.scheduleLate(l, e.Order.Worker, func(x *executor) { w.handleHold(x, e.Order, answer) })
	})
	w.schedule(e.Order.Wait+answerTimeout, func() { answer(croft.HoldReport{}, &croft.LostAnswerError{Reason: "model"}) })
}

// performCommit commits operations and delivers the result. If the answer is lost, the commit takes effect up to 3 s
// later.
func (w *World) performCommit(e sched.Commit) {
	w.report.Commits++
	if w.now < w.storeDownUntil || w.leader.storeUnreachable {
		w.scheduleForLeader(commitDelay, func() { w.deliver(sched.Committed{Commit: e, Err: &croft.UnavailableError{Reason: "model"}}) })
		return
	}
	if w.chance(w.answerLossRate) {
		w.schedule(w.between(1, 3000), func() { _, _ = w.commit(e.Ops) })
		w.scheduleForLeader(answerTimeout, func() { w.deliver(sched.Committed{Commit: e, Err: &croft.LostAnswerError{Reason: "model"}}) })
		return
	}
	l := w.leader
	w.schedule(commitDelay, func() {
		version, err := w.commit(e.Ops)
		w.scheduleFor(l, networkDelay, func() { w.deliver(sched.Committed{Commit: e, Version: version, Err: err}) })
	})
}

// commit applies all operations or none and returns the version written.
func (w *World) commit(ops []croft.Op) (uint64, error) {
	conflict := &croft.ConflictError{}
	for _, op := range ops {
		if w.options.RowBytes > 0 && len(op.Value) > w.options.RowBytes {
			return 0, &croft.UnavailableError{Reason: "model: the value is too large"}
		}
		if row := w.store[op.Key]; op.Version != croft.AnyVersion && row.Version != op.Version {
			row.Key = op.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	w.version++
	for _, op := range ops {
		switch op.Kind {
		case croft.OpPut:
			w.store[op.Key] = croft.Row{Key: op.Key, Version: w.version, Value: op.Value}
			w.recordWrittenStatus(op)
		case croft.OpDelete:
			delete(w.store, op.Key)
		}
	}
	return w.version, nil
}

// recordWrittenStatus records and checks the status that callers see after a write to a job's state row; it ignores other
// rows.
func (w *World) recordWrittenStatus(op croft.Op) {
	if !strings.HasPrefix(op.Key, jobs.StateTable+"/") {
		return
	}
	_, id, err := jobs.SplitKey(op.Key)
	if err != nil {
		w.violation("STORE", "%v", err)
		return
	}
	progress, err := jobs.DecodeProgress(op.Value)
	if err != nil {
		w.violation("STORE", "%v", err)
		return
	}
	w.jobs[id].recordStatus(w, progress.Status)
}

// performListFleet delivers the list of VMs, or a failure to a leader that is cut off.
func (w *World) performListFleet(e sched.ListFleet) {
	if w.now < w.leader.cutUntil && !w.leader.listsVMs {
		w.scheduleForLeader(answerTimeout, func() { w.deliver(sched.FleetRead{RequestedAt: e.RequestedAt}) })
		return
	}
	w.scheduleForLeader(w.between(2, 20), func() { w.deliver(sched.FleetRead{RequestedAt: e.RequestedAt, VMs: w.listFleet()}) })
}

func (w *World) listFleet() []croft.FleetVM {
	var out []croft.FleetVM
	for _, v := range w.vms {
		if v.left || w.now < v.unlistedUntil {
			continue
		}
		line := croft.FleetVM{ID: v.id, Pool: v.pool, State: v.state, Rack: v.rack, Room: vmCapacity()}
		if v.executor != nil {
			line.Worker = v.executor.id
		}
		if v.returning != nil {
			line.Worker = v.listedExecutor
		}
		out = append(out, line)
	}
	return out
}

// performVMOrder sends an order for a VM and delivers the result. If the answer is lost, the order is carried out up to
// 8 s later.
func (w *World) performVMOrder(e sched.OrderVM) {
	if w.now < w.leader.vmOrdersFrom {
		w.violation("ONE", "%s orders %s while its predecessor may", e.Order.Holder, e.Order.VM)
	}
	if w.now < w.leader.cutUntil {
		w.scheduleForLeader(answerTimeout, func() { w.deliver(sched.Ordered{OrderVM: e, Err: &croft.LostAnswerError{Reason: "model"}}) })
		return
	}
	sent := w.now
	v := w.vms[slices.IndexFunc(w.vms, func(v *vm) bool { return v.id == e.Order.VM })]
	if w.chance(w.answerLossRate / 4) {
		w.schedule(w.between(1, 8000), func() { w.runDelayed(sent, func() { _ = w.handleVMOrder(v, e.Order) }) })
		w.scheduleForLeader(answerTimeout, func() { w.deliver(sched.Ordered{OrderVM: e, Err: &croft.LostAnswerError{Reason: "model"}}) })
		return
	}
	l := w.leader
	w.schedule(w.between(2, 10), func() {
		err := w.handleVMOrder(v, e.Order)
		w.scheduleFor(l, networkDelay, func() { w.deliver(sched.Ordered{OrderVM: e, Err: err}) })
	})
}

// handleVMOrder carries out a move or a maintenance of a VM.
func (w *World) handleVMOrder(v *vm, o croft.FleetOrder) error {
	if o.Fence < v.fencingToken {
		return &croft.FleetRefusedError{Reason: croft.FleetRefusedFence}
	}
	v.fencingToken = o.Fence
	if o.Pool == "" && w.now < w.wave(o.Wave).knownFrom {
		return &croft.FleetRefusedError{Reason: croft.FleetRefusedWave}
	}
	if v.leaving {
		return &croft.FleetRefusedError{Reason: croft.FleetRefusedBusy}
	}
	if (o.Pool != "" && v.pool == o.Pool) || (o.Pool == "" && v.maintained[o.Wave]) {
		return nil
	}
	if v.state != croft.FleetUp {
		return &croft.FleetRefusedError{Reason: croft.FleetRefusedBusy}
	}
	duration := maintenanceDuration
	if o.Pool == "" {
		w.checkWaveLimit(v, o.Wave)
		w.report.Maintained++
		v.maintained[o.Wave], v.maintainedFor = true, o.Wave
		v.state = croft.FleetMaintenance
	} else {
		w.report.Moves++
		duration = moveDuration
		v.state = croft.FleetMoving
		v.pool = o.Pool
	}
	v.returning = nil
	if v.executor != nil {
		for id := range v.executor.runs {
			w.checkAvailability(id, "an order for its VM")
		}
		w.terminate(v.executor)
	}
	w.schedule(duration, func() {
		if v.left {
			return
		}
		v.state = croft.FleetUp
		if v.pool != sparePool {
			w.bootExecutor(v)
		}
	})
	return nil
}

// performWave stores the reported progress of a wave and delivers the confirmation, late while the store is down.
func (w *World) performWave(e sched.ReportWave) {
	raw, err := json.Marshal(e)
	if err != nil {
		w.violation("STORE", "%v", err)
		return
	}
	if w.leader.storeUnreachable {
		return
	}
	if e.Finished {
		w.recordFinishedWave(e.Number)
	}
	key := w.wave(e.Number).key()
	w.scheduleForLeader(max(w.storeDownUntil-w.now, 0)+commitDelay, func() {
		w.store[key] = croft.Row{Key: key, Value: raw}
		w.deliver(sched.WaveStored{ReportWave: e})
	})
}

// waveRows returns the progress of the waves as leaders stored it.
func (w *World) waveRows() sched.WaveRowsRead {
	rows := sched.WaveRowsRead{Begun: map[int][]croft.VMID{}, Ordered: map[int][]croft.VMID{}, Departed: map[int][]croft.VMID{}, Requested: map[int]croft.Millis{}}
	for _, wv := range w.waves {
		row, ok := w.store[wv.key()]
		if !ok {
			continue
		}
		var stored sched.ReportWave
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			w.violation("STORE", "%v", err)
		}
		rows.Begun[wv.Number], rows.Ordered[wv.Number] = stored.Begun, stored.Ordered
		rows.Departed[wv.Number], rows.Requested[wv.Number] = stored.Departed, stored.Requested
	}
	return rows
}
