package intake

import (
	"context"
	"fmt"

	"waxwing.example/croft"
	"waxwing.example/croft/sched"
	"waxwing.example/croft/shares"
)

// CountRefusals sets the function that is called for each refusal because of the load, with the caller's organisation. It must be called
// before the Intake is used.
func (i *Intake) CountRefusals(count func(croft.OrganisationID)) { i.countRefusal = count }

// refuse reports whether a job is refused by the loads that the leader published, and when its caller may retry. Only a job that is
// certainly not stored is refused: if the store does not answer, the submission has the outcome that this has without any load.
func (i *Intake) refuse(ctx context.Context, t Target, spec croft.JobSpec) (bool, croft.Millis) {
	reason, drain := refusal(i.loadOf(t.Queue.ID), t, spec)
	if reason == "" || i.mayBeStored(ctx, t) {
		return false, 0
	}
	wait := shares.RetryAfter(t.ID, drain)
	i.logDecision("Submit", t.ID, string(Rejected), fmt.Sprintf("queue %s, organisation %s: %s; retry after %d ms", t.Queue.ID, t.Organisation, reason, wait))
	if i.countRefusal != nil {
		i.countRefusal(t.Organisation)
	}
	return true, wait
}

// refusal returns why a job is refused, empty if it is not, and how long the backlog takes to drain so far that the job can be served.
// Endless jobs are never refused: others make room for them.
func refusal(load sched.Load, t Target, spec croft.JobSpec) (string, croft.Millis) {
	for _, s := range spec.Steps {
		if s.Endless {
			return "", 0
		}
	}
	if fraction, limited := load.Admitted[t.Organisation]; limited && t.Organisation != "" && !shares.Admits(t.ID, fraction) {
		return fmt.Sprintf("%.3f of its jobs are admitted while the queue is short of capacity for %d ms", fraction, load.Wait), load.Wait
	}
	// A scheduled job begins when it is due, not when it is submitted.
	if load.Ahead == 0 || spec.Repeats > 0 || spec.First > 0 {
		return "", 0
	}
	if useful := sched.UsefulFor(t.Queue, spec.Steps); load.Ahead > useful {
		return fmt.Sprintf("the work ahead takes %d ms, and the job is of use for %d ms", load.Ahead, useful), load.Ahead - useful
	}
	return "", 0
}
