package daemon

import (
	"expvar"
	"runtime"
	"syscall"

	"waxwing.example/croft"
	"waxwing.example/croft/ops"
)

// vars are an entry's own counters; expvar's registry is one for each process, so that they
// stay out of it and one process can run several entries.
type vars struct {
	overflow       expvar.Int
	platformErrors expvar.Int
	all            *expvar.Map
}

func newVars() *vars { return &vars{all: new(expvar.Map)} }

func (v *vars) publish(p *parts) {
	control := new(expvar.Map)
	control.Set("EventsReduced", &p.loop.reduced)
	control.Set("EventsDropped", &p.loop.dropped)
	control.Set("ReduceMicros", &p.loop.busy)
	control.Set("EffectsOverflown", &v.overflow)
	control.Set("PlatformErrors", &v.platformErrors)
	control.Set("ProcessorMillis", expvar.Func(func() any { return processorMillis() }))
	control.Set("MemoryBytes", expvar.Func(func() any { return memoryBytes() }))
	v.all.Set("Control", control)
	v.all.Set("Peers", p.peerMeter.Vars())
	v.all.Set("Platform", p.platformMeter.Vars())
	v.all.Set("Log", p.log.Metrics())
	v.all.Set("View", expvar.Func(func() any { return viewVars(p.loop.View()) }))
	v.all.Set("Classes", expvar.Func(func() any { return p.front.Meter().Snapshot() }))
	v.all.Set("Claims", p.claims.Vars())
	v.all.Set("Undeclared", expvar.Func(func() any { return p.front.Meter().Undeclared() }))
	v.all.Set("Pools", expvar.Func(func() any { return poolVars(backend{p}.Pools()) }))
}

// poolVars is the pools by name, which the configuration bounds.
func poolVars(lines []ops.PoolLine) map[croft.PoolID]ops.PoolLine {
	byID := make(map[croft.PoolID]ops.PoolLine, len(lines))
	for _, l := range lines {
		byID[l.Pool] = l
	}
	return byID
}

// viewVars is what operators watch of the view.
func viewVars(v *croft.View) any {
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

// processorMillis is the processor time of the whole process, in milliseconds.
func processorMillis() croft.Millis {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return millisOf(u.Utime) + millisOf(u.Stime)
}

func millisOf(t syscall.Timeval) croft.Millis {
	return croft.Millis(t.Sec)*croft.Second + croft.Millis(t.Usec)/1000
}

// memoryBytes is the memory obtained from the system, in bytes.
func memoryBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Sys - m.HeapReleased
}
