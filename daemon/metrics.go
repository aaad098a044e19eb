package daemon

import (
	"expvar"
	"runtime"
	"syscall"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
)

// metrics holds the counters of one entry. They are not in expvar's registry, which is global to the process, since one
// process can run several entries.
type metrics struct {
	droppedEffects expvar.Int
	platformErrors expvar.Int
	// libraryLines counts lines that libraries printed through the standard log package.
	libraryLines expvar.Int
	root         *expvar.Map
	// inflow has what clients hold open at each listener.
	inflow *expvar.Map
}

func newMetrics() *metrics { return &metrics{root: new(expvar.Map), inflow: new(expvar.Map)} }

// publish adds the metrics of all components to the map that operators read.
func (m *metrics) publish(c *components) {
	control := new(expvar.Map)
	control.Set("EventsReduced", &c.loop.reduced)
	control.Set("EventsDropped", &c.loop.dropped)
	control.Set("ReduceMicros", &c.loop.reduceMicros)
	control.Set("EffectsOverflown", &m.droppedEffects)
	control.Set("PlatformErrors", &m.platformErrors)
	control.Set("LibraryLines", &m.libraryLines)
	control.Set("ProcessorMillis", expvar.Func(func() any { return processCPUMillis() }))
	control.Set("MemoryBytes", expvar.Func(func() any { return processMemoryBytes() }))
	m.root.Set("Control", control)
	m.root.Set("Inflow", m.inflow)
	m.root.Set("Peers", c.peerMeter.Vars())
	m.root.Set("Platform", c.platformMeter.Vars())
	m.root.Set("Log", c.log.Metrics())
	m.root.Set("View", expvar.Func(func() any { return viewSummary(c.loop.View()) }))
	m.root.Set("Classes", expvar.Func(func() any { return c.front.Meter().Snapshot() }))
	m.root.Set("Claims", c.claims.Vars())
	m.root.Set("Undeclared", expvar.Func(func() any { return c.front.Meter().Undeclared() }))
	m.root.Set("Pools", expvar.Func(func() any { return poolsByID(backend{c}.Pools()) }))
}

// poolsByID returns the pools' states by ID; the configuration bounds their number.
func poolsByID(lines []ops.PoolLine) map[croft.PoolID]ops.PoolLine {
	byID := make(map[croft.PoolID]ops.PoolLine, len(lines))
	for _, l := range lines {
		byID[l.Pool] = l
	}
	return byID
}

// viewSummary returns the fields of the view that are shown as metrics.
func viewSummary(v *croft.View) any {
	return struct {
		Entry             croft.EntryID
		DataCentre        croft.DataCentre
		ConfigVersion     uint64
		Entries           int
		Ready             bool
		Stopping          bool
		PlatformReachable bool
	}{v.Self.ID, v.Self.DataCentre, v.Config.Version, len(v.Entries), v.Ready, v.Stopping, v.PlatformReachable}
}

// processCPUMillis returns the user and system CPU time of the whole process, or zero if it cannot be read.
func processCPUMillis() croft.Millis {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return millisOf(u.Utime) + millisOf(u.Stime)
}

func millisOf(t syscall.Timeval) croft.Millis {
	return croft.Millis(t.Sec)*croft.Second + croft.Millis(t.Usec)/1000
}

// processMemoryBytes returns the memory that the Go runtime holds: obtained from the system and not returned to it.
func processMemoryBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Sys - m.HeapReleased
}
