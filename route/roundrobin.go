package route

import "waxwing.example/croft"

// RoundRobin picks the executors of a pool in turn, regardless of their load and data centre.
type RoundRobin struct {
	executorState
	nextIndex map[croft.PoolID]int
}

// NewRoundRobin returns a round-robin picker that starts with the first executor of each pool.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{executorState: newExecutorState(), nextIndex: map[croft.PoolID]int{}}
}

// Pick chooses an executor and counts it as in use, or reports that none is available.
func (r *RoundRobin) Pick(ask PickRequest) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range ask.Endpoints {
		i := r.nextIndex[ask.Pool] % len(ask.Endpoints)
		r.nextIndex[ask.Pool] = i + 1
		e := ask.Endpoints[i]
		if !r.accepting(ask.Now, e) {
			continue
		}
		r.inUse[e.VM]++
		return Choice{Endpoint: e, Reason: "next executor of the pool in round-robin order"}, true
	}
	return Choice{}, false
}
