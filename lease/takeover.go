package lease

import (
	"fmt"
	"sort"

	"waxwing.example/croft"
)

// watchPlanners checks each pool that this entry does not plan for and for which it ranks among the watchers. It reads the
// session rows of the pools' planners, and takes over the pools that canTakeOver reports.
func (s State) watchPlanners(now croft.Millis, in Inputs) (State, []croft.Effect) {
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
	if !s.live(now) || !in.PlatformReachable {
		return s, effects
	}
	planners := make([]croft.EntryID, 0, len(lapsed))
	for h := range lapsed {
		planners = append(planners, h)
	}
	sort.Slice(planners, func(i, j int) bool { return planners[i] < planners[j] })
	for _, h := range planners {
		var more []croft.Effect
		s, more = s.takeOver(h, lapsed[h], now, in)
		effects = append(effects, more...)
	}
	return s, effects
}

// mayLapseSoon reports whether the planner's session row is absent or will have lapsed within Margin.
func (s State) mayLapseSoon(row planRow, now croft.Millis) bool {
	session, ok := s.sessions.Get(row.Holder)
	return ok && (session.absent || now+Margin >= session.unchangedSince+TTL)
}

// canTakeOver reports whether a candidate of this rank may take over the pool now. The delay by rank corresponds to the
// skew time of VRRP (RFC 5798, section 6.1): it keeps candidates from taking over at the same time. For a pool without a
// known plan row, it records when that was first noticed.
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

// takeOver writes the plan rows of pools with this entry as planner, in one transaction that also checks that the old
// planner's session row is unchanged.
func (s State) takeOver(planner croft.EntryID, pools []croft.PoolID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	var ops []croft.Op
	var plans []Plan
	if planner != "" {
		session, _ := s.sessions.Get(planner)
		// The session row is checked and not deleted: a delete would conflict with takeovers of the old planner's other pools
		// by other candidates.
		op := croft.Op{Kind: croft.OpCheck, Key: croft.SessionKey(planner), Version: session.version}
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
	s.takeovers = s.takeovers.With(token, takeover{planner: planner, pools: pools, plans: plans, sent: now})
	return s, []croft.Effect{croft.Commit{Token: token, Ops: ops}}
}

// applyTakeoverResult handles the outcome of a takeover.
func (s State) applyTakeoverResult(e croft.CommitEnded, t takeover, in Inputs) (State, []croft.Effect) {
	s.takeovers = s.takeovers.Without(e.Token)
	for _, p := range t.pools {
		s.takeoverSent = s.takeoverSent.Without(p)
	}
	switch e.Outcome {
	case croft.CommitDone:
		return s.recordTakeover(e, t)
	case croft.CommitConflict:
		s.conflicts++
		for _, r := range e.Rows {
			if r.Key == croft.SessionKey(t.planner) {
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
func (s State) recordTakeover(e croft.CommitEnded, t takeover) (State, []croft.Effect) {
	var effects []croft.Effect
	reason := "pool had no planner"
	if t.planner != "" {
		reason = "session of " + string(t.planner) + " lapsed"
	}
	for i, p := range t.pools {
		known, _ := s.plans.Get(p)
		if known.version < e.Version {
			s.plans = s.plans.With(p, planRow{Plan: t.plans[i], version: e.Version, firstSeen: e.Time})
		}
		effects = append(effects, croft.Decision{
			Action:  "TakeOver",
			Subject: string(p),
			Choice:  string(t.plans[i].Holder),
			Reason:  reason,
		})
	}
	return s, append(effects, s.deleteLapsedSession(t.planner)...)
}

// deleteLapsedSession deletes an old planner's session row once no plan row names that entry.
func (s State) deleteLapsedSession(planner croft.EntryID) []croft.Effect {
	session, ok := s.sessions.Get(planner)
	if !ok || session.absent {
		return nil
	}
	for _, p := range s.plans.All() {
		if p.Holder == planner {
			return nil
		}
	}
	return []croft.Effect{croft.Commit{
		Token: "lease/clean/" + string(planner),
		Ops:   []croft.Op{{Kind: croft.OpDelete, Key: croft.SessionKey(planner), Version: session.version}},
	}}
}
