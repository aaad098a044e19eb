package route

import (
	"math/rand/v2"
	"sync"

	"waxwing.example/croft"
)

const (
	// SlotsPerEndpoint is the number of requests that an executor runs concurrently.
	SlotsPerEndpoint = 8
	// busyBackoff is how long an executor is excluded from picks after it refused a request as busy.
	busyBackoff = 50 * croft.Millis(1)
	// leavingNoticeTTL is how long a leaving notice excludes an executor that the control state still lists.
	leavingNoticeTTL = 10 * croft.Second
)

// PickRequest holds the input of a pick.
type PickRequest struct {
	Now  croft.Millis
	Pool croft.PoolID
	// Endpoints are the pool's executors in the newest view of the control state.
	Endpoints []croft.Endpoint
	// Home is the data centre of this entry.
	Home croft.DataCentre
	// Share is this entry's share of the pool's slots, in thousandths.
	Share int
	// Tried are the executors to which earlier attempts of the request were sent.
	Tried []croft.VMID
}

// Choice is a picked executor and the reason for the decision log.
type Choice struct {
	Endpoint croft.Endpoint
	Reason   string
}

// Picker picks executors and counts the outstanding requests of this entry at each; it is safe for concurrent use.
type Picker interface {
	// Pick chooses an executor and counts it as in use, or reports that none is available.
	Pick(ask PickRequest) (Choice, bool)
	// Release ends the use of a picked executor.
	Release(vm croft.VMID)
	// MarkBusy excludes an executor from picks for busyBackoff.
	MarkBusy(now croft.Millis, vm croft.VMID)
	// MarkLeaving excludes an incarnation of an executor and older ones from picks for leavingNoticeTTL, and reports false
	// if they already are excluded.
	MarkLeaving(now croft.Millis, vm croft.VMID, boot uint64) bool
	// Sync drops the notices and backoffs of executors that the control state no longer lists.
	Sync(view *croft.View)
}

// leavingNotice excludes the incarnations of an executor up to boot. It is recorded when an executor's answer reports that
// it is leaving, before the control state removes the executor from its list.
type leavingNotice struct {
	boot  uint64
	until croft.Millis
}

// executorState is the state that both pickers keep for each executor.
type executorState struct {
	// mu guards the fields below and those of the pickers.
	mu sync.Mutex
	// inUse counts the outstanding requests of this entry.
	inUse map[croft.VMID]int
	// busyUntil is when the backoff of a busy executor ends.
	busyUntil map[croft.VMID]croft.Millis
	leaving   map[croft.VMID]leavingNotice
}

func newExecutorState() executorState {
	return executorState{
		inUse:     map[croft.VMID]int{},
		busyUntil: map[croft.VMID]croft.Millis{},
		leaving:   map[croft.VMID]leavingNotice{},
	}
}

// Release ends the use of a picked executor.
func (s *executorState) Release(vm croft.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inUse[vm] <= 1 {
		delete(s.inUse, vm)
		return
	}
	s.inUse[vm]--
}

// MarkBusy excludes an executor from picks for busyBackoff.
func (s *executorState) MarkBusy(now croft.Millis, vm croft.VMID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyUntil[vm] = now + busyBackoff
}

// MarkLeaving excludes an incarnation of an executor and older ones from picks for leavingNoticeTTL, and reports false if
// they already are excluded.
func (s *executorState) MarkLeaving(now croft.Millis, vm croft.VMID, boot uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.leaving[vm]
	if known && old.boot >= boot && now < old.until {
		return false
	}
	s.leaving[vm] = leavingNotice{boot: boot, until: now + leavingNoticeTTL}
	return true
}

// Sync drops the notices and backoffs of executors that the control state no longer lists.
func (s *executorState) Sync(view *croft.View) {
	listed := map[croft.VMID]bool{}
	for _, endpoints := range view.Endpoints {
		for _, e := range endpoints {
			listed[e.VM] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for vm := range s.leaving {
		if !listed[vm] {
			delete(s.leaving, vm)
		}
	}
	for vm := range s.busyUntil {
		if !listed[vm] {
			delete(s.busyUntil, vm)
		}
	}
}

// accepting reports whether an executor is neither leaving nor backed off as busy.
func (s *executorState) accepting(now croft.Millis, e croft.Endpoint) bool {
	if notice, ok := s.leaving[e.VM]; ok && e.Boot <= notice.boot && now < notice.until {
		return false
	}
	until, ok := s.busyUntil[e.VM]
	return !ok || now >= until
}

// wasTried reports whether an earlier attempt of the request was sent to the executor.
func wasTried(request PickRequest, vm croft.VMID) bool {
	for _, t := range request.Tried {
		if t == vm {
			return true
		}
	}
	return false
}

// inUseLimit returns this entry's share of an executor's slots, from its share of the pool in thousandths. It rounds up,
// so that the sum over the executors is at least the entry's share of the pool.
func inUseLimit(share int) int { return max((SlotsPerEndpoint*share+999)/1000, 1) }

// TwoChoices picks the less loaded of two random executors (Mitzenmacher, The Power of Two Choices, 2001) of the
// preferred tier.
type TwoChoices struct {
	executorState
	random *rand.Rand
}

// NewTwoChoices returns a two-choices picker whose random choices are determined by a seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{executorState: newExecutorState(), random: rand.New(rand.NewPCG(seed, seed))}
}

// tier ranks the executors that may be picked: a pick is made among those of the lowest tier that has any.
type tier int

const (
	// tierHome holds the untried executors in this entry's data centre.
	tierHome tier = iota
	// tierRemote holds the untried executors in other data centres.
	tierRemote
	// tierTried holds the executors to which an earlier attempt of the request was sent.
	tierTried
	tierCount
)

// tierReasons are the reasons for the decision log, by tier.
var tierReasons = [tierCount]string{
	"less loaded of two in the home data centre",
	"less loaded of two in other data centres, no untried executor is available in the home data centre",
	"only executors tried before are available",
}

// Pick chooses an executor and counts it as in use, or reports that none is available.
func (p *TwoChoices) Pick(request PickRequest) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var byTier [tierCount][]int
	limit := inUseLimit(request.Share)
	for i, e := range request.Endpoints {
		if !p.accepting(request.Now, e) || p.inUse[e.VM] >= limit {
			continue
		}
		level := tierOf(request, e)
		byTier[level] = append(byTier[level], i)
	}
	for level, indexes := range byTier {
		if len(indexes) > 0 {
			e := request.Endpoints[p.lessLoaded(request.Endpoints, indexes)]
			p.inUse[e.VM]++
			return Choice{Endpoint: e, Reason: tierReasons[level]}, true
		}
	}
	return Choice{}, false
}

// tierOf returns the tier of an executor for a request.
func tierOf(request PickRequest, e croft.Endpoint) tier {
	switch {
	case wasTried(request, e.VM):
		return tierTried
	case e.DataCentre == request.Home:
		return tierHome
	}
	return tierRemote
}

// lessLoaded returns the index of the less loaded of two random candidates.
func (p *TwoChoices) lessLoaded(endpoints []croft.Endpoint, indexes []int) int {
	first := p.random.IntN(len(indexes))
	if len(indexes) == 1 {
		return indexes[first]
	}
	// A random offset from 1 to len-1 selects a second candidate other than the first.
	second := (first + 1 + p.random.IntN(len(indexes)-1)) % len(indexes)
	a, b := indexes[first], indexes[second]
	if p.inUse[endpoints[b].VM] < p.inUse[endpoints[a].VM] {
		return b
	}
	return a
}
