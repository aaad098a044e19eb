package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/google/uuid"

	"waxwing.example/croft"
	"waxwing.example/croft/retry"
	"waxwing.example/croft/route"
)

const (
	// noEndpointRetryAfter is the hint where no executor could be picked.
	noEndpointRetryAfter = 500 * croft.Millis(1)
	// noClaimRetryAfter is the hint where no claim could be taken.
	noClaimRetryAfter = croft.Second
	// releaseSpan bounds the giving back of a claim.
	releaseSpan = croft.Second
	// releaseRetryAfter is the least hint where a claim was given back, which takes until its next commit.
	releaseRetryAfter = 500 * croft.Millis(1)
)

// claim takes the request's claim; without one, nothing can be said of earlier requests with its key.
func (r *run) claim(ctx context.Context, id string) *Problem {
	span := r.Deadline - r.front.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	err := r.front.Claimer.Claim(ctx, r.Request, id)
	if err == nil {
		return nil
	}
	var claimed *croft.ClaimedError
	if errors.As(err, &claimed) {
		r.repeated = true
		detail := "an earlier request with this key may have run"
		return r.refuse("claimed before", unknown(http.StatusConflict, detail))
	}
	return r.refuse(err.Error(), undispatched("the claims cannot be consulted: "+err.Error(), noClaimRetryAfter))
}

// release gives the claim back within a span of its own, since the caller's may be over.
func (r *run) release(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseSpan.Duration())
	defer cancel()
	r.front.Claimer.Release(ctx, r.Request, id)
}

// attempt sends the request until it is answered or the retry policy ends it.
func (r *run) attempt(ctx context.Context, p *pool, first string) result {
	var tried []croft.VMID
	mayHaveRun := false
	id := first
	until := r.patience()
	p.retry.CountRequest()
	for {
		choice, ok := r.pickWithin(ctx, p, tried, until)
		if !ok {
			return result{problem: r.failed("no executor is free", mayHaveRun)}
		}
		vm := choice.Endpoint.VM
		// A process that was frozen since its claim must not send what nobody waits for.
		if r.front.Clock.Now() >= r.Deadline {
			r.front.Policies.Picker.Release(vm)
			return result{problem: r.failed("the deadline passed before the request was sent", mayHaveRun)}
		}
		r.log("Route", string(vm), choice.Reason)
		reply, err := r.send(ctx, choice.Endpoint, id)
		if err == nil {
			return result{reply: reply}
		}
		if r.elsewhere(err, until) {
			id = r.again("another executor: " + err.Error())
			continue
		}
		tried = append(tried, vm)
		var refused *croft.RefusedError
		mayHaveRun = mayHaveRun || !errors.As(err, &refused)
		verdict := p.retry.Decide(retry.Try{
			Now:        r.front.Clock.Now(),
			Deadline:   r.Deadline,
			Repeatable: r.Repeatable,
			Attempts:   len(tried),
			Err:        err,
		})
		if !verdict.Retry {
			return result{problem: r.failed(fmt.Sprintf("%v; %s", err, verdict.Reason), mayHaveRun)}
		}
		id = r.again(verdict.Reason + ": " + err.Error())
	}
}

// again counts a further attempt and returns its id.
func (r *run) again(reason string) string {
	r.retried++
	r.log("Retry", "", reason)
	return uuid.NewString()
}

func (r *run) pick(p *pool, tried []croft.VMID) (route.Choice, bool) {
	v := r.front.Viewer.View()
	return r.front.Policies.Picker.Pick(route.PickRequest{
		Now:       r.front.Clock.Now(),
		Pool:      p.id,
		Endpoints: v.Endpoints[p.id],
		Home:      v.Self.DataCentre,
		Share:     shareOf(v, p.id),
		Tried:     tried,
	})
}

// send makes one attempt and takes note of what the executor says of itself.
func (r *run) send(ctx context.Context, e croft.Endpoint, id string) (croft.Reply, error) {
	f := r.front
	defer f.Policies.Picker.Release(e.VM)
	reply, err := f.Executor.Run(ctx, e, croft.Attempt{ID: id, Request: r.Request})
	leaving := reply.Leaving
	var refused *croft.RefusedError
	if errors.As(err, &refused) {
		leaving = refused.Leaving
		if refused.Busy {
			f.Policies.Picker.MarkBusy(f.Clock.Now(), e.VM)
		}
	}
	if leaving {
		f.leaving(e)
	}
	return reply, err
}

// leaving stops traffic to the executor here at once, and tells the control state.
func (f *Front) leaving(e croft.Endpoint) {
	now := f.Clock.Now()
	if !f.Policies.Picker.MarkLeaving(now, e.VM, e.Boot) {
		return
	}
	f.Poster.Post(croft.EndpointLeaving{
		At:     croft.At{Time: now},
		VM:     e.VM,
		Boot:   e.Boot,
		Source: croft.LeavingByExecutor,
	})
}

// failed tells an outcome without an answer; attempts that may have run outlive later ones that did not.
func (r *run) failed(reason string, mayHaveRun bool) *Problem {
	if mayHaveRun {
		return r.refuse(reason, unknown(http.StatusGatewayTimeout, reason))
	}
	return r.refuse(reason, notRun(reason, noEndpointRetryAfter))
}
