package admit

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

const (
	poolSlots = 80
	// serviceTime is the mean service time of a request, in milliseconds.
	serviceTime   = 100
	runDuration   = 50 * croft.Second
	burstDuration = 5 * croft.Second
	services      = 5
	// kinds is the number of kinds of each service; each kind is one class.
	kinds = 3
	// floorShare is the floor of each class, in thousandths of the slots.
	floorShare = 50
	deadline   = 2 * croft.Second
	// capacity is the number of requests that the pool serves a second.
	capacity = poolSlots * 1000 / serviceTime
	// burstFactor is the rate during a burst as a multiple of the mean rate.
	burstFactor = 5
)

// slotEnd is an event: the waiter's slot becomes free at an instant.
type slotEnd struct {
	at     croft.Millis
	waiter *Waiter
}

type slotEndHeap []slotEnd

func (e slotEndHeap) Len() int           { return len(e) }
func (e slotEndHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e slotEndHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *slotEndHeap) Push(x any)        { *e = append(*e, x.(slotEnd)) }
func (e *slotEndHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadRun drives a scheduler on a virtual clock, one millisecond a step, with services whose bursts take turns.
type loadRun struct {
	scheduler Scheduler
	classes   []Class
	// kindRate is the mean rate of a kind in requests a second.
	kindRate float64
	running  slotEndHeap
	// serviceTimes holds the service time of each waiter that has not started.
	serviceTimes map[*Waiter]croft.Millis
	inTime       map[croft.Class]int
	inUse        int
	refused      int
	maxInUse     int
}

// newLoadRun returns a load run with declared classes; burst is the rate of a service's burst as a fraction of the pool's
// capacity.
func newLoadRun(scheduler Scheduler, burst float64) *loadRun {
	l := &loadRun{
		scheduler:    scheduler,
		kindRate:     burst * capacity / kinds / burstFactor,
		inTime:       map[croft.Class]int{},
		serviceTimes: map[*Waiter]croft.Millis{},
	}
	for s := range services {
		for k := range kinds {
			id := croft.Class{
				Service: croft.ServiceID(fmt.Sprintf("s%d", s)),
				Kind:    croft.KindID(fmt.Sprintf("k%d", k)),
			}
			l.classes = append(l.classes, Class{
				ID: id, Urgency: k, FloorShare: floorShare, Deadline: deadline, MeanRate: int64(l.kindRate * 1000),
			})
		}
	}
	scheduler.Set(Settings{Slots: poolSlots, Classes: l.classes})
	return l
}

// demand returns the requests a second of a class: five times its mean while its service bursts, else a twentieth
// of it, and floodFactor times the mean for the flooded class.
func (l *loadRun) demand(now croft.Millis, class, flooded int, floodFactor float64) float64 {
	if class == flooded && floodFactor > 0 {
		return l.kindRate * floodFactor
	}
	if int(now/burstDuration)%services == class/kinds {
		return l.kindRate * burstFactor
	}
	return l.kindRate / 20
}

// simulate runs the whole load and returns the requests of each class that were served in time.
func (l *loadRun) simulate(flooded int, floodFactor float64) map[croft.Class]int {
	// Each class has its own random source, so that a flood does not change the arrivals of the others.
	sources := make([]*rand.Rand, len(l.classes))
	for i := range sources {
		sources[i] = rand.New(rand.NewSource(int64(i) + 1))
	}
	for now := croft.Millis(0); now < runDuration; now++ {
		for len(l.running) > 0 && l.running[0].at <= now {
			e := heap.Pop(&l.running).(slotEnd)
			l.scheduler.Release(now, e.waiter)
			l.inUse--
			if now <= e.waiter.Deadline {
				l.inTime[e.waiter.Class]++
			}
		}
		for i, k := range l.classes {
			expected := l.demand(now, i, flooded, floodFactor) / 1000
			for expected > 0 {
				if sources[i].Float64() < expected {
					// Drawn at arrival, so that a request has the same service time with and without a flood.
					duration := croft.Millis(serviceTime/2 + sources[i].Intn(serviceTime))
					w := &Waiter{Class: k.ID, Arrived: now, Deadline: now + k.Deadline}
					l.serviceTimes[w] = duration
					if l.scheduler.Offer(now, w) != nil {
						delete(l.serviceTimes, w)
						l.refused++
					}
				}
				expected--
			}
		}
		l.scheduler.Expire(now)
		for w := l.scheduler.Next(now); w != nil; w = l.scheduler.Next(now) {
			heap.Push(&l.running, slotEnd{now + l.serviceTimes[w], w})
			delete(l.serviceTimes, w)
			l.inUse++
			l.maxInUse = max(l.maxInUse, l.inUse)
		}
	}
	return l.inTime
}

// leastKeptShare returns the least fraction of the requests that a class other than the flooded one had served in time
// without the flood and keeps during it, and that class; it returns 1 if no class loses any.
func leastKeptShare(before, during map[croft.Class]int, flooded croft.Class) (float64, croft.Class) {
	least, worst := 1.0, croft.Class{}
	for class, count := range before {
		if class == flooded {
			continue
		}
		if share := float64(during[class]) / float64(count); share < least {
			least, worst = share, class
		}
	}
	return least, worst
}

// TestFloodOfOneKindLeavesOthersServed checks that a flood of one class costs no other class more than 1% of its
// requests served in time, with regular bursts below and above the pool's capacity. FirstCome must fail the same
// check, which shows that the load is heavy enough.
func TestFloodOfOneKindLeavesOthersServed(t *testing.T) {
	for _, burst := range []float64{0.86, 1.04, 1.25} {
		t.Run(fmt.Sprintf("burst %g", burst), func(t *testing.T) {
			t.Parallel()
			before := newLoadRun(NewFairShare(), burst).simulate(-1, 0)
			plainBefore := newLoadRun(NewFirstCome(), burst).simulate(-1, 0)
			for _, flooded := range []int{2, 0} { // the least urgent kind, then the most urgent
				for _, times := range []float64{5, 10, 50} {
					l := newLoadRun(NewFairShare(), burst)
					class := l.classes[flooded].ID
					during := l.simulate(flooded, times)
					least, worst := leastKeptShare(before, during, class)
					plain, _ := leastKeptShare(plainBefore, newLoadRun(NewFirstCome(), burst).simulate(flooded, times), class)
					t.Logf("flood of %s at %g times: kept %.4f (%s), first come %.4f, flooded served %d of %d",
						class, times, least, worst, plain, during[class], before[class])
					assert.Check(t, least >= 0.99, "%s keeps %.4f", worst, least)
					assert.Check(t, plain < 0.99, "first come keeps %.4f", plain)
					assert.Equal(t, l.maxInUse, poolSlots)
				}
			}
		})
	}
}
