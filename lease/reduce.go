package lease

import (
	"encoding/json"
	"fmt"
	"strings"

	"waxwing.example/croft"
)

// Inputs are what the decisions about leases read from other parts.
type Inputs struct {
	Self croft.Peer
	// Entries are the entries thought alive; a wrong list costs delay or conflicts, never ownership.
	Entries []croft.Peer
	Pools   []croft.Pool
	// Reachable says that the platform answered lately.
	Reachable bool
}

// Reduce returns the state after an event and the effects it asks for.
func Reduce(s State, e croft.Event, in Inputs) (State, []croft.Effect) {
	switch e := e.(type) {
	case croft.Tick:
		return s.tick(e, in)
	case croft.RowsRead:
		return s.read(e, in), nil
	case croft.CommitEnded:
		return s.ended(e, in)
	case croft.StopAsked:
		return s.stop(in)
	}
	return s, nil
}

func (s State) tick(e croft.Tick, in Inputs) (State, []croft.Effect) {
	if s.stopped {
		return s, nil
	}
	var effects []croft.Effect
	now := e.Time
	if s.own.nonce == "" {
		s.own.nonce = fmt.Sprintf("%s-%x", in.Self.ID, e.Seed)
	}
	if s.own.live && now >= s.own.good+TTL-Margin {
		s.unsure = true
	}
	if s.renewalDue(now) {
		var f croft.Effect
		s, f = s.renew(now, in)
		effects = append(effects, f)
	}
	if now >= s.scanned+scanEvery {
		s.scanned = now
		effects = append(effects, croft.ScanRows{Prefix: croft.PlanPrefix, Since: s.previous})
	}
	if now >= s.watched+watchEvery && s.loaded {
		s.watched = now
		var more []croft.Effect
		s, more = s.watch(now, in)
		effects = append(effects, more...)
	}
	return s, effects
}

func (s State) renewalDue(now croft.Millis) bool {
	if s.own.token != "" {
		return now >= s.own.sent+answerWithin
	}
	return s.own.sent == 0 || now >= s.own.sent+RenewEvery
}

func (s State) renew(now croft.Millis, in Inputs) (State, croft.Effect) {
	s.own.count++
	s.own.sent = now
	s.own.token = fmt.Sprintf("lease/renew/%s/%d", s.own.nonce, s.own.count)
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
	return s, croft.Commit{Token: s.own.token, Ops: []croft.Op{op}}
}

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

func (s State) ended(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	if e.Token != "" && e.Token == s.own.token {
		return s.renewed(e, in)
	}
	if c, ok := s.claims.Get(e.Token); ok {
		return s.claimed(e, c, in)
	}
	return s, nil
}

func (s State) renewed(e croft.CommitEnded, in Inputs) (State, []croft.Effect) {
	s.own.token = ""
	switch e.Outcome {
	case croft.CommitDone:
		s.own.version = e.Version
		s.own.good = s.own.sent
		s.own.live = true
	case croft.CommitConflict:
		s = s.reconcile(e.Rows, in)
		// The next renewal goes out at once, on the version that the row has now.
		s.own.sent = 0
	case croft.CommitUnknown, croft.CommitUnavailable:
		// The next renewal is sent on the old version: if this one took effect, that one
		// conflicts and tells the row as it is.
	}
	return s, nil
}

// reconcile learns the own session row from a conflict.
func (s State) reconcile(rows []croft.Row, in Inputs) State {
	for _, r := range rows {
		if r.Key != croft.SessionKey(in.Self.ID) {
			continue
		}
		s.own.version = r.Version
		var found Session
		if r.Version == 0 || json.Unmarshal(r.Value, &found) != nil || found.Nonce != s.own.nonce {
			s.own.live = false
		}
	}
	return s
}

func (s State) read(e croft.RowsRead, in Inputs) State {
	switch {
	case strings.HasPrefix(e.Prefix, croft.PlanPrefix):
		return s.readPlans(e)
	case strings.HasPrefix(e.Prefix, croft.SessionPrefix):
		return s.readSessions(e, in)
	}
	return s
}

func (s State) readPlans(e croft.RowsRead) State {
	top := s.cursor
	for _, r := range e.Rows {
		s = s.learnPlan(r, e.Time)
		top = max(top, r.Version)
	}
	if e.Prefix != croft.PlanPrefix {
		return s
	}
	// The scan after next begins where this one ended, so that a row written between
	// two pages of one scan is read by the next.
	s.previous = s.cursor
	s.cursor = top
	s.loaded = s.loaded || e.Whole
	s.unsure = s.unsure && e.Time >= s.own.good+TTL-Margin
	return s
}

func (s State) learnPlan(r croft.Row, now croft.Millis) State {
	id := croft.PoolID(strings.TrimPrefix(r.Key, croft.PlanPrefix))
	known, ok := s.plans.Get(id)
	if ok && r.Version <= known.version {
		return s
	}
	var p Plan
	if r.Version == 0 || json.Unmarshal(r.Value, &p) != nil {
		return s
	}
	s.plans = s.plans.With(id, planRow{Plan: p, version: r.Version, seen: now})
	return s
}

func (s State) readSessions(e croft.RowsRead, in Inputs) State {
	for _, r := range e.Rows {
		s = s.sight(r, e.Time, in)
	}
	id := croft.EntryID(strings.TrimPrefix(e.Prefix, croft.SessionPrefix))
	if e.Whole && len(e.Rows) == 0 && id != "" {
		s = s.sight(croft.Row{Key: e.Prefix}, e.Time, in)
	}
	return s
}

func (s State) sight(r croft.Row, now croft.Millis, in Inputs) State {
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
	s.sessions = s.sessions.With(id, sighting{version: version, since: now, absent: absent})
	return s
}
