package buffer

import (
	"sort"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/maint"
	"waxwing.example/croft/pools"
)

const (
	stepEvery = croft.Second
	// settleSpan is how long an excess must last before a VM goes back to the spare pool.
	settleSpan = croft.Hour
	// slackShare is the divisor of a pool's size that gives the excess it may keep.
	slackShare = 10
	// maintainSoon is how near a maintenance makes a VM the last to move.
	maintainSoon = 2 * croft.Day
)

// Inputs are what the decisions about buffers read from other parts.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Pools  pools.State
	// Holds reports whether this entry plans for a pool.
	Holds func(pool croft.PoolID) bool
	// Fixed selects the baseline of a fixed share.
	Fixed bool
}

// State is what one entry knows of failures and of excesses that last.
type State struct {
	failures keyed.Map[croft.PoolID, int]
	vmDays   keyed.Map[croft.PoolID, float64]
	excess   keyed.Map[croft.PoolID, croft.Millis]
	up       keyed.Map[croft.VMID, struct{}]
	targets  keyed.Map[croft.PoolID, int]
	counted  croft.Millis
	stepped  croft.Millis
	next     int
}

// New returns the state of an entry that has seen nothing.
func New() State { return State{} }

// Target returns the VMs a pool should hold, as last worked out.
func (s State) Target(pool croft.PoolID) int {
	n, _ := s.targets.Get(pool)
	return n
}

// Reduce returns the state after an event and the moves to begin, all of them out of one pool.
func Reduce(s State, e croft.Event, in Inputs) (State, []pools.Ask) {
	switch e := e.(type) {
	case croft.VMsListed:
		return s.list(e, in), nil
	case croft.Tick:
		return s.tick(e, in)
	}
	return s, nil
}

func (s State) list(e croft.VMsListed, in Inputs) State {
	for _, v := range e.Delta.Changed {
		switch {
		case v.Status == croft.VMLive:
			s.up = s.up.With(v.ID, struct{}{})
		case v.Status == croft.VMFailed && s.up.Has(v.ID):
			s.up = s.up.Without(v.ID)
			m, _ := in.Pools.Member(v.ID)
			n, _ := s.failures.Get(m.Pool)
			s.failures = s.failures.With(m.Pool, n+1)
		}
	}
	return s
}

// tick looks at one pool in turn.
func (s State) tick(e croft.Tick, in Inputs) (State, []pools.Ask) {
	n := len(in.Config.Pools)
	if n == 0 || !in.Pools.Loaded() || e.Time < s.stepped+stepEvery/croft.Millis(min(10, n)) {
		return s, nil
	}
	s.stepped = e.Time
	s.next = (s.next + 1) % n
	p := in.Config.Pools[s.next]
	if s.next == 0 {
		s = s.age(e.Time, in)
	}
	s.targets = s.targets.With(p.ID, s.target(p, in))
	spare := pools.SparePool(in.Config)
	if p.ID == spare {
		return s, nil
	}
	return s.balance(p, spare, e.Time, in)
}

// age adds the VM-days since the last round.
func (s State) age(now croft.Millis, in Inputs) State {
	span := float64(now-s.counted) / float64(croft.Day)
	if s.counted > 0 && span > 0 {
		for _, p := range in.Config.Pools {
			days, _ := s.vmDays.Get(p.ID)
			s.vmDays = s.vmDays.With(p.ID, days+span*float64(in.Pools.Summary(p.ID).Members))
		}
	}
	s.counted = now
	return s
}

func (s State) target(p croft.Pool, in Inputs) int {
	if p.Size > 0 {
		return p.Size
	}
	failures, _ := s.failures.Get(p.ID)
	days, _ := s.vmDays.Get(p.ID)
	racks := map[croft.RackID]int{}
	perRack := 0
	for id := range in.Pools.PoolVMs(p.ID).All() {
		v, _ := in.Pools.VM(id)
		racks[v.Rack]++
		perRack = max(perRack, racks[v.Rack])
	}
	need := NeedOf(p, Rate(failures, days), len(racks), perRack)
	if in.Fixed {
		return Fixed(need)
	}
	return Size(need)
}

// balance moves VMs in from the spare pool where the pool is short, and one out where an excess has lasted.
func (s State) balance(p croft.Pool, spare croft.PoolID, now croft.Millis, in Inputs) (State, []pools.Ask) {
	sum := in.Pools.Summary(p.ID)
	target := s.Target(p.ID)
	// A VM under repair comes back to its pool: a spare one stands in only for what the buffer can't carry.
	held := sum.Members - sum.Moving + sum.Incoming
	excess := held - sum.Failed - target
	if excess > max(1, target/slackShare) {
		return s.giveBack(p, spare, now, in)
	}
	s.excess = s.excess.Without(p.ID)
	short := target - held
	if lack := p.MinServing + p.WaveSize - (held - sum.Failed); lack > short {
		short = lack
	}
	if short <= 0 || !in.Holds(spare) {
		return s, nil
	}
	return s, pick(spare, p.ID, short, "short of its size", now, in)
}

func (s State) giveBack(p croft.Pool, spare croft.PoolID, now croft.Millis, in Inputs) (State, []pools.Ask) {
	since, ok := s.excess.Get(p.ID)
	if !ok {
		s.excess = s.excess.With(p.ID, now)
		return s, nil
	}
	if now < since+settleSpan || !in.Holds(p.ID) {
		return s, nil
	}
	s.excess = s.excess.With(p.ID, now)
	return s, pick(p.ID, spare, 1, "above its size for an hour", now, in)
}

// pick chooses VMs to move, those due for maintenance last and from the racks of which the target has fewest.
func pick(from, to croft.PoolID, count int, reason string, now croft.Millis, in Inputs) []pools.Ask {
	pool, _ := in.Config.Pool(from)
	sum := in.Pools.Summary(from)
	count = min(count, sum.Usable-pool.MinServing)
	if count <= 0 {
		return nil
	}
	there := map[croft.RackID]int{}
	for id := range in.Pools.PoolVMs(to).All() {
		v, _ := in.Pools.VM(id)
		there[v.Rack]++
	}
	found := movable(from, now, in)
	sort.Slice(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if a.soon != b.soon {
			return b.soon
		}
		if there[a.rack] != there[b.rack] {
			return there[a.rack] < there[b.rack]
		}
		return a.vm < b.vm
	})
	var asks []pools.Ask
	for _, c := range found[:min(count, len(found))] {
		asks = append(asks, pools.Ask{VM: c.vm, Purpose: croft.PurposeMove, Target: to, Reason: string(to) + " is " + reason})
	}
	return asks
}

type choice struct {
	vm   croft.VMID
	rack croft.RackID
	soon bool
}

func movable(from croft.PoolID, now croft.Millis, in Inputs) []choice {
	var found []choice
	for id := range in.Pools.PoolVMs(from).All() {
		m, _ := in.Pools.Member(id)
		v, _ := in.Pools.VM(id)
		if !in.Pools.Usable(id, now) || m.Purpose != croft.PurposeNone {
			continue
		}
		soon := now+maintainSoon >= maint.DueAt(m.Member, v.Rack)
		found = append(found, choice{vm: id, rack: v.Rack, soon: soon})
	}
	return found
}
