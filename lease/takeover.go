package lease

import (
	"fmt"
	"sort"

	"waxwing.example/croft"
)

// watchLeaders checks each pool that another entry leads and for which this entry ranks among the watchers. It reads the
// leaders' session rows and takes over the pools whose leader's session has lapsed.
func (s State) watchLeaders(now croft.Millis, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	lapsed := map[croft.EntryID][]croft.PoolID{}
	scanned := map[croft.EntryID]bool{}
	for _, p := range in.Pools {
		rank := Rank(in.Self.ID, p.ID, in.Entries)
		row, ok := s.plans.Get(p.ID)
		if rank >= maxWatchers || (ok && row.Holder == in.Self.ID) {
			continue
		}
		if ok && row.Holder != "" && !scanned[row.Holder] {
			scanned[row.Holder] = true
			effects = append(effects, croft.ScanRows{Prefix: croft.SessionKey(row.Holder)})
		}
		if ok && s.mayLapseSoon(row, now) {
			// A better ranked candidate may have taken over since the last scan.
			effects = append(effects, croft.ScanRows{Prefix: croft.PlanKey(p.ID)})
		}
		var ready bool
		s, ready = s.canTakeOver(p.ID, rank, now)
		if ready {
			lapsed[row.Holder] = append(lapsed[row.Holder], p.ID)
		}
	}
	if !s.live(now) || !in.Reachable {
		return s, effects
	}
	leaders := make([]croft.EntryID, 0, len(lapsed))
	for h := range lapsed {
		leaders = append(leaders, h)
	}
	sort.Slice(leaders, func(i, j int) bool { return leaders[i] < leaders[j] })
	for _, h := range leaders {
		var f []croft.Effect
		s, f = s.takeOver(h, lapsed[h], now, in)
		effects = append(effects, f...)
	}
	return s, effects
}

// mayLapseSoon reports whether the leader's session is absent or will lapse within Margin.
func (s State) mayLapseSoon(row planRow, now croft.Millis) bool {
	session, ok := s.sessions.Get(row.Holder)
	return ok && (session.absent || now+Margin >= session.unchangedSince+TTL)
}

// canTakeOver reports whether a candidate of this rank may take over the pool now. The delay by rank corresponds to the
// skew time of VRRP (RFC 5798, section 6.1): it keeps candidates from taking over at the same time.
func (s State) canTakeOver(pool croft.PoolID, rank int, now croft.Millis) (State, bool) {
	sent, pending := s.takeoverSent.Get(pool)
	if pending && now < sent+answerTimeout {
		return s, false
	}
	delay := croft.Millis(0)
	if s.options.Skew {
		delay = croft.Millis(rank) * SkewStep
	}
	row, ok := s.plans.Get(pool)
	if !ok {
		s.plans = s.plans.With(pool, planRow{firstSeen: now})
		return s, false
	}
	if row.Holder == "" {
		return s, now >= row.firstSeen+delay
	}
	if s.options.Preempt && rank == 0 {
		return s, true
	}
	session, ok := s.sessions.Get(row.Holder)
	if !ok {
		return s, false
	}
	if session.absent {
		return s, now >= session.unchangedSince+delay
	}
	return s, now >= session.unchangedSince+TTL+delay
}

// takeOver writes the plan rows of pools with this entry as leader, in one transaction that also checks that the old
// leader's session row is unchanged.
func (s State) takeOver(leader croft.EntryID, pools []croft.PoolID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	var ops []croft.Op
	var plans []Plan
	if leader != "" {
		session, _ := s.sessions.Get(leader)
		// The session row is checked and not deleted: a delete would conflict with takeovers of the leader's other pools.
		op := croft.Op{Kind: croft.OpCheck, Key: croft.SessionKey(leader), Version: session.version}
		if session.absent {
			op.Version = 0
		}
		ops = append(ops, op)
	}
	for _, p := range pools {
		row, _ := s.plans.Get(p)
		next := Plan{Holder: in.Self.ID, Epoch: row.Epoch + 1}
		plans = append(plans, next)
		ops = append(ops, croft.Op{Kind: croft.OpPut, Key: croft.PlanKey(p), Version: row.version, Value: encode(next)})
		s.takeoverSent = s.takeoverSent.With(p, now)
	}
	s.serial++
	token := fmt.Sprintf("lease/take/%s/%d", s.own.nonce, s.serial)
	s.takeovers = s.takeovers.With(token, takeover{leader: leader, pools: pools, plans: plans, sent: now})
	return s, []croft.Effect{croft.Commit{Token: token, Ops: ops}}
}

// applyTakeoverResult handles the outcome of a takeover.
func (s State) applyTakeoverResult(e croft.CommitEnded, c takeover, in Inputs) (State, []croft.Effect) {
	s.takeovers = s.takeovers.Without(e.Token)
	for _, p := range c.pools {
		s.takeoverSent = s.takeoverSent.Without(p)
	}
	switch e.Outcome {
	case croft.CommitDone:
		return s.recordTakeover(e, c)
	case croft.CommitConflict:
		s.conflicts++
		for _, r := range e.Rows {
			if r.Key == croft.SessionKey(c.leader) {
				s = s.recordSession(r, e.Time, in)
				continue
			}
			s = s.recordPlan(r, e.Time)
		}
	case croft.CommitUnknown:
		// Scans the plan rows at once, which shows whether it took effect.
		s.lastScan = 0
	case croft.CommitUnavailable:
	}
	return s, nil
}

// recordTakeover records and logs a successful takeover.
func (s State) recordTakeover(e croft.CommitEnded, c takeover) (State, []croft.Effect) {
	var effects []croft.Effect
	reason := "pool had no leader"
	if c.leader != "" {
		reason = "session of leader " + string(c.leader) + " lapsed"
	}
	for i, p := range c.pools {
		known, _ := s.plans.Get(p)
		if known.version < e.Version {
			s.plans = s.plans.With(p, planRow{Plan: c.plans[i], version: e.Version, firstSeen: e.Time})
		}
		effects = append(effects, croft.Decision{
			Action:  "TakeOver",
			Subject: string(p),
			Choice:  string(c.plans[i].Holder),
			Reason:  reason,
		})
	}
	return s, append(effects, s.deleteLapsedSession(c.leader)...)
}

// deleteLapsedSession deletes an old leader's session row once no plan row names that entry.
func (s State) deleteLapsedSession(leader croft.EntryID) []croft.Effect {
	session, ok := s.sessions.Get(leader)
	if !ok || session.absent {
		return nil
	}
	for _, p := range s.plans.All() {
		if p.Holder == leader {
			return nil
		}
	}
	return []croft.Effect{croft.Commit{
		Token: "lease/clean/" + string(leader),
		Ops:   []croft.Op{{Kind: croft.OpDelete, Key: croft.SessionKey(leader), Version: session.version}},
	}}
}
