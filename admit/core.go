package admit

import (
	"math"

	"waxwing.example/croft"
)

const (
	// maxWaiting is the most waiters of one class.
	maxWaiting = 1024
	// usageSpan is the time constant in milliseconds by which past use of slots is forgotten.
	usageSpan = 30_000
	// maxUrgency is the level from which on urgencies weigh alike.
	maxUrgency = 3
	// urgencyShare is what a level of urgency weighs, as a part of the fair share of slots.
	urgencyShare = 0.1
	// serviceGain is the weight of the newest service time in its average.
	serviceGain   = 0.1
	minRetryAfter = 100 * croft.Millis(1)
	maxRetryAfter = 30 * croft.Second
)

// Core keeps a floor of slots for each class in its profile, lends what is idle by decayed use (Kay and
// Lauder, A Fair Share Scheduler, 1988), and serves what is out of profile only where nothing else waits.
type Core struct {
	slots   int
	running int
	// waiting counts the waiters in profile, excess those out of it.
	waiting int
	excess  int
	lines   map[croft.Class]*share
	order   []*share
}

// share is one class in a Core.
type share struct {
	// inside holds the waiters in profile, outside those out of it.
	inside  shed
	outside shed
	profile profile
	class   Class
	floor   int
	running int
	// usage is the decayed average of slots in use.
	usage   float64
	counted croft.Millis
	// service is the average service time in milliseconds, zero before the first.
	service float64
	retired bool
}

// shed is a line that a standing delay shortens.
type shed struct {
	line
	delay delay
}

// NewCore returns a scheduler without slots and classes.
func NewCore() *Core { return &Core{lines: map[croft.Class]*share{}} }

// Set changes the slots and the classes; waiters of classes that are gone still get their turn.
func (c *Core) Set(settings Settings) {
	c.slots = settings.Slots
	for _, s := range c.order {
		s.retired = true
	}
	for _, k := range settings.Classes {
		s, ok := c.lines[k.ID]
		if !ok {
			s = &share{}
			c.lines[k.ID] = s
			c.order = append(c.order, s)
		}
		s.class = k
		s.retired = false
		s.floor = floorSlots(settings.Slots, k.FloorShare)
		s.inside.delay.span = k.Deadline
		s.outside.delay.span = k.Deadline
		s.profile.set(k.MeanRate)
	}
	c.dropRetired()
}

func (c *Core) dropRetired() {
	kept := c.order[:0]
	for _, s := range c.order {
		if s.retired && s.running == 0 && s.queued() == 0 {
			delete(c.lines, s.class.ID)
			continue
		}
		kept = append(kept, s)
	}
	c.order = kept
}

// floorSlots rounds up, so that a small entry keeps at least one slot for each class with a floor.
func floorSlots(slots, thousandths int) int { return (slots*thousandths + 999) / 1000 }

// Offer queues a waiter, or returns why it is refused at once.
func (c *Core) Offer(now croft.Millis, waiter *Waiter) *RefusedError {
	s, ok := c.lines[waiter.Class]
	if !ok || s.retired {
		return &RefusedError{Reason: "class is not declared for the pool", RetryAfter: croft.Second}
	}
	if s.queued() >= maxWaiting {
		return refused("queue of its class is full", c.wait(s, s.queued()), true)
	}
	waiter.excess = !s.profile.take(now)
	q := s.queue(waiter.excess)
	at := q.place(waiter)
	wait := c.wait(s, at)
	if waiter.excess {
		wait = c.waitOutside(s, at)
	}
	if now+wait > latestStart(s, waiter) {
		return refused("cannot start in time", wait, true)
	}
	q.insert(at, waiter)
	c.count(waiter, 1)
	return nil
}

func (s *share) queue(excess bool) *shed {
	if excess {
		return &s.outside
	}
	return &s.inside
}

func (s *share) queued() int { return len(s.inside.waiting) + len(s.outside.waiting) }

// count adds to the waiters in or out of profile.
func (c *Core) count(w *Waiter, change int) {
	if w.excess {
		c.excess += change
		return
	}
	c.waiting += change
}

func refused(reason string, wait croft.Millis, limit bool) *RefusedError {
	hint := min(max(wait, minRetryAfter), maxRetryAfter)
	return &RefusedError{Reason: reason, RetryAfter: hint, Limit: limit}
}

// latestStart leaves time to run, at most half of what the caller allows: an average above the whole
// deadline would otherwise refuse everything and never be measured again.
func latestStart(s *share, w *Waiter) croft.Millis {
	run := min(croft.Millis(s.service), (w.Deadline-w.Arrived)/2)
	return w.Deadline - run
}

// wait estimates how long the waiter at a place of its line waits for a slot.
func (c *Core) wait(s *share, at int) croft.Millis {
	if c.running+c.waiting < c.slots {
		return 0
	}
	if c.slots == 0 {
		return maxRetryAfter
	}
	active := 0
	for _, other := range c.order {
		if other.running > 0 || other.queued() > 0 {
			active++
		}
	}
	expected := max(s.floor, s.running, c.slots/max(active, 1), 1)
	return croft.Millis(float64(at+1) * s.service / float64(expected))
}

// waitOutside estimates the wait of a waiter out of profile, which counts on no more slots than its class has.
func (c *Core) waitOutside(s *share, at int) croft.Millis {
	if c.running+c.waiting+c.excess < c.slots {
		return 0
	}
	return croft.Millis(float64(at+1) * s.service / float64(max(s.running, 1)))
}

// Next takes the waiter that starts now, or nil where no slot is free or nobody waits.
func (c *Core) Next(now croft.Millis) *Waiter {
	if c.running >= c.slots || c.waiting+c.excess == 0 {
		return nil
	}
	excess := c.waiting == 0
	best := c.best(now, excess)
	w := best.queue(excess).pop()
	w.started = now
	best.running++
	c.running++
	c.count(w, -1)
	return w
}

// best returns the class that goes first among those that wait in profile or out of it.
func (c *Core) best(now croft.Millis, excess bool) *share {
	var best *share
	fair := float64(c.slots) / float64(len(c.order))
	for _, s := range c.order {
		if len(s.queue(excess).waiting) == 0 {
			continue
		}
		s.count(now)
		if best == nil || s.before(best, fair) {
			best = s
		}
	}
	return best
}

// before reports whether the class goes first at a freed slot: below its floor, then by the least decayed
// use, to which each level of urgency adds so little that an urgent flood starves nobody.
func (s *share) before(other *share, fair float64) bool {
	under, otherUnder := s.running < s.floor, other.running < other.floor
	if under != otherUnder {
		return under
	}
	if under {
		return s.running*other.floor < other.running*s.floor
	}
	return s.rank(fair) < other.rank(fair)
}

func (s *share) rank(fair float64) float64 {
	level := min(max(s.class.Urgency, 0), maxUrgency)
	return s.usage + fair*urgencyShare*float64(level)
}

// count brings the decayed use up to an instant.
func (s *share) count(now croft.Millis) {
	if now <= s.counted {
		return
	}
	keep := math.Exp(-float64(now-s.counted) / usageSpan)
	s.usage = s.usage*keep + float64(s.running)*(1-keep)
	s.counted = now
}

// Release frees the slot of a waiter that Next returned.
func (c *Core) Release(now croft.Millis, waiter *Waiter) {
	s := c.lines[waiter.Class]
	s.count(now)
	s.running--
	c.running--
	held := float64(max(now-waiter.started, 0))
	if s.service == 0 {
		s.service = held
	}
	s.service += serviceGain * (held - s.service)
	if s.retired {
		c.dropRetired()
	}
}

// Expire takes out the waiters that can no longer start in time or are shed.
func (c *Core) Expire(now croft.Millis) []Shed {
	var out []Shed
	for _, s := range c.order {
		out = c.expire(now, s, &s.inside, out)
		out = c.expire(now, s, &s.outside, out)
	}
	for _, o := range out {
		c.count(o.Waiter, -1)
	}
	return out
}

func (c *Core) expire(now croft.Millis, s *share, q *shed, out []Shed) []Shed {
	for len(q.waiting) > 0 && now > latestStart(s, q.waiting[0]) {
		w := q.pop()
		out = append(out, Shed{w, refused("waited past its last start", c.wait(s, len(q.waiting)), true)})
	}
	// What is within its profile is no flood: it is refused only where it cannot start in time.
	if s.profile.cost > 0 && q == &s.inside {
		return out
	}
	for _, w := range q.delay.shed(now, &q.line) {
		out = append(out, Shed{w, refused("queue is standing", c.wait(s, len(q.waiting)), true)})
	}
	return out
}

// Withdraw takes out a waiter whose caller is gone, and reports whether it still waited.
func (c *Core) Withdraw(waiter *Waiter) bool {
	s, ok := c.lines[waiter.Class]
	if !ok || !s.queue(waiter.excess).remove(waiter) {
		return false
	}
	c.count(waiter, -1)
	return true
}

// Wanted counts the slots in use and the waiters.
func (c *Core) Wanted() int { return c.running + c.waiting + c.excess }
