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
	var all []croft.VM
	for i := range count {
		all = append(all, croft.VM{
			ID:      croft.VMID(fmt.Sprintf("vm%04d", i)),
			Rack:    croft.RackID(fmt.Sprintf("r%03d", i%racks)),
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Boot:    1,
			Status:  croft.VMLive,
			Room:    croft.Resources{MilliCores: 16_000, MemoryMB: 30_000},
		})
	}
	return all
}

// injectFault picks one disturbance at random: a pause or a replacement of an entry, a failure or a restart of a VM, two
// racing commands of operators, or a drain that is ended later.
func (w *world) injectFault(options Options) {
	n := w.entries[w.rnd.IntN(len(w.entries))]
	v := w.vms[w.vmIDs[w.rnd.IntN(len(w.vmIDs))]]
	pool := w.config.Pools[w.rnd.IntN(len(w.config.Pools))].ID
	switch w.rnd.IntN(9) {
	case 0, 1:
		n.pausedUntil = w.now + croft.Millis(w.rnd.IntN(40_000))
	case 2:
		if len(w.alive()) > 2 && !n.dead {
			n.dead = true
			w.add(croft.EntryID(fmt.Sprintf("e%d", len(w.entries))), options)
		}
	case 3:
		if v.Status != croft.VMFailed {
			w.setVM(v.WithStatus(croft.VMFailed))
			w.after(croft.Millis(w.rnd.IntN(120_000)), func() { w.repair(v.ID) })
		}
	case 4:
		w.reboot(v)
	case 5, 6, 7:
		// Two operators race for one VM through two entries.
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

// runWithFaults disturbs a small fleet for some minutes, then runs it without faults until no move is pending.
func runWithFaults(seed uint64, f faults, options Options) *world {
	w := newWorld(seed, smallConfig(), makeVMs(10, 5), 3, options)
	w.run(30 * croft.Second)
	w.faults = f
	for range 12 {
		w.run(croft.Millis(w.rnd.IntN(20_000)))
		w.injectFault(options)
	}
	w.run(croft.Minute)
	w.faults = faults{}
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

// noMovesPending reports whether all VMs are serving, except those that an operator holds.
func (w *world) noMovesPending() bool {
	for _, r := range w.rows {
		m, ok := decodeMember(r)
		if ok && m.Phase != croft.PhaseServing && m.Purpose != croft.PurposeHold {
			return false
		}
	}
	return true
}

// drawFaults draws the probabilities of the faults.
func drawFaults(t *rapid.T) faults {
	return faults{
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
		f := drawFaults(t)
		w := runWithFaults(rapid.Uint64().Draw(t, "seed"), f, DefaultOptions())
		for _, b := range w.violations {
			t.Error(b)
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
	var all []croft.Member
	for _, r := range w.rows {
		if m, ok := decodeMember(r); ok && m.Phase != croft.PhaseServing {
			all = append(all, m)
		}
	}
	return all
}

// A planner that was paused for longer than its lease writes as if it still held the lease. Without fencing tokens such
// writes must violate an invariant in some run; otherwise the other tests would not notice missing tokens.
func TestInvariantsNeedFencingTokens(t *testing.T) {
	failedRuns := 0
	for seed := range uint64(40) {
		w := runWithFaults(seed, faults{lostAnswer: 50}, Options{Lease: lease.Options{Skew: true}})
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
	// By its list version the new entry has the whole VM list already, so it never reads it.
	n := w.add("late", DefaultOptions())
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
