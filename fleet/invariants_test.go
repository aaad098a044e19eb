package fleet

import (
	"encoding/json"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/lease"
)

// checkMemberWrite checks the write of a member row against the invariants of moves: a VM changes its pool only at the
// end of a move and after a restart, its epoch grows by one with each write, and only the pool's planner writes the
// row, except to begin a drain or while an operator keeps the VM drained.
func (w *world) checkMemberWrite(n *simEntry, before croft.Row, o croft.Op) {
	next, ok := decodeMember(croft.Row{Key: o.Key, Value: o.Value})
	if !ok {
		return
	}
	old, existed := decodeMember(before)
	delete(w.members[old.Pool], old.VM)
	if w.members[next.Pool] == nil {
		w.members[next.Pool] = map[croft.VMID]croft.Member{}
	}
	w.members[next.Pool][next.VM] = next
	if !existed {
		if next.Epoch != 1 || next.Phase != croft.PhaseServing {
			w.addViolation("%s begins as %+v", o.Key, next)
		}
		return
	}
	if next.Epoch != old.Epoch+1 {
		w.addViolation("%s epoch %d after %d", o.Key, next.Epoch, old.Epoch)
	}
	if next.Pool != old.Pool && (old.Purpose != croft.PurposeMove || old.Target != next.Pool ||
		next.Phase != croft.PhaseServing || next.Boot <= old.Boot) {
		w.addViolation("%s goes from %+v to %+v", o.Key, old, next)
	}
	if !isAllowedTransition(old, next) {
		w.addViolation("%s steps from %+v to %+v", o.Key, old, next)
	}
	beginsDrain := old.Phase == croft.PhaseServing && next.Purpose != croft.PurposeNone
	onHold := old.Purpose == croft.PurposeHold
	if !beginsDrain && !onHold && w.plannerOf(old.Pool) != n.peer.ID {
		w.addViolation("%s written by %s, pool %s is planned by %s", o.Key, n.peer.ID, old.Pool, w.plannerOf(old.Pool))
	}
}

// isAllowedTransition reports whether a member row may change from one phase to the other.
func isAllowedTransition(old, next croft.Member) bool {
	switch old.Phase {
	case croft.PhaseServing:
		return next.Phase != croft.PhaseAway
	case croft.PhaseDraining:
		return next.Phase != croft.PhaseAway || old.Purpose == croft.PurposeMaintain
	case croft.PhaseAway:
		return next.Phase == croft.PhaseServing && next.Maintained >= old.Since ||
			next.Phase == croft.PhaseDraining && next.Purpose == croft.PurposeNone
	}
	return false
}

// plannerOf returns the planner of a pool by its plan row.
func (w *world) plannerOf(pool croft.PoolID) croft.EntryID {
	var p lease.Plan
	if json.Unmarshal(w.rows[croft.PlanKey(pool)].Value, &p) != nil {
		return ""
	}
	return p.Holder
}

// checkMinServing checks that a transaction that begins maintenance leaves the pool at least MinServing usable VMs,
// according to the VM list that the planner knew when it began the transaction.
func (w *world) checkMinServing(c croft.Commit, knownVMs keyed.Map[croft.VMID, croft.VM]) {
	for _, o := range c.Ops {
		m, ok := decodeMember(croft.Row{Key: o.Key, Value: o.Value})
		if !ok || o.Kind != croft.OpPut || m.Phase != croft.PhaseDraining || m.Purpose != croft.PurposeMaintain {
			continue
		}
		pool, _ := w.config.Pool(m.Pool)
		usable := 0
		for _, other := range w.members[m.Pool] {
			if other.Phase != croft.PhaseServing {
				continue
			}
			if v, listed := knownVMs.Get(other.VM); listed && v.Status == croft.VMLive && v.Boot == other.Boot {
				usable++
			}
		}
		if usable < pool.MinServing {
			w.addViolation("maintenance of %s leaves pool %s with %d of %d", m.VM, m.Pool, usable, pool.MinServing)
		}
	}
}

// orderVM executes an order on a VM as the platform does.
func (w *world) orderVM(n *simEntry, f croft.OrderVM) {
	e := croft.OrderEnded{Token: f.Token}
	v, ok := w.vms[f.VM]
	switch {
	case w.happens(w.faultRates.orderFailure):
		e.Failed = "unavailable"
	case !ok:
		e.Failed = "no such VM"
	case v.Boot == f.Boot:
		w.executeVMOrder(v, f.Verb)
	}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

// executeVMOrder applies an order to the VM list; a reboot completes after a random delay.
func (w *world) executeVMOrder(v croft.VM, verb croft.VMVerb) {
	switch {
	case verb == croft.VMDrain && v.Status == croft.VMLive:
		w.setVM(v.WithStatus(croft.VMLeaving))
	case verb == croft.VMResume && v.Status == croft.VMLeaving:
		w.setVM(v.WithStatus(croft.VMLive))
	case verb == croft.VMReboot && v.Status != croft.VMFailed:
		w.setVM(v.WithStatus(croft.VMLeaving))
		w.after(croft.Millis(1000+w.rnd.IntN(20_000)), func() {
			w.checkRebootInterruptsNoTask(v)
			w.reboot(v)
		})
	}
}

// reboot starts a new incarnation of a VM, unless it has restarted or failed since v was read.
func (w *world) reboot(v croft.VM) {
	if current := w.vms[v.ID]; current.Boot == v.Boot && current.Status != croft.VMFailed {
		current.Boot++
		if w.workers != nil {
			delete(w.workers.runs, v.ID)
		}
		w.setVM(current.WithStatus(croft.VMLive))
	}
}

// setVM records a change of the VM list.
func (w *world) setVM(v croft.VM) {
	w.vms[v.ID] = v
	w.changes = append(w.changes, v)
}
