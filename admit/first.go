package admit

import "waxwing.example/croft"

// FirstCome serves all classes from one bounded queue in the order of arrival, without floors.
type FirstCome struct {
	slots   int
	running int
	known   map[croft.Class]bool
	waiting []*Waiter
}

// NewFirstCome returns a scheduler without slots and classes.
func NewFirstCome() *FirstCome { return &FirstCome{known: map[croft.Class]bool{}} }

// Set changes the slots and the classes.
func (f *FirstCome) Set(settings Settings) {
	f.slots = settings.Slots
	clear(f.known)
	for _, k := range settings.Classes {
		f.known[k.ID] = true
	}
}

// Offer queues a waiter, or returns why it is refused at once.
func (f *FirstCome) Offer(_ croft.Millis, waiter *Waiter) *RefusedError {
	if !f.known[waiter.Class] {
		return &RefusedError{Reason: "class is not declared for the pool", RetryAfter: croft.Second}
	}
	if len(f.waiting) >= maxWaiting {
		return refused("queue is full", croft.Second, false)
	}
	f.waiting = append(f.waiting, waiter)
	return nil
}

// Next takes the waiter that starts now, or nil where no slot is free or nobody waits.
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

// Expire takes out the waiters whose deadline is past.
func (f *FirstCome) Expire(now croft.Millis) []Shed {
	var out []Shed
	kept := f.waiting[:0]
	for _, w := range f.waiting {
		if now > w.Deadline {
			out = append(out, Shed{w, refused("waited past its deadline", croft.Second, false)})
			continue
		}
		kept = append(kept, w)
	}
	f.waiting = kept
	return out
}

// Withdraw takes out a waiter whose caller is gone, and reports whether it still waited.
func (f *FirstCome) Withdraw(waiter *Waiter) bool {
	l := line{waiting: f.waiting}
	found := l.remove(waiter)
	f.waiting = l.waiting
	return found
}

// Wanted counts the slots in use and the waiters.
func (f *FirstCome) Wanted() int { return f.running + len(f.waiting) }
