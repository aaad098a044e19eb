package admit

import (
	"context"
	"sync"

	"waxwing.example/croft"
)

// Gate makes the goroutines that serve requests of one pool wait for a slot; it serializes the calls of a Scheduler.
type Gate struct {
	clock     croft.Clock
	mu        sync.Mutex
	scheduler Scheduler
}

// NewGate returns a gate with the given scheduler, which must not be used elsewhere; the gate has no slots until Set.
func NewGate(clock croft.Clock, scheduler Scheduler) *Gate {
	return &Gate{clock: clock, scheduler: scheduler}
}

// Set changes the slots and the classes.
func (g *Gate) Set(settings Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Set(settings)
	g.dispatch(g.clock.Now())
}

// Enter waits for a slot, which Pass.Leave releases; it returns a *RefusedError if the request is refused, or the
// context's error if the context is done before the decision.
func (g *Gate) Enter(ctx context.Context, class croft.Class, deadline croft.Millis) (*Pass, error) {
	now := g.clock.Now()
	w := &Waiter{Class: class, Arrived: now, Deadline: deadline, decision: make(chan *RefusedError, 1)}
	if refusal := g.enqueue(now, w); refusal != nil {
		return nil, refusal
	}
	select {
	case refusal := <-w.decision:
		return g.newPass(w, refusal)
	case <-ctx.Done():
	}
	if g.withdraw(w) {
		return nil, ctx.Err()
	}
	// The decision came before the withdrawal: the waiter already has a slot, which the caller must release, or is refused.
	return g.newPass(w, <-w.decision)
}

func (g *Gate) newPass(w *Waiter, refusal *RefusedError) (*Pass, error) {
	if refusal != nil {
		return nil, refusal
	}
	return &Pass{gate: g, waiter: w}, nil
}

func (g *Gate) enqueue(now croft.Millis, w *Waiter) *RefusedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.scheduler.Offer(now, w); refusal != nil {
		return refusal
	}
	g.dispatch(now)
	return nil
}

func (g *Gate) withdraw(w *Waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Withdraw(w)
}

// Expire refuses the waiters that can no longer start in time; it must be called every few milliseconds.
func (g *Gate) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatch(g.clock.Now())
}

// Wanted counts the slots in use and the waiters.
func (g *Gate) Wanted() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.Wanted()
}

// dispatch sends refusals to expired waiters and gives free slots to the next ones; the caller holds the mutex.
func (g *Gate) dispatch(now croft.Millis) {
	for _, s := range g.scheduler.Expire(now) {
		s.Waiter.decision <- s.Refusal
	}
	for w := g.scheduler.Next(now); w != nil; w = g.scheduler.Next(now) {
		w.decision <- nil
	}
}

// Pass is a slot that an admitted request holds until Leave.
type Pass struct {
	gate   *Gate
	waiter *Waiter
	once   sync.Once
}

// Leave releases the slot; further calls do nothing.
func (p *Pass) Leave() {
	p.once.Do(func() {
		g := p.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.clock.Now()
		g.scheduler.Release(now, p.waiter)
		g.dispatch(now)
	})
}
