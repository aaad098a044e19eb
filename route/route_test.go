package route

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
)

func newEndpoints(home, remote int) []croft.Endpoint {
	var endpoints []croft.Endpoint
	for i := range home + remote {
		e := croft.Endpoint{VM: croft.VMID(fmt.Sprintf("vm%d", i)), DataCentre: "d1", Boot: 1}
		if i >= home {
			e.DataCentre = "d2"
		}
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// TestPickKeepsItsRules checks each choice of a two-choices picker during random events: never a leaving or full executor,
// none that was tried before while another has capacity, and none of another data centre while the home one has capacity.
func TestPickKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewTwoChoices(rapid.Uint64().Draw(t, "seed"))
		endpoints := newEndpoints(rapid.IntRange(0, 5).Draw(t, "home"), rapid.IntRange(1, 5).Draw(t, "away"))
		request := PickRequest{Endpoints: endpoints, Home: "d1", Share: rapid.IntRange(1, 1000).Draw(t, "share")}
		inUse := map[croft.VMID]int{}
		leaving := map[croft.VMID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			vm := rapid.SampledFrom(endpoints).Draw(t, "vm").VM
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				assert.Equal(t, p.MarkLeaving(request.Now, vm, 1), !leaving[vm])
				leaving[vm] = true
			case 1:
				if inUse[vm] > 0 {
					p.Release(vm)
					inUse[vm]--
				}
			default:
				request.Tried = []croft.VMID{vm}
				checkPick(t, p, request, inUse, leaving)
			}
		}
	})
}

// checkPick makes one pick and compares it with the test's own counts of the executors' use and leaving notices.
func checkPick(t *rapid.T, p *TwoChoices, request PickRequest, inUse map[croft.VMID]int, leaving map[croft.VMID]bool) {
	capacity, homeCapacity := 0, 0
	for _, e := range request.Endpoints {
		if leaving[e.VM] || inUse[e.VM] >= inUseLimit(request.Share) || e.VM == request.Tried[0] {
			continue
		}
		capacity++
		if e.DataCentre == request.Home {
			homeCapacity++
		}
	}
	choice, ok := p.Pick(request)
	if !ok {
		assert.Equal(t, capacity, 0)
		return
	}
	e := choice.Endpoint
	assert.Assert(t, !leaving[e.VM], "picked a leaving executor")
	assert.Assert(t, inUse[e.VM] < inUseLimit(request.Share), "picked a full executor")
	assert.Assert(t, e.VM != request.Tried[0] || capacity == 0, "picked an executor tried before while another had capacity")
	assert.Assert(t, e.DataCentre == "d1" || homeCapacity == 0, "picked another data centre while the home one had capacity")
	inUse[e.VM]++
}

// TestTwoChoicesSpreadHungRequests checks that hung requests, which stay in use, do not accumulate on one executor with
// two choices as they do with round robin.
func TestTwoChoicesSpreadHungRequests(t *testing.T) {
	most := func(p Picker) int {
		endpoints := newEndpoints(10, 0)
		inUse := map[croft.VMID]int{}
		highest := 0
		// Every tenth request hangs; with ten executors in rotation, all of these go to the same one.
		for i := range 60 {
			choice, ok := p.Pick(PickRequest{Endpoints: endpoints, Home: "d1", Share: 1000})
			assert.Assert(t, ok)
			vm := choice.Endpoint.VM
			inUse[vm]++
			highest = max(highest, inUse[vm])
			if i%10 != 0 {
				p.Release(vm)
				inUse[vm]--
			}
		}
		return highest
	}
	assert.Equal(t, most(NewRoundRobin()), 6)
	assert.Assert(t, most(NewTwoChoices(1)) <= 2)
}

// TestExclusionsEnd guards against an executor that is excluded forever: it must be picked again after its busy backoff,
// after a restart with a newer boot, and after the control state has removed it and lists it again.
func TestExclusionsEnd(t *testing.T) {
	p := NewTwoChoices(1)
	request := PickRequest{Endpoints: newEndpoints(1, 0), Home: "d1", Share: 1000}
	p.MarkBusy(0, "vm0")
	_, ok := p.Pick(request)
	assert.Assert(t, !ok)
	request.Now = busyBackoff
	_, ok = p.Pick(request)
	assert.Assert(t, ok)

	assert.Assert(t, p.MarkLeaving(request.Now, "vm0", 1))
	_, ok = p.Pick(request)
	assert.Assert(t, !ok)
	rebooted := request
	rebooted.Endpoints = newEndpoints(1, 0)
	rebooted.Endpoints[0].Boot = 2
	_, ok = p.Pick(rebooted)
	assert.Assert(t, ok, "a newer incarnation must be picked")

	// The control state removed the executor and lists the same incarnation again: its drain was cancelled.
	p.Sync(&croft.View{})
	_, ok = p.Pick(request)
	assert.Assert(t, ok)
}
