package lease

import (
	"encoding/json"
	"fmt"
	"strings"

	"waxwing.example/croft"
)

// Inputs holds what Reduce needs from other packages.
type Inputs struct {
	Self croft.Peer
	// Entries are the entries believed alive; a wrong list causes delays or conflicts, never two planners of a pool.
	Entries []croft.Peer
	Pools   []croft.Pool
	// PlatformReachable says that the platform answered recently.
	PlatformReachable bool
}

// Reduce returns the state after an event and the effects it asks for.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	switch e := e.(type) {
	case croft.Tick:
		return s.tick(e, in)
	case croft.RowsRead:
		return s.applyRows(e, in), nil
	case croft.CommitEnded:
		return s.applyCommitResult(e, in)
	case croft.StopRequested:
		return s.stop(in)
	}
	return s, nil
}

// tick renews the session row, scans the plan rows, and watches the planners of pools, each when it is due.
func (s State) tick(e croft.Tick, in Inputs) (State, []croft.Effect) {
	if s.stopped {
		return s, nil
	}
	var effects []croft.Effect
	now := e.Time
	if s.own.nonce == "" {
		s.own.nonce = fmt.Sprintf("%s-%x", in.Self.ID, e.Seed)
	}
	if s.own.valid && now >= s.own.lastRenewal+TTL-Margin {
		s.plansOutdated = true
	}
	if s.renewalDue(now) {
		var renewal croft.Effect
		s, renewal = s.renew(now, in)
		effects = append(effects, renewal)
	}
	if now >= s.lastScan+scanInterval {
		s.lastScan = now
		effects = append(effects, croft.ScanRows{Prefix: croft.PlanPrefix, Since: s.previousScanVersion})
	}
	if now >= s.lastWatch+watchInterval && s.loaded {
		s.lastWatch = now
		var more []croft.Effect
		s, more = s.watchPlanners(now, in)
		effects = append(effects, more...)
	}
	return s, effects
}

// renewalDue reports whether to send a renewal: RenewInterval after the last one was sent, or answerTimeout after it if it
// was not answered.
func (s State) renewalDue(now croft.Millis) bool {
	if s.own.pendingToken != "" {
		return now >= s.own.sent+answerTimeout
	}
	return s.own.sent == 0 || now >= s.own.sent+RenewInterval
}

// renew sends a new value of the session row.
func (s State) renew(now croft.Millis, in Inputs) (State, croft.Effect) {
	s.own.count++
	s.own.sent = now
	s.own.pendingToken = fmt.Sprintf("lease/renew/%s/%d", s.own.nonce, s.own.count)
	value := Session{
		Entry:      in.Self.ID,
		DataCentre: in.Self.DataCentre,
		Address:    in.Self.Address,
		Nonce:      s.own.nonce,
		Count:      s.own.count,
	}
	op := croft.Op{
		Kind:    croft.OpPut,
		Key:     croft.SessionKey(in.Self.ID),
		Version: s.own.version,
		Value:   encode(value),
	}
	return s, croft.Commit{Token: s.own.pendingToken, Ops: []croft.Op{op}}
}

// stop makes the entry stop planning for all pools and deletes its session row, so that others can take over at once.
func (s State) stop(in Inputs) (State, []croft.Effect) {
	if s.stopped {
		return s, nil
	}
	s.stopped = true
	if s.own.version == 0 {
		return s, nil
	}
	return s, []croft.Effect{croft.Commit{
		Token: "lease/stop/" + s.own.nonce,
		Ops:   []croft.Op{{Kind: croft.OpDelete, Key: croft.SessionKey(in.Self.ID), Version: s.own.version}},
	}}
}

// applyCommitResult handles the outcome of a renewal or a takeover.
func (s State) applyCommitResult(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	if e.Token != "" && e.Token == s.own.pendingToken {
		return s.applyRenewalResult(e, in)
	}
	if t, ok := s.takeovers.Get(e.Token); ok {
		return s.applyTakeoverResult(e, t, in)
	}
	return s, nil
}

// applyRenewalResult handles the outcome of a renewal.
func (s State) applyRenewalResult(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	s.own.pendingToken = ""
	switch e.Outcome {
	case croft.CommitDone:
		s.own.version = e.Version
		s.own.lastRenewal = s.own.sent
		s.own.valid = true
	case croft.CommitConflict:
		s = s.recordOwnSession(e.Rows, in)
		// Sends the next renewal at once, with the row's current version.
		s.own.sent = 0
	case croft.CommitUnknown, croft.CommitUnavailable:
		// The next renewal uses the old version again: if this one took effect, the next
		// one conflicts and returns the current row.
	}
	return s, nil
}

// recordOwnSession records the entry's own session row as returned by a conflict. A row that is deleted, unreadable or has
// another nonce ends the session.
func (s State) recordOwnSession(rows []croft.Row, in Inputs) State {
	for _, r := range rows {
		if r.Key != croft.SessionKey(in.Self.ID) {
			continue
		}
		s.own.version = r.Version
		var found Session
		if r.Version == 0 || json.Unmarshal(r.Value, &found) != nil || found.Nonce != s.own.nonce {
			s.own.valid = false
		}
	}
	return s
}

// applyRows records plan rows or session rows that were read.
func (s State) applyRows(e croft.RowsRead, in Inputs) State {
	switch {
	case strings.HasPrefix(e.Prefix, croft.PlanPrefix):
		return s.applyPlanRows(e)
	case strings.HasPrefix(e.Prefix, croft.SessionPrefix):
		return s.applySessionRows(e, in)
	}
	return s
}

// applyPlanRows records plan rows. A scan of all of them also moves the scan positions on, and shows that the known plans
// are up to date, unless the own session has lapsed.
func (s State) applyPlanRows(e croft.RowsRead) State {
	newest := s.lastScanVersion
	for _, r := range e.Rows {
		s = s.recordPlan(r, e.Time)
		newest = max(newest, r.Version)
	}
	if e.Prefix != croft.PlanPrefix {
		return s
	}
	// Each scan starts where the scan before the last one ended, so that a row written between
	// two pages of a scan is read by the next one.
	s.previousScanVersion = s.lastScanVersion
	s.lastScanVersion = newest
	s.loaded = s.loaded || e.Whole
	s.plansOutdated = s.plansOutdated && e.Time >= s.own.lastRenewal+TTL-Margin
	return s
}

// recordPlan records a pool's plan row if it is newer than the known one.
func (s State) recordPlan(r croft.Row, now croft.Millis) State {
	id := croft.PoolID(strings.TrimPrefix(r.Key, croft.PlanPrefix))
	known, ok := s.plans.Get(id)
	if ok && r.Version <= known.version {
		return s
	}
	var p Plan
	if r.Version == 0 || json.Unmarshal(r.Value, &p) != nil {
		return s
	}
	s.plans = s.plans.With(id, planRow{Plan: p, version: r.Version, firstSeen: now})
	return s
}

// applySessionRows records session rows; an empty read of one entry's row shows that the row is absent.
func (s State) applySessionRows(e croft.RowsRead, in Inputs) State {
	for _, r := range e.Rows {
		s = s.recordSession(r, e.Time, in)
	}
	id := croft.EntryID(strings.TrimPrefix(e.Prefix, croft.SessionPrefix))
	if e.Whole && len(e.Rows) == 0 && id != "" {
		s = s.recordSession(croft.Row{Key: e.Prefix}, e.Time, in)
	}
	return s
}

// recordSession records when another entry's session row last changed, appeared or disappeared. A row of version zero is absent.
func (s State) recordSession(r croft.Row, now croft.Millis, in Inputs) State {
	id := croft.EntryID(strings.TrimPrefix(r.Key, croft.SessionPrefix))
	if id == in.Self.ID {
		return s
	}
	known, ok := s.sessions.Get(id)
	absent := r.Version == 0
	if ok && absent == known.absent && r.Version <= known.version {
		return s
	}
	if ok && !absent && r.Version < known.version {
		return s
	}
	version := max(known.version, r.Version)
	s.sessions = s.sessions.With(id, observedSession{version: version, unchangedSince: now, absent: absent})
	return s
}
