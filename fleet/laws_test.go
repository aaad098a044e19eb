package fleet

import (
	"encoding/json"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/lease"
)

// check holds each write of a member row against the laws of moves.
func (w *world) check(n *node, before croft.Row, o croft.Op) {
	next, ok := member(croft.Row{Key: o.Key, Value: o.Value})
	if !ok {
		return
	}
	old, existed := member(before)
	delete(w.members[old.Pool], old.VM)
	if w.members[next.Pool] == nil {
		w.members[next.Pool] = map[croft.VMID]croft.Member{}
	}
	w.members[next.Pool][next.VM] = next
	if !existed {
		if next.Epoch != 1 || next.Phase != croft.PhaseServing {
			w.fail("%s begins as %+v", o.Key, next)
		}
		return
	}
	if next.Epoch != old.Epoch+1 {
		w.fail("%s epoch %d after %d", o.Key, next.Epoch, old.Epoch)
	}
	if next.Pool != old.Pool && (old.Purpose != croft.PurposeMove || old.Target != next.Pool ||
		next.Phase != croft.PhaseServing || next.Boot <= old.Boot) {
		w.fail("%s goes from %+v to %+v", o.Key, old, next)
	}
	if !legal(old, next) {
		w.fail("%s steps from %+v to %+v", o.Key, old, next)
	}
	first := old.Phase == croft.PhaseServing && next.Purpose != croft.PurposeNone
	hold := old.Purpose == croft.PurposeHold
	if !first && !hold && w.holder(old.Pool) != n.peer.ID {
		w.fail("%s written by %s, pool %s is planned by %s", o.Key, n.peer.ID, old.Pool, w.holder(old.Pool))
	}
}

func legal(old, next croft.Member) bool {
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

func (w *world) holder(pool croft.PoolID) croft.EntryID {
	var p lease.Plan
	if json.Unmarshal(w.rows[croft.PlanKey(pool)].Value, &p) != nil {
		return ""
	}
	return p.Holder
}

// checkPromise counts a pool's usable VMs, by the list as its planner knew it, after a maintenance began there.
func (w *world) checkPromise(c croft.Commit, known keyed.Map[croft.VMID, croft.VM]) {
	for _, o := range c.Ops {
		m, ok := member(croft.Row{Key: o.Key, Value: o.Value})
		if !ok || o.Kind != croft.OpPut || m.Phase != croft.PhaseDraining || m.Purpose != croft.PurposeMaintain {
			continue
		}
		pool, _ := w.config.Pool(m.Pool)
		up := 0
		for _, other := range w.members[m.Pool] {
			if other.Phase != croft.PhaseServing {
				continue
			}
			if v, listed := known.Get(other.VM); listed && v.Status == croft.VMLive && v.Boot == other.Boot {
				up++
			}
		}
		if up < pool.MinServing {
			w.fail("maintenance of %s leaves pool %s with %d of %d", m.VM, m.Pool, up, pool.MinServing)
		}
	}
}

// orderVM does what the platform does with an order.
func (w *world) orderVM(n *node, f croft.OrderVM) {
	e := croft.OrderEnded{Token: f.Token}
	v, ok := w.vms[f.VM]
	switch {
	case w.chance(w.faults.orderFails):
		e.Failed = "unavailable"
	case !ok:
		e.Failed = "no such VM"
	case v.Boot == f.Boot:
		w.obey(v, f.Verb)
	}
	w.after(w.latency(), func() {
		e.At = croft.At{Time: w.now}
		w.deliver(n, e)
	})
}

func (w *world) obey(v croft.VM, verb croft.VMVerb) {
	switch {
	case verb == croft.VMDrain && v.Status == croft.VMLive:
		w.setVM(v.WithStatus(croft.VMLeaving))
	case verb == croft.VMResume && v.Status == croft.VMLeaving:
		w.setVM(v.WithStatus(croft.VMLive))
	case verb == croft.VMReboot && v.Status != croft.VMFailed:
		w.setVM(v.WithStatus(croft.VMLeaving))
		w.after(croft.Millis(1000+w.rnd.IntN(20_000)), func() {
			w.checkCut(v)
			w.reboot(v)
		})
	}
}

func (w *world) reboot(v croft.VM) {
	if now := w.vms[v.ID]; now.Boot == v.Boot && now.Status != croft.VMFailed {
		now.Boot++
		if w.labour != nil {
			delete(w.labour.runs, v.ID)
		}
		w.setVM(now.WithStatus(croft.VMLive))
	}
}

func (w *world) setVM(v croft.VM) {
	w.vms[v.ID] = v
	w.changes = append(w.changes, v)
}
