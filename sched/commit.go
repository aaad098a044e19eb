package sched

import (
	"bytes"
	"errors"
	"fmt"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// partWriter batches the writes of one partition of the store, one commit at a time.
type partWriter struct {
	commitPending bool
	// dirty are the jobs whose state is to be stored.
	dirty []*job
	// deletions are rows of cancelled jobs that are to be deleted.
	deletions []croft.Op
	// sentAt is when the last commit was sent.
	sentAt croft.Millis
	// nextCommit is when the next commit may be sent; urgent reports that it may be sent before that.
	nextCommit croft.Millis
	urgent     bool
}

// Limits and pauses of commits.
const (
	// commitBatchDelay lets several changes in a partition share a commit.
	commitBatchDelay = 20 * croft.Millis(1)
	// maxBatchDelay bounds that delay while commits take long.
	maxBatchDelay = 500 * croft.Millis(1)
	// commitRetryPause is the pause after a commit that failed.
	commitRetryPause = 200 * croft.Millis(1)
	// maxRefusedPause bounds the pause of a job whose state the store refuses, which is commitRetryPause times the refusals.
	maxRefusedPause = 5 * croft.Second
	// maxJobsPerCommit keeps a transaction within the store's limit of 100 entries, with up to four for a job: the
	// expected version, the state, and two deleted rows.
	maxJobsPerCommit = 24
	// maxCommitBytes keeps a transaction well below the store's limit of 1 MB, in which values are base64.
	maxCommitBytes = 512 << 10
)

// partWriter returns the writer of a partition, which it creates if needed.
func (p *Planner) partWriter(name string) *partWriter {
	pa, ok := p.parts[name]
	if !ok {
		pa = &partWriter{}
		p.parts[name] = pa
	}
	return pa
}

// markDirty counts a change of a job's state and queues the job for a commit. The end of a job, and
// a change while its announcement is not stored, do not wait for commitBatchDelay.
func (p *Planner) markDirty(j *job) {
	j.sequence++
	pa := p.partWriter(j.part)
	if !j.dirty {
		j.dirty = true
		if len(pa.dirty) == 0 {
			pa.nextCommit = max(pa.nextCommit, p.now.Elapsed+commitBatchDelay)
		}
		pa.dirty = append(pa.dirty, j)
	}
	if j.ended || !j.announcementStored {
		pa.urgent = true
	}
}

// deleteCancelledRows queues the deletion of a cancelled job's remaining rows, and drops a queued write of its state.
func (p *Planner) deleteCancelledRows(j *job) {
	pa := p.partWriter(j.part)
	pa.deletions = append(pa.deletions, jobs.LiveRowDeletions(j.part, j.id)...)
	pa.dirty = slices.DeleteFunc(pa.dirty, func(other *job) bool { return other == j })
	j.dirty, j.storedSequence = false, j.sequence
	p.removeFinishedJob(j)
}

// removeFinishedJob removes an ended job whose state is stored and that has no runs left, and leaves a tombstone.
func (p *Planner) removeFinishedJob(j *job) {
	if !j.ended || j.storedSequence < j.sequence || j.liveRuns > 0 || p.jobs[j.id] != j {
		return
	}
	p.classOf(j).open -= tasksOf(j.stages)
	delete(p.jobs, j.id)
	p.tombstones[j.id] = p.now.Elapsed
}

// encodedState is the state of a job as it is sent to the store.
type encodedState struct {
	job   *job
	value []byte
}

// takeStates removes the jobs of the next commit from those that wait, and returns their states. A job whose state does not fit a
// row ends as failed: it could neither go on nor end otherwise, and the ends of its runs would keep those of other jobs from being
// acknowledged.
func (p *Planner) takeStates(pa *partWriter) []encodedState {
	var taken []encodedState
	var kept, oversized []*job
	size, full := 0, false
	for _, j := range pa.dirty {
		if full || p.now.Elapsed < j.writeFrom || (j.writtenAlone && len(taken) > 0) {
			kept = append(kept, j)
			continue
		}
		j.progress.Fence = p.fencingToken
		value := jobs.EncodeProgress(j.progress)
		if len(taken) > 0 && size+len(value) > maxCommitBytes {
			full = true
			kept = append(kept, j)
			continue
		}
		j.dirty = false
		if p.options.RowBytes > 0 && len(value) > p.options.RowBytes && !j.ended {
			oversized = append(oversized, j)
			continue
		}
		size += len(value)
		taken = append(taken, encodedState{job: j, value: value})
		full = j.writtenAlone || len(taken) == maxJobsPerCommit
	}
	pa.dirty = kept
	for _, j := range oversized {
		p.endJob(j, jobs.Failed, fmt.Sprintf("its state is larger than a row of the store, which has at most %d bytes", p.options.RowBytes))
	}
	return taken
}

// sendDueCommits sends the commits that are due, in the order of the partitions' names.
func (p *Planner) sendDueCommits() {
	names := make([]string, 0, len(p.parts))
	for name, pa := range p.parts {
		due := p.now.Elapsed >= pa.nextCommit || pa.urgent
		if !pa.commitPending && due && len(pa.dirty)+len(pa.deletions) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		p.commitPart(name, p.parts[name])
	}
}

// commitPart sends a commit with the next states of a partition or, if there are none, its next deletions.
func (p *Planner) commitPart(name string, pa *partWriter) {
	commit := Commit{Part: name}
	for _, state := range p.takeStates(pa) {
		j, value := state.job, state.value
		if n := len(j.unconfirmedWrites); n == 0 || !bytes.Equal(j.unconfirmedWrites[n-1].value, value) {
			j.unconfirmedWrites = append(j.unconfirmedWrites, unconfirmedWrite{value: value, sequence: j.sequence, announced: j.announced})
		}
		commit.Writes = append(commit.Writes, Write{ID: j.id, Sequence: j.sequence, Announced: j.announced, Began: j.began})
		commit.Ops = append(commit.Ops, croft.Op{Kind: croft.OpPut, Key: jobs.Key(jobs.StateTable, name, j.id), Version: j.version, Value: value})
		if (j.began || j.ended) && !j.waitRowDeleted {
			commit.Ops = append(commit.Ops, croft.Op{Kind: croft.OpDelete, Key: jobs.Key(jobs.WaitTable, name, j.id), Version: croft.AnyVersion})
		}
		if j.ended {
			commit.Ops = append(commit.Ops, croft.Op{Kind: croft.OpDelete, Key: jobs.Key(jobs.JobTable, name, j.id), Version: croft.AnyVersion})
		}
	}
	if len(commit.Writes) == 0 {
		m := min(len(pa.deletions), maxJobsPerCommit)
		commit.Ops = append(commit.Ops, pa.deletions[:m]...)
		pa.deletions = slices.Clone(pa.deletions[m:])
	}
	if len(commit.Ops) == 0 {
		return
	}
	pa.commitPending, pa.urgent, pa.sentAt = true, false, p.now.Elapsed
	p.emit(commit)
}

// handleCommitResult records what a commit has stored, or prepares its writes for the next one.
func (p *Planner) handleCommitResult(e Committed) {
	pa := p.partWriter(e.Part)
	pa.commitPending = false
	// Changes other than announcements and ends wait as long as a commit takes: while the store is slow, their commits would
	// delay the urgent ones.
	pa.nextCommit = p.now.Elapsed + max(commitBatchDelay, min(p.now.Elapsed-pa.sentAt, maxBatchDelay))
	var conflict *croft.ConflictError
	switch {
	case e.Err == nil:
		for _, w := range e.Writes {
			if j, ok := p.jobs[w.ID]; ok {
				j.writtenAlone, j.refusals = false, 0
				j.waitRowDeleted = j.waitRowDeleted || w.Began
				p.recordStored(j, w.Sequence, e.Version)
				p.confirmAnnouncement(j, w.Announced)
			}
		}
		p.acknowledgeStoredEnds()
	case errors.As(e.Err, &conflict):
		p.resolveConflict(e, conflict)
	default:
		p.log("Unstored", e.Part, "", fmt.Sprintf("commit of %d job states not confirmed: %v", len(e.Writes), e.Err))
		var unavailable *croft.UnavailableError
		if errors.As(e.Err, &unavailable) && unavailable.Invalid && len(e.Writes) > 0 {
			p.separateInvalidWrites(e.Writes)
		} else {
			pa.nextCommit = p.now.Elapsed + commitRetryPause
		}
		pa.urgent = false
		p.requeueWrites(e)
	}
}

// separateInvalidWrites makes the jobs of a commit that was refused for what it contains be written one by one, and one that was
// refused alone be written again after a pause, so that it keeps no others waiting.
func (p *Planner) separateInvalidWrites(writes []Write) {
	for _, w := range writes {
		j, ok := p.jobs[w.ID]
		if !ok {
			continue
		}
		if len(writes) == 1 {
			j.refusals++
			j.writeFrom = p.now.Elapsed + min(commitRetryPause*croft.Millis(j.refusals), maxRefusedPause)
		}
		j.writtenAlone = true
	}
}

// requeueWrites queues the writes of a commit that failed, or whose outcome is unknown, for the next commit.
func (p *Planner) requeueWrites(e Committed) {
	pa := p.partWriter(e.Part)
	for _, w := range e.Writes {
		if j, ok := p.jobs[w.ID]; ok && !j.dirty && j.storedSequence < w.Sequence {
			j.dirty = true
			pa.dirty = append(pa.dirty, j)
		}
	}
	if len(e.Writes) == 0 {
		pa.deletions = append(pa.deletions, e.Ops...)
	}
}

// confirmAnnouncement allows starts of a job's tasks once its announcement is stored.
func (p *Planner) confirmAnnouncement(j *job, announced bool) {
	if announced && !j.announcementStored {
		j.announcementStored = true
		p.pool(j.record.Pool).changed = true
	}
}

// recordStored records that the changes of a job up to a sequence are stored, as this version of its row.
func (p *Planner) recordStored(j *job, sequence, version uint64) {
	j.version = version
	j.storedSequence = max(j.storedSequence, sequence)
	if len(j.progress.Crashed) > 0 {
		p.pool(j.record.Pool).changed = true
	}
	j.unconfirmedWrites = slices.DeleteFunc(j.unconfirmedWrites, func(w unconfirmedWrite) bool { return w.sequence <= sequence })
	p.releaseOccurrences(j)
	p.removeFinishedJob(j)
}

// resolveConflict handles a commit that was not applied because rows had other versions than expected.
func (p *Planner) resolveConflict(e Committed, conflict *croft.ConflictError) {
	for _, row := range conflict.Rows {
		_, id, err := jobs.SplitKey(row.Key)
		if err != nil {
			p.log("Unreadable", row.Key, "", err.Error())
			continue
		}
		if j, ok := p.jobs[id]; ok && j.version != row.Version {
			p.resolveJobConflict(j, row)
		}
		if !p.leading {
			return
		}
	}
	p.requeueWrites(e)
	p.acknowledgeStoredEnds()
}

// resolveJobConflict applies the stored state row of a job, which this planner did not expect.
func (p *Planner) resolveJobConflict(j *job, row croft.Row) {
	for _, w := range j.unconfirmedWrites {
		if bytes.Equal(w.value, row.Value) {
			// An earlier commit of this planner, whose outcome was unknown, was carried out.
			p.recordStored(j, w.sequence, row.Version)
			p.confirmAnnouncement(j, w.announced)
			return
		}
	}
	progress, err := jobs.DecodeProgress(row.Value)
	if err != nil {
		p.log("Unreadable", string(j.id), "", err.Error())
		return
	}
	if progress.Fence > p.fencingToken {
		p.stepDown(fmt.Sprintf("the state of job %s was written with fencing token %d; ours is %d", j.id, progress.Fence, p.fencingToken))
		return
	}
	j.version = row.Version
	if progress.Status == jobs.Canceled {
		if j.ended {
			// The cancellation was stored before the end that this planner tried to store, and prevails.
			j.progress.Status = jobs.Canceled
			p.deleteCancelledRows(j)
			return
		}
		p.endJob(j, jobs.Canceled, "the caller cancelled it")
		return
	}
	p.mergeProgress(j, progress)
}

// mergeProgress adds progress that a former leader stored after this planner had read the job.
func (p *Planner) mergeProgress(j *job, progress jobs.Progress) {
	if progress.Announced || progress.Status == jobs.Running {
		j.inherited, j.announced, j.announcementStored, j.progress.Announced = true, true, true, true
	}
	p.log("Merge", string(j.id), string(progress.Status), "a former leader stored this state after the takeover")
	p.openStoredOccurrences(j, progress)
	if j.parked != nil && j.announced && !j.ended {
		p.openNextOccurrence(j)
	}
	for _, s := range j.stages {
		for index := range s.tasks {
			s.tasks[index].runNumber = max(s.tasks[index].runNumber, p.initialRunNumber(j))
			if progress.IsFinished(s.occurrence) || jobs.HasBit(progress.Done[jobs.StageName(s.occurrence, s.step)], index) {
				p.completeTask(s, index)
			}
			for _, number := range progress.Failed[jobs.TaskName(s.occurrence, s.step, index)] {
				p.recordTaskFailure(s, index, number, "")
			}
			if crashes, suspect := progress.Crashed[jobs.TaskName(s.occurrence, s.step, index)]; suspect {
				p.setSuspicion(s, index, true, max(crashes, s.tasks[index].crashes))
			}
		}
	}
	if progress.Status.Final() {
		p.endJob(j, progress.Status, "a former leader stored its end")
	}
}

// acknowledgeStoredEnds makes a hold due at once for each executor whose recorded ends are now all stored; the hold
// acknowledges them.
func (p *Planner) acknowledgeStoredEnds() {
	for _, w := range p.sortedWorkers {
		if w.holdPending || len(w.pendingAcks) == 0 {
			continue
		}
		p.advanceAcks(w)
		if len(w.pendingAcks) == 0 {
			w.nextHold = min(w.nextHold, p.now.Elapsed)
			p.holdCandidates = append(p.holdCandidates, w)
		}
	}
}
