package pools

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
)

// DrainRequest requests that a VM be drained for a move or maintenance.
type DrainRequest struct {
	VM      croft.VMID
	Purpose croft.Purpose
	// Target is the destination pool of a move.
	Target croft.PoolID
	// Reason is why the VM is drained, for the decision log.
	Reason string
}

// BeginDrains starts draining serving VMs of one pool in one transaction. The transaction also checks the row version of every
// other VM of the pool, so it fails if the pool changed since the decision. BeginDrains does nothing if this entry does not
// plan for the pool, if a write of one of the pool's rows is in flight, or if a requested VM is not serving in the pool.
func (s State) BeginDrains(pool croft.PoolID, requests []DrainRequest, now croft.Millis, in Inputs) (State, []croft.Effect) {
	checks, plans := s.fencingChecks(pool, now, in)
	if !plans || len(requests) == 0 || s.Writing(pool) {
		return s, nil
	}
	chosen := make(map[croft.VMID]bool, len(requests))
	rows := make([]croft.Member, 0, len(requests))
	var subjects []string
	for _, r := range requests {
		m, ok := s.members.Get(r.VM)
		if !ok || m.Pool != pool || m.Phase != croft.PhaseServing || chosen[r.VM] {
			return s, nil
		}
		chosen[r.VM] = true
		subjects = append(subjects, string(r.VM))
		rows = append(rows, s.startDrain(m.Member, r.Purpose, r.Target, now))
	}
	if in.Lease.Fenced() {
		checks = append(checks, s.versionChecks(pool, chosen)...)
	}
	decision := newDecision(string(requests[0].Purpose), rows[0], requests[0].Reason)
	decision.Subject = strings.Join(subjects, " ")
	return s.commitRows(rows, checks, "", decision, now, in)
}

// versionChecks returns a check of the row version of each of the pool's VMs except the given ones.
func (s State) versionChecks(pool croft.PoolID, except map[croft.VMID]bool) []croft.Op {
	index, _ := s.pools.Get(pool)
	var ops []croft.Op
	for id := range index.vms.All() {
		if except[id] {
			continue
		}
		m, _ := s.members.Get(id)
		ops = append(ops, croft.Op{Kind: croft.OpCheck, Key: croft.MemberKey(id), Version: m.Version})
	}
	return ops
}

// Writing reports whether a write of one of the pool's rows is in flight.
func (s State) Writing(pool croft.PoolID) bool {
	for id := range s.busy.All() {
		if m, ok := s.members.Get(id); ok && m.Pool == pool {
			return true
		}
	}
	return false
}

// Busy reports whether a write of the VM's row is in flight.
func (s State) Busy(id croft.VMID) bool { return s.busy.Has(id) }

// startDrain returns the member row with which a VM begins to drain.
func (s State) startDrain(m croft.Member, purpose croft.Purpose, target croft.PoolID, now croft.Millis) croft.Member {
	v, _ := s.vms.Get(m.VM)
	m = m.WithPhase(croft.PhaseDraining, purpose, now).WithTarget(target)
	m.Boot = max(m.Boot, v.Boot)
	return m
}

// fencingChecks returns the checks that reject a write by a former planner of the pool, and whether this entry plans for
// the pool. The planner of the spare pool also plans for pools that are no longer declared.
func (s State) fencingChecks(pool croft.PoolID, now croft.Millis, in Inputs) ([]croft.Op, bool) {
	if _, declared := in.Config.Pool(pool); !declared {
		pool = SparePool(in.Config)
	}
	return in.Lease.Fence(pool), in.plansFor(pool, now)
}

// SparePool returns the pool that supplies VMs to the others: the one declared as spare, else the first one.
func SparePool(c croft.Config) croft.PoolID {
	for _, p := range c.Pools {
		if p.Spare {
			return p.ID
		}
	}
	if len(c.Pools) == 0 {
		return ""
	}
	return c.Pools[0].ID
}

// handleCommand writes the member row that an operator's command asks for, or refuses the command.
func (s State) handleCommand(e croft.CommandReceived, in Inputs) (State, []croft.Effect) {
	var id croft.VMID
	switch c := e.Command.(type) {
	case croft.MoveVM:
		id = c.VM
	case croft.DrainVM:
		id = c.VM
	case croft.MaintainVM:
		id = c.VM
	default:
		return s, nil
	}
	m, reason := s.commandedMember(id, in)
	if reason != "" {
		return s, refusal(e.Token, reason)
	}
	next := m.Member
	switch c := e.Command.(type) {
	case croft.MoveVM:
		next, reason = s.startMove(m.Member, c.To, e.Time, in)
	case croft.DrainVM:
		next, reason = s.changeHold(m.Member, c.End, e.Time)
	case croft.MaintainVM:
		next, reason = requestMaintenance(m.Member)
	}
	if reason != "" {
		return s, refusal(e.Token, reason)
	}
	return s.commitRow(next, nil, e.Token, newDecision(string(next.Purpose), next, "operator's command"), e.Time, in)
}

// commandedMember returns the member row of the VM that a command names, or why the command is refused.
func (s State) commandedMember(id croft.VMID, in Inputs) (VersionedMember, string) {
	if !in.PlatformReachable {
		return VersionedMember{}, "the platform does not answer"
	}
	m, ok := s.members.Get(id)
	if !ok {
		return m, fmt.Sprintf("VM %s is in no pool", id)
	}
	if s.busy.Has(id) {
		return m, fmt.Sprintf("VM %s is being changed", id)
	}
	return m, ""
}

// startMove returns the row with which a VM begins to move to another pool, or why the command is refused.
func (s State) startMove(m croft.Member, to croft.PoolID, now croft.Millis, in Inputs) (croft.Member, string) {
	if _, ok := in.Config.Pool(to); !ok {
		return m, fmt.Sprintf("pool %s is not declared", to)
	}
	if m.Phase != croft.PhaseServing || m.Pool == to {
		return m, describe(m)
	}
	return s.startDrain(m, croft.PurposeMove, to, now), ""
}

// changeHold returns the row that begins or ends an operator's drain, or why the command is refused.
func (s State) changeHold(m croft.Member, end bool, now croft.Millis) (croft.Member, string) {
	if end {
		if m.Purpose != croft.PurposeHold {
			return m, describe(m)
		}
		return m.WithPhase(croft.PhaseDraining, croft.PurposeNone, now), ""
	}
	if m.Phase != croft.PhaseServing {
		return m, describe(m)
	}
	return s.startDrain(m, croft.PurposeHold, "", now), ""
}

// requestMaintenance returns the row that records an operator's request for maintenance, or why the command is refused. The
// pool's planner begins the maintenance when the pool has enough other VMs.
func requestMaintenance(m croft.Member) (croft.Member, string) {
	if m.Phase != croft.PhaseServing || m.Purpose == croft.PurposeMaintain {
		return m, describe(m)
	}
	m.Purpose = croft.PurposeMaintain
	m.Epoch++
	return m, ""
}

// newDecision returns the log entry of a row change: its choice is the target pool of a move, else the phase.
func newDecision(action string, m croft.Member, reason string) croft.Decision {
	choice := string(m.Phase)
	if m.Target != "" {
		choice = string(m.Target)
	}
	return croft.Decision{Action: action, Subject: string(m.VM), Choice: choice, Reason: reason}
}
