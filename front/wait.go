package front

import (
	"context"
	"errors"

	"waxwing.example/croft"
	"waxwing.example/croft/route"
)

// slotPollInterval is the time between two attempts to pick an executor with a free slot.
const slotPollInterval = 5 * croft.Millis(1)

// pickDeadline returns until when a request that is admitted now may wait for an executor with a free slot: half of its
// remaining time, which leaves the other half to run. Entries receive each other's shares with a lag, so that another
// entry may use a slot of the pool for a while.
func (r *activeRequest) pickDeadline() croft.Millis {
	now := r.front.Clock.Now()
	return now + (r.Deadline-now)/2
}

// pickUntil picks an executor; if none has a free slot, it retries until the given instant.
func (r *activeRequest) pickUntil(ctx context.Context, p *pool, tried []croft.VMID, until croft.Millis) (route.Choice, bool) {
	for {
		choice, ok := r.pick(p, tried)
		if ok || len(r.front.Viewer.View().Endpoints[p.id]) == 0 || r.front.Clock.Now() >= until {
			return choice, ok
		}
		if r.front.Clock.Sleep(ctx, slotPollInterval) != nil {
			return choice, false
		}
	}
}

// mayPickAnother reports whether the attempt failed only because the executor has no free slot or is leaving, while
// there is time left to pick another one. Such a retry is not charged to the retry budget: the picker excludes the
// executor from now on, and the request keeps the one slot that it was admitted to.
func (r *activeRequest) mayPickAnother(err error, pickDeadline croft.Millis) bool {
	var refused *croft.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	return (refused.Busy || refused.Leaving) && r.front.Clock.Now() < pickDeadline
}
