package lease

import (
	"fmt"
	"sort"

	"waxwing.example/croft"
)

// watch looks once at each pool that others hold, reads the sessions of those holders, and takes over what lapsed.
func (s State) watch(now croft.Millis, in Inputs) (State, []croft.Effect) {
	var effects []croft.Effect
	wanted := map[croft.EntryID][]croft.PoolID{}
	watched := map[croft.EntryID]bool{}
	for _, p := range in.Pools {
		rank := Rank(in.Self.ID, p.ID, in.Entries)
		row, ok := s.plans.Get(p.ID)
		if rank >= watchRanks || (ok && row.Holder == in.Self.ID) {
			continue
		}
		if ok && row.Holder != "" && !watched[row.Holder] {
			watched[row.Holder] = true
			effects = append(effects, croft.ScanRows{Prefix: croft.SessionKey(row.Holder)})
		}
		if ok && s.suspect(row, now) {
			// A better ranked candidate may have taken over since the last scan.
			effects = append(effects, croft.ScanRows{Prefix: croft.PlanKey(p.ID)})
		}
		var ripe bool
		s, ripe = s.ripe(p.ID, rank, now)
		if ripe {
			wanted[row.Holder] = append(wanted[row.Holder], p.ID)
		}
	}
	if !s.live(now) || !in.Reachable {
		return s, effects
	}
	holders := make([]croft.EntryID, 0, len(wanted))
	for h := range wanted {
		holders = append(holders, h)
	}
	sort.Slice(holders, func(i, j int) bool { return holders[i] < holders[j] })
	for _, h := range holders {
		var f []croft.Effect
		s, f = s.take(h, wanted[h], now, in)
		effects = append(effects, f...)
	}
	return s, effects
}

// suspect reports whether the holder may soon be taken for lapsed.
func (s State) suspect(row planRow, now croft.Millis) bool {
	seen, ok := s.sessions.Get(row.Holder)
	return ok && (seen.absent || now+Margin >= seen.since+TTL)
}

// ripe reports whether the pool's plan is free for a candidate of this rank; the delay by rank is the advertisement
// skew time of VRRP (RFC 5798, section 6.1), which keeps candidates from racing.
func (s State) ripe(pool croft.PoolID, rank int, now croft.Millis) (State, bool) {
	asked, waiting := s.asked.Get(pool)
	if waiting && now < asked+answerWithin {
		return s, false
	}
	delay := croft.Millis(0)
	if s.options.Skew {
		delay = croft.Millis(rank) * SkewStep
	}
	row, ok := s.plans.Get(pool)
	if !ok {
		s.plans = s.plans.With(pool, planRow{seen: now})
		return s, false
	}
	if row.Holder == "" {
		return s, now >= row.seen+delay
	}
	if s.options.Preempt && rank == 0 {
		return s, true
	}
	seen, ok := s.sessions.Get(row.Holder)
	if !ok {
		return s, false
	}
	if seen.absent {
		return s, now >= seen.since+delay
	}
	return s, now >= seen.since+TTL+delay
}

// take asks for the plans of pools whose holder's session lapsed, the session's end in the same transaction.
func (s State) take(holder croft.EntryID, pools []croft.PoolID, now croft.Millis, in Inputs) (State, []croft.Effect) {
	var ops []croft.Op
	var plans []Plan
	if holder != "" {
		seen, _ := s.sessions.Get(holder)
		// The row is only checked: candidates for other pools of the same holder would conflict on its delete.
		op := croft.Op{Kind: croft.OpCheck, Key: croft.SessionKey(holder), Version: seen.version}
		if seen.absent {
			op.Version = 0
		}
		ops = append(ops, op)
	}
	for _, p := range pools {
		row, _ := s.plans.Get(p)
		next := Plan{Holder: in.Self.ID, Epoch: row.Epoch + 1}
		plans = append(plans, next)
		ops = append(ops, croft.Op{Kind: croft.OpPut, Key: croft.PlanKey(p), Version: row.version, Value: encode(next)})
		s.asked = s.asked.With(p, now)
	}
	s.serial++
	token := fmt.Sprintf("lease/take/%s/%d", s.own.nonce, s.serial)
	s.claims = s.claims.With(token, claim{holder: holder, pools: pools, plans: plans, sent: now})
	return s, []croft.Effect{croft.Commit{Token: token, Ops: ops}}
}

func (s State) claimed(e croft.CommitEnded, c claim, in Inputs) (State, []croft.Effect) {
	s.claims = s.claims.Without(e.Token)
	for _, p := range c.pools {
		s.asked = s.asked.Without(p)
	}
	switch e.Outcome {
	case croft.CommitDone:
		return s.won(e, c)
	case croft.CommitConflict:
		s.conflicts++
		for _, r := range e.Rows {
			if r.Key == croft.SessionKey(c.holder) {
				s = s.sight(r, e.Time, in)
				continue
			}
			s = s.learnPlan(r, e.Time)
		}
	case croft.CommitUnknown:
		// The next scan of the plan rows tells whether it took effect.
		s.scanned = 0
	case croft.CommitUnavailable:
	}
	return s, nil
}

func (s State) won(e croft.CommitEnded, c claim) (State, []croft.Effect) {
	var effects []croft.Effect
	reason := "no holder"
	if c.holder != "" {
		reason = "session of " + string(c.holder) + " lapsed"
	}
	for i, p := range c.pools {
		known, _ := s.plans.Get(p)
		if known.version < e.Version {
			s.plans = s.plans.With(p, planRow{Plan: c.plans[i], version: e.Version, seen: e.Time})
		}
		effects = append(effects, croft.Decision{
			Action:  "TakeOver",
			Subject: string(p),
			Choice:  string(c.plans[i].Holder),
			Reason:  reason,
		})
	}
	return s, append(effects, s.clean(c.holder)...)
}

// clean deletes a lapsed session row once no plan names its entry.
func (s State) clean(holder croft.EntryID) []croft.Effect {
	seen, ok := s.sessions.Get(holder)
	if !ok || seen.absent {
		return nil
	}
	for _, p := range s.plans.All() {
		if p.Holder == holder {
			return nil
		}
	}
	return []croft.Effect{croft.Commit{
		Token: "lease/clean/" + string(holder),
		Ops:   []croft.Op{{Kind: croft.OpDelete, Key: croft.SessionKey(holder), Version: seen.version}},
	}}
}
