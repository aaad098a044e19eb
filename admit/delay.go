package admit

import "waxwing.example/croft"

const (
	// targetShare divides a class's deadline into the delay that a queue may keep.
	targetShare = 4
	// intervalShare divides a class's deadline into the time for which the delay must be seen.
	intervalShare = 2
)

// delay finds a standing queue by its head's delay (Nichols and Jacobson, Controlling Queue Delay, 2012) and
// then sheds at once what is older than the target, since a flood outruns the paper's gradual control law.
type delay struct {
	span     croft.Millis
	above    bool
	since    croft.Millis
	standing bool
}

// shed takes the oldest waiters out of a standing line.
func (d *delay) shed(now croft.Millis, l *line) []*Waiter {
	if len(l.waiting) == 0 {
		*d = delay{span: d.span}
		return nil
	}
	target := d.span / targetShare
	age := now - l.waiting[0].Arrived
	if age <= target/2 || (age <= target && !d.standing) {
		*d = delay{span: d.span}
		return nil
	}
	if !d.above {
		d.above = true
		d.since = now
	}
	if now-d.since >= d.span/intervalShare {
		d.standing = true
	}
	if !d.standing {
		return nil
	}
	return l.removeOlder(now - target)
}

// removeOlder takes out the waiters that arrived before an instant.
func (l *line) removeOlder(instant croft.Millis) []*Waiter {
	var out []*Waiter
	kept := l.waiting[:0]
	for _, w := range l.waiting {
		if w.Arrived < instant {
			out = append(out, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	return out
}
