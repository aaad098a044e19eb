package sched

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
)

// move is a VM on its way from one pool to another.
type move struct {
	from, to croft.PoolID
	// decidedAt is when the move was decided, and acceptedAt when the platform accepted its order. orderPending reports
	// that the order is unanswered.
	decidedAt    croft.Millis
	orderPending bool
	acceptedAt   croft.Millis
	// retryAt is when an order of unknown outcome may be sent again.
	retryAt croft.Millis
}

// beginMove chooses a VM for a move to a pool and keeps new work from it.
func (p *Planner) beginMove(id croft.VMID, to croft.PoolID) {
	vm := p.fleet.vms[id]
	p.moves[id] = &move{from: vm.Pool, to: to, decidedAt: p.now.Elapsed}
	if w := p.workerOn(id); w != nil {
		p.reserve(w)
	}
	p.log("Move", string(id), string(to), fmt.Sprintf("from pool %s; the new pool needs %d VMs and has %d", vm.Pool, p.pool(to).demand.Current, p.availableVMs(p.pool(to))-1))
}

// advanceMoves orders the moves of VMs that have become empty, cancels moves of VMs that did not become empty in time,
// and no longer counts those that did not arrive in time.
func (p *Planner) advanceMoves() {
	for _, id := range sortedVMs(p.moves) {
		m := p.moves[id]
		switch {
		case m.acceptedAt > 0:
			if p.now.Elapsed-m.acceptedAt > arrivalTimeout {
				delete(p.moves, id)
			}
		case m.orderPending || p.now.Elapsed < m.retryAt:
		case p.isReadyToMove(id):
			m.orderPending = true
			p.orderVM(croft.FleetOrder{VM: id, Pool: m.to})
		case p.now.Elapsed-m.decidedAt > emptyTimeout:
			p.cancelMove(id, fmt.Sprintf("its runs did not end within %d ms", emptyTimeout))
		}
	}
}

// sortedVMs returns the VMs of a map in the order of their IDs, to make decisions reproducible.
func sortedVMs[V any](m map[croft.VMID]V) []croft.VMID { return slices.Sorted(maps.Keys(m)) }

// isReadyToMove reports whether a VM certainly has no runs; one without an executor must be in a spare pool.
func (p *Planner) isReadyToMove(id croft.VMID) bool {
	w := p.workerOn(id)
	if w == nil {
		return p.poolRule(p.fleet.vms[id].Pool).Spare
	}
	return w.verified && len(w.runs) == 0 && w.orphanRuns == 0
}

// cancelMove abandons a move that the platform has not accepted.
func (p *Planner) cancelMove(id croft.VMID, reason string) {
	p.log("MoveDropped", string(id), "", reason)
	delete(p.moves, id)
	p.unreserve(id)
}

// moveRoute is a pair of pools between which VMs may move.
type moveRoute struct{ from, to croft.PoolID }

// handleMoveResult applies the answer to the order of a move.
func (p *Planner) handleMoveResult(e Ordered) {
	id := e.Order.VM
	m, ok := p.moves[id]
	if !ok {
		return
	}
	m.orderPending = false
	var refused *croft.FleetRefusedError
	switch {
	case e.Err == nil:
		m.acceptedAt = p.now.Elapsed
		p.recordDeparture(id)
	case errors.As(e.Err, &refused):
		if refused.Reason == croft.FleetRefusedFence {
			p.stepDown(fmt.Sprintf("the platform refused fencing token %d for VM %s: it has seen a higher one", p.fencingToken, id))
			return
		}
		if refused.Reason == croft.FleetRefusedForm {
			p.refusedMoves[moveRoute{m.from, m.to}] = true
		}
		p.cancelMove(id, "the platform refused: "+string(refused.Reason))
		p.requestFleet()
	default:
		// The order may have been carried out; the platform accepts it again in that case.
		p.log("Unanswered", string(id), string(m.to), e.Err.Error())
		m.retryAt = p.now.Elapsed + vmOrderRetryPause
		p.requestFleet()
	}
}

// completeMoves ends the moves of VMs that a list shows as up in their new pool or as down.
func (p *Planner) completeMoves(e FleetRead) {
	for _, id := range sortedVMs(p.moves) {
		m := p.moves[id]
		if m.acceptedAt == 0 || e.RequestedAt < m.acceptedAt {
			continue
		}
		vm := p.fleet.vms[id]
		if vm.State == croft.FleetDown || (vm.State == croft.FleetUp && vm.Pool == m.to && p.isRegistered(vm)) {
			delete(p.moves, id)
		}
	}
}

// isRegistered reports whether the executor of a VM is registered; VMs of spare pools need none.
func (p *Planner) isRegistered(vm croft.FleetVM) bool {
	w, ok := p.workers[vm.Worker]
	return (ok && w.listed) || p.poolRule(vm.Pool).Spare
}
