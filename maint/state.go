package maint

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
	"waxwing.example/croft/keyed"
	"waxwing.example/croft/pools"
)

// Durations of maintenance in milliseconds.
const (
	// Period is the longest a VM may go without maintenance.
	Period = 28 * croft.Day
	// DueAfter is how long after a maintenance the next one becomes due; Period minus DueAfter is left for pauses.
	DueAfter = 24 * croft.Day
	// FloodPause is how long a pool's maintenance pauses after requests of the pool missed its availability target.
	FloodPause = 2 * croft.Minute
	// FailureWindow is how long a failure counts towards a pause of maintenance.
	FailureWindow = 15 * croft.Minute

	stepInterval = croft.Second
	// minFailures is the number of failures within FailureWindow up to which maintenance never pauses.
	minFailures = 3
	// failureDivisor sets the number of failures within FailureWindow above which maintenance pauses: a hundredth of the
	// live VMs.
	failureDivisor = 100
)

// Inputs holds what Reduce needs from other packages.
type Inputs struct {
	Self   croft.Peer
	Config croft.Config
	Pools  pools.State
	// Holds reports whether this entry is the planner of a pool.
	Holds func(pool croft.PoolID) bool
}

// State holds what one entry knows about missed availability targets, failures and the pools without due VMs.
type State struct {
	// lastFlood is when requests of a pool last missed its availability target.
	lastFlood keyed.Map[croft.PoolID, croft.Millis]
	// failures are the instants of recent failures of VMs.
	failures []croft.Millis
	// live are the VMs last listed as live and not as failed since.
	live keyed.Map[croft.VMID, struct{}]
	idle keyed.Map[croft.PoolID, idlePool]
	// currentPool is the index in the configuration of the pool examined last.
	currentPool int
	lastStep    croft.Millis
}

// idlePool records that no VM of a pool is due before an instant, as long as the pool does not change.
type idlePool struct {
	// poolChanges is the value of pools.State.PoolChanges at which this was found.
	poolChanges uint64
	until       croft.Millis
}

// New returns the state of an entry that has received no events.
func New() State { return State{} }

// Reduce returns the state after an event and the VMs to drain for maintenance, all of one pool.
func Reduce(s State, e croft.Event, in Inputs) (State, []pools.DrainRequest) {
	switch e := e.(type) {
	case croft.VMsListed:
		return s.applyVMList(e), nil
	case croft.TrafficCounted:
		return s.applyTraffic(e, in), nil
	case croft.Tick:
		return s.tick(e, in)
	}
	return s, nil
}

// applyVMList records which VMs are live and when VMs fail.
func (s State) applyVMList(e croft.VMsListed) State {
	for _, v := range e.Delta.Changed {
		switch {
		case v.Status == croft.VMLive:
			s.live = s.live.With(v.ID, struct{}{})
		case v.Status == croft.VMFailed && s.live.Has(v.ID):
			s.live = s.live.Without(v.ID)
			s.failures = append(withinWindow(s.failures, e.Time), e.Time)
		}
	}
	return s
}

// withinWindow returns the times that are less than FailureWindow ago.
func withinWindow(times []croft.Millis, now croft.Millis) []croft.Millis {
	var kept []croft.Millis
	for _, t := range times {
		if now < t+FailureWindow {
			kept = append(kept, t)
		}
	}
	return kept
}

// applyTraffic records the pools in which too large a share of the counted requests did not run or was late, compared with
// the availability target.
func (s State) applyTraffic(e croft.TrafficCounted, in Inputs) State {
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
		total := offered[p.ID]
		if total > 0 && missed[p.ID]*1_000_000 > total*(1_000_000-p.Promise) {
			s.lastFlood = s.lastFlood.With(p.ID, e.Time)
		}
	}
	return s
}

// Paused returns why the pool's maintenance is paused, empty if it is not.
func (s State) Paused(pool croft.PoolID, now croft.Millis) string {
	if since, ok := s.lastFlood.Get(pool); ok && now < since+FloodPause {
		return "the pool is flooded"
	}
	if len(withinWindow(s.failures, now)) > max(minFailures, s.live.Len()/failureDivisor) {
		return "too many VMs failed lately"
	}
	return ""
}

// DueAt returns when a VM's next maintenance is due. The first maintenance of a VM that was never maintained is due within
// DueAfter of Since; a hash of the rack spreads the racks over that time.
func DueAt(m croft.Member, rack croft.RackID) croft.Millis {
	if m.Maintained > 0 {
		return m.Maintained + DueAfter
	}
	return m.Since + croft.Millis(xxhash.Sum64String(string(rack))%uint64(DueAfter))
}

// tick examines the next pool in the order of the configuration, and returns the VMs of it to drain for maintenance. It
// runs more often if there are several pools, so that up to ten pools are examined in each stepInterval.
func (s State) tick(e croft.Tick, in Inputs) (State, []pools.DrainRequest) {
	if e.Time < s.lastStep+stepInterval/croft.Millis(max(1, min(10, len(in.Config.Pools)))) {
		return s, nil
	}
	s.lastStep = e.Time
	if len(in.Config.Pools) == 0 || !in.Pools.Loaded() {
		return s, nil
	}
	s.currentPool = (s.currentPool + 1) % len(in.Config.Pools)
	p := in.Config.Pools[s.currentPool]
	if !in.Holds(p.ID) || s.Paused(p.ID, e.Time) != "" {
		return s, nil
	}
	changes := in.Pools.PoolChanges(p.ID)
	if q, ok := s.idle.Get(p.ID); ok && q.poolChanges == changes && e.Time < q.until {
		return s, nil
	}
	capacity := freeCapacity(p, in)
	if capacity <= 0 {
		return s, nil
	}
	result := findCandidates(p.ID, e.Time, in)
	if len(result.due) == 0 {
		s.idle = s.idle.With(p.ID, idlePool{poolChanges: changes, until: result.next})
		return s, nil
	}
	return s, rackBatch(result, capacity)
}

// candidate is a VM that may be maintained now.
type candidate struct {
	vm   croft.VMID
	rack croft.RackID
	due  croft.Millis
	// requested says that an operator asked for the maintenance.
	requested bool
}

// before orders candidates: those requested by an operator first, then by due time.
func (c candidate) before(d candidate) bool {
	if c.requested != d.requested {
		return c.requested
	}
	if c.due != d.due {
		return c.due < d.due
	}
	return c.vm < d.vm
}

// freeCapacity returns how many more VMs may be drained without exceeding the pool's wave size or going below its minimum
// number of serving VMs.
func freeCapacity(p croft.Pool, in Inputs) int {
	sum := in.Pools.Summary(p.ID)
	return min(max(1, p.WaveSize)-sum.Draining-sum.Away, sum.Usable-p.MinServing)
}

// rackBatch returns requests for at most capacity candidates of one rack: the rack already in maintenance, else the rack
// of the first candidate.
func rackBatch(result searchResult, capacity int) []pools.DrainRequest {
	rack := result.rack
	if rack == "" {
		rack = result.due[0].rack
	}
	var requests []pools.DrainRequest
	for _, c := range result.due {
		if c.rack != rack || len(requests) == capacity {
			continue
		}
		reason := "maintenance is due"
		if c.requested {
			reason = "operator's command"
		}
		requests = append(requests, pools.DrainRequest{VM: c.vm, Purpose: croft.PurposeMaintain, Reason: reason})
	}
	return requests
}

// searchResult is the result of findCandidates.
type searchResult struct {
	// due are the VMs that may be maintained now, the most urgent first.
	due []candidate
	// rack is the rack that is in maintenance already, empty for none.
	rack croft.RackID
	// next is when the next VM becomes due.
	next croft.Millis
}

// findCandidates returns the usable VMs of a pool whose maintenance is due or requested.
func findCandidates(pool croft.PoolID, now croft.Millis, in Inputs) searchResult {
	result := searchResult{next: now + Period}
	for id := range in.Pools.PoolVMs(pool).All() {
		m, _ := in.Pools.Member(id)
		v, _ := in.Pools.VM(id)
		if m.Phase != croft.PhaseServing {
			if m.Purpose == croft.PurposeMaintain {
				result.rack = v.Rack
			}
			continue
		}
		requested := m.Purpose == croft.PurposeMaintain
		due := DueAt(m.Member, v.Rack)
		switch {
		case !requested && now < due:
			result.next = min(result.next, due)
		case in.Pools.Usable(id, now):
			result.due = append(result.due, candidate{vm: id, rack: v.Rack, due: due, requested: requested})
		}
	}
	sort.Slice(result.due, func(i, j int) bool { return result.due[i].before(result.due[j]) })
	return result
}

// Progress counts one pool's maintenance.
type Progress struct {
	// Due counts the VMs whose maintenance is due and not begun.
	Due int
	// Done counts the VMs maintained within the last Period.
	Done int
	// Overdue counts the VMs whose last maintenance is Period ago or longer.
	Overdue int
	// Paused is why the pool's maintenance is paused, empty if it is not.
	Paused string
}

// Progress returns the counts of one pool's maintenance, from the given state of the pools.
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
