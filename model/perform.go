package model

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

func registered(e croft.WorkerEntry) sched.Event {
	return sched.WorkersRead{Changes: croft.WorkerChanges{Entries: []croft.WorkerEntry{e}}}
}

func unregistered(id croft.WorkerID) sched.Event {
	return sched.WorkersRead{Changes: croft.WorkerChanges{Unusable: []croft.WorkerID{id}}}
}

func (w *World) registration(x *executor) croft.WorkerEntry {
	return croft.WorkerEntry{
		ID: x.id, Pool: x.vm.pool, Address: "model:" + string(x.id), Labels: []string{"a", string(x.vm.rack)}, Rack: x.vm.rack,
		Room: room(), Draining: x.draining, Born: x.born,
	}
}

func (w *World) registry() croft.WorkerChanges {
	changes := croft.WorkerChanges{Whole: true}
	for _, v := range w.vms {
		if v.worker != nil {
			changes.Entries = append(changes.Entries, w.registration(v.worker))
		}
	}
	return changes
}

// debug sees each effect in tests that trace a seed.
var debug func(*World, sched.Effect)

// perform carries out an effect of the leader.
func (w *World) perform(effect sched.Effect) {
	if debug != nil {
		debug(w, effect)
	}
	switch e := effect.(type) {
	case sched.Start:
		w.order(e.Order.Worker, func(x *executor) error { return w.start(x, e.Order) },
			func(clock croft.Millis, err error) sched.Event {
				return sched.Started{Start: e, Clock: clock, Err: err}
			})
	case sched.Stop:
		w.order(e.Order.Worker, func(x *executor) error { return w.stop(x, e.Order) },
			func(_ croft.Millis, err error) sched.Event { return sched.Stopped{Stop: e, Err: err} })
	case sched.Hold:
		w.performHold(e)
	case sched.Commit:
		w.performCommit(e)
	case sched.ListFleet:
		w.later(w.between(2, 20), func() { w.tell(sched.FleetRead{Asked: e.Asked, VMs: w.listFleet()}) })
	case sched.OrderVM:
		w.performFleet(e)
	case sched.Wake:
		w.later(e.After, func() { w.tell(sched.Woken{}) })
	case sched.ReportWave:
		w.performWave(e)
	case sched.StepDown:
		if w.lead.alive = false; !w.lead.cut {
			w.takeOver(plannerLease, w.now)
		}
	}
}

// order sends an order to an executor; some get no answer, and some of these are carried out late.
func (w *World) order(id croft.WorkerID, do func(*executor) error, event func(croft.Millis, error) sched.Event) {
	lost := &croft.LostAnswerError{Reason: "model"}
	if w.chance(w.losing / 10) {
		w.after(w.between(2000, 12000), func() {
			if x, ok := w.reachable(id); ok {
				// A late order is refused or carried out, and nobody hears of it.
				w.carryOutLate(func() { _ = do(x) })
			}
		})
		w.later(lostSpan, func() { w.tell(event(0, lost)) })
		return
	}
	l := w.lead
	w.after(w.between(hopSpan, 3*hopSpan), func() {
		x, ok := w.reachable(id)
		if !ok {
			w.laterFor(l, lostSpan, func() { w.tell(event(0, lost)) })
			return
		}
		err := do(x)
		clock := x.clock(w.now)
		w.laterFor(l, w.between(hopSpan, 3*hopSpan), func() { w.tell(event(clock, err)) })
	})
}

// carryOutLate carries out an order that was held up on its way.
func (w *World) carryOutLate(do func()) {
	w.late = true
	do()
	w.late = false
}

func (w *World) performHold(e sched.Hold) {
	l := w.lead
	answered := false
	answer := func(report croft.HoldReport, err error) {
		if answered {
			return
		}
		answered = true
		w.laterFor(l, hopSpan, func() { w.tell(sched.Held{Hold: e, Report: report, Err: err}) })
	}
	w.after(hopSpan, func() {
		if x, ok := w.reachable(e.Order.Worker); ok {
			w.hold(x, e.Order, answer)
		}
	})
	w.after(e.Order.Wait+lostSpan, func() { answer(croft.HoldReport{}, &croft.LostAnswerError{Reason: "model"}) })
}

func (w *World) performCommit(e sched.Commit) {
	w.report.Commits++
	if w.now < w.storeDown || w.lead.cut {
		w.later(commitSpan, func() { w.tell(sched.Committed{Commit: e, Err: &croft.UnavailableError{Reason: "model"}}) })
		return
	}
	if w.chance(w.losing) {
		w.after(w.between(1, 3000), func() { _, _ = w.commit(e.Ops) })
		w.later(lostSpan, func() { w.tell(sched.Committed{Commit: e, Err: &croft.LostAnswerError{Reason: "model"}}) })
		return
	}
	l := w.lead
	w.after(commitSpan, func() {
		version, err := w.commit(e.Ops)
		w.laterFor(l, hopSpan, func() { w.tell(sched.Committed{Commit: e, Version: version, Err: err}) })
	})
}

// commit does all operations or none.
func (w *World) commit(ops []croft.Op) (uint64, error) {
	conflict := &croft.ConflictError{}
	for _, op := range ops {
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
			w.shown(op)
		case croft.OpDelete:
			delete(w.store, op.Key)
		}
	}
	return w.version, nil
}

// shown checks what callers are shown from a write on.
func (w *World) shown(op croft.Op) {
	if !strings.HasPrefix(op.Key, jobs.StateTable+"/") {
		return
	}
	_, id, err := jobs.SplitKey(op.Key)
	if err != nil {
		w.broken("STORE", "%v", err)
		return
	}
	progress, err := jobs.DecodeProgress(op.Value)
	if err != nil {
		w.broken("STORE", "%v", err)
		return
	}
	w.jobs[id].show(w, progress.Status)
}

func (w *World) listFleet() []croft.FleetVM {
	var out []croft.FleetVM
	for _, v := range w.vms {
		line := croft.FleetVM{ID: v.id, Pool: v.pool, State: v.state, Rack: v.rack, Room: room()}
		if v.worker != nil {
			line.Worker = v.worker.id
		}
		out = append(out, line)
	}
	return out
}

func (w *World) performFleet(e sched.OrderVM) {
	if w.now < w.lead.vmsFrom {
		w.broken("ONE", "%s orders %s while its predecessor may", e.Order.Holder, e.Order.VM)
	}
	v := w.vms[slices.IndexFunc(w.vms, func(v *vm) bool { return v.id == e.Order.VM })]
	if w.chance(w.losing / 4) {
		w.after(w.between(1, 8000), func() { w.carryOutLate(func() { _ = w.orderVM(v, e.Order) }) })
		w.later(lostSpan, func() { w.tell(sched.Ordered{OrderVM: e, Err: &croft.LostAnswerError{Reason: "model"}}) })
		return
	}
	l := w.lead
	w.after(w.between(2, 10), func() {
		err := w.orderVM(v, e.Order)
		w.laterFor(l, hopSpan, func() { w.tell(sched.Ordered{OrderVM: e, Err: err}) })
	})
}

// orderVM carries out an order for a VM.
func (w *World) orderVM(v *vm, o croft.FleetOrder) error {
	if o.Fence < v.fence {
		return &croft.FleetRefusedError{Reason: croft.FleetRefusedFence}
	}
	v.fence = o.Fence
	if (o.Pool != "" && v.pool == o.Pool) || (o.Pool == "" && v.maintained[o.Wave]) {
		return nil
	}
	if v.state != croft.FleetUp {
		return &croft.FleetRefusedError{Reason: croft.FleetRefusedBusy}
	}
	span := maintainSpan
	if o.Pool == "" {
		w.checkWaveBound(v)
		w.report.Maintained++
		v.maintained[o.Wave] = true
		v.state = croft.FleetMaintenance
	} else {
		w.report.Moves++
		span = moveSpan
		v.state = croft.FleetMoving
		v.pool = o.Pool
	}
	if v.worker != nil {
		for id := range v.worker.runs {
			w.checkTaken(id, "an order for its VM")
		}
		w.end(v.worker)
	}
	w.after(span, func() {
		v.state = croft.FleetUp
		if v.pool != spareName {
			w.boot(v)
		}
	})
	return nil
}

func (w *World) performWave(e sched.ReportWave) {
	raw, err := json.Marshal(e)
	if err != nil {
		w.broken("STORE", "%v", err)
		return
	}
	if w.lead.cut {
		return
	}
	if e.Finished {
		for _, v := range w.vms {
			if slices.Contains(w.wave.VMs, v.id) && !v.maintained[e.Number] {
				w.broken("MIXED", "wave %d is said to be finished without %s", e.Number, v.id)
			}
		}
	}
	key := "wave//" + strconv.Itoa(e.Number)
	w.later(max(w.storeDown-w.now, 0)+commitSpan, func() {
		w.store[key] = croft.Row{Key: key, Value: raw}
		w.tell(sched.WaveStored{ReportWave: e})
	})
}

// waveRows returns what leaders stored of the wave.
func (w *World) waveRows() sched.WaveRowsRead {
	rows := sched.WaveRowsRead{Begun: map[int][]croft.VMID{}, Ordered: map[int][]croft.VMID{}}
	if row, ok := w.store["wave//1"]; ok {
		var stored sched.ReportWave
		if err := json.Unmarshal(row.Value, &stored); err != nil {
			w.broken("STORE", "%v", err)
		}
		rows.Begun[1], rows.Ordered[1] = stored.Begun, stored.Ordered
	}
	return rows
}
