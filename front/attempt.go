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
	// noEndpointRetryAfter is the retry hint if no attempt ran.
	noEndpointRetryAfter = 500 * croft.Millis(1)
	// noClaimRetryAfter is the retry hint if no claim could be taken.
	noClaimRetryAfter = croft.Second
	// releaseTimeout bounds the release of a claim.
	releaseTimeout = croft.Second
	// releaseRetryAfter is the minimum retry hint after a claim was released, since the release only takes effect with
	// the next commit of claims.
	releaseRetryAfter = 500 * croft.Millis(1)
)

// claim takes the request's claim, which proves that no earlier request with the same key was dispatched. Without the
// claim it returns a problem with an unknown outcome.
func (r *activeRequest) claim(ctx context.Context, id string) *Problem {
	timeout := r.Deadline - r.front.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	err := r.front.Claimer.Claim(ctx, r.Request, id)
	if err == nil {
		return nil
	}
	var claimed *croft.ClaimedError
	if errors.As(err, &claimed) {
		r.repeated = true
		detail := "an earlier request with this key may have run"
		return r.refuse(claimed.Error(), unknownProblem(http.StatusConflict, detail))
	}
	return r.refuse(err.Error(), notDispatched("the claims cannot be consulted: "+err.Error(), noClaimRetryAfter))
}

// release releases the claim. It has a timeout of its own, since the caller's context may have ended.
func (r *activeRequest) release(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout.Duration())
	defer cancel()
	r.front.Claimer.Release(ctx, r.Request, id)
}

// attempt sends the request to executors until one answers or the retry policy allows no further attempt.
func (r *activeRequest) attempt(ctx context.Context, p *pool, firstID string) result {
	var tried []croft.VMID
	mayHaveRun := false
	id := firstID
	pickDeadline := r.pickDeadline()
	p.retry.CountRequest()
	for {
		choice, ok := r.pickUntil(ctx, p, tried, pickDeadline)
		if !ok {
			return result{problem: r.failAttempts("no executor is free", mayHaveRun)}
		}
		vm := choice.Endpoint.VM
		// The process may have been suspended since the claim; a request whose caller has stopped waiting is not sent.
		if r.front.Clock.Now() >= r.Deadline {
			r.front.Policies.Picker.Release(vm)
			return result{problem: r.failAttempts("the deadline passed before the request was sent", mayHaveRun)}
		}
		r.log("Route", string(vm), choice.Reason)
		reply, err := r.send(ctx, choice.Endpoint, id)
		if err == nil {
			return result{reply: reply}
		}
		if r.mayPickAnother(err, pickDeadline) {
			id = r.startRetry("picking another executor: " + err.Error())
			continue
		}
		tried = append(tried, vm)
		var refused *croft.RefusedError
		mayHaveRun = mayHaveRun || !errors.As(err, &refused)
		decision := p.retry.Decide(retry.Try{
			Now:        r.front.Clock.Now(),
			Deadline:   r.Deadline,
			Repeatable: r.Repeatable,
			Attempts:   len(tried),
			Err:        err,
		})
		if !decision.Retry {
			return result{problem: r.failAttempts(fmt.Sprintf("%v; %s", err, decision.Reason), mayHaveRun)}
		}
		id = r.startRetry(decision.Reason + ": " + err.Error())
	}
}

// startRetry counts and logs a retry, and returns the id of its attempt.
func (r *activeRequest) startRetry(reason string) string {
	r.retried++
	r.log("Retry", "", reason)
	return uuid.NewString()
}

// pick asks the picker once for an executor of the pool.
func (r *activeRequest) pick(p *pool, tried []croft.VMID) (route.Choice, bool) {
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

// send makes one attempt. It passes on to the picker if the executor is leaving or has no free slot.
func (r *activeRequest) send(ctx context.Context, e croft.Endpoint, id string) (croft.Reply, error) {
	f := r.front
	defer f.Policies.Picker.Release(e.VM)
	reply, err := f.Executor.Run(ctx, e, croft.Attempt{ID: id, Request: r.Request, Reserve: r.reserveReply})
	leaving := reply.Leaving
	var refused *croft.RefusedError
	if errors.As(err, &refused) {
		leaving = refused.Leaving
		if refused.Busy {
			f.Policies.Picker.MarkBusy(f.Clock.Now(), e.VM)
		}
	}
	if leaving {
		f.reportLeaving(e)
	}
	return reply, err
}

// reportLeaving excludes the executor from this entry's picks at once, and posts the leaving notice to the control
// state.
func (f *Front) reportLeaving(e croft.Endpoint) {
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

// failAttempts logs the reason and returns the problem for a request without an answer. If any attempt may have run, the
// outcome is unknown, even if later attempts did not run.
func (r *activeRequest) failAttempts(reason string, mayHaveRun bool) *Problem {
	if mayHaveRun {
		return r.refuse(reason, unknownProblem(http.StatusGatewayTimeout, reason))
	}
	return r.refuse(reason, notRunProblem(reason, noEndpointRetryAfter))
}
