package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/admit"
	"waxwing.example/croft/meter"
)

// stopRetryAfter is the hint for requests that meet a planned stop.
const stopRetryAfter = 100 * croft.Millis(1)

// serve carries one request from its first byte to its outcome.
func (f *Front) serve(c *echo.Context) error {
	f.running.Add(1)
	defer f.running.Add(-1)
	// Read once: a request that is refused must also be told to close its connection.
	refusing := f.refusing.Load()
	w := c.Response()
	if refusing || f.stopping.Load() {
		// The caller opens its next connection to another entry.
		w.Header().Set("Connection", "close")
	}
	v := f.pools.sync()
	request, problem := f.parse(c, v)
	if problem != nil {
		return problem.truthful(c.Request()).write(w)
	}
	f.meter.Offered(request.Class)
	run := &run{front: f, accepted: request}
	if refusing {
		problem = run.stopped()
		run.count(problem.Outcome)
		return problem.write(w)
	}
	reply, problem := run.settle(c.Request().Context())
	if problem != nil {
		run.count(problem.Outcome)
		return problem.write(w)
	}
	run.count(croft.OutcomeAnswered)
	return writeReply(w, reply)
}

func writeReply(w http.ResponseWriter, reply croft.Reply) error {
	h := w.Header()
	h.Set(HeaderOutcome, string(croft.OutcomeAnswered))
	if t := reply.Header.Get("Content-Type"); t != "" {
		h.Set("Content-Type", t)
	}
	h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, err := w.Write(reply.Body)
	return err
}

// run is one request on its way.
type run struct {
	front *Front
	accepted
	retried  int
	repeated bool
}

func (r *run) count(outcome croft.Outcome) {
	now := r.front.Clock.Now()
	r.front.meter.End(meter.Ended{
		Class:    r.Class,
		Outcome:  outcome,
		Late:     now > r.Deadline,
		Latency:  now - r.Arrived,
		Retried:  r.retried,
		Repeated: r.repeated,
	})
}

func (r *run) log(action, choice, reason string) {
	r.front.Log.Log(croft.Decision{
		Action:  action,
		Subject: r.Class.String() + " " + r.Key,
		Choice:  choice,
		Reason:  reason,
	})
}

func (r *run) refuse(reason string, problem *Problem) *Problem {
	r.log("Refuse", "", reason)
	return problem
}

// stopped refuses without looking at the claims, since a claim given back in a stop might never be written.
func (r *run) stopped() *Problem {
	const reason = "entry is stopping"
	if r.Repeatable {
		return r.refuse(reason, notRun("the entry is stopping", stopRetryAfter))
	}
	return r.refuse(reason, undispatched("the entry is stopping", stopRetryAfter))
}

// result is what the attempts of a request came to.
type result struct {
	reply   croft.Reply
	problem *Problem
}

// settle claims the request where it must, carries it to its outcome, and gives the claim back if surely nothing ran.
//
// The claim comes first: a request that may not be repeated may have been dispatched by another entry
// before, so that only who holds its claim can say that it did not run.
func (r *run) settle(ctx context.Context) (croft.Reply, *Problem) {
	id := uuid.NewString()
	if r.Repeatable {
		return r.admit(ctx, id)
	}
	if problem := r.claim(ctx, id); problem != nil {
		return croft.Reply{}, problem
	}
	reply, problem := r.admit(ctx, id)
	if problem != nil && problem.Outcome == croft.OutcomeNotRun {
		r.release(ctx, id)
		problem.RetryAfter = max(problem.RetryAfter, releaseRetryAfter)
	}
	return reply, problem
}

// admit waits for a slot and then for the outcome, which a caller that is gone doesn't end.
func (r *run) admit(ctx context.Context, id string) (croft.Reply, *Problem) {
	p, ok := r.front.pools.get(r.pool)
	if !ok {
		return croft.Reply{}, r.refuse("pool is not declared", notRun("the service's pool is not declared", croft.Second))
	}
	pass, err := p.gate.Enter(ctx, r.Class, r.Deadline)
	if err != nil {
		return croft.Reply{}, r.notAdmitted(err)
	}
	defer pass.Leave()
	span := r.Deadline - r.front.Clock.Now()
	// The attempt goes on to its end or deadline, since its claim stands whether or not the caller stays.
	kept, cancel := context.WithTimeout(context.WithoutCancel(ctx), span.Duration())
	defer cancel()
	end := r.attempt(kept, p, id)
	return end.reply, end.problem
}

func (r *run) notAdmitted(err error) *Problem {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		return r.refuse("caller is gone", notRun("the caller went away", croft.Second))
	}
	problem := notRun(refused.Reason, refused.RetryAfter)
	if refused.Limit {
		problem.Status = http.StatusTooManyRequests
	}
	return r.refuse(refused.Reason, problem)
}
