package front

import (
	"context"
	"errors"

	"waxwing.example/croft"
	"waxwing.example/croft/route"
)

// slotPoll is the time between two looks for an executor with a free slot.
const slotPoll = 5 * croft.Millis(1)

// patience returns until when a request that was admitted now waits for an executor, which leaves it half of
// its time to run: entries learn of each other's shares with a lag, so that a slot of the pool may be in use
// by another entry for a while.
func (r *run) patience() croft.Millis {
	now := r.front.Clock.Now()
	return now + (r.Deadline-now)/2
}

// pickWithin picks an executor, and waits for one to be free until an instant.
func (r *run) pickWithin(ctx context.Context, p *pool, tried []croft.VMID, until croft.Millis) (route.Choice, bool) {
	for {
		choice, ok := r.pick(p, tried)
		if ok || len(r.front.Viewer.View().Endpoints[p.id]) == 0 || r.front.Clock.Now() >= until {
			return choice, ok
		}
		if r.front.Clock.Sleep(ctx, slotPoll) != nil {
			return choice, false
		}
	}
}

// elsewhere reports whether an executor only said that it has no slot or is leaving: that costs no retry
// budget, since the picker leaves it out from now on and the request keeps the one slot it was admitted to.
func (r *run) elsewhere(err error, until croft.Millis) bool {
	var refused *croft.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	return (refused.Busy || refused.Leaving) && r.front.Clock.Now() < until
}
