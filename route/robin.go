package route

import "waxwing.example/croft"

// RoundRobin takes the executors in turn, whatever their load and data centre.
type RoundRobin struct {
	table
	next map[croft.PoolID]int
}

// NewRoundRobin returns a picker that starts with the first executor of each pool.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{table: newTable(), next: map[croft.PoolID]int{}}
}

// Pick chooses an executor and counts it as in use, or reports that none is to be had.
func (r *RoundRobin) Pick(ask Ask) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range ask.Endpoints {
		i := r.next[ask.Pool] % len(ask.Endpoints)
		r.next[ask.Pool] = i + 1
		e := ask.Endpoints[i]
		if !r.open(ask.Now, e) {
			continue
		}
		r.inUse[e.VM]++
		return Choice{Endpoint: e, Reason: "next in turn"}, true
	}
	return Choice{}, false
}
