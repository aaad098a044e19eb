package fleet

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/lease"
)

// newBusyFleet returns a fleet with a running job on each VM and no pending changes. The returned entry
// plans for the first plannedPools pools. The others are planned by a second entry, which exists only as a session row.
// The returned worker reports are those of the first plannedPools pools.
func newBusyFleet(b testing.TB, z fleetSize, plannedPools int) (*world, *simEntry, []croft.WorkerReport) {
	w, n := newAdoptedFleet(b, z)
	w.version++
	w.putRow(croft.SessionKey("other"), lease.Session{Entry: "other"})
	for i, p := range w.config.Pools {
		if i >= plannedPools {
			w.putRow(croft.PlanKey(p.ID), lease.Plan{Holder: "other", Epoch: 2})
		}
	}
	var reports []croft.WorkerReport
	for id, m := range n.state.Members().All() {
		job := croft.Job{
			ID: croft.JobID("job-" + string(id)), Pool: m.Pool, Declared: cores(4), Reported: cores(4),
			Status: croft.JobRunning, Worker: id, Run: 1,
		}
		w.putRow(croft.JobKey(job.ID), job)
		task := croft.TaskReport{Job: job.ID, Run: 1, State: croft.TaskRunning, Used: cores(4)}
		if slices.IndexFunc(w.config.Pools, func(p croft.Pool) bool { return p.ID == m.Pool }) < plannedPools {
			reports = append(reports, croft.WorkerReport{VM: id, Boot: m.Boot, Tasks: []croft.TaskReport{task}})
		}
	}
	in := Inputs{Self: n.peer, Config: w.config, Entries: w.alive(), PlatformReachable: true}
	for range 20 {
		w.simulateSecond(n, in, reports, z)
	}
	assert.Equal(b, n.state.Jobs().Len(), z.vms)
	return w, n, reports
}

// putRow writes a row at the table's current version without checking the invariants.
func (w *world) putRow(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.rows[key] = croft.Row{Key: key, Version: w.version, Value: body}
	w.writeLog[keyKind(key)] = append(w.writeLog[keyKind(key)], loggedWrite{version: w.version, key: key})
}

// liveHeap returns the bytes of reachable heap objects.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchSizes returns fleet sizes up to the target, with pools and events in proportion to the VMs.
func benchSizes() []fleetSize {
	return []fleetSize{
		{vms: 500, pools: 7, spare: 31, failures: 8, restarts: 86},
		{vms: 1500, pools: 20, spare: 94, failures: 24, restarts: 257},
		targetSize(),
	}
}

// BenchmarkEvents measures the time of one worker report and of one VM restart at an entry that plans for all pools.
func BenchmarkEvents(b *testing.B) {
	for _, z := range benchSizes() {
		w, n, reports := newBusyFleet(b, z, z.pools)
		in := Inputs{Self: n.peer, Config: w.config, Entries: w.alive(), PlatformReachable: true}
		eventCases := []struct {
			name  string
			event func(i int) croft.Event
		}{
			{"Report", func(i int) croft.Event {
				k := i % len(reports)
				return croft.WorkersReported{At: croft.At{Time: w.now}, Reports: reports[k : k+1]}
			}},
			{"Restart", func(i int) croft.Event {
				v := w.vms[w.vmIDs[i%len(w.vmIDs)]]
				v.Boot += uint64(i/len(w.vmIDs) + 1)
				return croft.VMsListed{
					At:    croft.At{Time: w.now},
					Delta: croft.VMDelta{Version: uint64(len(w.changes) + i + 1), Changed: []croft.VM{v}},
				}
			}},
		}
		for _, eventCase := range eventCases {
			b.Run(fmt.Sprintf("%s/vms=%d/pools=%d", eventCase.name, z.vms, z.pools), func(b *testing.B) {
				b.ReportAllocs()
				s := n.state
				for i := range b.N {
					s, _ = Reduce(s, eventCase.event(i), in)
				}
			})
		}
	}
}

// BenchmarkMemory measures the live heap of one entry's fleet state, including the rows and the VM list.
func BenchmarkMemory(b *testing.B) {
	for _, z := range benchSizes() {
		b.Run(fmt.Sprintf("vms=%d/pools=%d", z.vms, z.pools), func(b *testing.B) {
			for range b.N {
				_, n, _ := newBusyFleet(b, z, z.pools)
				before := liveHeap()
				n.state = State{}
				stateBytes := int64(before) - int64(liveHeap())
				assert.Assert(b, stateBytes > 0)
				b.ReportMetric(float64(stateBytes)/float64(z.vms), "B/vm")
				b.ReportMetric(float64(stateBytes)/(1<<20), "MB")
				runtime.KeepAlive(n)
			}
		})
	}
}

// BenchmarkShare measures how much processor time per second one entry uses at the target size, if the pools are split
// evenly between 1 or 90 entries. The events of a second are ticks every 100 ms, changes of the VM list, and a tenth of
// the worker reports of the entry's pools, as each worker reports every 10 s.
func BenchmarkShare(b *testing.B) {
	for _, entries := range []int{1, 90} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			z := targetSize()
			plannedPools := max(1, z.pools/entries)
			w, n, reports := newBusyFleet(b, z, plannedPools)
			in := Inputs{Self: n.peer, Config: w.config, PlatformReachable: true}
			for i := range entries {
				in.Entries = append(in.Entries, croft.Peer{ID: croft.EntryID(fmt.Sprintf("e%d", i))})
			}
			b.ResetTimer()
			for range b.N {
				w.simulateSecond(n, in, reports, z)
			}
			heldPools := 0
			for _, p := range w.config.Pools {
				if n.state.Holds(n.peer.ID, p.ID, w.now) {
					heldPools++
				}
			}
			assert.Equal(b, heldPools, plannedPools)
			coresUsed := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(coresUsed*100, "%core")
		})
	}
}

// simulateSecond delivers the events of one second to the entry and executes the effects that they cause.
func (w *world) simulateSecond(n *simEntry, in Inputs, reports []croft.WorkerReport, z fleetSize) {
	reduce := func(e croft.Event) {
		var effects []croft.Effect
		n.state, effects = Reduce(n.state, e, in)
		for _, f := range effects {
			w.execute(n, f)
		}
	}
	for range w.eventsInSecond(z.restarts) {
		w.reboot(w.vms[w.vmIDs[w.rnd.IntN(len(w.vmIDs))]])
	}
	for range w.eventsInSecond(z.failures) {
		v := w.vms[w.vmIDs[w.rnd.IntN(len(w.vmIDs))]]
		w.setVM(v.WithStatus(croft.VMFailed))
		w.after(repairTime, func() { w.repair(v.ID) })
	}
	w.pollVMs(n)
	w.version++
	w.putRow(croft.SessionKey("other"), lease.Session{Entry: "other", Count: w.version})
	var due []croft.WorkerReport
	for i := int(w.now/croft.Second) % 10; i < len(reports); i += 10 {
		due = append(due, reports[i])
	}
	reduce(croft.WorkersReported{At: croft.At{Time: w.now}, Reports: due})
	for range 10 {
		reduce(croft.Tick{At: croft.At{Time: w.now}, Seed: w.rnd.Uint64()})
		w.run(100)
	}
}

// eventsInSecond draws whether one of a day's events falls into a second, and returns 1 or 0.
func (w *world) eventsInSecond(aDay int) int {
	if w.rnd.IntN(int(croft.Day/croft.Second)) < aDay {
		return 1
	}
	return 0
}
