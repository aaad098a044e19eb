package front

import (
	"sync"
	"sync/atomic"

	"waxwing.example/croft"
	"waxwing.example/croft/admit"
	"waxwing.example/croft/retry"
	"waxwing.example/croft/route"
)

// wholeShare is all of a pool's slots, in thousandths.
const wholeShare = 1000

// pool is what the traffic of one pool shares at this entry.
type pool struct {
	id    croft.PoolID
	gate  *admit.Gate
	retry retry.Policy
}

// pools follows the view: a gate for each pool, its slots and classes.
type pools struct {
	front *Front
	seen  atomic.Pointer[croft.View]
	mu    sync.RWMutex
	byID  map[croft.PoolID]*pool
}

func newPools(f *Front) pools {
	return pools{front: f, byID: map[croft.PoolID]*pool{}}
}

// sync brings the gates up to the newest view and returns it.
func (p *pools) sync() *croft.View {
	if v := p.front.Viewer.View(); p.seen.Load() == v {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// Read under the lock, or a slow goroutine would put an older view back into force.
	v := p.front.Viewer.View()
	if p.seen.Load() == v {
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
	p.seen.Store(v)
	return v
}

func (p *pools) get(id croft.PoolID) (*pool, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	q, ok := p.byID[id]
	return q, ok
}

func (p *pools) expire() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, q := range p.byID {
		q.gate.Expire()
	}
}

func (p *pools) wanted() map[croft.PoolID]int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[croft.PoolID]int, len(p.byID))
	for id, q := range p.byID {
		out[id] = q.gate.Wanted()
	}
	return out
}

// classesOf gives each pool its classes, whose rates are this entry's share of the service's.
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

// shareOf returns this entry's share of a pool's slots in thousandths, an equal part where none is agreed.
func shareOf(v *croft.View, id croft.PoolID) int {
	if share, ok := v.Share[id]; ok {
		return share
	}
	near := 0
	for _, e := range v.Entries {
		if e.DataCentre == v.Self.DataCentre {
			near++
		}
	}
	return wholeShare / max(near, 1)
}

// slotsOf returns at least one slot for a pool that has an executor.
func slotsOf(v *croft.View, id croft.PoolID) int {
	endpoints := len(v.Endpoints[id])
	if endpoints == 0 {
		return 0
	}
	return max(endpoints*route.SlotsPerEndpoint*shareOf(v, id)/wholeShare, 1)
}
