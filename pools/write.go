package pools

import (
	"fmt"

	"waxwing.example/croft"
)

// maxResends is how often a commit is sent again when no answer came or the outcome is unknown.
const maxResends = 5

// commitRow is commitRows for one member row.
func (s State) commitRow(
	next croft.Member, checks []croft.Op, commandToken string, decision croft.Decision, now croft.Millis, in Inputs,
) (State, []croft.Effect) {
	return s.commitRows([]croft.Member{next}, checks, commandToken, decision, now, in)
}

// commitRows writes member rows in one transaction, which compares their versions and includes the given checks. The
// command token is empty for a planner's step.
func (s State) commitRows(
	rows []croft.Member, checks []croft.Op, commandToken string, decision croft.Decision, now croft.Millis, in Inputs,
) (State, []croft.Effect) {
	s.serial++
	token := fmt.Sprintf("pools/%s/%d", in.Self.ID, s.serial)
	w := write{commandToken: commandToken, sent: now, decision: decision}
	w.ops = append(w.ops, checks...)
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

// applyCommitResult handles the outcome of a commit of member rows.
func (s State) applyCommitResult(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	w, ok := s.writes.Get(e.Token)
	if !ok {
		return s, nil
	}
	if e.Outcome == croft.CommitUnknown && w.resends < maxResends {
		// resendCommits sends the same compare-and-set again: it can't take effect twice, and a
		// conflict shows whether the first one did.
		return s, nil
	}
	if e.Outcome == croft.CommitConflict && !in.Lease.Fenced() {
		return s.overwriteRows(e, w)
	}
	s = s.removeWrite(e.Token, w)
	switch e.Outcome {
	case croft.CommitDone:
		return s.applyCommitted(e.Version, w, e.Time)
	case croft.CommitConflict:
		return s.applyConflict(e, w)
	case croft.CommitUnavailable, croft.CommitUnknown:
		return s, refusal(w.commandToken, "platform "+string(e.Outcome))
	}
	return s, nil
}

// removeWrite removes an ended write and frees its VMs for the next one.
func (s State) removeWrite(token string, w write) State {
	s.writes = s.writes.Without(token)
	for _, m := range w.rows {
		if owner, _ := s.busy.Get(m.VM); owner == token {
			s.busy = s.busy.Without(m.VM)
		}
	}
	return s
}

// applyCommitted records the committed rows, logs the decision and answers the command.
func (s State) applyCommitted(version uint64, w write, now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	for _, m := range w.rows {
		var more []croft.Effect
		s, more = s.recordRow(croft.Row{Key: croft.MemberKey(m.VM), Version: version, Value: encode(m)}, now)
		effects = append(effects, more...)
	}
	if w.decision.Action != "" {
		effects = append(effects, w.decision)
	}
	if w.commandToken != "" {
		effects = append(effects, croft.Answer{Token: w.commandToken})
	}
	return s, effects
}

// applyConflict records the current rows from a conflict, and logs the decision or refuses the command. A row with the
// write's nonce shows that an earlier send of the same commit took effect.
func (s State) applyConflict(e croft.CommitEnded, w write) (State, []croft.Effect) {
	var effects []croft.Effect
	committed := false
	reason := "the planner's lease of the pool has gone to another entry"
	for _, r := range e.Rows {
		m, ok := decodeMember(r)
		if ok && m.Nonce == w.rows[0].Nonce {
			committed = true
		}
		if ok {
			reason = describe(m)
		}
		var more []croft.Effect
		s, more = s.recordRow(r, e.Time)
		effects = append(effects, more...)
	}
	switch {
	case committed && w.commandToken != "":
		effects = append(effects, w.decision, croft.Answer{Token: w.commandToken})
	case committed:
		effects = append(effects, w.decision)
	default:
		effects = append(effects, refusal(w.commandToken, reason)...)
	}
	return s, effects
}

// overwriteRows sends a conflicting commit again with the current row versions; only the baseline without fencing does this.
func (s State) overwriteRows(e croft.CommitEnded, w write) (State, []croft.Effect) {
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

// resendCommits resends commits whose answer is overdue or whose outcome is unknown, and abandons them after maxResends.
func (s State) resendCommits(now croft.Millis) (State, []croft.Effect) {
	var effects []croft.Effect
	for token, w := range s.writes.All() {
		if now < w.sent+commitResendAfter {
			continue
		}
		w.resends++
		w.sent = now
		if w.resends > maxResends {
			s = s.removeWrite(token, w)
			effects = append(effects, refusal(w.commandToken, "the platform's answer was lost")...)
			continue
		}
		s.writes = s.writes.With(token, w)
		effects = append(effects, croft.Commit{Token: token, Ops: w.ops})
	}
	return s, effects
}

// refusal answers an operator's command with the reason why it was refused; an empty token needs no answer.
func refusal(token, reason string) []croft.Effect {
	if token == "" {
		return nil
	}
	return []croft.Effect{croft.Answer{Token: token, Refused: reason}}
}

// describe returns the state of a VM as text for an operator.
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
