package admit

import (
	"math"

	"waxwing.example/croft"
)

const (
	// maxWaitersPerClass bounds the queue of one class.
	maxWaitersPerClass = 1024
	// usageTimeConstant is the time constant of the exponential decay of past slot usage, in milliseconds.
	usageTimeConstant = 30_000
	// maxUrgency is the level above which all urgencies count the same.
	maxUrgency = 3
	// urgencyWeight is the usage added for each level of urgency, as a fraction of a class's fair share of slots.
	urgencyWeight = 0.1
	// serviceTimeGain is the weight of the newest sample in the moving average of service times.
	serviceTimeGain = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay advised to a refused caller.
	minRetryAfter = 100 * croft.Millis(1)
	maxRetryAfter = 30 * croft.Second
)

// FairShare is a Scheduler that gives a free slot first to classes below their floor, a minimum number of slots, and then
// to the class with the least decayed usage (Kay and Lauder, A Fair Share Scheduler, 1988). Idle slots of a floor
// are lent to other classes.
//
// Requests out of profile, which exceed the declared rate of their class, start only while no request in
// profile waits.
type FairShare struct {
	slots   int
	running int
	// waiting counts the waiters in profile.
	waiting int
	// excessWaiting counts the waiters out of profile.
	excessWaiting int
	byClass       map[croft.Class]*classState
	// classes holds the states in the order in which the classes were declared.
	classes []*classState
}

// classState holds the queues, the profile and the usage of one class in a FairShare.
type classState struct {
	inProfile    monitoredQueue
	outOfProfile monitoredQueue
	profile      profile
	class        Class
	// floor is the number of slots up to which the class is served before others.
	floor   int
	running int
	// usage is the decayed average of slots in use, computed at usageAt.
	usage   float64
	usageAt croft.Millis
	// serviceTime is the moving average in milliseconds, zero before the first request ended.
	serviceTime float64
	// retired marks a class that is no longer in the settings; it is dropped once it has no waiter and no running request.
	retired bool
}

// monitoredQueue is a queue whose stale waiters are shed while its delay stays too high.
type monitoredQueue struct {
	deadlineQueue
	monitor delayMonitor
}

// NewFairShare returns a fair-share scheduler without slots and classes.
func NewFairShare() *FairShare { return &FairShare{byClass: map[croft.Class]*classState{}} }

// Set changes the slots and the classes; queued waiters of removed classes are still served.
func (f *FairShare) Set(settings Settings) {
	f.slots = settings.Slots
	for _, s := range f.classes {
		s.retired = true
	}
	for _, k := range settings.Classes {
		s, ok := f.byClass[k.ID]
		if !ok {
			s = &classState{}
			f.byClass[k.ID] = s
			f.classes = append(f.classes, s)
		}
		s.class = k
		s.retired = false
		s.floor = floorSlots(settings.Slots, k.FloorShare)
		s.inProfile.monitor.deadline = k.Deadline
		s.outOfProfile.monitor.deadline = k.Deadline
		s.profile.setRate(k.MeanRate)
	}
	f.dropRetired()
}

// dropRetired removes the retired classes that have no running request and no waiter.
func (f *FairShare) dropRetired() {
	kept := f.classes[:0]
	for _, s := range f.classes {
		if s.retired && s.running == 0 && s.queued() == 0 {
			delete(f.byClass, s.class.ID)
			continue
		}
		kept = append(kept, s)
	}
	f.classes = kept
}

// floorSlots converts a share in thousandths to slots; it rounds up, so that an entry with few slots still keeps
// at least one for each class with a floor.
func floorSlots(slots, share int) int { return (slots*share + 999) / 1000 }

// Offer queues a waiter, or returns why it is refused immediately.
func (f *FairShare) Offer(now croft.Millis, waiter *Waiter) *RefusedError {
	s, ok := f.byClass[waiter.Class]
	if !ok || s.retired {
		return &RefusedError{Reason: "class is not declared for the pool", RetryAfter: croft.Second}
	}
	if s.queued() >= maxWaitersPerClass {
		return newRefusal("queue of its class is full", f.estimateWait(s, s.queued()), true)
	}
	waiter.excess = !s.profile.charge(now)
	q := s.queue(waiter.excess)
	position := q.position(waiter)
	wait := f.estimateWait(s, position)
	if waiter.excess {
		wait = f.estimateExcessWait(s, position)
	}
	if now+wait > latestStart(s, waiter) {
		return newRefusal("cannot start in time", wait, true)
	}
	q.insert(position, waiter)
	f.addWaiting(waiter, 1)
	return nil
}

// queue returns the queue of the waiters out of profile if excess is set, else of those in profile.
func (s *classState) queue(excess bool) *monitoredQueue {
	if excess {
		return &s.outOfProfile
	}
	return &s.inProfile
}

func (s *classState) queued() int { return len(s.inProfile.waiting) + len(s.outOfProfile.waiting) }

// addWaiting adds a change to the count of waiters in profile, or out of profile, to which the waiter belongs.
func (f *FairShare) addWaiting(w *Waiter, change int) {
	if w.excess {
		f.excessWaiting += change
		return
	}
	f.waiting += change
}

// newRefusal returns a refusal that advises a retry after the estimated wait, within bounds.
func newRefusal(reason string, estimate croft.Millis, classLimit bool) *RefusedError {
	retryAfter := min(max(estimate, minRetryAfter), maxRetryAfter)
	return &RefusedError{Reason: reason, RetryAfter: retryAfter, Limit: classLimit}
}

// latestStart returns the latest instant at which the waiter can start and still end in time: its deadline less the
// average service time. The average is capped at half of the time that the caller allows: an average longer than the
// whole deadline would otherwise refuse every request, and no later measurement could correct it.
func latestStart(s *classState, w *Waiter) croft.Millis {
	run := min(croft.Millis(s.serviceTime), (w.Deadline-w.Arrived)/2)
	return w.Deadline - run
}

// estimateWait estimates how long a waiter at a position of its class's queue waits for a slot. It assumes that the
// class gets its floor, the slots it uses now, or an equal share among the active classes, whichever is most.
func (f *FairShare) estimateWait(s *classState, position int) croft.Millis {
	if f.running+f.waiting < f.slots {
		return 0
	}
	if f.slots == 0 {
		return maxRetryAfter
	}
	active := 0
	for _, other := range f.classes {
		if other.running > 0 || other.queued() > 0 {
			active++
		}
	}
	expected := max(s.floor, s.running, f.slots/max(active, 1), 1)
	return croft.Millis(float64(position+1) * s.serviceTime / float64(expected))
}

// estimateExcessWait estimates the wait of a waiter out of profile. It assumes that the class gets no more slots
// than it uses now.
func (f *FairShare) estimateExcessWait(s *classState, position int) croft.Millis {
	if f.running+f.waiting+f.excessWaiting < f.slots {
		return 0
	}
	return croft.Millis(float64(position+1) * s.serviceTime / float64(max(s.running, 1)))
}

// Next dequeues the waiter that starts now, or returns nil if no slot is free or nobody waits.
func (f *FairShare) Next(now croft.Millis) *Waiter {
	if f.running >= f.slots || f.waiting+f.excessWaiting == 0 {
		return nil
	}
	excess := f.waiting == 0
	best := f.nextClass(now, excess)
	w := best.queue(excess).pop()
	w.started = now
	best.running++
	f.running++
	f.addWaiting(w, -1)
	return w
}

// nextClass returns the class to serve next: among those with waiters out of profile if excess is set, else among those
// with waiters in profile.
func (f *FairShare) nextClass(now croft.Millis, excess bool) *classState {
	var best *classState
	fair := float64(f.slots) / float64(len(f.classes))
	for _, s := range f.classes {
		if len(s.queue(excess).waiting) == 0 {
			continue
		}
		s.decayUsage(now)
		if best == nil || s.startsBefore(best, fair) {
			best = s
		}
	}
	return best
}

// startsBefore reports whether the class gets a free slot before another one: classes below their floor come first,
// by the fraction of the floor in use, then the others by effective usage.
func (s *classState) startsBefore(other *classState, fair float64) bool {
	under, otherUnder := s.running < s.floor, other.running < other.floor
	if under != otherUnder {
		return under
	}
	if under {
		return s.running*other.floor < other.running*s.floor
	}
	return s.effectiveUsage(fair) < other.effectiveUsage(fair)
}

// effectiveUsage returns the decayed usage plus a penalty for each level of urgency below the most urgent. The penalty
// is so small that a flood of an urgent class starves no other class.
func (s *classState) effectiveUsage(fair float64) float64 {
	level := min(max(s.class.Urgency, 0), maxUrgency)
	return s.usage + fair*urgencyWeight*float64(level)
}

// decayUsage updates the decayed average of slots in use to an instant.
func (s *classState) decayUsage(now croft.Millis) {
	if now <= s.usageAt {
		return
	}
	decay := math.Exp(-float64(now-s.usageAt) / usageTimeConstant)
	s.usage = s.usage*decay + float64(s.running)*(1-decay)
	s.usageAt = now
}

// Release frees the slot of a waiter that Next returned, and records its service time.
func (f *FairShare) Release(now croft.Millis, waiter *Waiter) {
	s := f.byClass[waiter.Class]
	s.decayUsage(now)
	s.running--
	f.running--
	duration := float64(max(now-waiter.started, 0))
	if s.serviceTime == 0 {
		s.serviceTime = duration
	}
	s.serviceTime += serviceTimeGain * (duration - s.serviceTime)
	if s.retired {
		f.dropRetired()
	}
}

// Expire removes and returns the waiters that can no longer start in time, and the stale ones of standing queues.
func (f *FairShare) Expire(now croft.Millis) []Shed {
	var shed []Shed
	for _, s := range f.classes {
		shed = f.expireQueue(now, s, &s.inProfile, shed)
		shed = f.expireQueue(now, s, &s.outOfProfile, shed)
	}
	for _, o := range shed {
		f.addWaiting(o.Waiter, -1)
	}
	return shed
}

// expireQueue removes the waiters that Expire must return from one queue of a class, and appends them to shed.
func (f *FairShare) expireQueue(now croft.Millis, s *classState, q *monitoredQueue, shed []Shed) []Shed {
	for len(q.waiting) > 0 && now > latestStart(s, q.waiting[0]) {
		w := q.pop()
		shed = append(shed, Shed{w, newRefusal("waited past its last start", f.estimateWait(s, len(q.waiting)), true)})
	}
	// Requests within their declared profile are not a flood: they are refused only if they cannot start in time.
	if s.profile.requestCost > 0 && q == &s.inProfile {
		return shed
	}
	for _, w := range q.monitor.removeStale(now, &q.deadlineQueue) {
		shed = append(shed, Shed{w, newRefusal("queue is standing", f.estimateWait(s, len(q.waiting)), true)})
	}
	return shed
}

// Withdraw removes a waiter whose caller has gone, and reports whether it was still waiting.
func (f *FairShare) Withdraw(waiter *Waiter) bool {
	s, ok := f.byClass[waiter.Class]
	if !ok || !s.queue(waiter.excess).remove(waiter) {
		return false
	}
	f.addWaiting(waiter, -1)
	return true
}

// Wanted counts the slots in use and the waiters.
func (f *FairShare) Wanted() int { return f.running + f.waiting + f.excessWaiting }
