package pools

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
)

// Ask is a step that a planner wants begun.
type Ask struct {
	VM      croft.VMID
	Purpose croft.Purpose
	// Target is the pool of a move.
	Target croft.PoolID
	Reason string
}

// Begin drains serving VMs of one pool for a planner, all in one transaction that also checks the row of every other VM
// of the pool, so that the step is taken on the pool as it is or not at all; it does nothing unless this entry plans for the pool.
func (s State) Begin(pool croft.PoolID, asks []Ask, now croft.Millis, in Inputs) (State, []croft.Effect) {
	checks, holds := s.fence(pool, now, in)
	if !holds || len(asks) == 0 || s.Writing(pool) {
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
		rows = append(rows, s.drained(m.Member, a.Purpose, a.Target, now))
	}
	if in.Lease.Fenced() {
		checks = append(checks, s.checks(pool, chosen)...)
	}
	decision := decide(string(asks[0].Purpose), rows[0], asks[0].Reason)
	decision.Subject = strings.Join(subjects, " ")
	return s.putAll(rows, checks, "", decision, now, in)
}

func (s State) checks(pool croft.PoolID, but map[croft.VMID]bool) []croft.Op {
	g, _ := s.index.Get(pool)
	var ops []croft.Op
	for id := range g.vms.All() {
		if but[id] {
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

func (s State) drained(m croft.Member, purpose croft.Purpose, target croft.PoolID, now croft.Millis) croft.Member {
	v, _ := s.vms.Get(m.VM)
	m = m.WithPhase(croft.PhaseDraining, purpose, now).WithTarget(target)
	m.Boot = max(m.Boot, v.Boot)
	return m
}

// fence returns the checks of a planner's write and whether this entry plans for the pool; the spare pool's
// planner looks after pools that are no longer declared.
func (s State) fence(pool croft.PoolID, now croft.Millis, in Inputs) ([]croft.Op, bool) {
	if _, declared := in.Config.Pool(pool); !declared {
		pool = SparePool(in.Config)
	}
	return in.Lease.Fence(pool), in.holds(pool, now)
}

// SparePool returns the pool that lends VMs to the others, the first one where none is marked.
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

func (s State) command(e croft.OperatorAsked, in Inputs) (State, []croft.Effect) {
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
	m, reason := s.commanded(id, in)
	if reason != "" {
		return s, refuse(e.Token, reason)
	}
	next := m.Member
	switch c := e.Command.(type) {
	case croft.MoveVM:
		next, reason = s.moved(m.Member, c.To, e.Time, in)
	case croft.DrainVM:
		next, reason = s.held(m.Member, c.End, e.Time)
	case croft.MaintainVM:
		next, reason = asked(m.Member)
	}
	if reason != "" {
		return s, refuse(e.Token, reason)
	}
	return s.put(next, nil, e.Token, decide(string(next.Purpose), next, "operator's command"), e.Time, in)
}

func (s State) commanded(id croft.VMID, in Inputs) (Known, string) {
	if !in.Reachable {
		return Known{}, "the platform does not answer"
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

func (s State) moved(m croft.Member, to croft.PoolID, now croft.Millis, in Inputs) (croft.Member, string) {
	if _, ok := in.Config.Pool(to); !ok {
		return m, fmt.Sprintf("pool %s is not declared", to)
	}
	if m.Phase != croft.PhaseServing || m.Pool == to {
		return m, describe(m)
	}
	return s.drained(m, croft.PurposeMove, to, now), ""
}

func (s State) held(m croft.Member, end bool, now croft.Millis) (croft.Member, string) {
	if end {
		if m.Purpose != croft.PurposeHold {
			return m, describe(m)
		}
		return m.WithPhase(croft.PhaseDraining, croft.PurposeNone, now), ""
	}
	if m.Phase != croft.PhaseServing {
		return m, describe(m)
	}
	return s.drained(m, croft.PurposeHold, "", now), ""
}

// asked notes the wish for a maintenance in the row; the pool's planner begins it when the pool can spare the VM.
func asked(m croft.Member) (croft.Member, string) {
	if m.Phase != croft.PhaseServing || m.Purpose == croft.PurposeMaintain {
		return m, describe(m)
	}
	m.Purpose = croft.PurposeMaintain
	m.Epoch++
	return m, ""
}

func decide(action string, m croft.Member, reason string) croft.Decision {
	choice := string(m.Phase)
	if m.Target != "" {
		choice = string(m.Target)
	}
	return croft.Decision{Action: action, Subject: string(m.VM), Choice: choice, Reason: reason}
}
