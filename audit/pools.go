package audit

import "waxwing.example/croft"

func (c *checker) checkPools() {
	used := map[croft.PoolID]bool{}
	for _, q := range c.config.Queues {
		used[q.Pool] = true
	}
	ids, spares := make([]string, 0, len(c.config.Pools)), 0
	for _, p := range c.config.Pools {
		ids = append(ids, string(p.ID))
	}
	c.checkIDs(KindPool, ids)
	for _, p := range c.config.Pools {
		if p.Spare {
			spares++
			continue
		}
		if !used[p.ID] {
			c.add(Warning, UnusedPool, KindPool, string(p.ID), "no queue uses it")
		}
	}
	if spares > 1 {
		c.add(Error, SeveralSpares, KindConfiguration, "", "%d pools are spare, at most one may be", spares)
	}
}
