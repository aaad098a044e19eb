package admit

import (
	"sort"

	"waxwing.example/croft"
)

// Class holds the admission settings of one request class.
type Class struct {
	ID croft.Class
	// Urgency is the level of urgency, zero for the most urgent classes.
	Urgency int
	// FloorShare is the share of the slots up to which the class is served before others, in thousandths.
	FloorShare int
	// Deadline is how long callers of the class wait at most.
	Deadline croft.Millis
	// MeanRate is the expected rate at this entry in thousandths of a request a second, zero for no profile.
	MeanRate int64
}

// Settings holds the number of slots of a pool at this entry and the classes that share them.
type Settings struct {
	Slots   int
	Classes []Class
}

// Waiter is one request that waits for a slot.
type Waiter struct {
	Class    croft.Class
	Arrived  croft.Millis
	Deadline croft.Millis

	started croft.Millis
	// excess marks a request that is out of its class's profile.
	excess bool
	// decision receives nil when the waiter gets a slot, or the refusal.
	decision chan *RefusedError
}

// RefusedError reports that a request was not admitted and therefore did not run.
type RefusedError struct {
	// Reason is a short explanation, which is sent to the caller.
	Reason string
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter croft.Millis
	// Limit is set if the request was refused by a limit of its own class.
	Limit bool
}

// Error returns the reason as text.
func (e *RefusedError) Error() string { return "admit: not run: " + e.Reason }

// Shed is a queued waiter that was removed without a slot, with the refusal for its caller.
type Shed struct {
	Waiter  *Waiter
	Refusal *RefusedError
}

// Scheduler decides in which order the waiters of one pool get slots; it reads no clock, and its caller must serialize
// the calls.
type Scheduler interface {
	// Set changes the slots and the classes.
	Set(settings Settings)
	// Offer queues a waiter, or returns why it is refused immediately.
	Offer(now croft.Millis, waiter *Waiter) *RefusedError
	// Next dequeues the waiter that starts now, or returns nil if no slot is free or nobody waits.
	Next(now croft.Millis) *Waiter
	// Release frees the slot of a waiter that Next returned.
	Release(now croft.Millis, waiter *Waiter)
	// Expire removes and returns the waiters that can no longer start in time, and those that are shed.
	Expire(now croft.Millis) []Shed
	// Withdraw removes a waiter whose caller has gone, and reports whether it was still waiting.
	Withdraw(waiter *Waiter) bool
	// Wanted counts the slots in use and the waiters.
	Wanted() int
}

// deadlineQueue holds waiters ordered by deadline (earliest deadline first, Liu and Layland 1973).
type deadlineQueue struct{ waiting []*Waiter }

// position returns the index at which a waiter belongs, behind those with the same deadline.
func (q *deadlineQueue) position(w *Waiter) int {
	return sort.Search(len(q.waiting), func(i int) bool {
		return q.waiting[i].Deadline > w.Deadline
	})
}

func (q *deadlineQueue) insert(position int, w *Waiter) {
	q.waiting = append(q.waiting, nil)
	copy(q.waiting[position+1:], q.waiting[position:])
	q.waiting[position] = w
}

func (q *deadlineQueue) pop() *Waiter {
	w := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return w
}

func (q *deadlineQueue) remove(w *Waiter) bool {
	for i, other := range q.waiting {
		if other == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
