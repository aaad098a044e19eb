package sched

import (
	"bytes"
	"errors"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// part is the write path of one part of the store.
type part struct {
	busy  bool
	dirty []*job
	// clear are rows of cancelled jobs that are not needed any more.
	clear []croft.Op
	// next is when the next commit may be sent, and urgent says that an end waits for it.
	next   croft.Millis
	urgent bool
}

// Limits of commits.
const (
	// gatherWait lets changes of a part share a transaction.
	gatherWait = 20 * croft.Millis(1)
	// refusedWait is the pause after a commit that the store did not take.
	refusedWait = 200 * croft.Millis(1)
	// jobsACommit keeps a transaction below the store's 100 entries, with up to four for a job: the
	// version that is expected, its state, and two rows that go.
	jobsACommit = 24
)

func (p *Planner) part(name string) *part {
	pa, ok := p.parts[name]
	if !ok {
		pa = &part{}
		p.parts[name] = pa
	}
	return pa
}

// touch notes that a job's state is to be stored.
func (p *Planner) touch(j *job) {
	j.sequence++
	pa := p.part(j.part)
	if !j.dirty {
		j.dirty = true
		if len(pa.dirty) == 0 {
			pa.next = max(pa.next, p.now.Elapsed+gatherWait)
		}
		pa.dirty = append(pa.dirty, j)
	}
	if j.ended || !j.permitted {
		pa.urgent = true
	}
}

// clearCancelled removes what is left of a cancelled job from the store.
func (p *Planner) clearCancelled(j *job) {
	pa := p.part(j.part)
	for _, table := range []string{jobs.JobTable, jobs.CancelTable, jobs.WaitTable} {
		pa.clear = append(pa.clear, croft.Op{Kind: croft.OpDelete, Key: jobs.Key(table, j.part, j.id), Version: croft.AnyVersion})
	}
	pa.dirty = slices.DeleteFunc(pa.dirty, func(other *job) bool { return other == j })
	j.dirty, j.stored = false, j.sequence
	p.forgetJob(j)
}

// forgetJob drops an ended job once none of its runs is left.
func (p *Planner) forgetJob(j *job) {
	if !j.ended || j.stored < j.sequence || j.runs > 0 {
		return
	}
	delete(p.jobs, j.id)
	p.over[j.id] = p.now.Elapsed
}

// commitDirty sends the commits that are due.
func (p *Planner) commitDirty() {
	names := make([]string, 0, len(p.parts))
	for name, pa := range p.parts {
		due := p.now.Elapsed >= pa.next || pa.urgent
		if !pa.busy && due && len(pa.dirty)+len(pa.clear) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		p.commitPart(name, p.parts[name])
	}
}

func (p *Planner) commitPart(name string, pa *part) {
	commit := Commit{Part: name}
	n := min(len(pa.dirty), jobsACommit)
	for _, j := range pa.dirty[:n] {
		j.dirty = false
		j.progress.Fence = p.fence
		value := jobs.Encode(j.progress)
		if n := len(j.tried); n == 0 || !bytes.Equal(j.tried[n-1].value, value) {
			j.tried = append(j.tried, try{value: value, sequence: j.sequence, announced: j.announced})
		}
		commit.Writes = append(commit.Writes, Write{ID: j.id, Sequence: j.sequence, Announced: j.announced, Began: j.began})
		commit.Ops = append(commit.Ops, croft.Op{Kind: croft.OpPut, Key: jobs.Key(jobs.StateTable, name, j.id), Version: j.version, Value: value})
		if j.began && !j.cleared {
			commit.Ops = append(commit.Ops, croft.Op{Kind: croft.OpDelete, Key: jobs.Key(jobs.WaitTable, name, j.id), Version: croft.AnyVersion})
		}
		if j.ended {
			commit.Ops = append(commit.Ops, croft.Op{Kind: croft.OpDelete, Key: jobs.Key(jobs.JobTable, name, j.id), Version: croft.AnyVersion})
		}
	}
	pa.dirty = slices.Clone(pa.dirty[n:])
	if n == 0 {
		m := min(len(pa.clear), jobsACommit)
		commit.Ops = append(commit.Ops, pa.clear[:m]...)
		pa.clear = slices.Clone(pa.clear[m:])
	}
	pa.busy, pa.urgent = true, false
	p.do(commit)
}

func (p *Planner) takeCommitted(e Committed) {
	pa := p.part(e.Part)
	pa.busy = false
	pa.next = p.now.Elapsed + gatherWait
	var conflict *croft.ConflictError
	switch {
	case e.Err == nil:
		for _, w := range e.Writes {
			if j, ok := p.jobs[w.ID]; ok {
				j.cleared = j.cleared || w.Began
				p.stored(j, w.Sequence, e.Version)
				p.permit(j, w.Announced)
			}
		}
		p.ackWorkers()
	case errors.As(e.Err, &conflict):
		p.resolve(e, conflict)
	default:
		p.log("Unstored", e.Part, "", e.Err.Error())
		pa.next = p.now.Elapsed + refusedWait
		pa.urgent = false
		p.again(e)
	}
}

// again marks the jobs of a commit that was not done, or may not have been, for the next one.
func (p *Planner) again(e Committed) {
	pa := p.part(e.Part)
	for _, w := range e.Writes {
		if j, ok := p.jobs[w.ID]; ok && !j.dirty && j.stored < w.Sequence {
			j.dirty = true
			pa.dirty = append(pa.dirty, j)
		}
	}
	if len(e.Writes) == 0 {
		pa.clear = append(pa.clear, e.Ops...)
	}
}

// permit lets the tasks of a job start once the store knows that they may.
func (p *Planner) permit(j *job, announced bool) {
	if announced && !j.permitted {
		j.permitted = true
		p.pool(j.record.Pool).changed = true
	}
}

func (p *Planner) stored(j *job, sequence, version uint64) {
	j.version = version
	j.stored = max(j.stored, sequence)
	j.tried = slices.DeleteFunc(j.tried, func(t try) bool { return t.sequence <= sequence })
	p.forgetJob(j)
}

// resolve takes in rows that were not as expected.
func (p *Planner) resolve(e Committed, conflict *croft.ConflictError) {
	for _, row := range conflict.Rows {
		_, id, err := jobs.SplitKey(row.Key)
		if err != nil {
			p.log("Unreadable", row.Key, "", err.Error())
			continue
		}
		if j, ok := p.jobs[id]; ok && j.version != row.Version {
			p.resolveJob(j, row)
		}
		if !p.leading {
			return
		}
	}
	p.again(e)
	p.ackWorkers()
}

func (p *Planner) resolveJob(j *job, row croft.Row) {
	for _, t := range j.tried {
		if bytes.Equal(t.value, row.Value) {
			// A commit without an answer was done after all.
			p.stored(j, t.sequence, row.Version)
			p.permit(j, t.announced)
			return
		}
	}
	progress, err := jobs.DecodeProgress(row.Value)
	if err != nil {
		p.log("Unreadable", string(j.id), "", err.Error())
		return
	}
	if progress.Fence > p.fence {
		p.stepDown("a job's state was written with a higher fencing token")
		return
	}
	j.version = row.Version
	if progress.Status == jobs.Canceled {
		if j.ended {
			// The cancelling was stored before the end that this entry was about to store.
			j.progress.Status = jobs.Canceled
			p.clearCancelled(j)
			return
		}
		p.endJob(j, jobs.Canceled, "the caller cancelled it")
		return
	}
	p.mergeProgress(j, progress)
}

// mergeProgress takes in what a former leader stored after this one had read.
func (p *Planner) mergeProgress(j *job, progress jobs.Progress) {
	if progress.Announced || progress.Status == jobs.Running {
		j.before, j.announced, j.permitted, j.progress.Announced = true, true, true, true
	}
	p.log("Merge", string(j.id), string(progress.Status), "a former leader's write came after the takeover")
	for _, s := range j.stages {
		for index := range s.tasks {
			if jobs.HasBit(progress.Done[jobs.StageName(s.occurrence, s.step)], index) {
				p.endDone(s, index)
			}
			for _, number := range progress.Failed[jobs.TaskName(s.occurrence, s.step, index)] {
				p.taskFailed(s, index, number, "")
			}
		}
	}
	if progress.Status.Final() {
		p.endJob(j, progress.Status, "a former leader stored its end")
	}
}

// ackWorkers lets executors forget ends that are stored now.
func (p *Planner) ackWorkers() {
	for _, w := range p.workerOrder {
		if w.holding || len(w.acks) == 0 {
			continue
		}
		p.forgetAcked(w)
		if len(w.acks) == 0 {
			w.nextHold = min(w.nextHold, p.now.Elapsed)
			p.heard = append(p.heard, w)
		}
	}
}
