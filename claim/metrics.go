package claim

import "expvar"

// counters holds the totals since the start of the entry.
type counters struct {
	// granted, held and refused count the calls of Claim by their result.
	granted expvar.Int
	held    expvar.Int
	refused expvar.Int
	// released counts the calls of Release.
	released expvar.Int
	// served counts the claims of other entries for which this entry returned a result.
	served expvar.Int
	// commits counts the attempted transactions, conflicts those that lost to another entry's.
	commits   expvar.Int
	conflicts expvar.Int
}

// Vars returns the counters of claims and the state of the circuit breaker, for publication with expvar.
func (c *Claimer) Vars() expvar.Var {
	all := new(expvar.Map)
	all.Set("Granted", &c.counters.granted)
	all.Set("Held", &c.counters.held)
	all.Set("Refused", &c.counters.refused)
	all.Set("Released", &c.counters.released)
	all.Set("Served", &c.counters.served)
	all.Set("Commits", &c.counters.commits)
	all.Set("Conflicts", &c.counters.conflicts)
	all.Set("CircuitOpen", expvar.Func(func() any { return c.circuitOpen.Load() }))
	return all
}
