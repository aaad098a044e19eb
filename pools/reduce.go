package pools

import (
	"strings"

	"waxwing.example/croft"
)

// Reduce returns the state after an event and the effects it asks for.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	switch e := e.(type) {
	case croft.Tick:
		s, effects = s.tick(e, in)
	case croft.VMsListed:
		s, effects = s.list(e)
	case croft.RowsRead:
		s, effects = s.read(e)
	case croft.CommitEnded:
		s, effects = s.ended(e, in)
	case croft.OrderEnded:
		s = s.ordered(e)
	case croft.EndpointLeaving:
		s, effects = s.mark(e.VM, e.Boot, e.Source, e.Time)
	case croft.PeerHeard:
		s, effects = s.heard(e)
	case croft.OperatorAsked:
		s, effects = s.command(e, in)
	}
	return s.refresh(e.When()), effects
}

func (s State) tick(e croft.Tick, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	if e.Time >= s.scanned+scanEvery {
		s.scanned = e.Time
		effects = append(effects, croft.ScanRows{Prefix: croft.MemberPrefix, Since: s.previous})
	}
	if e.Time < s.stepped+stepEvery {
		return s, effects
	}
	s.stepped = e.Time
	s = s.expire(e.Time)
	s, more := s.retry(e.Time)
	effects = append(effects, more...)
	if !in.Reachable || !s.Loaded() {
		return s, effects
	}
	s, more = s.adopt(e.Time, in)
	effects = append(effects, more...)
	s, more = s.confirm(e.Time, in)
	effects = append(effects, more...)
	for id := range s.active.All() {
		s, more = s.advance(id, e.Time, in)
		effects = append(effects, more...)
	}
	return s, effects
}

func (s State) heard(e croft.PeerHeard) (State, []croft.Effect) {
	for _, n := range e.News {
		if n.Leaving != nil {
			s, _ = s.mark(n.Leaving.VM, n.Leaving.Boot, croft.LeavingByPeer, e.Time)
		}
	}
	return s, nil
}

func (s State) read(e croft.RowsRead) (State, []croft.Effect) {
	if !strings.HasPrefix(e.Prefix, croft.MemberPrefix) {
		return s, nil
	}
	var effects []croft.Effect
	top := s.cursor
	for _, r := range e.Rows {
		var f []croft.Effect
		s, f = s.learn(r, e.Time)
		effects = append(effects, f...)
		top = max(top, r.Version)
	}
	if e.Prefix != croft.MemberPrefix {
		return s, effects
	}
	// The scan after next begins where this one ended, so that a row written between
	// two pages of one scan is read by the next.
	s.previous = s.cursor
	s.cursor = top
	s.loaded = s.loaded || e.Whole
	return s, effects
}

// learn takes a member row in; one that is not newer than the known row is ignored.
func (s State) learn(r croft.Row, now croft.Millis) (State, []croft.Effect) {
	if !strings.HasPrefix(r.Key, croft.MemberPrefix) || r.Version == 0 {
		return s, nil
	}
	m, ok := decodeMember(r)
	if !ok {
		return s, nil
	}
	before, known := s.members.Get(m.VM)
	if known && r.Version <= before.Version {
		return s, nil
	}
	next := Known{Member: m, Version: r.Version}
	s.members = s.members.With(m.VM, next)
	s.fresh = s.fresh.Without(m.VM)
	s = s.reindex(before, next).compareBoot(m.VM)
	if m.Phase == croft.PhaseServing && m.Purpose == croft.PurposeNone {
		s.active = s.active.Without(m.VM)
		s.orders = s.orders.Without(m.VM)
	} else {
		s.active = s.active.With(m.VM, struct{}{})
	}
	s = s.unmark(next, before, now)
	if m.Phase == croft.PhaseDraining && m.Purpose != croft.PurposeNone {
		return s.mark(m.VM, m.Boot, croft.LeavingByOrder, now)
	}
	return s, nil
}

func (s State) reindex(before, next Known) State {
	if before.Pool != "" && before.Pool != next.Pool {
		g, _ := s.index.Get(before.Pool)
		g.vms = g.vms.Without(next.VM)
		s.index = s.index.With(before.Pool, g)
		s.dirty = s.dirty.With(before.Pool, struct{}{})
	}
	if before.Target != next.Target {
		s = s.coming(before.Target, -1).coming(next.Target, 1)
	}
	g, _ := s.index.Get(next.Pool)
	g.vms = g.vms.With(next.VM, struct{}{})
	if before.Pool != "" && before.Pool != next.Pool {
		g.arrived++
	}
	s.index = s.index.With(next.Pool, g)
	s.dirty = s.dirty.With(next.Pool, struct{}{})
	return s
}

func (s State) coming(pool croft.PoolID, change int) State {
	if pool == "" {
		return s
	}
	g, _ := s.index.Get(pool)
	g.incoming += change
	s.index = s.index.With(pool, g)
	return s
}
