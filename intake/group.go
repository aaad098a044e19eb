package intake

import (
	"context"
	"errors"
	"slices"
	"sync"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// Limits of grouped transactions.
const (
	// maxGroup keeps a transaction within the store's limit of 100 entries, with four for a submission: the expected
	// version of the state and three rows.
	maxGroup = 25
	// maxGroupBytes keeps a transaction well below the store's limit of 1 MB, in which values are base64.
	maxGroupBytes = 512 << 10
)

// submission is a job, or the tombstone of one, that waits until its transaction has an outcome.
type submission struct {
	// stateKey is the key of the job's state row, whose existence shows that the job is stored or cancelled.
	stateKey string
	// organisation owns the job.
	organisation croft.OrganisationID
	// tombstone reports that a tombstone is to be stored, and found is the row that exists in its place.
	tombstone bool
	found     croft.Row
	// ops begins with the operation on the state row.
	ops   []croft.Op
	began croft.Millis
	// sent reports that a transaction with the job was sent, and mayBeStored that the outcome of one is unknown.
	sent, mayBeStored bool
	// alone reports that the job shares no transaction, since one of it was refused for what it contained.
	alone   bool
	lastErr error
	// decided is closed once outcome and reason are final.
	decided chan struct{}
	outcome Outcome
	reason  string
}

// groupWriter stores submissions with one transaction at a time for each part. Submissions to a part that arrive meanwhile
// share the next transaction: a slow store takes as long for one job as for many.
type groupWriter struct {
	table croft.Table
	clock croft.Clock

	mu        sync.Mutex
	parts     map[string]*partQueue
	uncertain uncertainKeys
}

// partQueue has the submissions of one part that are not decided.
type partQueue struct {
	waiting []*submission
	// inFlight has the state keys of the transaction that is under way, which may be stored after its callers have left.
	inFlight map[string]bool
	// writing reports that a goroutine runs write.
	writing bool
}

// newGroupWriter returns a writer without submissions.
func newGroupWriter(table croft.Table, clock croft.Clock) *groupWriter {
	return &groupWriter{table: table, clock: clock, parts: map[string]*partQueue{}}
}

// submit stores a job in a part and returns its outcome, or the best that is known once the caller's context ends. A
// submission that the store keeps refusing is abandoned, so that the caller can try another entry. Nothing is sent if the context has
// ended: the checks before may have ended with it.
func (g *groupWriter) submit(ctx context.Context, part, stateKey string, org croft.OrganisationID, ops []croft.Op) (Outcome, string) {
	if err := ctx.Err(); err != nil {
		if g.isPending(part, stateKey) {
			return Unknown, err.Error()
		}
		return Unavailable, err.Error()
	}
	return g.store(ctx, part, &submission{stateKey: stateKey, organisation: org, ops: ops})
}

// commitTombstone stores a tombstone in a part. Its errors are those of a Commit, whose outcome is unknown if the context ends.
func (g *groupWriter) commitTombstone(ctx context.Context, part string, op croft.Op) error {
	s := &submission{stateKey: op.Key, tombstone: true, ops: []croft.Op{op}}
	switch outcome, reason := g.store(ctx, part, s); outcome {
	case Accepted:
		return nil
	case Conflict:
		return &croft.ConflictError{Rows: []croft.Row{s.found}}
	case Unknown:
		return &croft.LostAnswerError{Reason: reason}
	default:
		return &croft.UnavailableError{Reason: reason}
	}
}

// store queues a submission and waits for its outcome, until the context ends.
func (g *groupWriter) store(ctx context.Context, part string, s *submission) (Outcome, string) {
	s.began, s.decided = g.clock.Elapsed(), make(chan struct{})
	g.enqueue(part, s)
	select {
	case <-s.decided:
	case <-ctx.Done():
		g.abandon(part, s, ctx.Err())
	}
	return s.outcome, s.reason
}

// enqueue queues a submission and starts the part's write goroutine if it does not run.
func (g *groupWriter) enqueue(part string, s *submission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q, ok := g.parts[part]
	if !ok {
		q = &partQueue{}
		g.parts[part] = q
	}
	q.waiting = append(q.waiting, s)
	if !q.writing {
		q.writing = true
		go g.write(q)
	}
}

// abandon decides a submission whose caller's context has ended: a job that was never sent, by an earlier submission neither, is
// certainly not stored.
func (g *groupWriter) abandon(part string, s *submission, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.isDecided() {
		return
	}
	if s.lastErr != nil {
		cause = s.lastErr
	}
	q, outcome := g.parts[part], Unavailable
	if s.sent || q.inFlight[s.stateKey] || g.isUncertain(s.stateKey) {
		outcome = Unknown
	}
	q.decide(s, outcome, cause.Error())
}

// isUncertain reports whether a transaction with the key has had no answer and may still be carried out; the caller holds the lock.
func (g *groupWriter) isUncertain(stateKey string) bool {
	return g.uncertain.contains(stateKey, g.clock.Elapsed())
}

// isPending reports whether this entry may still store a job, although the caller of the submission may have left.
func (g *groupWriter) isPending(part, stateKey string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isUncertain(stateKey) {
		return true
	}
	q, ok := g.parts[part]
	return ok && (q.inFlight[stateKey] || slices.ContainsFunc(q.waiting, func(s *submission) bool { return s.stateKey == stateKey }))
}

// isDecided reports whether the outcome is final.
func (s *submission) isDecided() bool {
	select {
	case <-s.decided:
		return true
	default:
		return false
	}
}

// decide sets the outcome of a submission, unless it has one already, and removes it from the waiting ones; the caller holds the
// writer's lock.
func (q *partQueue) decide(s *submission, outcome Outcome, reason string) {
	if !s.isDecided() {
		s.outcome, s.reason = outcome, reason
		close(s.decided)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(other *submission) bool { return other == s })
}

// write commits the submissions of a part, group after group, until none waits.
func (g *groupWriter) write(q *partQueue) {
	alone := false
	for {
		group := g.nextGroup(q, alone)
		if len(group) == 0 {
			return
		}
		var ops []croft.Op
		for _, s := range group {
			ops = append(ops, s.ops...)
		}
		_, err := g.table.Commit(context.Background(), ops)
		var settled bool
		if settled, alone = g.settle(q, group, err); !settled {
			_ = g.clock.Sleep(context.Background(), retryDelay)
		}
	}
}

// nextGroup returns the submissions of the next transaction, or ends the part's writing if none waits. Each job is in a
// group once; alone limits the group to one submission.
func (g *groupWriter) nextGroup(q *partQueue, alone bool) []*submission {
	g.mu.Lock()
	defer g.mu.Unlock()
	var group []*submission
	bytes, keys := 0, map[string]bool{}
	for _, s := range q.waiting {
		size := 0
		for _, op := range s.ops {
			size += len(op.Key) + len(op.Value)
		}
		if len(group) > 0 && (alone || len(group) == maxGroup || bytes+size > maxGroupBytes) {
			break
		}
		if keys[s.stateKey] || (s.alone && len(group) > 0) {
			continue
		}
		keys[s.stateKey] = true
		bytes += size
		s.sent = true
		group = append(group, s)
		if s.alone {
			break
		}
	}
	q.writing, q.inFlight = len(group) > 0, keys
	return group
}

// settle applies the outcome of a transaction to its submissions. It reports whether the next transaction may be sent at
// once, and whether it has to be that of a single submission.
func (g *groupWriter) settle(q *partQueue, group []*submission, err error) (settled, alone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q.inFlight = nil
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	switch {
	case err == nil:
		for _, s := range group {
			q.decide(s, Accepted, "stored")
		}
		return true, false
	case errors.As(err, &conflict):
		return true, q.resolveConflict(group, conflict)
	case errors.As(err, &unavailable) && unavailable.Invalid:
		q.separateInvalid(group, err)
		return true, false
	case errors.As(err, &unavailable):
		for _, s := range group {
			s.lastErr = err
			if !s.mayBeStored && !g.isUncertain(s.stateKey) && g.clock.Elapsed()-s.began > refusalTimeout {
				q.decide(s, Unavailable, err.Error())
				continue
			}
			s.sent = s.mayBeStored
		}
	default:
		// The transaction may still be applied. Repeating it is safe, since it requires that the state rows do not exist.
		for _, s := range group {
			s.lastErr, s.mayBeStored = err, true
			g.uncertain.add(s.stateKey, g.clock.Elapsed())
		}
	}
	return false, false
}

// separateInvalid makes the submissions of a transaction that was refused for what it contains be sent one by one, and decides
// one that was refused alone.
func (q *partQueue) separateInvalid(group []*submission, cause error) {
	for _, s := range group {
		s.alone, s.sent = true, s.mayBeStored
		if len(group) == 1 {
			q.decide(s, Invalid, cause.Error())
		}
	}
}

// resolveConflict decides the submissions in whose place a conflict has another state row; the others were not stored with them. It
// reports whether they have to be sent one by one, since the conflict does not tell which of them it is about.
func (q *partQueue) resolveConflict(group []*submission, conflict *croft.ConflictError) bool {
	current := map[string]croft.Row{}
	for _, row := range conflict.Rows {
		current[row.Key] = row
	}
	found := 0
	for _, s := range group {
		row, listed := current[s.stateKey]
		switch {
		case listed && row.Version != s.ops[0].Version:
			q.resolve(s, row)
			found++
		case len(group) == 1:
			q.decide(s, Unknown, "the store reported a conflict without the row")
		default:
			s.sent = s.mayBeStored
		}
	}
	return found == 0
}

// resolve decides a submission by the state row that exists in its place, or makes it replace the tombstone of an organisation that
// may not cancel the job.
func (q *partQueue) resolve(s *submission, row croft.Row) {
	if s.tombstone {
		s.found = row
		q.decide(s, Conflict, "the state row has changed")
		return
	}
	progress, err := jobs.DecodeProgress(row.Value)
	switch {
	case row.Version == 0:
		s.expect(0)
	case err != nil:
		// IDs are random, so that a row which cannot be decoded is taken for the submission's own.
		q.decide(s, Accepted, "already stored")
	case progress.RejectsJobOf(s.organisation):
		q.decide(s, Cancelled, "the job was cancelled before it was stored")
	case progress.IsTombstone():
		s.expect(row.Version)
	case s.organisation != "" && !progress.IsVisibleTo(s.organisation):
		q.decide(s, Conflict, "a job of another organisation has the ID")
	default:
		q.decide(s, Accepted, "already stored")
	}
}

// expect makes the next transaction require a version of the state row.
func (s *submission) expect(version uint64) {
	s.ops = slices.Clone(s.ops)
	s.ops[0].Version = version
	s.sent = s.mayBeStored
}
