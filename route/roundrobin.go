package route

import "waxwing.example/croft"

// RoundRobin picks the executors of a pool in turn, regardless of their load, their data centre and earlier attempts; it
// is the baseline for comparisons.
type RoundRobin struct {
	executorState
	// nextIndex is the index in a pool's list of the executor to consider next.
	nextIndex map[croft.PoolID]int
}

// NewRoundRobin returns a round-robin picker that starts with the first executor of each pool.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{executorState: newExecutorState(), nextIndex: map[croft.PoolID]int{}}
}

// Pick chooses an executor and counts it as in use, or reports that none is available.
func (r *RoundRobin) Pick(request PickRequest) (Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range request.Endpoints {
		i := r.nextIndex[request.Pool] % len(request.Endpoints)
		r.nextIndex[request.Pool] = i + 1
		e := request.Endpoints[i]
		if !r.accepting(request.Now, e) {
			continue
		}
		r.inUse[e.VM]++
		return Choice{Endpoint: e, Reason: "next executor of the pool in round-robin order"}, true
	}
	return Choice{}, false
}
