package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// runsPerTerm is how many run numbers of a task belong to each term of a leader.
const runsPerTerm = 100_000

// numbersBefore returns the highest run number that belongs to a term before this one. A leader gives out no number of a later term, so
// those of its successors are higher.
func (p *Planner) numbersBefore() int { return (p.term - 1) * runsPerTerm }

// initialRunNumber returns the run number after which the runs of a job's tasks are numbered in this term.
func (p *Planner) initialRunNumber(j *job) int {
	if j.inherited {
		return p.numbersBefore()
	}
	return 0
}

// oldNumberPause is the pause of a task whose numbers are refused as old one after another.
const oldNumberPause = 200 * croft.Millis(1)

// replaceOldNumber makes the next run of a task have a higher number than one that an executor refused as old, and than all those of former
// leaders.
func (p *Planner) replaceOldNumber(t *task) {
	t.runNumber = max(t.runNumber, p.numbersBefore())
	if t.oldNumbers++; t.oldNumbers > 1 {
		t.startFrom = max(t.startFrom, p.now.Elapsed+oldNumberPause)
	}
}

// hasRunNumber reports whether this term has a number for another run of a task. If not, the term is to end, as the next one has. A number
// above those of this term is one that an executor has shown, and is counted on from.
func (p *Planner) hasRunNumber(s *stage, index int) bool {
	if s.tasks[index].runNumber != p.term*runsPerTerm {
		return true
	}
	p.lastNumberUsed = s.id(index).String()
	return false
}

// endTermWithoutNumbers ends the term if a waiting task has used its last run number.
func (p *Planner) endTermWithoutNumbers() {
	if p.leading && p.lastNumberUsed != "" {
		p.stepDown(fmt.Sprintf("task %s has used all its run numbers of term %d", p.lastNumberUsed, p.term))
	}
}
