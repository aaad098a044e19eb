package maint

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/pools"
)

// Spans of maintenance in milliseconds.
const (
	// Period is the longest a VM may go without maintenance.
	Period = 28 * croft.Day
	// Due is how long after a maintenance the next becomes due, which leaves Period minus Due for pauses.
	Due = 24 * croft.Day
	// FloodPause is how long a pool's maintenance waits after a flood was seen.
	FloodPause = 2 * croft.Minute
	// FailureWindow is the span in which failures are counted together.
	FailureWindow = 15 * croft.Minute

	stepEvery = croft.Second
	// minFailures is the number of failures in the window below which maintenance goes on.
	minFailures = 3
	// failureShare is the divisor of the fleet's VMs that gives the number of failures that pauses maintenance.
	failureShare = 100
)

// Inputs are what the decisions about maintenance read from other parts.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Pools  pools.State
	// Holds reports whether this entry plans for a pool.
	Holds func(pool croft.PoolID) bool
}

// State is what one entry knows of floods, failures and the pools to look at next.
type State struct {
	floods   keyed.Map[croft.PoolID, croft.Millis]
	failures []croft.Millis
	up       keyed.Map[croft.VMID, struct{}]
	quiet    keyed.Map[croft.PoolID, quiet]
	next     int
	stepped  croft.Millis
}

// quiet notes that no VM of a pool is due before an instant, unless the pool changes.
type quiet struct {
	changes uint64
	until   croft.Millis
}

// New returns the state of an entry that has seen nothing.
func New() State { return State{} }

// Reduce returns the state after an event and the steps to begin, all of them in one pool.
func Reduce(s State, e croft.Event, in Inputs) (State, []pools.Ask) {
	switch e := e.(type) {
	case croft.VMsListed:
		return s.list(e), nil
	case croft.TrafficCounted:
		return s.traffic(e, in), nil
	case croft.Tick:
		return s.tick(e, in)
	}
	return s, nil
}

func (s State) list(e croft.VMsListed) State {
	for _, v := range e.Delta.Changed {
		switch {
		case v.Status == croft.VMLive:
			s.up = s.up.With(v.ID, struct{}{})
		case v.Status == croft.VMFailed && s.up.Has(v.ID):
			s.up = s.up.Without(v.ID)
			s.failures = append(recent(s.failures, e.Time), e.Time)
		}
	}
	return s
}

func recent(all []croft.Millis, now croft.Millis) []croft.Millis {
	var kept []croft.Millis
	for _, t := range all {
		if now < t+FailureWindow {
			kept = append(kept, t)
		}
	}
	return kept
}

// traffic notes the pools that keep less than their promise.
func (s State) traffic(e croft.TrafficCounted, in Inputs) State {
	offered := map[croft.PoolID]int64{}
	missed := map[croft.PoolID]int64{}
	for _, c := range e.Counts {
		service, ok := in.Config.Service(c.Class.Service)
		if !ok {
			continue
		}
		offered[service.Pool] += c.Offered
		missed[service.Pool] += c.NotRun + c.Late
	}
	for _, p := range in.Config.Pools {
		n := offered[p.ID]
		if n > 0 && missed[p.ID]*1_000_000 > n*(1_000_000-p.Promise) {
			s.floods = s.floods.With(p.ID, e.Time)
		}
	}
	return s
}

// Paused returns why the pool's maintenance waits, empty where it goes on.
func (s State) Paused(pool croft.PoolID, now croft.Millis) string {
	if since, ok := s.floods.Get(pool); ok && now < since+FloodPause {
		return "the pool is flooded"
	}
	if len(recent(s.failures, now)) > max(minFailures, s.up.Len()/failureShare) {
		return "too many VMs failed lately"
	}
	return ""
}

// DueAt returns when a VM's next maintenance is due; the first ones are spread over the period by rack.
func DueAt(m croft.Member, rack croft.RackID) croft.Millis {
	if m.Maintained > 0 {
		return m.Maintained + Due
	}
	return m.Since + croft.Millis(xxhash.Sum64String(string(rack))%uint64(Due))
}

func (s State) tick(e croft.Tick, in Inputs) (State, []pools.Ask) {
	if e.Time < s.stepped+stepEvery/croft.Millis(max(1, min(10, len(in.Config.Pools)))) {
		return s, nil
	}
	s.stepped = e.Time
	if len(in.Config.Pools) == 0 || !in.Pools.Loaded() {
		return s, nil
	}
	s.next = (s.next + 1) % len(in.Config.Pools)
	p := in.Config.Pools[s.next]
	if !in.Holds(p.ID) || s.Paused(p.ID, e.Time) != "" {
		return s, nil
	}
	changes := in.Pools.PoolChanges(p.ID)
	if q, ok := s.quiet.Get(p.ID); ok && q.changes == changes && e.Time < q.until {
		return s, nil
	}
	room := room(p, in)
	if room <= 0 {
		return s, nil
	}
	found := candidates(p.ID, e.Time, in)
	if len(found.due) == 0 {
		s.quiet = s.quiet.With(p.ID, quiet{changes: changes, until: found.next})
		return s, nil
	}
	return s, wave(found, room)
}

// candidate is a VM that may be maintained now.
type candidate struct {
	vm    croft.VMID
	rack  croft.RackID
	due   croft.Millis
	asked bool
}

func (c candidate) before(d candidate) bool {
	if c.asked != d.asked {
		return c.asked
	}
	if c.due != d.due {
		return c.due < d.due
	}
	return c.vm < d.vm
}

// room returns how many VMs more the wave size and the pool's promise let away.
func room(p croft.Pool, in Inputs) int {
	sum := in.Pools.Summary(p.ID)
	return min(max(1, p.WaveSize)-sum.Draining-sum.Away, sum.Usable-p.MinServing)
}

// wave returns the VMs of one rack to maintain now.
func wave(found found, room int) []pools.Ask {
	rack := found.rack
	if rack == "" {
		rack = found.due[0].rack
	}
	var asks []pools.Ask
	for _, c := range found.due {
		if c.rack != rack || len(asks) == room {
			continue
		}
		reason := "due once in 28 days"
		if c.asked {
			reason = "operator's command"
		}
		asks = append(asks, pools.Ask{VM: c.vm, Purpose: croft.PurposeMaintain, Reason: reason})
	}
	return asks
}

// found is what a look at a pool found.
type found struct {
	// due are the VMs that may be maintained now, in their order.
	due []candidate
	// rack is the rack that is in maintenance already, empty for none.
	rack croft.RackID
	// next is when the next VM becomes due.
	next croft.Millis
}

func candidates(pool croft.PoolID, now croft.Millis, in Inputs) found {
	f := found{next: now + Period}
	for id := range in.Pools.PoolVMs(pool).All() {
		m, _ := in.Pools.Member(id)
		v, _ := in.Pools.VM(id)
		if m.Phase != croft.PhaseServing {
			if m.Purpose == croft.PurposeMaintain {
				f.rack = v.Rack
			}
			continue
		}
		asked := m.Purpose == croft.PurposeMaintain
		due := DueAt(m.Member, v.Rack)
		switch {
		case !asked && now < due:
			f.next = min(f.next, due)
		case in.Pools.Usable(id, now):
			f.due = append(f.due, candidate{vm: id, rack: v.Rack, due: due, asked: asked})
		}
	}
	sort.Slice(f.due, func(i, j int) bool { return f.due[i].before(f.due[j]) })
	return f
}

// Progress counts one pool's maintenance.
type Progress struct {
	// Due counts the VMs whose maintenance is due and not begun.
	Due int
	// Done counts the VMs maintained within the last period.
	Done int
	// Overdue counts the VMs that went longer than the period.
	Overdue int
	// Paused is why the pool's maintenance waits, empty where it goes on.
	Paused string
}

// Progress returns the counts of one pool's maintenance.
func (s State) Progress(pool croft.PoolID, now croft.Millis, known pools.State) Progress {
	p := Progress{Paused: s.Paused(pool, now)}
	for id := range known.PoolVMs(pool).All() {
		m, _ := known.Member(id)
		v, _ := known.VM(id)
		due := DueAt(m.Member, v.Rack)
		switch {
		case m.Maintained > 0 && now < m.Maintained+Period:
			p.Done++
		case m.Maintained > 0:
			p.Overdue++
		}
		if now >= due && m.Phase == croft.PhaseServing {
			p.Due++
		}
	}
	return p
}
