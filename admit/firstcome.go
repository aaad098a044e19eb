package admit

import "waxwing.example/croft"

// FirstCome is a Scheduler that serves all classes from one bounded queue in the order of arrival, without floors; it is
// the baseline for comparisons.
type FirstCome struct {
	slots   int
	running int
	known   map[croft.Class]bool
	waiting []*Waiter
}

// NewFirstCome returns a first-come, first-served scheduler without slots and classes.
func NewFirstCome() *FirstCome { return &FirstCome{known: map[croft.Class]bool{}} }

// Set changes the slots and the classes.
func (f *FirstCome) Set(settings Settings) {
	f.slots = settings.Slots
	clear(f.known)
	for _, k := range settings.Classes {
		f.known[k.ID] = true
	}
}

// Offer queues a waiter, or returns why it is refused immediately.
func (f *FirstCome) Offer(_ croft.Millis, waiter *Waiter) *RefusedError {
	if !f.known[waiter.Class] {
		return &RefusedError{Reason: "class is not declared for the pool", RetryAfter: croft.Second}
	}
	if len(f.waiting) >= maxWaitersPerClass {
		return newRefusal("queue is full", croft.Second, false)
	}
	f.waiting = append(f.waiting, waiter)
	return nil
}

// Next dequeues the waiter that starts now, or returns nil if no slot is free or nobody waits.
func (f *FirstCome) Next(now croft.Millis) *Waiter {
	if f.running >= f.slots || len(f.waiting) == 0 {
		return nil
	}
	w := f.waiting[0]
	f.waiting = f.waiting[1:]
	w.started = now
	f.running++
	return w
}

// Release frees the slot of a waiter that Next returned.
func (f *FirstCome) Release(croft.Millis, *Waiter) { f.running-- }

// Expire removes and returns the waiters whose deadline has passed.
func (f *FirstCome) Expire(now croft.Millis) []Shed {
	var shed []Shed
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		if now > w.Deadline {
			shed = append(shed, Shed{w, newRefusal("waited past its deadline", croft.Second, false)})
			continue
		}
		kept = append(kept, w)
	}
	f.waiting = kept
	return shed
}

// Withdraw removes a waiter whose caller has gone, and reports whether it was still waiting.
func (f *FirstCome) Withdraw(waiter *Waiter) bool {
	q := deadlineQueue{waiting: f.waiting}
	found := q.remove(waiter)
	f.waiting = q.waiting
	return found
}

// Wanted counts the slots in use and the waiters.
func (f *FirstCome) Wanted() int { return f.running + len(f.waiting) }
