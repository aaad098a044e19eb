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

// grown returns a quiet fleet with a running job on each VM; of its pools the entry plans for the first few only,
// another one for the others.
func grown(b testing.TB, z size, held int) (*world, *node, []croft.WorkerReport) {
	w, n := adopted(b, z)
	w.version++
	w.put(croft.SessionKey("other"), lease.Session{Entry: "other"})
	for i, p := range w.config.Pools {
		if i >= held {
			w.put(croft.PlanKey(p.ID), lease.Plan{Holder: "other", Epoch: 2})
		}
	}
	var reports []croft.WorkerReport
	for id, m := range n.state.Members().All() {
		job := croft.Job{
			ID: croft.JobID("job-" + string(id)), Pool: m.Pool, Declared: cores(4), Reported: cores(4),
			Status: croft.JobRunning, Worker: id, Run: 1,
		}
		w.put(croft.JobKey(job.ID), job)
		task := croft.TaskReport{Job: job.ID, Run: 1, State: croft.TaskRunning, Used: cores(4)}
		if slices.IndexFunc(w.config.Pools, func(p croft.Pool) bool { return p.ID == m.Pool }) < held {
			reports = append(reports, croft.WorkerReport{VM: id, Boot: m.Boot, Tasks: []croft.TaskReport{task}})
		}
	}
	in := Inputs{Self: n.peer, Config: w.config, Entries: w.alive(), Reachable: true}
	for range 20 {
		w.second(n, in, reports, z)
	}
	assert.Equal(b, n.state.Jobs().Len(), z.vms)
	return w, n, reports
}

func (w *world) put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.rows[key] = croft.Row{Key: key, Version: w.version, Value: body}
	w.written[kind(key)] = append(w.written[kind(key)], writtenKey{version: w.version, key: key})
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// benchSizes are fleets of the same shape, with the pools in proportion.
func benchSizes() []size {
	return []size{
		{vms: 500, pools: 7, spare: 31, failures: 8, restarts: 86},
		{vms: 1500, pools: 20, spare: 94, failures: 24, restarts: 257},
		targetSize(),
	}
}

// BenchmarkEvents gives the time of one event of each sort at one entry that plans for all pools.
func BenchmarkEvents(b *testing.B) {
	for _, z := range benchSizes() {
		w, n, reports := grown(b, z, z.pools)
		in := Inputs{Self: n.peer, Config: w.config, Entries: w.alive(), Reachable: true}
		sorts := []struct {
			name  string
			event func(i int) croft.Event
		}{
			{"Report", func(i int) croft.Event {
				k := i % len(reports)
				return croft.WorkersReported{At: croft.At{Time: w.now}, Reports: reports[k : k+1]}
			}},
			{"Restart", func(i int) croft.Event {
				v := w.vms[w.order[i%len(w.order)]]
				v.Boot += uint64(i/len(w.order) + 1)
				return croft.VMsListed{
					At:    croft.At{Time: w.now},
					Delta: croft.VMDelta{Version: uint64(len(w.changes) + i + 1), Changed: []croft.VM{v}},
				}
			}},
		}
		for _, k := range sorts {
			b.Run(fmt.Sprintf("%s/vms=%d/pools=%d", k.name, z.vms, z.pools), func(b *testing.B) {
				b.ReportAllocs()
				s := n.state
				for i := range b.N {
					s, _ = Reduce(s, k.event(i), in)
				}
			})
		}
	}
}

// BenchmarkMemory gives the live heap of one entry's state of the fleet, rows and list included.
func BenchmarkMemory(b *testing.B) {
	for _, z := range benchSizes() {
		b.Run(fmt.Sprintf("vms=%d/pools=%d", z.vms, z.pools), func(b *testing.B) {
			for range b.N {
				_, n, _ := grown(b, z, z.pools)
				with := liveHeap()
				n.state = State{}
				held := int64(with) - int64(liveHeap())
				assert.Assert(b, held > 0)
				b.ReportMetric(float64(held)/float64(z.vms), "B/vm")
				b.ReportMetric(float64(held)/(1<<20), "MB")
				runtime.KeepAlive(n)
			}
		})
	}
}

// BenchmarkShare gives the time of one second of the target's events at one entry of a count, that plans for its share of the pools:
// ticks each 100 ms, the list's changes, and the reports of its pools' workers each 10 s.
func BenchmarkShare(b *testing.B) {
	for _, entries := range []int{1, 90} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			z := targetSize()
			held := max(1, z.pools/entries)
			w, n, reports := grown(b, z, held)
			in := Inputs{Self: n.peer, Config: w.config, Reachable: true}
			for i := range entries {
				in.Entries = append(in.Entries, croft.Peer{ID: croft.EntryID(fmt.Sprintf("e%d", i))})
			}
			b.ResetTimer()
			for range b.N {
				w.second(n, in, reports, z)
			}
			owned := 0
			for _, p := range w.config.Pools {
				if n.state.Holds(n.peer.ID, p.ID, w.now) {
					owned++
				}
			}
			assert.Equal(b, owned, held)
			used := b.Elapsed().Seconds() / float64(b.N)
			b.ReportMetric(used*100, "%core")
		})
	}
}

// second delivers one second of the target's events and the answers that its effects get.
func (w *world) second(n *node, in Inputs, reports []croft.WorkerReport, z size) {
	reduce := func(e croft.Event) {
		var effects []croft.Effect
		n.state, effects = Reduce(n.state, e, in)
		for _, f := range effects {
			w.do(n, f)
		}
	}
	for range w.chances(z.restarts) {
		w.reboot(w.vms[w.order[w.rnd.IntN(len(w.order))]])
	}
	for range w.chances(z.failures) {
		v := w.vms[w.order[w.rnd.IntN(len(w.order))]]
		w.setVM(v.WithStatus(croft.VMFailed))
		w.after(repairSpan, func() { w.repair(v.ID) })
	}
	w.list(n)
	w.version++
	w.put(croft.SessionKey("other"), lease.Session{Entry: "other", Count: w.version})
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

// chances returns how many of a day's events fall into one second.
func (w *world) chances(aDay int) int {
	if w.rnd.IntN(int(croft.Day/croft.Second)) < aDay {
		return 1
	}
	return 0
}
