package buffer

import (
	"fmt"
	"sort"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/maint"
	"waxwing.example/croft/pools"
)

const (
	stepInterval = croft.Second
	// excessDelay is how long an excess must last before a VM moves back to the spare pool.
	excessDelay = croft.Hour
	// slackDivisor sets the excess that a pool may keep: a tenth of its target size.
	slackDivisor = 10
	// maintenanceHorizon is how long before its next maintenance is due a VM becomes the last choice for a move.
	maintenanceHorizon = 2 * croft.Day
)

// Inputs holds what Reduce needs from other packages.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Pools  pools.State
	// Holds reports whether this entry is the planner of a pool.
	Holds func(pool croft.PoolID) bool
	// Fixed selects the baseline in which the buffer is a fixed share of the VMs needed.
	Fixed bool
}

// State holds what one entry knows about the failure rates, target sizes and excesses of pools.
type State struct {
	// failures counts the failures of VMs in a pool since the entry started.
	failures keyed.Map[croft.PoolID, int]
	// vmDays is the total time that VMs have spent in a pool since the entry started, in days; failures divided by it is
	// the observed failure rate.
	vmDays keyed.Map[croft.PoolID, float64]
	// excessSince is when a pool's excess was first seen, or when a VM last moved out because of it.
	excessSince keyed.Map[croft.PoolID, croft.Millis]
	// live are the VMs last listed as live and not as failed since.
	live keyed.Map[croft.VMID, struct{}]
	// targets is the number of VMs that a pool should have, as last calculated.
	targets keyed.Map[croft.PoolID, int]
	// lastCount is when vmDays was last updated.
	lastCount croft.Millis
	lastStep  croft.Millis
	// currentPool is the index in the configuration of the pool examined last.
	currentPool int
}

// New returns the state of an entry that has received no events.
func New() State { return State{} }

// Target returns the number of VMs a pool should have, as last calculated.
func (s State) Target(pool croft.PoolID) int {
	n, _ := s.targets.Get(pool)
	return n
}

// Reduce returns the state after an event and the VMs to move, all of them out of one pool.
func Reduce(s State, e croft.Event, in Inputs) (State, []pools.DrainRequest) {
	switch e := e.(type) {
	case croft.VMsListed:
		return s.applyVMList(e, in), nil
	case croft.Tick:
		return s.tick(e, in)
	}
	return s, nil
}

// applyVMList counts the failures of VMs by pool.
func (s State) applyVMList(e croft.VMsListed, in Inputs) State {
	for _, v := range e.Delta.Changed {
		switch {
		case v.Status == croft.VMLive:
			s.live = s.live.With(v.ID, struct{}{})
		case v.Status == croft.VMFailed && s.live.Has(v.ID):
			s.live = s.live.Without(v.ID)
			m, _ := in.Pools.Member(v.ID)
			n, _ := s.failures.Get(m.Pool)
			s.failures = s.failures.With(m.Pool, n+1)
		}
	}
	return s
}

// tick examines the next pool in the order of the configuration, and returns the VMs to move into or out of it. It runs
// more often if there are several pools, so that up to ten pools are examined in each stepInterval.
func (s State) tick(e croft.Tick, in Inputs) (State, []pools.DrainRequest) {
	poolCount := len(in.Config.Pools)
	if poolCount == 0 || !in.Pools.Loaded() || e.Time < s.lastStep+stepInterval/croft.Millis(min(10, poolCount)) {
		return s, nil
	}
	s.lastStep = e.Time
	s.currentPool = (s.currentPool + 1) % poolCount
	p := in.Config.Pools[s.currentPool]
	if s.currentPool == 0 {
		s = s.countVMDays(e.Time, in)
	}
	s.targets = s.targets.With(p.ID, s.targetSize(p, in))
	spare := pools.SparePool(in.Config)
	if p.ID == spare {
		return s, nil
	}
	return s.balance(p, spare, e.Time, in)
}

// countVMDays adds the VM-days since the last call to vmDays of each pool.
func (s State) countVMDays(now croft.Millis, in Inputs) State {
	elapsed := float64(now-s.lastCount) / float64(croft.Day)
	if s.lastCount > 0 && elapsed > 0 {
		for _, p := range in.Config.Pools {
			days, _ := s.vmDays.Get(p.ID)
			s.vmDays = s.vmDays.With(p.ID, days+elapsed*float64(in.Pools.Summary(p.ID).Members))
		}
	}
	s.lastCount = now
	return s
}

// targetSize returns the number of VMs a pool should have: its declared size, else the one calculated from its need.
func (s State) targetSize(p croft.Pool, in Inputs) int {
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
	need := NeedOf(p, FailureRate(failures, days), len(racks), perRack)
	if in.Fixed {
		return FixedSize(need)
	}
	return Size(need)
}

// balance returns VMs to move in from the spare pool if the pool has too few, or one to move out if it has had too many
// for excessDelay.
func (s State) balance(p croft.Pool, spare croft.PoolID, now croft.Millis, in Inputs) (State, []pools.DrainRequest) {
	sum := in.Pools.Summary(p.ID)
	target := s.Target(p.ID)
	// A failed VM counts as a member, since it comes back after its repair. It is replaced only if fewer VMs than the
	// minimum and one wave remain without it.
	members := sum.Members - sum.Moving + sum.Incoming
	excess := members - sum.Failed - target
	if excess > max(1, target/slackDivisor) {
		return s.releaseExcess(p, spare, now, in)
	}
	s.excessSince = s.excessSince.Without(p.ID)
	shortage := target - members
	if availabilityShortage := p.MinServing + p.WaveSize - (members - sum.Failed); availabilityShortage > shortage {
		shortage = availabilityShortage
	}
	if shortage <= 0 || !in.Holds(spare) {
		return s, nil
	}
	reason := fmt.Sprintf("%s is short of its size: it needs %d more VMs, target size %d", p.ID, shortage, target)
	return s, chooseMoves(spare, p.ID, shortage, reason, now, in)
}

// releaseExcess returns one VM to move to the spare pool once the excess has lasted for excessDelay.
func (s State) releaseExcess(p croft.Pool, spare croft.PoolID, now croft.Millis, in Inputs) (State, []pools.DrainRequest) {
	since, ok := s.excessSince.Get(p.ID)
	if !ok {
		s.excessSince = s.excessSince.With(p.ID, now)
		return s, nil
	}
	if now < since+excessDelay || !in.Holds(p.ID) {
		return s, nil
	}
	s.excessSince = s.excessSince.With(p.ID, now)
	reason := fmt.Sprintf("pool %s has been above its target size for %d ms", p.ID, excessDelay)
	return s, chooseMoves(p.ID, spare, 1, reason, now, in)
}

// chooseMoves returns requests to move at most count VMs, and no more than the source pool can spare. It prefers VMs whose
// maintenance is not due soon, and among these the VMs of racks in which the target pool has the fewest VMs.
func chooseMoves(from, to croft.PoolID, count int, reason string, now croft.Millis, in Inputs) []pools.DrainRequest {
	pool, _ := in.Config.Pool(from)
	sum := in.Pools.Summary(from)
	count = min(count, sum.Usable-pool.MinServing)
	if count <= 0 {
		return nil
	}
	targetRacks := map[croft.RackID]int{}
	for id := range in.Pools.PoolVMs(to).All() {
		v, _ := in.Pools.VM(id)
		targetRacks[v.Rack]++
	}
	candidates := findMovable(from, now, in)
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.maintenanceSoon != b.maintenanceSoon {
			return b.maintenanceSoon
		}
		if targetRacks[a.rack] != targetRacks[b.rack] {
			return targetRacks[a.rack] < targetRacks[b.rack]
		}
		return a.vm < b.vm
	})
	var requests []pools.DrainRequest
	for _, c := range candidates[:min(count, len(candidates))] {
		requests = append(requests, pools.DrainRequest{VM: c.vm, Purpose: croft.PurposeMove, Target: to, Reason: reason})
	}
	return requests
}

// moveCandidate is a VM that may be moved.
type moveCandidate struct {
	vm              croft.VMID
	rack            croft.RackID
	maintenanceSoon bool
}

// findMovable returns the usable VMs of a pool for which no move, drain or maintenance is requested.
func findMovable(from croft.PoolID, now croft.Millis, in Inputs) []moveCandidate {
	var candidates []moveCandidate
	for id := range in.Pools.PoolVMs(from).All() {
		m, _ := in.Pools.Member(id)
		v, _ := in.Pools.VM(id)
		if !in.Pools.Usable(id, now) || m.Purpose != croft.PurposeNone {
			continue
		}
		dueSoon := now+maintenanceHorizon >= maint.DueAt(m.Member, v.Rack)
		candidates = append(candidates, moveCandidate{vm: id, rack: v.Rack, maintenanceSoon: dueSoon})
	}
	return candidates
}
