package admit

import "waxwing.example/croft"

const (
	// targetDivisor sets the acceptable queueing delay to this part of the class's deadline.
	targetDivisor = 4
	// intervalDivisor sets how long the delay must stay too high before waiters are shed, as this part of the
	// class's deadline.
	intervalDivisor = 2
)

// delayMonitor detects a standing queue by the delay of its head, as CoDel does (Nichols and Jacobson, Controlling
// Queue Delay, 2012). It then sheds every waiter older than the target at once, because CoDel's gradual control
// law is too slow for a flood.
type delayMonitor struct {
	// deadline is the class's deadline, from which the target and the interval are derived.
	deadline croft.Millis
	// aboveTarget says that the delay rose above the target and has not reset the monitor since.
	aboveTarget bool
	// aboveSince is when the delay rose above the target, valid while aboveTarget is set.
	aboveSince croft.Millis
	// standing says that the delay was above the target for the whole interval.
	standing bool
}

// removeStale removes and returns the waiters older than the target if the queue is standing.
func (d *delayMonitor) removeStale(now croft.Millis, queue *deadlineQueue) []*Waiter {
	if len(queue.waiting) == 0 {
		*d = delayMonitor{deadline: d.deadline}
		return nil
	}
	target := d.deadline / targetDivisor
	age := now - queue.waiting[0].Arrived
	// A queue found standing stays so until its delay has fallen to half the target.
	if age <= target/2 || (age <= target && !d.standing) {
		*d = delayMonitor{deadline: d.deadline}
		return nil
	}
	if !d.aboveTarget {
		d.aboveTarget = true
		d.aboveSince = now
	}
	if now-d.aboveSince >= d.deadline/intervalDivisor {
		d.standing = true
	}
	if !d.standing {
		return nil
	}
	return queue.removeOlder(now - target)
}

// removeOlder removes and returns the waiters that arrived before an instant.
func (q *deadlineQueue) removeOlder(instant croft.Millis) []*Waiter {
	var removed []*Waiter
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if w.Arrived < instant {
			removed = append(removed, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return removed
}
