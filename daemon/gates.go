package daemon

import (
	"expvar"
	"syscall"

	"waxwing.example/croft/inflow"
	"waxwing.example/croft/serve"
)

// gates limit what clients hold open at each listener.
type gates struct{ callers, operators, peers *inflow.Gate }

// newGates returns the gates of the settings, and publishes the metrics of each by the name of its listener.
func (c *components) newGates() gates {
	descriptors := c.settings.Limits.Descriptors
	if descriptors == 0 {
		descriptors = processDescriptors()
	}
	gate := func(name string, limits inflow.Limits) *inflow.Gate {
		var connections, bodies expvar.Int
		dropped := new(expvar.Map)
		listener := new(expvar.Map)
		listener.Set("Connections", &connections)
		listener.Set("BodyBytes", &bodies)
		listener.Set("Dropped", dropped)
		c.metrics.inflow.Set(name, listener)
		return inflow.NewGate(inflow.Options{
			Name: name, Limits: limits, Clock: c.clock, Log: c.log,
			Count: func(reason inflow.Reason) { dropped.Add(string(reason), 1) },
			Open: func(open int, bytes int64) {
				connections.Set(int64(open))
				bodies.Set(bytes)
			},
		})
	}
	memoryMB := c.settings.Limits.MemoryMB
	return gates{
		callers:   gate("Callers", inflow.ForwardLimits(memoryMB, descriptors)),
		operators: gate("Operators", inflow.OperatorLimits(memoryMB, descriptors)),
		peers:     gate("Peers", inflow.PeerLimits(memoryMB, descriptors)),
	}
}

// processDescriptors returns the maximum number of open descriptors of the process, zero if it is not known.
func processDescriptors() int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	const maxDescriptors = 1 << 20
	return int64(min(limit.Cur, maxDescriptors))
}

// headerLimits are the limits of headers at both HTTP listeners.
func (c *components) headerLimits() serve.HeaderLimits {
	return serve.HeaderLimits{
		Bytes: c.settings.Limits.HeaderBytes, Timeout: c.settings.Timing.HeadersMs, Idle: c.settings.Timing.IdleMs,
	}
}
