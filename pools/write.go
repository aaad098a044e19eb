package pools

import (
	"fmt"

	"waxwing.example/croft"
)

// resends is how often a commit with a lost answer is sent again.
const resends = 5

// put asks for one row's compare-and-set; ops are further checks of the same transaction.
func (s State) put(
	next croft.Member, fence []croft.Op, asked string, decision croft.Decision, now croft.Millis, in Inputs,
) (State, []croft.Effect) {
	return s.putAll([]croft.Member{next}, fence, asked, decision, now, in)
}

func (s State) putAll(
	rows []croft.Member, fence []croft.Op, asked string, decision croft.Decision, now croft.Millis, in Inputs,
) (State, []croft.Effect) {
	s.serial++
	token := fmt.Sprintf("pools/%s/%d", in.Self.ID, s.serial)
	w := write{asked: asked, sent: now, decision: decision}
	w.ops = append(w.ops, fence...)
	for _, m := range rows {
		m = m.WithNonce(token)
		known, _ := s.members.Get(m.VM)
		w.rows = append(w.rows, m)
		w.ops = append(w.ops, croft.Op{
			Kind:    croft.OpPut,
			Key:     croft.MemberKey(m.VM),
			Version: known.Version,
			Value:   encode(m),
		})
		s.busy = s.busy.With(m.VM, token)
	}
	s.writes = s.writes.With(token, w)
	return s, []croft.Effect{croft.Commit{Token: token, Ops: w.ops}}
}

func (s State) ended(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	w, ok := s.writes.Get(e.Token)
	if !ok {
		return s, nil
	}
	if e.Outcome == croft.CommitUnknown && w.tries < resends {
		// The step after sends the same compare-and-set again: it can't take effect twice,
		// and its conflict tells whether it did once.
		return s, nil
	}
	if e.Outcome == croft.CommitConflict && !in.Lease.Fenced() {
		return s.force(e, w)
	}
	s = s.settle(e.Token, w)
	switch e.Outcome {
	case croft.CommitDone:
		return s.done(e.Version, w, e.Time)
	case croft.CommitConflict:
		return s.lost(e, w)
	case croft.CommitUnavailable, croft.CommitUnknown:
		return s, refuse(w.asked, "platform "+string(e.Outcome))
	}
	return s, nil
}

func (s State) settle(token string, w write) State {
	s.writes = s.writes.Without(token)
	for _, m := range w.rows {
		if held, _ := s.busy.Get(m.VM); held == token {
			s.busy = s.busy.Without(m.VM)
		}
	}
	return s
}

func (s State) done(version uint64, w write, now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	for _, m := range w.rows {
		var f []croft.Effect
		s, f = s.learn(croft.Row{Key: croft.MemberKey(m.VM), Version: version, Value: encode(m)}, now)
		effects = append(effects, f...)
	}
	if w.decision.Action != "" {
		effects = append(effects, w.decision)
	}
	if w.asked != "" {
		effects = append(effects, croft.Answer{Token: w.asked})
	}
	return s, effects
}

// lost learns what the rows are now; a row with the write's own nonce shows that an earlier send took effect.
func (s State) lost(e croft.CommitEnded, w write) (State, []croft.Effect) {
	var effects []croft.Effect
	mine := false
	reason := "the planner's lease of the pool has gone to another entry"
	for _, r := range e.Rows {
		m, ok := decodeMember(r)
		if ok && m.Nonce == w.rows[0].Nonce {
			mine = true
		}
		if ok {
			reason = describe(m)
		}
		var f []croft.Effect
		s, f = s.learn(r, e.Time)
		effects = append(effects, f...)
	}
	switch {
	case mine && w.asked != "":
		effects = append(effects, w.decision, croft.Answer{Token: w.asked})
	case mine:
		effects = append(effects, w.decision)
	default:
		effects = append(effects, refuse(w.asked, reason)...)
	}
	return s, effects
}

// force writes over rows that others changed, as a planner without a fence would.
func (s State) force(e croft.CommitEnded, w write) (State, []croft.Effect) {
	ops := append([]croft.Op(nil), w.ops...)
	for i, o := range ops {
		for _, r := range e.Rows {
			if r.Key == o.Key {
				ops[i].Version = r.Version
			}
		}
	}
	w.ops = ops
	s.writes = s.writes.With(e.Token, w)
	return s, []croft.Effect{croft.Commit{Token: e.Token, Ops: ops}}
}

// retry sends commits again whose answer is overdue or lost.
func (s State) retry(now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	for token, w := range s.writes.All() {
		if now < w.sent+writeWithin {
			continue
		}
		w.tries++
		w.sent = now
		if w.tries > resends {
			s = s.settle(token, w)
			effects = append(effects, refuse(w.asked, "the platform's answer was lost")...)
			continue
		}
		s.writes = s.writes.With(token, w)
		effects = append(effects, croft.Commit{Token: token, Ops: w.ops})
	}
	return s, effects
}

func refuse(token, reason string) []croft.Effect {
	if token == "" {
		return nil
	}
	return []croft.Effect{croft.Answer{Token: token, Refused: reason}}
}

func describe(m croft.Member) string {
	text := fmt.Sprintf("VM %s is %s in pool %s", m.VM, m.Phase, m.Pool)
	if m.Purpose != croft.PurposeNone {
		text += " for " + string(m.Purpose)
	}
	if m.Target != "" {
		text += " to pool " + string(m.Target)
	}
	return text
}
