package pools

import (
	"fmt"

	"waxwing.example/croft"
)

// adopt gives VMs of the list that have no row yet their first one, in the pool that is shortest of VMs.
func (s State) adopt(now croft.Millis, in Inputs) (State, []croft.Effect) {
	spare := SparePool(in.Config)
	if s.fresh.Len() == 0 || spare == "" || !in.holds(spare, now) {
		return s, nil
	}
	var rows []croft.Member
	short := s.shortages(in.Config)
	for id := range s.fresh.All() {
		if s.busy.Has(id) {
			continue
		}
		v, _ := s.vms.Get(id)
		m := croft.Member{VM: id, Phase: croft.PhaseServing, Epoch: 1, Since: now, Boot: v.Boot}
		rows = append(rows, m.WithPool(short.take(spare)))
		if len(rows) == adoptBatch {
			break
		}
	}
	if len(rows) == 0 {
		return s, nil
	}
	decision := croft.Decision{
		Action:  "Adopt",
		Subject: fmt.Sprintf("%d VMs from %s", len(rows), rows[0].VM),
		Choice:  string(rows[0].Pool),
		Reason:  "in the list without a pool",
	}
	return s.putAll(rows, in.Lease.Fence(spare), "", decision, now, in)
}

// shortage is how many VMs a pool lacks of its size.
type shortage struct {
	pool croft.PoolID
	want int
	have int
}

type shortages []shortage

func (s State) shortages(c croft.Config) shortages {
	var all shortages
	for _, p := range c.Pools {
		g, _ := s.index.Get(p.ID)
		all = append(all, shortage{pool: p.ID, want: max(p.Size, p.MinServing), have: g.vms.Len()})
	}
	for id := range s.busy.All() {
		token, _ := s.busy.Get(id)
		w, _ := s.writes.Get(token)
		for _, m := range w.rows {
			if m.VM == id && m.Epoch == 1 {
				all.add(m.Pool)
			}
		}
	}
	return all
}

func (s shortages) add(pool croft.PoolID) {
	for i := range s {
		if s[i].pool == pool {
			s[i].have++
		}
	}
}

// take returns the pool with the least share of its size, or the spare pool where all have theirs.
func (s shortages) take(spare croft.PoolID) croft.PoolID {
	best := -1
	for i, x := range s {
		if x.have >= x.want {
			continue
		}
		if best < 0 || x.have*s[best].want < s[best].have*x.want {
			best = i
		}
	}
	if best < 0 {
		return spare
	}
	s[best].have++
	return s[best].pool
}

// confirm writes the boot of VMs that restarted while they served, a batch of each pool at a time.
func (s State) confirm(now croft.Millis, in Inputs) (State, []croft.Effect) {
	rows := map[croft.PoolID][]croft.Member{}
	var order []croft.PoolID
	for id := range s.unconfirmed.All() {
		m, _ := s.members.Get(id)
		if _, holds := s.fence(m.Pool, now, in); !holds || s.busy.Has(id) || len(rows[m.Pool]) == adoptBatch {
			continue
		}
		v, _ := s.vms.Get(id)
		row := m.Member
		row.Boot = v.Boot
		row.Epoch++
		if rows[m.Pool] == nil {
			order = append(order, m.Pool)
		}
		rows[m.Pool] = append(rows[m.Pool], row)
	}
	var effects []croft.Effect
	for _, p := range order {
		fence, _ := s.fence(p, now, in)
		var f []croft.Effect
		s, f = s.putAll(rows[p], fence, "", croft.Decision{
			Action:  "Confirm",
			Subject: fmt.Sprintf("%d VMs from %s", len(rows[p]), rows[p][0].VM),
			Choice:  string(p),
			Reason:  "restarted while serving",
		}, now, in)
		effects = append(effects, f...)
	}
	return s, effects
}
