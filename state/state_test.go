package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/fleet"
)

const start croft.Millis = 1_000_000

func newState() State {
	self := croft.Peer{ID: "e1", DataCentre: "a", Address: "127.0.0.1:1"}
	return New(Options{Self: self, Fleet: fleet.Options{Lease: fleet.DefaultOptions().Lease}})
}

func reduceAll(s State, events ...croft.Event) State {
	for _, e := range events {
		s, _ = Reduce(s, e)
	}
	return s
}

// eventsUntilReady returns the events after which a new entry may accept requests; it needs all of them.
func eventsUntilReady() []croft.Event {
	member := []byte(`{"VM":"vm1","Pool":"p","Phase":"Serving","Epoch":1,"Boot":1,"Nonce":"n"}`)
	at := croft.At{Time: start}
	return []croft.Event{
		croft.PlatformReachability{At: at, Reachable: true},
		croft.ConfigReceived{At: at, Fresh: true, Config: croft.Config{Version: 3, Pools: []croft.Pool{{ID: "p"}}}},
		croft.VMsListed{At: at, Delta: croft.VMDelta{Version: 1, Whole: true, Changed: []croft.VM{
			{ID: "vm1", Address: "127.0.0.1:2", Boot: 1, Status: croft.VMLive},
		}}},
		croft.RowsRead{At: at, Prefix: croft.MemberPrefix, Whole: true, Rows: []croft.Row{
			{Key: croft.MemberKey("vm1"), Version: 7, Value: member},
		}},
	}
}

func TestViewIsReadyOnceConfigAndEndpointsAreKnown(t *testing.T) {
	s := newState()
	for _, e := range eventsUntilReady() {
		assert.Assert(t, !s.View().Ready)
		s = reduceAll(s, e)
	}
	assert.Assert(t, s.View().Ready)
	assert.Equal(t, s.View().Endpoints["p"][0].VM, croft.VMID("vm1"))
	assert.Equal(t, s.Self().ConfigVersion, uint64(3))
	assert.Assert(t, !reduceAll(s, croft.StopRequested{At: croft.At{Time: start}}).View().Ready)
}

// Request handling compares views by pointer, so an event that does not change the content of the view must not build a
// new one.
func TestViewIsReusedUntilItsContentChanges(t *testing.T) {
	s := reduceAll(newState(), eventsUntilReady()...)
	before := s.View()
	s = reduceAll(s, croft.Tick{At: croft.At{Time: start + 1}}, croft.PlatformReachability{At: croft.At{Time: start + 2}, Reachable: true})
	assert.Assert(t, s.View() == before)
	s = reduceAll(s, croft.EndpointLeaving{At: croft.At{Time: start + 3}, VM: "vm1", Boot: 1, Source: croft.LeavingByExecutor})
	assert.Equal(t, len(s.View().Endpoints["p"]), 0)
	assert.Equal(t, len(before.Endpoints["p"]), 1)
}

// An entry that starts while the platform is unreachable gets the VM list and the member rows from a peer. It must then
// have the same endpoints as that peer.
func TestEntryServesWithTheFleetStateOfAPeer(t *testing.T) {
	known := reduceAll(newState(), eventsUntilReady()...)
	at := croft.At{Time: start}
	s := reduceAll(newState(),
		croft.VMsListed{At: at, Delta: croft.VMDelta{Whole: true, Changed: known.VMs()}},
		croft.RowsRead{At: at, Prefix: croft.MemberPrefix, Rows: known.MemberRows()},
	)
	assert.DeepEqual(t, s.View().Endpoints, known.View().Endpoints)
}
