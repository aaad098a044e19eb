package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/maint"
)

// The sizes and failures of the target.
const (
	largeVMs       = 5600
	largePools     = 75
	failuresADay   = 91
	restartsADay   = 960
	repairDays     = 3
	largeSpareVMs  = 350
	largeStepSpan  = 2 * croft.Minute
	stepsADay      = int(croft.Day / largeStepSpan)
	largePoolSize  = (largeVMs - largeSpareVMs) / (largePools - 1)
	largePoolNeeds = largePoolSize * 4 / 5
)

func largeConfig() croft.Config {
	c := croft.Config{Version: 1}
	for i := range largePools - 1 {
		c.Pools = append(c.Pools, croft.Pool{
			ID:         croft.PoolID(fmt.Sprintf("p%02d", i)),
			Promise:    990_000,
			MinServing: largePoolNeeds,
			Size:       largePoolSize,
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

func (w *world) ordinaryDay(n *node) {
	for range stepsADay {
		if w.rnd.IntN(stepsADay) < failuresADay {
			v := w.vms[w.order[w.rnd.IntN(len(w.order))]]
			if v.Status != croft.VMFailed {
				w.setVM(v.WithStatus(croft.VMFailed))
				w.after(repairDays*croft.Day, func() { w.repair(v.ID) })
			}
		}
		for range restartsADay / stepsADay {
			w.reboot(w.vms[w.order[w.rnd.IntN(len(w.order))]])
		}
		w.step(n)
	}
}

func TestEveryVMIsMaintainedWithinFourWeeksAtTheTargetsSize(t *testing.T) {
	w := newWorld(7, largeConfig(), makeVMs(largeVMs, largeVMs/4), 1, DefaultOptions())
	n := w.entries[0]
	w.queue = nil
	for n.state.Members().Len() < largeVMs && w.now < croft.Day {
		w.step(n)
	}
	assert.Equal(t, n.state.Members().Len(), largeVMs)
	for range 28 {
		w.ordinaryDay(n)
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
}
