package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/maint"
)

// size is a fleet's size and what happens to it on an ordinary day.
type size struct {
	vms, pools, spare int
	// failures and restarts are those of a day.
	failures, restarts int
}

// targetSize is the size of the target; tenthSize has the same shape.
func targetSize() size { return size{vms: 5600, pools: 75, spare: 350, failures: 91, restarts: 960} }
func tenthSize() size  { return size{vms: 560, pools: 8, spare: 35, failures: 9, restarts: 96} }

const (
	repairSpan    = 3 * croft.Day
	largeStepSpan = 2 * croft.Minute
	stepsADay     = int(croft.Day / largeStepSpan)
)

func (z size) config() croft.Config {
	c := croft.Config{Version: 1}
	each := (z.vms - z.spare) / (z.pools - 1)
	for i := range z.pools - 1 {
		c.Pools = append(c.Pools, croft.Pool{
			ID:         croft.PoolID(fmt.Sprintf("p%02d", i)),
			Promise:    990_000,
			MinServing: each * 4 / 5,
			Size:       each,
			WaveSize:   3,
		})
	}
	c.Pools = append(c.Pools, croft.Pool{ID: "spare", Promise: 900_000, Spare: true, WaveSize: 5})
	return c
}

// step lets the entry look around for some seconds, and then skips the rest of the span.
func (w *world) step(n *node) {
	end := w.now + largeStepSpan
	for range 12 {
		w.deliver(n, croft.Tick{At: croft.At{Time: w.now}, Seed: w.rnd.Uint64()})
		w.list(n)
		w.run(500)
	}
	w.run(end - w.now)
}

// share returns how many of a day's events fall into one step.
func (w *world) share(aDay int) int {
	n := aDay / stepsADay
	if w.rnd.IntN(stepsADay) < aDay%stepsADay {
		n++
	}
	return n
}

func (w *world) ordinaryDay(n *node, z size) {
	for range stepsADay {
		for range w.share(z.failures) {
			v := w.vms[w.order[w.rnd.IntN(len(w.order))]]
			if v.Status != croft.VMFailed {
				w.setVM(v.WithStatus(croft.VMFailed))
				w.after(repairSpan, func() { w.repair(v.ID) })
			}
		}
		for range w.share(z.restarts) {
			w.reboot(w.vms[w.order[w.rnd.IntN(len(w.order))]])
		}
		w.step(n)
	}
}

// adopted returns a fleet all of whose VMs have their rows, planned for by one entry.
func adopted(t testing.TB, z size) (*world, *node) {
	w := newWorld(7, z.config(), makeVMs(z.vms, z.vms/4), 1, DefaultOptions())
	n := w.entries[0]
	w.queue = nil
	for n.state.Members().Len() < z.vms && w.now < croft.Day {
		w.step(n)
	}
	assert.Equal(t, n.state.Members().Len(), z.vms)
	return w, n
}

// fourWeeks runs 28 ordinary days, after which no VM that is up may have gone longer without maintenance.
func fourWeeks(t testing.TB, z size) {
	w, n := adopted(t, z)
	for range 28 {
		w.ordinaryDay(n, z)
	}
	late, failed := 0, 0
	for id, m := range n.state.Members().All() {
		if w.vms[id].Status == croft.VMFailed {
			failed++
			continue
		}
		if m.Maintained == 0 && w.now >= m.Since+maint.Period {
			late++
			t.Logf("%s: %+v", id, m)
		}
	}
	t.Logf("28 days: decisions %v; %d VMs under repair, %d not maintained", w.decisions, failed, late)
	assert.Equal(t, len(w.broken), 0, "%v", w.broken[:min(5, len(w.broken))])
	assert.Equal(t, late, 0)
	assert.Assert(t, w.decisions["Maintained"] >= z.vms, "%d VMs maintained", w.decisions["Maintained"])
}

func TestEveryVMIsMaintainedWithinFourWeeks(t *testing.T) { fourWeeks(t, tenthSize()) }

// BenchmarkFourWeeksAtTheTargetsSize holds the same laws at the target's size.
func BenchmarkFourWeeksAtTheTargetsSize(b *testing.B) {
	for range b.N {
		fourWeeks(b, targetSize())
	}
}
