package admit

import (
	"sort"

	"waxwing.example/croft"
)

// Class is what admission knows of one request kind.
type Class struct {
	ID croft.Class
	// Urgency orders classes, zero the most urgent.
	Urgency int
	// FloorShare is the share of the slots always kept for the class, in thousandths.
	FloorShare int
	// Deadline is the longest a caller of the class waits.
	Deadline croft.Millis
	// MeanRate is the expected number of requests a second at this entry in thousandths, zero for no profile.
	MeanRate int64
}

// Settings are the slots of a pool at this entry and the classes that share them.
type Settings struct {
	Slots   int
	Classes []Class
}

// Waiter is one request that asks for a slot.
type Waiter struct {
	Class    croft.Class
	Arrived  croft.Millis
	Deadline croft.Millis

	started croft.Millis
	// excess says that the request is out of its class's profile.
	excess  bool
	verdict chan *RefusedError
}

// RefusedError tells that a request was not admitted and so did not run.
type RefusedError struct {
	// Reason says in a few words why.
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter croft.Millis
	// Limit says that a limit of the request's own class refused it.
	Limit bool
}

// Error gives the reason.
func (e *RefusedError) Error() string { return "admit: not run: " + e.Reason }

// Shed is a waiter that is refused after it waited.
type Shed struct {
	Waiter  *Waiter
	Refusal *RefusedError
}

// Scheduler orders the waiters of one pool and reads no clock of its own.
type Scheduler interface {
	// Set changes the slots and the classes.
	Set(settings Settings)
	// Offer queues a waiter, or returns why it is refused at once.
	Offer(now croft.Millis, waiter *Waiter) *RefusedError
	// Next takes the waiter that starts now, or nil where no slot is free or nobody waits.
	Next(now croft.Millis) *Waiter
	// Release frees the slot of a waiter that Next returned.
	Release(now croft.Millis, waiter *Waiter)
	// Expire takes out the waiters that can no longer start in time or are shed.
	Expire(now croft.Millis) []Shed
	// Withdraw takes out a waiter whose caller is gone, and reports whether it still waited.
	Withdraw(waiter *Waiter) bool
	// Wanted counts the slots in use and the waiters.
	Wanted() int
}

// line holds waiters in the order of their deadlines (earliest deadline first, Liu and Layland 1973).
type line struct{ waiting []*Waiter }

func (l *line) place(w *Waiter) int {
	return sort.Search(len(l.waiting), func(i int) bool {
		return l.waiting[i].Deadline > w.Deadline
	})
}

func (l *line) insert(at int, w *Waiter) {
	l.waiting = append(l.waiting, nil)
	copy(l.waiting[at+1:], l.waiting[at:])
	l.waiting[at] = w
}

func (l *line) pop() *Waiter {
	w := l.waiting[0]
	l.waiting[0] = nil
	l.waiting = l.waiting[1:]
	return w
}

func (l *line) remove(w *Waiter) bool {
	for i, other := range l.waiting {
		if other == w {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return true
		}
	}
	return false
}
