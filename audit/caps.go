package audit

import (
	"waxwing.example/croft"
	"waxwing.example/croft/quota"
)

// checkCap compares the cap of an organisation with the example job.
func (c *checker) checkCap(o croft.Organisation) {
	if c.options.Job == nil {
		return
	}
	if err := quota.CheckSpec(o.Cap, *c.options.Job); err != nil {
		c.add(Contradiction, CapBelowJob, KindOrganisation, string(o.ID), "can never run the example %s", err)
		return
	}
	rate, limited := jobRate(o.Cap, *c.options.Job)
	if limited && o.Weight > rate {
		c.add(Warning, CapBelowWeight, KindOrganisation, string(o.ID),
			"the weight promises %v jobs per second, but %.3g per second like the example job use up the cap", o.Weight, rate)
	}
}

// jobRate returns how many jobs per second use up a cap by their estimates, and whether the cap limits their number. Endless tasks have no
// duration, so jobs with such tasks have no rate.
func jobRate(limit croft.Resources, job croft.JobSpec) (rate float64, limited bool) {
	var cpu, memory, accelerators float64
	for _, step := range job.Steps {
		if step.Endless {
			return 0, false
		}
		seconds := float64(step.Count) * float64(step.Estimate) / float64(croft.Second) * float64(max(job.Repeats, 1))
		cpu += seconds * float64(step.Needs.MilliCores)
		memory += seconds * float64(step.Needs.MemoryMB)
		accelerators += seconds * float64(step.Needs.Accelerators)
	}
	for _, a := range []struct {
		limit int64
		use   float64
	}{{limit.MilliCores, cpu}, {limit.MemoryMB, memory}, {limit.Accelerators, accelerators}} {
		if a.limit <= 0 || a.use <= 0 {
			continue
		}
		if r := float64(a.limit) / a.use; !limited || r < rate {
			rate, limited = r, true
		}
	}
	return rate, limited
}
