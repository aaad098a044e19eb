package fakes_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/clock"
	"waxwing.example/croft/fakes"
	"waxwing.example/croft/plat"
)

// testPlatform is a platform with a manual clock, served over HTTP, and a client of it.
type testPlatform struct {
	clock    *clock.Manual
	platform *fakes.Platform
	client   *plat.Client
}

func newTestPlatform(t *testing.T, o fakes.PlatformOptions) testPlatform {
	t.Helper()
	m := clock.NewManual(1_000_000)
	o.Clock = m
	p := fakes.NewPlatform(o)
	t.Cleanup(p.Close)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	c := plat.New(plat.Options{Address: server.URL})
	t.Cleanup(c.Close)
	return testPlatform{clock: m, platform: p, client: c}
}

func put(key string, version uint64, value string) []croft.Op {
	return []croft.Op{{Kind: croft.OpPut, Key: key, Version: version, Value: []byte(value)}}
}

func TestCommitComparesVersionsAndNeverReusesOne(t *testing.T) {
	ctx := context.Background()
	p := newTestPlatform(t, fakes.PlatformOptions{})
	first, err := p.client.Commit(ctx, put("vm/1", 0, "a"))
	assert.NilError(t, err)
	_, err = p.client.Commit(ctx, put("vm/1", 0, "b"))
	var conflict *croft.ConflictError
	assert.Assert(t, asError(err, &conflict))
	assert.DeepEqual(t, conflict.Rows, []croft.Row{{Key: "vm/1", Version: first, Value: []byte("a")}})

	_, err = p.client.Commit(ctx, []croft.Op{{Kind: croft.OpDelete, Key: "vm/1", Version: first}})
	assert.NilError(t, err)
	again, err := p.client.Commit(ctx, put("vm/1", 0, "c"))
	assert.NilError(t, err)
	assert.Equal(t, again, first+2)

	both := append(put("vm/2", 0, "x"), put("vm/1", first, "y")...)
	_, err = p.client.Commit(ctx, both)
	assert.Assert(t, asError(err, &conflict))
	_, err = p.client.Get(ctx, "vm/2")
	assert.ErrorIs(t, err, croft.ErrNoRow)
	assert.Equal(t, len(p.platform.History("vm/")), 3)
}

func TestScanPagesInKeyOrderWithinItsPrefix(t *testing.T) {
	ctx := context.Background()
	p := newTestPlatform(t, fakes.PlatformOptions{})
	for _, key := range []string{"vm/3", "a", "vm/1", "vn", "vm/2"} {
		_, err := p.client.Commit(ctx, put(key, 0, key))
		assert.NilError(t, err)
	}
	keys := func(r croft.Range) string {
		rows, err := p.client.Scan(ctx, r)
		assert.NilError(t, err)
		found := []string{}
		for _, row := range rows {
			found = append(found, row.Key)
		}
		return strings.Join(found, " ")
	}
	assert.Equal(t, keys(croft.Range{Prefix: "vm/"}), "vm/1 vm/2 vm/3")
	assert.Equal(t, keys(croft.Range{Prefix: "vm/", Limit: 2}), "vm/1 vm/2")
	assert.Equal(t, keys(croft.Range{Prefix: "vm/", After: "vm/2", Limit: 2}), "vm/3")
	assert.Equal(t, keys(croft.Range{Prefix: "vm/", Since: 3}), "vm/2")
	assert.Equal(t, keys(croft.Range{}), "a vm/1 vm/2 vm/3 vn")
}

func TestTableFaults(t *testing.T) {
	ctx := context.Background()
	p := newTestPlatform(t, fakes.PlatformOptions{})
	version, err := p.client.Commit(ctx, put("k", 0, "old"))
	assert.NilError(t, err)

	p.platform.SetFaults(fakes.Faults{LoseAnswers: 1, OldReads: true})
	_, err = p.client.Commit(ctx, put("k", version, "new"))
	var lost *croft.LostAnswerError
	assert.Assert(t, asError(err, &lost))
	row, err := p.client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "old")

	p.platform.SetFaults(fakes.Faults{})
	row, err = p.client.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "new")

	p.platform.SetFaults(fakes.Faults{Down: true})
	_, err = p.client.Commit(ctx, put("k", row.Version, "no"))
	var down *croft.UnavailableError
	assert.Assert(t, asError(err, &down))
	assert.Equal(t, p.platform.Counts().Commits, int64(2))
}

func TestVMListLagsAndListsOnlyChanges(t *testing.T) {
	ctx := context.Background()
	vm := croft.VM{ID: "vm1", Boot: 1, Status: croft.VMLive}
	other := croft.VM{ID: "vm2", Boot: 1, Status: croft.VMLive}
	p := newTestPlatform(t, fakes.PlatformOptions{ListLagMs: 2000, VMs: []croft.VM{vm, other}})
	delta, err := p.client.ListVMs(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(delta.Changed), 0)
	p.clock.Advance(2000)
	delta, err = p.client.ListVMs(ctx, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, delta, croft.VMDelta{Version: 2, Whole: true, Changed: []croft.VM{vm, other}})

	assert.NilError(t, p.client.OrderVM(ctx, croft.OrderVM{VM: "vm1", Boot: 9, Verb: croft.VMDrain}))
	assert.NilError(t, p.client.OrderVM(ctx, croft.OrderVM{VM: "vm1", Boot: 1, Verb: croft.VMDrain}))
	assert.Assert(t, p.platform.RemoveVM("vm2"))
	p.clock.Advance(1999)
	delta, err = p.client.ListVMs(ctx, 2)
	assert.NilError(t, err)
	assert.DeepEqual(t, delta, croft.VMDelta{Version: 2})
	p.clock.Advance(1)
	delta, err = p.client.ListVMs(ctx, 2)
	assert.NilError(t, err)
	leaving := vm.WithStatus(croft.VMLeaving)
	assert.DeepEqual(t, delta, croft.VMDelta{
		Version: 4, Changed: []croft.VM{leaving}, Removed: []croft.VMID{"vm2"},
	})
}

func TestTasksRunUnderTheirLease(t *testing.T) {
	ctx := context.Background()
	vm := croft.VM{ID: "vm1", Boot: 1, Status: croft.VMLive}
	p := newTestPlatform(t, fakes.PlatformOptions{ReportLagMs: 1000, VMs: []croft.VM{vm}})
	order := croft.OrderTask{VM: "vm1", Job: "j", Run: 2, Verb: croft.TaskStart, Lease: 5000}
	state := func() croft.TaskReport {
		reports, err := p.client.Reports(ctx, 0, []croft.VMID{vm.ID})
		assert.NilError(t, err)
		if len(reports[0].Tasks) == 0 {
			return croft.TaskReport{}
		}
		return reports[0].Tasks[0]
	}
	assert.NilError(t, p.client.OrderTask(ctx, order))
	p.clock.Advance(2000)
	assert.Equal(t, state().State, croft.TaskRunning)

	older := order
	older.Run = 1
	var rejected *plat.RejectedError
	assert.Assert(t, asError(p.client.OrderTask(ctx, older), &rejected))

	order.Verb = croft.TaskCheckpoint
	assert.NilError(t, p.client.OrderTask(ctx, order))
	p.clock.Advance(2000)
	assert.Equal(t, state().State, croft.TaskCheckpointed)
	checkpoint := state().Checkpoint
	assert.Equal(t, checkpoint, "checkpoint/j/2")
	body, err := p.client.GetObject(ctx, checkpoint)
	assert.NilError(t, err)
	assert.Equal(t, string(body), `{"Job":"j","Run":2,"Done":2000}`)
	p.clock.Advance(2000)
	assert.Equal(t, state().State, croft.TaskLapsed)
	order.Verb = croft.TaskRenew
	assert.Assert(t, asError(p.client.OrderTask(ctx, order), &rejected))

	order.Verb, order.Run, order.Checkpoint, order.Lease = croft.TaskStart, 3, checkpoint, croft.Hour
	assert.NilError(t, p.client.OrderTask(ctx, order))
	p.clock.Advance(croft.Minute)
	assert.Equal(t, state().State, croft.TaskDone)
}

// An order that is delayed in the network must not start a run that its planner has abandoned.
func TestTaskOrdersExpire(t *testing.T) {
	ctx := context.Background()
	vm := croft.VM{ID: "vm1", Boot: 1, Status: croft.VMLive}
	p := newTestPlatform(t, fakes.PlatformOptions{VMs: []croft.VM{vm}})
	order := croft.OrderTask{
		VM: "vm1", Job: "j", Run: 1, Verb: croft.TaskStart, Lease: croft.Minute, Expires: p.clock.Now() + 3000,
	}
	assert.NilError(t, p.client.OrderTask(ctx, order))
	p.clock.Advance(3000)
	reports, err := p.client.Reports(ctx, 0, []croft.VMID{vm.ID})
	assert.NilError(t, err)
	assert.Equal(t, reports[0].Tasks[0].State, croft.TaskLapsed)
	order.Run = 2
	var rejected *plat.RejectedError
	assert.Assert(t, asError(p.client.OrderTask(ctx, order), &rejected))
}

func TestFailWorkersFailsEveryTask(t *testing.T) {
	ctx := context.Background()
	vm := croft.VM{ID: "vm1", Boot: 1, Status: croft.VMLive}
	p := newTestPlatform(t, fakes.PlatformOptions{VMs: []croft.VM{vm}})
	p.platform.SetFaults(fakes.Faults{FailWorkers: []croft.VMID{"vm1"}})
	order := croft.OrderTask{VM: "vm1", Job: "j", Run: 1, Verb: croft.TaskStart, Lease: croft.Minute}
	assert.NilError(t, p.client.OrderTask(ctx, order))
	p.clock.Advance(croft.Second)
	reports, err := p.client.Reports(ctx, 0, []croft.VMID{vm.ID})
	assert.NilError(t, err)
	assert.Equal(t, reports[0].Tasks[0].State, croft.TaskFailed)
}
