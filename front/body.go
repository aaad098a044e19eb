package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/inflow"
)

const (
	// droppedRetryAfter is the retry hint for requests that were dropped in favour of others.
	droppedRetryAfter = croft.Second
	// bodyCopies is the memory of a request in progress, in sizes of its body: the body and the buffers of the connection to
	// the executor.
	bodyCopies = 2
)

// readBody reads a request body up to the limits on its size and time.
func (f *Front) readBody(c *echo.Context) ([]byte, *Problem) {
	r, limit := c.Request(), f.Limits.BodyBytes
	conn := inflow.FromContext(r.Context())
	body, err := conn.ReadBody(http.MaxBytesReader(c.Response(), r.Body, limit), r.ContentLength, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		conn.SetBodyTimeout(0)
		return body, nil
	case errors.As(err, &tooLarge):
		detail := fmt.Sprintf("body is over %d bytes", limit)
		return nil, invalidAtEntry(http.StatusRequestEntityTooLarge, "body", detail)
	case errors.Is(err, inflow.ErrDropped):
		return nil, droppedProblem()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Response().Header().Set("Connection", "close")
		detail := fmt.Sprintf("body did not arrive within %d ms", f.Limits.BodyTimeout)
		return nil, invalidAtEntry(http.StatusRequestTimeout, "body", detail)
	default:
		return nil, invalidAtEntry(http.StatusBadRequest, "body", "body could not be read whole")
	}
}

// droppedProblem returns the problem for a request that was dropped, before an attempt, in favour of others.
func droppedProblem() *Problem {
	problem := notRunProblem("the entry has no memory for this request", droppedRetryAfter)
	problem.entryDependent = true
	return problem
}

// droppedBeforeClaim returns the problem for a request that was dropped before its claim was taken, if it needs one.
func (r *activeRequest) droppedBeforeClaim() *Problem {
	problem := droppedProblem()
	if r.Repeatable {
		return problem
	}
	return notDispatched(problem.Detail, problem.RetryAfter)
}

// enter waits for a slot of the pool, until the waiting context ends, and then for the memory that the request needs. leave must be
// called once the request has ended.
func (r *activeRequest) enter(ctx, waiting context.Context, p *pool) (leave func(), problem *Problem) {
	pass, err := p.gate.Enter(waiting, r.Class, r.Deadline)
	if err != nil && errors.Is(context.Cause(waiting), inflow.ErrDropped) {
		return nil, r.refuse("dropped in favour of others", droppedProblem())
	}
	if err != nil {
		return nil, r.admissionProblem(err)
	}
	timely, cancel := context.WithTimeout(ctx, (r.Deadline - r.front.Clock.Now()).Duration())
	defer cancel()
	release, err := r.front.Gate.Process(timely, inflow.FromContext(ctx), bodyCopies*int64(len(r.Body)))
	if err != nil {
		pass.Leave()
		return nil, r.refuse("no memory for the request", droppedProblem())
	}
	return func() {
		release()
		pass.Leave()
	}, nil
}

// reserveReply reserves memory for a reply of some size, until releaseReply is called.
func (r *activeRequest) reserveReply(ctx context.Context, bytes int64) error {
	r.releaseReply()
	release, err := r.front.Gate.Respond(ctx, bytes)
	if err == nil {
		r.replyMemory = release
	}
	return err
}

// releaseReply releases the memory of the last reply.
func (r *activeRequest) releaseReply() {
	if r.replyMemory != nil {
		r.replyMemory()
		r.replyMemory = nil
	}
}
