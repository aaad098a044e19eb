package claim

import "expvar"

// counters count since the start of the entry.
type counters struct {
	// granted, held and refused count this entry's own requests by how Claim ended.
	granted expvar.Int
	held    expvar.Int
	refused expvar.Int
	// released counts the claims given back.
	released expvar.Int
	// served counts claims of other entries that were committed here or found held.
	served expvar.Int
	// commits counts the transactions asked for, conflicts those that lost to another entry's.
	commits   expvar.Int
	conflicts expvar.Int
}

// Vars returns the counters of claims, and whether claims are refused at once.
func (c *Claimer) Vars() expvar.Var {
	all := new(expvar.Map)
	all.Set("Granted", &c.counters.granted)
	all.Set("Held", &c.counters.held)
	all.Set("Refused", &c.counters.refused)
	all.Set("Released", &c.counters.released)
	all.Set("Served", &c.counters.served)
	all.Set("Commits", &c.counters.commits)
	all.Set("Conflicts", &c.counters.conflicts)
	all.Set("CircuitOpen", expvar.Func(func() any { return c.open.Load() }))
	return all
}
