package model

import (
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
)

// Timings and shares of executors that start again under their IDs.
const (
	// minDowntime and maxDowntime bound how long such an executor is down.
	minDowntime = 300 * croft.Millis(1)
	maxDowntime = 3 * croft.Second
	// maxRegistrationDelay is how long after its start it registers at the latest; registrationDelay is the earliest.
	maxRegistrationDelay = 1500 * croft.Millis(1)
	// minUnregistrationDelay is how long after the end of an executor its registration is removed at the earliest, unless it
	// has registered again; unregistrationDelay is the latest.
	minUnregistrationDelay = 1 * croft.Second
	// groupCrashes is how often executors of a pool crash at the same time, and groupShare the share of them that do.
	groupCrashes = 3
	groupShare   = 0.7
	// groupSpread is how far apart they return.
	groupSpread = 100 * croft.Millis(1)
	// groupCutShare is the share of these crashes after which the same executors are cut off, and maxCutDelay how long after
	// their return that happens at the latest.
	groupCutShare = 0.6
	maxCutDelay   = 2600 * croft.Millis(1)
	// leaderLossShare is the share of these crashes beside which the leader fails, if leaders do.
	leaderLossShare = 0.5
	// lateOrderShare is the share of the orders to an executor that is down or cut off that are carried out later, after
	// maxLateness at the latest.
	lateOrderShare = 0.5
	minLateness    = 20 * croft.Millis(1)
	maxLateness    = 3 * croft.Second
	// longStepShare is the share of the jobs whose first step takes longStepFactor times as long, so that its tasks last until
	// the next incarnation; the quiet period has room for them.
	longStepShare  = 0.3
	longStepFactor = 5
	// setBackShare is the share of the start times that go back, if any do, by maxSetBack at the most.
	setBackShare = 0.5
	maxSetBack   = 60 * croft.Second
)

// scheduleReturns schedules the crashes of executors that start again under their IDs.
func (w *World) scheduleReturns() {
	for range groupCrashes {
		w.schedule(w.between(1000, w.options.LoadDuration), w.crashGroup)
	}
	for range 2 + w.rng.IntN(4) {
		w.schedule(w.between(1000, w.options.LoadDuration), w.crashRandomExecutor)
	}
}

// crashGroup crashes executors of a random pool at the same time, and may cut the same ones off soon after their return.
func (w *World) crashGroup() {
	pool := poolID(w.rng.IntN(w.options.Pools))
	downtime := w.between(minDowntime, maxDowntime-groupSpread)
	var group []*vm
	for _, v := range w.vms {
		if v.pool == pool && v.executor != nil && w.chance(groupShare) {
			group = append(group, v)
			w.crashAndReturn(v.executor, downtime+w.between(0, groupSpread))
		}
	}
	if w.options.Faults && w.chance(leaderLossShare) {
		w.schedule(w.between(0, downtime+maxRegistrationDelay), w.failLeader)
	}
	if !w.chance(groupCutShare) {
		return
	}
	duration, silent := w.between(1000, 9000), w.chance(0.5)
	w.schedule(downtime+w.between(groupSpread, maxCutDelay), func() {
		for _, v := range group {
			if v.executor != nil {
				w.cutOff(v.executor, duration, silent)
			}
		}
	})
}

// cutOff makes an executor unreachable for some time while its runs go on; a silent one does not reach the registry either.
func (w *World) cutOff(x *executor, duration croft.Millis, silent bool) {
	w.note("%s is cut off for %d ms", x.id, duration)
	x.unreachableUntil = max(x.unreachableUntil, w.now+duration)
	if !silent {
		return
	}
	w.schedule(unregistrationDelay, func() {
		if !x.dead && w.now < x.unreachableUntil {
			w.unregister(x)
		}
	})
	w.schedule(duration+registrationDelay, func() { w.register(x) })
}

// crashAndReturn crashes an executor, which starts again under its ID unless its VM is moved, maintained or leaves before. The
// list of VMs shows the VM as down or still as up, and as down with the executor or without it.
func (w *World) crashAndReturn(x *executor, downtime croft.Millis) {
	v := x.vm
	v.state, v.returning, v.listedExecutor = croft.FleetDown, x, x.id
	switch w.rng.IntN(3) {
	case 0:
		v.state = croft.FleetUp
	case 1:
		v.listedExecutor = ""
	}
	w.terminate(x)
	w.schedule(downtime, func() {
		if v.returning != x || v.left {
			return
		}
		born := int64(startWallTime + w.now)
		if w.options.ClocksSetBack && w.chance(setBackShare) {
			born = x.born - int64(w.between(1, maxSetBack))
		}
		w.startExecutor(v, x.id, born, w.between(registrationDelay, maxRegistrationDelay))
	})
}

// register puts an executor into the registry and notifies the leader.
func (w *World) register(x *executor) {
	if w.options.SameIDs {
		if x.dead {
			return
		}
		w.entries[x.id] = w.registration(x)
	}
	w.deliver(registered(w.registration(x)))
}

// unregister removes an executor from the registry, unless it has registered again since, and notifies the leader.
func (w *World) unregister(x *executor) {
	if w.options.SameIDs {
		if w.entries[x.id].Born != x.born {
			return
		}
		delete(w.entries, x.id)
	}
	w.deliver(unregistered(x.id))
}

// scheduleRegistration schedules the registration of an executor. One that returns under its ID leaves its former entry until
// then, so that its registration matters also to a leader that takes over meanwhile.
func (w *World) scheduleRegistration(x *executor, delay croft.Millis) {
	if w.options.SameIDs {
		w.schedule(delay, func() { w.register(x) })
		return
	}
	w.scheduleForLeader(delay, func() { w.register(x) })
}

// sortedEntries returns the entries of the registry.
func (w *World) sortedEntries() []croft.WorkerEntry {
	var out []croft.WorkerEntry
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		out = append(out, w.entries[id])
	}
	return out
}

// scheduleLate may have an order that found its executor down or cut off carried out later, by whichever incarnation of the
// executor is there then.
func (w *World) scheduleLate(l *leader, id croft.WorkerID, do func(*executor)) {
	if !w.options.SameIDs || !w.chance(lateOrderShare) {
		return
	}
	sent := w.now
	w.schedule(w.between(minLateness, maxLateness), func() {
		if x, ok := w.reachable(l, id); ok {
			w.note("%s carries out an order of %d ms ago", x.id, w.now-sent)
			w.runDelayed(sent, func() { do(x) })
		}
	})
}

// describeLateness says how late a start is, if it is, and whether a former incarnation of the executor would have refused it. The
// leader may have concluded from that one's answers that the run cannot begin any more.
func (w *World) describeLateness(x *executor, o croft.RunOrder) string {
	if !w.orderDelayed {
		return ""
	}
	late := fmt.Sprintf(", by an order of %d ms ago", w.now-w.orderSentAt)
	for f := x.former; f != nil; f = f.former {
		if o.Fence < f.fencingToken || o.Run <= f.highestRun[o.Task] {
			return late + " that a former incarnation would have refused"
		}
	}
	return late
}

// lostOrderDelay draws how much later an order is carried out whose answer is lost.
func (w *World) lostOrderDelay() croft.Millis {
	if w.options.SameIDs && w.chance(0.5) {
		return w.between(networkDelay, answerTimeout)
	}
	return w.between(2000, 12000)
}
