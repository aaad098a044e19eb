package claim

import (
	"context"
	"sync"

	"waxwing.example/croft"
)

// shard is one log with the goroutines that work for it.
type shard struct {
	claimer *Claimer
	writer  *writer
	woken   chan struct{}
	posted  chan struct{}
	mu      sync.Mutex
	// outbox and returned are claims and releases for the shard's owner.
	outbox   []*wanted
	returned []Record
}

func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

func (s *shard) wake() { signal(s.woken) }

// submit queues a claim with its owner or here and reports whether there was room.
func (s *shard) submit(one *wanted) bool {
	defer s.wake()
	if !s.foreign() {
		return s.writer.enqueue(one)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.outbox) >= maxQueued {
		return false
	}
	s.outbox = append(s.outbox, one)
	signal(s.posted)
	return true
}

// giveBack queues a release with the owner or here.
func (s *shard) giveBack(r Record) {
	defer s.wake()
	if !s.foreign() {
		s.writer.release(r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.returned) < maxQueued {
		s.returned = append(s.returned, r)
		signal(s.posted)
	}
}

// foreign reports whether another entry should commit for the shard.
func (s *shard) foreign() bool {
	if s.claimer.options.Remote == nil {
		return false
	}
	_, other := s.claimer.owner(s.writer.shard)
	return other
}

func (s *shard) runForward(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.posted:
			s.forward(ctx)
		}
	}
}

func (s *shard) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.woken:
		}
		for !s.writer.idle() && ctx.Err() == nil {
			s.turn(ctx)
		}
	}
}

// turn makes one step and keeps the gap between commits.
func (s *shard) turn(ctx context.Context) {
	c := s.claimer
	if c.layoutVersion.Load() == 0 {
		if c.open.Load() {
			s.writer.refuseAll(c.why())
		}
		_ = c.options.Clock.Sleep(ctx, c.options.Gap)
		return
	}
	if c.admit(ctx) != nil {
		return
	}
	before, lost := s.writer.commits, s.writer.conflicts
	bounded, cancel := c.bounded(ctx)
	err := s.writer.step(bounded)
	cancel()
	c.note(err)
	c.counters.commits.Add(int64(s.writer.commits - before))
	c.counters.conflicts.Add(int64(s.writer.conflicts - lost))
	pause := croft.Millis(0)
	switch {
	case c.open.Load():
		s.writer.refuseAll(c.why())
		pause = c.options.ProbeGap
	case err != nil || s.writer.commits > before:
		pause = c.options.Gap
	}
	_ = c.options.Clock.Sleep(ctx, pause)
}
