package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/admit"
	"waxwing.example/croft/inflow"
	"waxwing.example/croft/meter"
)

// stopRetryAfter is the retry hint for requests refused by a planned stop; other entries accept them.
const stopRetryAfter = 100 * croft.Millis(1)

// serve handles one caller's request.
func (f *Front) serve(c *echo.Context) error {
	f.running.Add(1)
	defer f.running.Add(-1)
	// The flag is read once, so that every refused request also gets the header that closes its connection.
	refusing := f.refusing.Load()
	w := c.Response()
	if refusing || f.stopping.Load() {
		// The balancer then directs the caller's next connection to another entry.
		w.Header().Set("Connection", "close")
	}
	v := f.pools.sync()
	request, problem := f.parse(c, v)
	if problem != nil {
		return problem.downgradeOutcome(c.Request()).write(w)
	}
	f.meter.CountOffered(request.Class)
	active := &activeRequest{front: f, acceptedRequest: request}
	if refusing {
		problem = active.refuseStopping()
		active.recordOutcome(problem.Outcome)
		return problem.write(w)
	}
	defer active.releaseReply()
	reply, problem := active.process(c.Request().Context())
	if problem != nil {
		active.recordOutcome(problem.Outcome)
		return problem.write(w)
	}
	active.recordOutcome(croft.OutcomeAnswered)
	return writeReply(w, reply)
}

// writeReply sends an executor's reply with its status, content type and body; its other headers are dropped.
func writeReply(w http.ResponseWriter, reply croft.Reply) error {
	h := w.Header()
	h.Set(HeaderOutcome, string(croft.OutcomeAnswered))
	if contentType := reply.Header.Get("Content-Type"); contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, err := w.Write(reply.Body)
	return err
}

// activeRequest is an accepted request while it is being served.
type activeRequest struct {
	front *Front
	acceptedRequest
	// retried counts the attempts after the first.
	retried int
	// repeated is set if an earlier attempt held the claim.
	repeated bool
	// replyMemory releases the memory of the reply, nil if there is none.
	replyMemory func()
}

// recordOutcome counts the request in the traffic meter.
func (r *activeRequest) recordOutcome(outcome croft.Outcome) {
	now := r.front.Clock.Now()
	r.front.meter.CountEnded(meter.Ended{
		Class:    r.Class,
		Outcome:  outcome,
		Late:     now > r.Deadline,
		Latency:  now - r.Arrived,
		Retried:  r.retried,
		Repeated: r.repeated,
	})
}

// log writes a decision about the request to the decision log.
func (r *activeRequest) log(action, choice, reason string) {
	r.front.Log.Log(croft.Decision{
		Action:  action,
		Subject: r.Class.String() + " " + r.Key,
		Choice:  choice,
		Reason:  reason,
	})
}

// refuse logs the reason of a refusal and returns the problem.
func (r *activeRequest) refuse(reason string, problem *Problem) *Problem {
	r.log("Refuse", "", reason)
	return problem
}

// refuseStopping refuses a request during a planned stop. It takes no claim, since the release of one during a stop
// might never be written.
func (r *activeRequest) refuseStopping() *Problem {
	const reason = "entry is stopping"
	if r.Repeatable {
		return r.refuse(reason, notRunProblem("the entry is stopping", stopRetryAfter))
	}
	return r.refuse(reason, notDispatched("the entry is stopping", stopRetryAfter))
}

// result is the executor's reply to a request, or the problem if there is none.
type result struct {
	reply   croft.Reply
	problem *Problem
}

// process takes a claim for a request that may not be repeated, runs the request, and releases the claim if the request
// certainly did not run.
//
// The claim is taken before anything else: another entry may have dispatched the request earlier, so that only the
// holder of its claim can report that it did not run.
func (r *activeRequest) process(ctx context.Context) (croft.Reply, *Problem) {
	id := uuid.NewString()
	waiting, done, ok := inflow.FromContext(ctx).Wait(ctx)
	if !ok {
		return croft.Reply{}, r.refuse("connection closed in favour of others", r.droppedBeforeClaim())
	}
	defer done()
	if r.Repeatable {
		return r.admitAndAttempt(ctx, waiting, id)
	}
	if problem := r.claim(ctx, id); problem != nil {
		return croft.Reply{}, problem
	}
	reply, problem := r.admitAndAttempt(ctx, waiting, id)
	if problem != nil && problem.Outcome == croft.OutcomeNotRun {
		r.release(ctx, id)
		problem.RetryAfter = max(problem.RetryAfter, releaseRetryAfter)
	}
	return reply, problem
}

// admitAndAttempt waits for a slot and for memory, as long as the caller stays connected and the waiting context has not ended, and then
// makes attempts until the request has a result, whether or not the caller is still connected.
func (r *activeRequest) admitAndAttempt(ctx, waiting context.Context, id string) (croft.Reply, *Problem) {
	p, ok := r.front.pools.get(r.pool)
	if !ok {
		reason := fmt.Sprintf("pool %q is not declared", r.pool)
		return croft.Reply{}, r.refuse(reason, notRunProblem("the service's pool is not declared", croft.Second))
	}
	leave, problem := r.enter(ctx, waiting, p)
	if problem != nil {
		return croft.Reply{}, problem
	}
	defer leave()
	timeout := r.Deadline - r.front.Clock.Now()
	// The attempt continues until it ends or its deadline passes, since the claim remains if the caller disconnects.
	attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout.Duration())
	defer cancel()
	res := r.attempt(attemptCtx, p, id)
	return res.reply, res.problem
}

// admissionProblem returns the problem for an error of the admission gate.
func (r *activeRequest) admissionProblem(err error) *Problem {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		return r.refuse("caller disconnected while waiting for a slot", notRunProblem("the caller went away", croft.Second))
	}
	problem := notRunProblem(refused.Reason, refused.RetryAfter)
	if refused.Limit {
		problem.Status = http.StatusTooManyRequests
	}
	return r.refuse(refused.Reason, problem)
}
