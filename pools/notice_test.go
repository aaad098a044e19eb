package pools

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

func vmListed(version, boot uint64, status croft.VMStatus) croft.Event {
	return croft.VMsListed{Delta: croft.VMDelta{
		Version: version,
		Changed: []croft.VM{{ID: "vm1", Address: "10.0.0.1:80", Boot: boot, Status: status}},
	}}
}

func rowRead(version, epoch, boot uint64, phase croft.Phase, purpose croft.Purpose) croft.Event {
	m := croft.Member{VM: "vm1", Pool: "horn", Phase: phase, Purpose: purpose, Epoch: epoch, Boot: boot}
	body, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return croft.RowsRead{
		Prefix: croft.MemberPrefix,
		Rows:   []croft.Row{{Key: croft.MemberKey("vm1"), Version: version, Value: body}},
	}
}

func endpointLeaving(source croft.LeavingSource, boot uint64) croft.Event {
	return croft.EndpointLeaving{VM: "vm1", Boot: boot, Source: source}
}

func peerNotice(boot uint64) croft.Event {
	return croft.PeerMessageReceived{News: []croft.News{{Leaving: &croft.LeavingNews{VM: "vm1", Boot: boot}}}}
}

// TestLeavingNotices checks after each sequence of events whether a VM that served with boot 1 in row 1 is still usable.
// Leaving notices arrive from several sources and may be older or newer than the list and the rows, so a notice must not be
// lost to outdated data, and must not outlive a restart or a resume.
func TestLeavingNotices(t *testing.T) {
	live, hold := croft.VMLive, croft.PurposeHold
	drained := rowRead(2, 2, 1, croft.PhaseDraining, hold)
	resumed := rowRead(3, 4, 1, croft.PhaseServing, croft.PurposeNone)
	for _, c := range []struct {
		name   string
		events []croft.Event
		usable bool
	}{
		{"no notice", nil, true},
		{"notice by the list", []croft.Event{vmListed(2, 1, croft.VMLeaving)}, false},
		{"notice by the executor", []croft.Event{endpointLeaving(croft.LeavingByExecutor, 1)}, false},
		{"notice by a peer", []croft.Event{peerNotice(1)}, false},
		{"drain by a row", []croft.Event{drained}, false},
		{"notice of an older boot", []croft.Event{vmListed(2, 2, live), rowRead(2, 2, 2, croft.PhaseServing, ""), peerNotice(1)}, true},
		{"executor, then an older list version", []croft.Event{endpointLeaving(croft.LeavingByExecutor, 1), vmListed(1, 1, live)}, false},
		{"executor, then a list without the notice", []croft.Event{endpointLeaving(croft.LeavingByExecutor, 1), vmListed(2, 1, live)}, false},
		{"peer, then a list without the notice", []croft.Event{peerNotice(1), vmListed(2, 1, live)}, false},
		{"drain, then a list without the notice", []croft.Event{drained, vmListed(2, 1, live)}, false},
		{"drain, then an older row", []croft.Event{drained, rowRead(1, 1, 1, croft.PhaseServing, "")}, false},
		{"restarted, row updated", []croft.Event{peerNotice(1), vmListed(2, 2, live), rowRead(2, 2, 2, croft.PhaseServing, "")}, true},
		{"restarted, row not updated", []croft.Event{peerNotice(1), vmListed(2, 2, live)}, false},
		{"restarted, then an older list version", []croft.Event{vmListed(3, 2, croft.VMLeaving), vmListed(2, 1, live)}, false},
		{"drained and resumed", []croft.Event{drained, resumed}, true},
		{"drained and resumed, list still leaving", []croft.Event{drained, vmListed(2, 1, croft.VMLeaving), resumed}, false},
		{"drained and resumed, list live again", []croft.Event{
			drained, vmListed(2, 1, croft.VMLeaving), resumed, vmListed(3, 1, live),
		}, true},
		{"resumed, then another notice by the executor", []croft.Event{drained, resumed, endpointLeaving(croft.LeavingByExecutor, 1)}, false},
	} {
		s := New()
		start := []croft.Event{vmListed(1, 1, live), rowRead(1, 1, 1, croft.PhaseServing, "")}
		for _, e := range append(start, c.events...) {
			s, _ = Reduce(s, e, Inputs{})
		}
		assert.Equal(t, s.Usable("vm1", 0), c.usable, c.name)
		assert.Equal(t, len(s.Endpoints()["horn"]) == 1, c.usable, c.name)
	}
}

// TestLateNoticeOnResumedVMExpires checks that a leaving notice that arrives after the VM's resume, possibly sent before
// it, makes the VM unusable only for unconfirmedNoticeTime.
func TestLateNoticeOnResumedVMExpires(t *testing.T) {
	s := New()
	for _, e := range []croft.Event{
		vmListed(1, 1, croft.VMLive), rowRead(1, 1, 1, croft.PhaseServing, ""),
		rowRead(2, 2, 1, croft.PhaseDraining, croft.PurposeHold), rowRead(3, 4, 1, croft.PhaseServing, ""), peerNotice(1),
	} {
		s, _ = Reduce(s, e, Inputs{})
	}
	assert.Assert(t, !s.Usable("vm1", unconfirmedNoticeTime-1))
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: unconfirmedNoticeTime}}, Inputs{})
	assert.Equal(t, len(s.Endpoints()["horn"]), 1)
}

// TestFirstLeavingNoticeIsSentToPeersOnce checks that an entry that receives a leaving notice from an executor sends it to
// all peers, since entries of all data centres may use the endpoint, and does not send it again when it is repeated.
func TestFirstLeavingNoticeIsSentToPeersOnce(t *testing.T) {
	s, _ := Reduce(New(), vmListed(1, 1, croft.VMLive), Inputs{})
	s, effects := Reduce(s, endpointLeaving(croft.LeavingByExecutor, 1), Inputs{})
	assert.Equal(t, len(effects), 1)
	news := effects[0].(croft.NotifyPeers).News
	assert.Equal(t, *news[0].Leaving, croft.LeavingNews{VM: "vm1", Boot: 1})
	_, effects = Reduce(s, endpointLeaving(croft.LeavingByExecutor, 1), Inputs{})
	assert.Equal(t, len(effects), 0)
}
