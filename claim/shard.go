package claim

import (
	"context"
	"sync"

	"waxwing.example/croft"
)

// shard holds the writer of one log, which runWriter drives, and the outbox to the shard's owner, which runOutbox sends.
type shard struct {
	claimer *Claimer
	writer  *writer
	// wakeSignal wakes runWriter, and outboxSignal wakes runOutbox.
	wakeSignal   chan struct{}
	outboxSignal chan struct{}

	mu sync.Mutex
	// outboxClaims and outboxReleases wait to be sent to the shard's owner.
	outboxClaims   []*pendingClaim
	outboxReleases []Record
}

// notify sends a signal without blocking; if an earlier signal was not yet received, that one suffices.
func notify(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

func (s *shard) wake() { notify(s.wakeSignal) }

// submitClaim queues a claim for the shard's owner or for this entry's writer, and reports false if the queue is full.
func (s *shard) submitClaim(pending *pendingClaim) bool {
	defer s.wake()
	if !s.ownedElsewhere() {
		return s.writer.enqueue(pending)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outboxClaims) >= maxQueued {
		return false
	}
	s.outboxClaims = append(s.outboxClaims, pending)
	notify(s.outboxSignal)
	return true
}

// submitRelease queues a release for the shard's owner or for this entry's writer; a full queue drops it.
func (s *shard) submitRelease(r Record) {
	defer s.wake()
	if !s.ownedElsewhere() {
		s.writer.enqueueRelease(r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outboxReleases) < maxQueued {
		s.outboxReleases = append(s.outboxReleases, r)
		notify(s.outboxSignal)
	}
}

// ownedElsewhere reports whether another entry owns the shard and can be reached through a Remote.
func (s *shard) ownedElsewhere() bool {
	if s.claimer.options.Remote == nil {
		return false
	}
	_, other := s.claimer.ownerOf(s.writer.shard)
	return other
}

// runOutbox forwards the outbox on each signal until the context is done.
func (s *shard) runOutbox(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.outboxSignal:
			s.forwardOutbox(ctx)
		}
	}
}

// runWriter runs the writer's steps while it has work, until the context is done.
func (s *shard) runWriter(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wakeSignal:
		}
		for !s.writer.idle() && ctx.Err() == nil {
			s.runStep(ctx)
		}
	}
}

// runStep runs one step of the writer. It then sleeps: for the commit interval after a commit or a failure, for the probe
// interval while the circuit breaker is open, else not at all. Before the layout row was written or compared it runs no
// step. Queued claims are refused while the circuit breaker is open.
func (s *shard) runStep(ctx context.Context) {
	c := s.claimer
	if c.layoutVersion.Load() == 0 {
		if c.circuitOpen.Load() {
			s.writer.refuseAll(c.refusalReason())
		}
		_ = c.options.Clock.Sleep(ctx, c.options.CommitInterval)
		return
	}
	if c.awaitWriteQuota(ctx) != nil {
		return
	}
	commitsBefore, conflictsBefore := s.writer.commits, s.writer.conflicts
	bounded, cancel := c.withCallTimeout(ctx)
	err := s.writer.step(bounded)
	cancel()
	c.recordTableResult(err)
	c.counters.commits.Add(int64(s.writer.commits - commitsBefore))
	c.counters.conflicts.Add(int64(s.writer.conflicts - conflictsBefore))
	pause := croft.Millis(0)
	switch {
	case c.circuitOpen.Load():
		s.writer.refuseAll(c.refusalReason())
		pause = c.options.ProbeInterval
	case err != nil || s.writer.commits > commitsBefore:
		pause = c.options.CommitInterval
	}
	_ = c.options.Clock.Sleep(ctx, pause)
}
