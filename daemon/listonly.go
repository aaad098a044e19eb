package daemon

import (
	"context"
	"errors"

	"waxwing.example/croft"
)

// listOnlyExecutor removes the leaving notices from executors' responses, for the baseline in which an entry
// recognises leaving endpoints only by the platform's VM list.
type listOnlyExecutor struct{ croft.Executor }

// Run makes the attempt and removes a leaving notice from the reply or the refusal.
func (e listOnlyExecutor) Run(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (croft.Reply, error) {
	reply, err := e.Executor.Run(ctx, endpoint, attempt)
	reply.Leaving = false
	var refused *croft.RefusedError
	if errors.As(err, &refused) {
		return reply, &croft.RefusedError{Reason: refused.Reason, Busy: refused.Busy}
	}
	return reply, err
}
