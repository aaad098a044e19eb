package pools

import (
	"fmt"

	"waxwing.example/croft"
)

// assignNewVMs writes the first member row of listed VMs that have none, each in the pool with the lowest ratio of VMs to
// target size. Only the planner of the spare pool does this.
func (s State) assignNewVMs(now croft.Millis, in Inputs) (State, []croft.Effect) {
	sparePool := SparePool(in.Config)
	if s.unassigned.Len() == 0 || sparePool == "" || !in.plansFor(sparePool, now) {
		return s, nil
	}
	var rows []croft.Member
	counts := s.countPools(in.Config)
	for id := range s.unassigned.All() {
		if s.busy.Has(id) {
			continue
		}
		v, _ := s.vms.Get(id)
		m := croft.Member{VM: id, Phase: croft.PhaseServing, Epoch: 1, Since: now, Boot: v.Boot}
		rows = append(rows, m.WithPool(counts.mostShort(sparePool)))
		if len(rows) == maxBatchRows {
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
		Reason:  "listed VMs had no member row",
	}
	return s.commitRows(rows, in.Lease.Fence(sparePool), "", decision, now, in)
}

// poolCount holds the number of VMs of a pool and its target size.
type poolCount struct {
	pool   croft.PoolID
	target int
	count  int
}

// poolCounts holds one poolCount for each declared pool, in the order of the configuration.
type poolCounts []poolCount

// countPools counts the VMs of each pool, with those whose first member row is still being written.
func (s State) countPools(c croft.Config) poolCounts {
	var all poolCounts
	for _, p := range c.Pools {
		index, _ := s.pools.Get(p.ID)
		all = append(all, poolCount{pool: p.ID, target: max(p.Size, p.MinServing), count: index.vms.Len()})
	}
	for id := range s.busy.All() {
		token, _ := s.busy.Get(id)
		w, _ := s.writes.Get(token)
		for _, m := range w.rows {
			if m.VM == id && m.Epoch == 1 {
				all.addVM(m.Pool)
			}
		}
	}
	return all
}

// addVM counts one more VM in a pool.
func (s poolCounts) addVM(pool croft.PoolID) {
	for i := range s {
		if s[i].pool == pool {
			s[i].count++
		}
	}
}

// mostShort returns the pool with the lowest ratio of VMs to target size and counts one more VM in it. If every pool has
// reached its target, it returns the spare pool.
func (s poolCounts) mostShort(spare croft.PoolID) croft.PoolID {
	best := -1
	for i, c := range s {
		if c.count >= c.target {
			continue
		}
		if best < 0 || c.count*s[best].target < s[best].count*c.target {
			best = i
		}
	}
	if best < 0 {
		return spare
	}
	s[best].count++
	return s[best].pool
}

// recordRestarts writes the new boot into the rows of VMs that restarted while serving, in one transaction for each pool
// with at most maxBatchRows rows.
func (s State) recordRestarts(now croft.Millis, in Inputs) (State, []croft.Effect) {
	rows := map[croft.PoolID][]croft.Member{}
	var order []croft.PoolID
	for id := range s.unrecordedRestarts.All() {
		m, _ := s.members.Get(id)
		if _, plans := s.fencingChecks(m.Pool, now, in); !plans || s.busy.Has(id) || len(rows[m.Pool]) == maxBatchRows {
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
		checks, _ := s.fencingChecks(p, now, in)
		var more []croft.Effect
		s, more = s.commitRows(rows[p], checks, "", croft.Decision{
			Action:  "Confirm",
			Subject: fmt.Sprintf("%d VMs from %s", len(rows[p]), rows[p][0].VM),
			Choice:  string(p),
			Reason:  "VMs restarted while serving; their rows get the new boot",
		}, now, in)
		effects = append(effects, more...)
	}
	return s, effects
}
