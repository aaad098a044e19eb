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

func reduced(s State, events ...croft.Event) State {
	for _, e := range events {
		s, _ = Reduce(s, e)
	}
	return s
}

// serving is what a new entry hears until it may take requests.
func serving() []croft.Event {
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

func TestViewIsReadyOnceConfigurationAndEndpointsAreKnown(t *testing.T) {
	s := newState()
	for _, e := range serving() {
		assert.Assert(t, !s.View().Ready)
		s = reduced(s, e)
	}
	assert.Assert(t, s.View().Ready)
	assert.Equal(t, s.View().Endpoints["p"][0].VM, croft.VMID("vm1"))
	assert.Equal(t, s.Self().ConfigVersion, uint64(3))
	assert.Assert(t, !reduced(s, croft.StopRequested{At: croft.At{Time: start}}).View().Ready)
}

// Traffic compares views by pointer: one that shows nothing new is not drawn anew.
func TestViewStandsWhileNothingItShowsChanges(t *testing.T) {
	s := reduced(newState(), serving()...)
	before := s.View()
	s = reduced(s, croft.Tick{At: croft.At{Time: start + 1}}, croft.PlatformReachability{At: croft.At{Time: start + 2}, Reachable: true})
	assert.Assert(t, s.View() == before)
	s = reduced(s, croft.EndpointLeaving{At: croft.At{Time: start + 3}, VM: "vm1", Boot: 1, Source: croft.LeavingByExecutor})
	assert.Equal(t, len(s.View().Endpoints["p"]), 0)
	assert.Equal(t, len(before.Endpoints["p"]), 1)
}

// An entry that starts while the platform is away serves by what another one knows.
func TestFleetOfAnotherEntryIsTakenOver(t *testing.T) {
	known := reduced(newState(), serving()...)
	at := croft.At{Time: start}
	s := reduced(newState(),
		croft.VMsListed{At: at, Delta: croft.VMDelta{Whole: true, Changed: known.VMs()}},
		croft.RowsRead{At: at, Prefix: croft.MemberPrefix, Rows: known.MemberRows()},
	)
	assert.DeepEqual(t, s.View().Endpoints, known.View().Endpoints)
}
