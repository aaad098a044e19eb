package sched

import (
	"fmt"
	"strings"

	"waxwing.example/croft"
)

// Describe returns the state of a job, its stages and its runs as text for debugging.
func (p *Planner) Describe(id croft.JobID) string {
	j, ok := p.jobs[id]
	if !ok {
		return fmt.Sprintf("job %s: not known", id)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "job %s: %s, queue %s, change %d of %d stored, ended %v, deadline in %d ms", id, j.progress.Status, j.record.Queue, j.storedSequence, j.sequence, j.ended, j.deadline-p.now.Elapsed)
	b.WriteString(p.describeParked(j))
	b.WriteString(j.describeOrganisation())
	b.WriteString(p.describeUse(j))
	for _, s := range j.stages {
		fmt.Fprintf(&b, "\n  step %d.%d: open %v, %d of %d left, waiting %v", s.occurrence, s.step, s.open, s.remainingTasks, len(s.tasks), s.waiting)
		if s.awaitsCap {
			fmt.Fprintf(&b, ", for its cap since %d ms", p.now.Elapsed-s.cappedSince)
		}
		b.WriteString(p.describeReservation(s))
		for i, t := range s.tasks {
			if t.run != nil {
				fmt.Fprintf(&b, "\n    task %d: run %d on %s, phase %d, %d %%", i, t.run.number, t.run.worker.ID, t.run.phase, t.run.percent)
			}
		}
	}
	return b.String()
}
