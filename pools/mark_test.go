package pools

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

func listed(version, boot uint64, status croft.VMStatus) croft.Event {
	return croft.VMsListed{Delta: croft.VMDelta{
		Version: version,
		Changed: []croft.VM{{ID: "vm1", Address: "10.0.0.1:80", Boot: boot, Status: status}},
	}}
}

func row(version, epoch, boot uint64, phase croft.Phase, purpose croft.Purpose) croft.Event {
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

func leaving(source croft.LeavingSource, boot uint64) croft.Event {
	return croft.EndpointLeaving{VM: "vm1", Boot: boot, Source: source}
}

func told(boot uint64) croft.Event {
	return croft.PeerHeard{News: []croft.News{{Leaving: &croft.LeavingNews{VM: "vm1", Boot: boot}}}}
}

// TestLeavingMarks begins with a VM that serves in boot 1 by row 1, and looks at it after the events.
func TestLeavingMarks(t *testing.T) {
	live, hold := croft.VMLive, croft.PurposeHold
	drained := row(2, 2, 1, croft.PhaseDraining, hold)
	resumed := row(3, 4, 1, croft.PhaseServing, croft.PurposeNone)
	for _, c := range []struct {
		name   string
		events []croft.Event
		usable bool
	}{
		{"nothing said", nil, true},
		{"the list", []croft.Event{listed(2, 1, croft.VMLeaving)}, false},
		{"the executor", []croft.Event{leaving(croft.LeavingByExecutor, 1)}, false},
		{"a peer", []croft.Event{told(1)}, false},
		{"an order", []croft.Event{drained}, false},
		{"word of an older boot", []croft.Event{listed(2, 2, live), row(2, 2, 2, croft.PhaseServing, ""), told(1)}, true},
		{"executor, then an old list", []croft.Event{leaving(croft.LeavingByExecutor, 1), listed(1, 1, live)}, false},
		{"executor, then a list that lags", []croft.Event{leaving(croft.LeavingByExecutor, 1), listed(2, 1, live)}, false},
		{"peer, then a list that lags", []croft.Event{told(1), listed(2, 1, live)}, false},
		{"order, then a list that lags", []croft.Event{drained, listed(2, 1, live)}, false},
		{"order, then an old row", []croft.Event{drained, row(1, 1, 1, croft.PhaseServing, "")}, false},
		{"restarted with its row", []croft.Event{told(1), listed(2, 2, live), row(2, 2, 2, croft.PhaseServing, "")}, true},
		{"restarted without its row", []croft.Event{told(1), listed(2, 2, live)}, false},
		{"restarted, then an old list", []croft.Event{listed(3, 2, croft.VMLeaving), listed(2, 1, live)}, false},
		{"drained and resumed", []croft.Event{drained, resumed}, true},
		{"drained and resumed, list behind", []croft.Event{drained, listed(2, 1, croft.VMLeaving), resumed}, false},
		{"drained and resumed, list in step", []croft.Event{
			drained, listed(2, 1, croft.VMLeaving), resumed, listed(3, 1, live),
		}, true},
		{"resumed, then the executor again", []croft.Event{drained, resumed, leaving(croft.LeavingByExecutor, 1)}, false},
	} {
		s := New()
		start := []croft.Event{listed(1, 1, live), row(1, 1, 1, croft.PhaseServing, "")}
		for _, e := range append(start, c.events...) {
			s, _ = Reduce(s, e, Inputs{})
		}
		assert.Equal(t, s.Usable("vm1", 0), c.usable, c.name)
		assert.Equal(t, len(s.Endpoints()["horn"]) == 1, c.usable, c.name)
	}
}

// TestWordAfterResumeEnds shows that a late word on a resumed VM keeps it out for a while only.
func TestWordAfterResumeEnds(t *testing.T) {
	s := New()
	for _, e := range []croft.Event{
		listed(1, 1, croft.VMLive), row(1, 1, 1, croft.PhaseServing, ""),
		row(2, 2, 1, croft.PhaseDraining, croft.PurposeHold), row(3, 4, 1, croft.PhaseServing, ""), told(1),
	} {
		s, _ = Reduce(s, e, Inputs{})
	}
	assert.Assert(t, !s.Usable("vm1", hintSpan-1))
	s, _ = Reduce(s, croft.Tick{At: croft.At{Time: hintSpan}}, Inputs{})
	assert.Equal(t, len(s.Endpoints()["horn"]), 1)
}

// Entries of all data centres may use an endpoint, so whoever hears first tells them all, and once.
func TestTheFirstWordOfLeavingIsToldOnOnce(t *testing.T) {
	s, _ := Reduce(New(), listed(1, 1, croft.VMLive), Inputs{})
	s, effects := Reduce(s, leaving(croft.LeavingByExecutor, 1), Inputs{})
	assert.Equal(t, len(effects), 1)
	news := effects[0].(croft.TellPeers).News
	assert.Equal(t, *news[0].Leaving, croft.LeavingNews{VM: "vm1", Boot: 1})
	_, effects = Reduce(s, leaving(croft.LeavingByExecutor, 1), Inputs{})
	assert.Equal(t, len(effects), 0)
}
