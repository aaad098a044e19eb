package route

import (
	"math/rand/v2"
	"sync"

	"waxwing.example/croft"
)

const (
	// SlotsPerEndpoint is the number of requests that an executor runs at once.
	SlotsPerEndpoint = 8
	// busyBackoff is how long an executor that refused as busy gets nothing.
	busyBackoff = 50 * croft.Millis(1)
	// markSpan is how long a leaving mark made here outlives a control state that doesn't confirm it.
	markSpan = 10 * croft.Second
)

// Ask is what a pick needs to know.
type Ask struct {
	Now  croft.Millis
	Pool croft.PoolID
	// Endpoints are the pool's executors in the newest view.
	Endpoints []croft.Endpoint
	// Home is the entry's own data centre.
	Home croft.DataCentre
	// Share is the entry's share of the pool's slots, in thousandths.
	Share int
	// Tried are the executors that earlier attempts of the request went to.
	Tried []croft.VMID
}

// Choice is a picked executor and why it was picked.
type Choice struct {
	Endpoint croft.Endpoint
	Reason   string
}

// Picker picks executors and counts what this entry has outstanding on each.
type Picker interface {
	// Pick chooses an executor and counts it as in use, or reports that none is to be had.
	Pick(ask Ask) (Choice, bool)
	// Done ends the use of a picked executor.
	Done(vm croft.VMID)
	// Busy makes a picker leave out an executor for a moment.
	Busy(now croft.Millis, vm croft.VMID)
	// Leaving makes a picker leave out one incarnation of an executor, and reports whether that is news.
	Leaving(now croft.Millis, vm croft.VMID, boot uint64) bool
	// Sync drops the marks of executors that the control state has taken out.
	Sync(view *croft.View)
}

// mark is a leaving mark made by traffic before the control state confirms it.
type mark struct {
	boot  uint64
	until croft.Millis
}

// table is what both pickers know of the executors.
type table struct {
	mu     sync.Mutex
	inUse  map[croft.VMID]int
	busy   map[croft.VMID]croft.Millis
	leaves map[croft.VMID]mark
}

func newTable() table {
	return table{
		inUse:  map[croft.VMID]int{},
		busy:   map[croft.VMID]croft.Millis{},
		leaves: map[croft.VMID]mark{},
	}
}

// Done ends the use of a picked executor.
func (t *table) Done(vm croft.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse[vm] <= 1 {
		delete(t.inUse, vm)
		return
	}
	t.inUse[vm]--
}

// Busy makes a picker leave out an executor for a moment.
func (t *table) Busy(now croft.Millis, vm croft.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy[vm] = now + busyBackoff
}

// Leaving makes a picker leave out one incarnation of an executor, and reports whether that is news.
func (t *table) Leaving(now croft.Millis, vm croft.VMID, boot uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.leaves[vm]
	if known && old.boot >= boot && now < old.until {
		return false
	}
	t.leaves[vm] = mark{boot: boot, until: now + markSpan}
	return true
}

// Sync drops the marks of executors that the control state has taken out.
func (t *table) Sync(view *croft.View) {
	listed := map[croft.VMID]bool{}
	for _, endpoints := range view.Endpoints {
		for _, e := range endpoints {
			listed[e.VM] = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for vm := range t.leaves {
		if !listed[vm] {
			delete(t.leaves, vm)
		}
	}
	for vm := range t.busy {
		if !listed[vm] {
			delete(t.busy, vm)
		}
	}
}

// open reports whether an executor may be given work at all.
func (t *table) open(now croft.Millis, e croft.Endpoint) bool {
	if m, ok := t.leaves[e.VM]; ok && e.Boot <= m.boot && now < m.until {
		return false
	}
	until, ok := t.busy[e.VM]
	return !ok || now >= until
}

func tried(ask Ask, vm croft.VMID) bool {
	for _, t := range ask.Tried {
		if t == vm {
			return true
		}
	}
	return false
}

// limitOf rounds up, so that the sum over the executors is never under the entry's share of the pool.
func limitOf(share int) int { return max((SlotsPerEndpoint*share+999)/1000, 1) }

// TwoChoices takes the less loaded of two random executors (Mitzenmacher, The Power of Two Choices, 2001).
type TwoChoices struct {
	table
	random *rand.Rand
}

// NewTwoChoices returns a picker whose random choices follow from a seed.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{table: newTable(), random: rand.New(rand.NewPCG(seed, seed))}
}

// tier orders the executors that may be picked: the lowest one that has any is used.
type tier int

const (
	tierHome tier = iota
	tierAway
	tierTried
	tiers
)

var tierReasons = [tiers]string{"least of two at home", "least of two away, home is short", "tried before, no other"}

// Pick chooses an executor and counts it as in use, or reports that none is to be had.
func (p *TwoChoices) Pick(ask Ask) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found [tiers][]int
	limit := limitOf(ask.Share)
	for i, e := range ask.Endpoints {
		if !p.open(ask.Now, e) || p.inUse[e.VM] >= limit {
			continue
		}
		at := tierOf(ask, e)
		found[at] = append(found[at], i)
	}
	for at, indexes := range found {
		if len(indexes) > 0 {
			e := ask.Endpoints[p.lesser(ask.Endpoints, indexes)]
			p.inUse[e.VM]++
			return Choice{Endpoint: e, Reason: tierReasons[at]}, true
		}
	}
	return Choice{}, false
}

func tierOf(ask Ask, e croft.Endpoint) tier {
	switch {
	case tried(ask, e.VM):
		return tierTried
	case e.DataCentre == ask.Home:
		return tierHome
	}
	return tierAway
}

func (p *TwoChoices) lesser(endpoints []croft.Endpoint, indexes []int) int {
	first := p.random.IntN(len(indexes))
	if len(indexes) == 1 {
		return indexes[first]
	}
	// The second choice is one of the others.
	second := (first + 1 + p.random.IntN(len(indexes)-1)) % len(indexes)
	a, b := indexes[first], indexes[second]
	if p.inUse[endpoints[b].VM] < p.inUse[endpoints[a].VM] {
		return b
	}
	return a
}
