package daemon

import (
	"context"
	"errors"

	"waxwing.example/croft"
)

// deaf drops what executors say of their leaving, for the baseline that believes only the platform's VM list.
type deaf struct{ croft.Executor }

// Run makes the attempt and drops the executor's word.
func (d deaf) Run(ctx context.Context, endpoint croft.Endpoint, attempt croft.Attempt) (croft.Reply, error) {
	reply, err := d.Executor.Run(ctx, endpoint, attempt)
	reply.Leaving = false
	var refused *croft.RefusedError
	if errors.As(err, &refused) {
		return reply, &croft.RefusedError{Reason: refused.Reason, Busy: refused.Busy}
	}
	return reply, err
}
