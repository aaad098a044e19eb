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
	// Reason is the text for the log.
	Reason string
}

// BeginDrains starts draining serving VMs of one pool in one transaction. The transaction also checks the row version of every
// other VM of the pool, so it fails if the pool changed since the decision. Begin does nothing unless this entry leads the pool.
func (s State) BeginDrains(pool croft.PoolID, asks []DrainRequest, now croft.Millis, in Inputs) (State, []croft.Effect) {
	checks, leads := s.fencingChecks(pool, now, in)
	if !leads || len(asks) == 0 || s.Writing(pool) {
		return s, nil
	}
	chosen := make(map[croft.VMID]bool, len(asks))
	rows := make([]croft.Member, 0, len(asks))
	var subjects []string
	for _, a := range asks {
		m, ok := s.members.Get(a.VM)
		if !ok || m.Pool != pool || m.Phase != croft.PhaseServing || chosen[a.VM] {
			return s, nil
		}
		chosen[a.VM] = true
		subjects = append(subjects, string(a.VM))
		rows = append(rows, s.startDrain(m.Member, a.Purpose, a.Target, now))
	}
	if in.Lease.Fenced() {
		checks = append(checks, s.versionChecks(pool, chosen)...)
	}
	decision := newDecision(string(asks[0].Purpose), rows[0], asks[0].Reason)
	decision.Subject = strings.Join(subjects, " ")
	return s.commitRows(rows, checks, "", decision, now, in)
}

// versionChecks returns a check of the row version of each of the pool's VMs but the excepted ones.
func (s State) versionChecks(pool croft.PoolID, except map[croft.VMID]bool) []croft.Op {
	g, _ := s.pools.Get(pool)
	var ops []croft.Op
	for id := range g.vms.All() {
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

// startDrain returns the member row of a VM that begins to drain.
func (s State) startDrain(m croft.Member, purpose croft.Purpose, target croft.PoolID, now croft.Millis) croft.Member {
	v, _ := s.vms.Get(m.VM)
	m = m.WithPhase(croft.PhaseDraining, purpose, now).WithTarget(target)
	m.Boot = max(m.Boot, v.Boot)
	return m
}

// fencingChecks returns the checks that fence a leader's write, and whether this entry leads the pool. Pools that are no
// longer declared are handled by the leader of the spare pool.
func (s State) fencingChecks(pool croft.PoolID, now croft.Millis, in Inputs) ([]croft.Op, bool) {
	if _, declared := in.Config.Pool(pool); !declared {
		pool = SparePool(in.Config)
	}
	return in.Lease.Fence(pool), in.leads(pool, now)
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

// handleCommand starts the row change that an operator's command asks for, or refuses the command.
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

// commandedMember returns the member row that a command is about, or why the command is refused.
func (s State) commandedMember(id croft.VMID, in Inputs) (VersionedMember, string) {
	if !in.Reachable {
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

// startMove returns the row of a VM that begins to move to another pool, or why it can't.
func (s State) startMove(m croft.Member, to croft.PoolID, now croft.Millis, in Inputs) (croft.Member, string) {
	if _, ok := in.Config.Pool(to); !ok {
		return m, fmt.Sprintf("pool %s is not declared", to)
	}
	if m.Phase != croft.PhaseServing || m.Pool == to {
		return m, describe(m)
	}
	return s.startDrain(m, croft.PurposeMove, to, now), ""
}

// changeHold returns the row that begins or ends an operator's drain, or why it can't.
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

// requestMaintenance records an operator's request for maintenance in the row; the pool's leader begins it when the pool
// has enough other VMs.
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
