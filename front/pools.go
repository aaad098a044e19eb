package front

import (
	"sync"
	"sync/atomic"

	"waxwing.example/croft"
	"waxwing.example/croft/admit"
	"waxwing.example/croft/retry"
	"waxwing.example/croft/route"
)

// wholeShare is a share of all of a pool's slots, in thousandths.
const wholeShare = 1000

// pool holds this entry's admission gate and retry policy for one pool.
type pool struct {
	id    croft.PoolID
	gate  *admit.Gate
	retry retry.Policy
}

// poolSet holds the state of each declared pool and updates its slots and classes from the control state's view.
type poolSet struct {
	front *Front
	// applied is the view that the pools were last updated from.
	applied atomic.Pointer[croft.View]
	mu      sync.RWMutex
	byID    map[croft.PoolID]*pool
}

func newPoolSet(f *Front) poolSet {
	return poolSet{front: f, byID: map[croft.PoolID]*pool{}}
}

// sync updates the pools to the newest view and returns it.
func (p *poolSet) sync() *croft.View {
	if v := p.front.Viewer.View(); p.applied.Load() == v {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The view is read again under the lock; otherwise a slow goroutine could apply an older view over a newer one.
	v := p.front.Viewer.View()
	if p.applied.Load() == v {
		return v
	}
	classes := classesOf(v)
	for _, declared := range v.Config.Pools {
		q, ok := p.byID[declared.ID]
		if !ok {
			q = &pool{
				id:    declared.ID,
				gate:  admit.NewGate(p.front.Clock, p.front.Policies.Queue()),
				retry: p.front.Policies.Retry(),
			}
			p.byID[declared.ID] = q
		}
		q.gate.Set(admit.Settings{Slots: slotsOf(v, declared.ID), Classes: classes[declared.ID]})
	}
	p.front.meter.Declare(v.Config)
	p.front.Policies.Picker.Sync(v)
	p.applied.Store(v)
	return v
}

func (p *poolSet) get(id croft.PoolID) (*pool, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	q, ok := p.byID[id]
	return q, ok
}

// expire refuses the waiters of all pools that can no longer start in time.
func (p *poolSet) expire() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, q := range p.byID {
		q.gate.Expire()
	}
}

// wanted returns for each pool the number of slots in use and of waiters.
func (p *poolSet) wanted() map[croft.PoolID]int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[croft.PoolID]int, len(p.byID))
	for id, q := range p.byID {
		out[id] = q.gate.Wanted()
	}
	return out
}

// classesOf returns the classes of each pool, with mean rates scaled to this entry's share of the pool.
func classesOf(v *croft.View) map[croft.PoolID][]admit.Class {
	out := map[croft.PoolID][]admit.Class{}
	for _, s := range v.Config.Services {
		share := int64(shareOf(v, s.Pool))
		for _, k := range s.Kinds {
			out[s.Pool] = append(out[s.Pool], admit.Class{
				ID:         croft.Class{Service: s.ID, Kind: k.ID},
				Urgency:    k.Urgency,
				FloorShare: k.FloorShare,
				Deadline:   k.Deadline,
				MeanRate:   k.MeanRate * share / wholeShare,
			})
		}
	}
	return out
}

// shareOf returns this entry's share of a pool's slots in thousandths. If no share was agreed on, the entries of this
// data centre get equal shares.
func shareOf(v *croft.View, id croft.PoolID) int {
	if share, ok := v.Share[id]; ok {
		return share
	}
	localEntries := 0
	for _, e := range v.Entries {
		if e.DataCentre == v.Self.DataCentre {
			localEntries++
		}
	}
	return wholeShare / max(localEntries, 1)
}

// slotsOf returns this entry's slots of a pool: none if the pool has no endpoints, otherwise at least one.
func slotsOf(v *croft.View, id croft.PoolID) int {
	endpoints := len(v.Endpoints[id])
	if endpoints == 0 {
		return 0
	}
	return max(endpoints*route.SlotsPerEndpoint*shareOf(v, id)/wholeShare, 1)
}
