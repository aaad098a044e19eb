package intake

import (
	"context"

	"waxwing.example/croft"
	"waxwing.example/croft/quota"
)

// CheckCap returns an error if a job can never run, since a task or a gang of it needs more than the cap of its organisation. A job
// that is or may be stored already, as the cap was higher then, is not refused: it runs.
func (i *Intake) CheckCap(ctx context.Context, t Target, limit croft.Resources, spec croft.JobSpec) error {
	err := quota.CheckSpec(limit, spec)
	if err == nil || i.mayBeStored(ctx, t) {
		return nil
	}
	i.logDecision("Submit", t.ID, "Oversized", err.Error())
	return err
}
