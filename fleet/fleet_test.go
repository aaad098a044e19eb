package fleet

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
	"waxwing.example/croft/lease"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if flag.Set("rapid.seed", "20261204") != nil {
			os.Exit(2)
		}
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if flag.Set("rapid.checks", "200") != nil {
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// smallConfig returns a configuration of three pools, the last of which is the spare pool.
func smallConfig() croft.Config {
	return croft.Config{Version: 1, Pools: []croft.Pool{
		{ID: "a", Promise: 990_000, MinServing: 2, Size: 4, WaveSize: 2},
		{ID: "b", Promise: 990_000, MinServing: 2, Size: 4, WaveSize: 1},
		{ID: "spare", Promise: 900_000, Spare: true, WaveSize: 2},
	}}
}

// makeVMs returns live VMs that are spread evenly over racks.
func makeVMs(count, racks int) []croft.VM {
	var vms []croft.VM
	for i := range count {
		vms = append(vms, croft.VM{
			ID:      croft.VMID(fmt.Sprintf("vm%04d", i)),
			Rack:    croft.RackID(fmt.Sprintf("r%03d", i%racks)),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Boot:    1,
			Status:  croft.VMLive,
			Room:    croft.Resources{MilliCores: 16_000, MemoryMB: 30_000},
		})
	}
	return vms
}

// injectDisturbance picks one disturbance at random: a pause or a replacement of an entry, a failure or a restart of a
// VM, two racing operator commands, or a drain that an operator ends later.
func (w *world) injectDisturbance(options Options) {
	n := w.entries[w.rnd.IntN(len(w.entries))]
	v := w.vms[w.vmIDs[w.rnd.IntN(len(w.vmIDs))]]
	pool := w.config.Pools[w.rnd.IntN(len(w.config.Pools))].ID
	switch w.rnd.IntN(9) {
	case 0, 1:
		n.pausedUntil = w.now + croft.Millis(w.rnd.IntN(40_000))
	case 2:
		if len(w.alive()) > 2 && !n.dead {
			n.dead = true
			w.addEntry(croft.EntryID(fmt.Sprintf("e%d", len(w.entries))), options)
		}
	case 3:
		if v.Status != croft.VMFailed {
			w.setVM(v.WithStatus(croft.VMFailed))
			w.after(croft.Millis(w.rnd.IntN(120_000)), func() { w.repair(v.ID) })
		}
	case 4:
		w.reboot(v)
	case 5, 6, 7:
		// Two operators race for one VM, through entries drawn at random.
		w.sendCommand(n, croft.MoveVM{VM: v.ID, To: pool})
		w.sendCommand(w.entries[w.rnd.IntN(len(w.entries))], croft.MaintainVM{VM: v.ID})
	case 8:
		w.sendCommand(n, croft.DrainVM{VM: v.ID})
		w.after(30_000, func() { w.sendCommand(n, croft.DrainVM{VM: v.ID, End: true}) })
	}
}

// repair returns a failed VM to service in a new incarnation.
func (w *world) repair(id croft.VMID) {
	if v := w.vms[id]; v.Status == croft.VMFailed {
		v.Boot++
		w.setVM(v.WithStatus(croft.VMLive))
	}
}

// sendCommand delivers an operator's command to an entry.
func (w *world) sendCommand(n *simEntry, c croft.Command) {
	w.seq++
	w.deliver(n, croft.CommandReceived{At: croft.At{Time: w.now}, Token: fmt.Sprintf("op/%d", w.seq), Command: c})
}

// runWithFaults runs a small fleet under faults and disturbances for some minutes, then without faults until no move is
// pending.
func runWithFaults(seed uint64, f faultRates, options Options) *world {
	w := newWorld(seed, smallConfig(), makeVMs(10, 5), 3, options)
	w.run(30 * croft.Second)
	w.faultRates = f
	for range 12 {
		w.run(croft.Millis(w.rnd.IntN(20_000)))
		w.injectDisturbance(options)
	}
	w.run(croft.Minute)
	w.faultRates = faultRates{}
	for _, v := range w.vmIDs {
		w.repair(v)
	}
	for range 60 {
		w.run(30 * croft.Second)
		if w.noMovesPending() {
			break
		}
	}
	return w
}

// noMovesPending reports whether all VMs are serving, except those that an operator keeps drained.
func (w *world) noMovesPending() bool {
	for _, r := range w.rows {
		m, ok := decodeMember(r)
		if ok && m.Phase != croft.PhaseServing && m.Purpose != croft.PurposeHold {
			return false
		}
	}
	return true
}

// drawFaultRates draws how probable each fault is in one run.
func drawFaultRates(t *rapid.T) faultRates {
	return faultRates{
		lostAnswer:   rapid.SampledFrom([]int{0, 50, 300}).Draw(t, "lost"),
		unavailable:  rapid.SampledFrom([]int{0, 50, 300}).Draw(t, "unavailable"),
		staleRead:    rapid.SampledFrom([]int{0, 200, 800}).Draw(t, "old"),
		orderFailure: rapid.SampledFrom([]int{0, 200}).Draw(t, "orders"),
	}
}

// Under lost answers, stale reads, pauses and takeovers no VM may be used in two pools by one incarnation, every move
// must end, and every command must get exactly one answer.
func TestEveryVMStaysInOnePoolAndEveryMoveEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaultRates(t)
		w := runWithFaults(rapid.Uint64().Draw(t, "seed"), f, DefaultOptions())
		for _, violation := range w.violations {
			t.Error(violation)
		}
		if !w.noMovesPending() {
			t.Errorf("moves pending: %v", w.pendingMembers())
		}
		for token, n := range w.answered {
			if n != 1 {
				t.Errorf("command %s got %d answers", token, n)
			}
		}
		if len(w.rows) == 0 || w.decisions["Adopt"] == 0 {
			t.Errorf("nothing happened: %v", w.decisions)
		}
	})
}

// pendingMembers returns the member rows of VMs that are not serving.
func (w *world) pendingMembers() []croft.Member {
	var pending []croft.Member
	for _, r := range w.rows {
		if m, ok := decodeMember(r); ok && m.Phase != croft.PhaseServing {
			pending = append(pending, m)
		}
	}
	return pending
}

// A planner that was paused for longer than its lease writes as if it still held the lease. If these writes carry no
// fencing token, some run must violate an invariant; otherwise the other tests would not notice missing tokens.
func TestInvariantsNeedFencingTokens(t *testing.T) {
	failedRuns := 0
	for seed := range uint64(40) {
		w := runWithFaults(seed, faultRates{lostAnswer: 50}, Options{Lease: lease.Options{Skew: true}})
		if len(w.violations) > 0 {
			failedRuns++
		}
	}
	t.Logf("without fencing tokens %d of 40 runs violated an invariant", failedRuns)
	assert.Assert(t, failedRuns > 0)
}

// An entry that has read the member rows but not the VM list does not know a VM's boot; it must keep the row's boot when
// it begins a move.
func TestMissingVMListDoesNotLowerABoot(t *testing.T) {
	w := newWorld(1, smallConfig(), makeVMs(10, 5), 2, DefaultOptions())
	w.run(30 * croft.Second)
	// With the newest list version set, the new entry is taken to have the whole VM list, so it never gets the list.
	n := w.addEntry("late", DefaultOptions())
	n.listVersion = uint64(len(w.changes))
	w.run(5 * croft.Second)
	w.sendCommand(n, croft.MoveVM{VM: "vm0000", To: "spare"})
	w.run(2 * croft.Second)
	m, _ := n.state.Members().Get("vm0000")
	assert.Equal(t, m.Phase, croft.PhaseDraining)
	assert.Equal(t, m.Boot, uint64(1))
	w.run(croft.Minute)
	assert.DeepEqual(t, w.violations, []string(nil))
}
