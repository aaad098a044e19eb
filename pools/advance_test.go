package pools

import (
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// Guards against a move that stays pending: once its reboot order was unanswered, the drain was sent again and took the
// reboot's place, whose answer was then ignored.
func TestUnansweredRebootOfAMoveIsRepeated(t *testing.T) {
	s := New()
	for _, e := range []croft.Event{vmListed(1, 1, croft.VMLive), rowRead(1, 2, 1, croft.PhaseDraining, croft.PurposeMove)} {
		s, _ = Reduce(s, e, Inputs{})
	}
	m, ok := s.Member("vm1")
	assert.Assert(t, ok)
	now := croft.Millis(1000)
	send := func() []croft.Effect {
		var effects []croft.Effect
		s, effects = s.sendOrder(m.Member, now, Inputs{})
		return effects
	}
	drain := send()[0].(croft.OrderVM)
	assert.Equal(t, drain.Verb, croft.VMDrain)
	s = s.applyOrderResult(croft.OrderEnded{At: croft.At{Time: now}, Token: drain.Token})
	now += MinDrainTime
	reboot := send()[0].(croft.OrderVM)
	assert.Equal(t, reboot.Verb, croft.VMReboot)
	now += 100
	assert.Equal(t, len(send()), 0)
	now += orderResendAfter
	assert.Equal(t, send()[0].(croft.OrderVM).Verb, croft.VMReboot)
}
