package admit

import (
	"context"
	"sync"

	"waxwing.example/croft"
)

// Gate lets the traffic goroutines of one pool wait for their slots.
type Gate struct {
	clock croft.Clock
	mu    sync.Mutex
	queue Scheduler
}

// NewGate returns a gate without slots over a scheduler of its own.
func NewGate(clock croft.Clock, queue Scheduler) *Gate {
	return &Gate{clock: clock, queue: queue}
}

// Set changes the slots and the classes.
func (g *Gate) Set(settings Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Set(settings)
	g.serve(g.clock.Now())
}

// Enter waits for a slot that Leave gives back; it returns *RefusedError, or the context's error for a caller that is gone.
func (g *Gate) Enter(ctx context.Context, class croft.Class, deadline croft.Millis) (*Pass, error) {
	now := g.clock.Now()
	w := &Waiter{Class: class, Arrived: now, Deadline: deadline, verdict: make(chan *RefusedError, 1)}
	if refusal := g.offer(now, w); refusal != nil {
		return nil, refusal
	}
	select {
	case refusal := <-w.verdict:
		return g.pass(w, refusal)
	case <-ctx.Done():
	}
	if g.withdraw(w) {
		return nil, ctx.Err()
	}
	// The verdict came first, so that the slot must be taken or the refusal told.
	return g.pass(w, <-w.verdict)
}

func (g *Gate) pass(w *Waiter, refusal *RefusedError) (*Pass, error) {
	if refusal != nil {
		return nil, refusal
	}
	return &Pass{gate: g, waiter: w}, nil
}

func (g *Gate) offer(now croft.Millis, w *Waiter) *RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.queue.Offer(now, w); refusal != nil {
		return refusal
	}
	g.serve(now)
	return nil
}

func (g *Gate) withdraw(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Withdraw(w)
}

// Expire refuses the waiters that can no longer start in time; it is to be called every few milliseconds.
func (g *Gate) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serve(g.clock.Now())
}

// Wanted counts the slots in use and the waiters.
func (g *Gate) Wanted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Wanted()
}

func (g *Gate) serve(now croft.Millis) {
	for _, s := range g.queue.Expire(now) {
		s.Waiter.verdict <- s.Refusal
	}
	for w := g.queue.Next(now); w != nil; w = g.queue.Next(now) {
		w.verdict <- nil
	}
}

// Pass is a slot in use.
type Pass struct {
	gate   *Gate
	waiter *Waiter
	once   sync.Once
}

// Leave gives the slot back; further calls do nothing.
func (p *Pass) Leave() {
	p.once.Do(func() {
		g := p.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.clock.Now()
		g.queue.Release(now, p.waiter)
		g.serve(now)
	})
}
