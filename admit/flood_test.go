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
	poolSlots   = 80
	serviceTime = 100
	runSpan     = 50 * croft.Second
	burstSpan   = 5 * croft.Second
	services    = 5
	kinds       = 3
	floorShare  = 50
	deadline    = 2 * croft.Second
	// capacity is what the pool serves a second.
	capacity = poolSlots * 1000 / serviceTime
	// burstTimes is a burst as a multiple of the mean.
	burstTimes = 5
)

// ending is a slot that is freed at an instant.
type ending struct {
	at     croft.Millis
	waiter *Waiter
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// load drives a scheduler through the brief's load on a virtual clock, one millisecond a step.
type load struct {
	queue   Scheduler
	classes []Class
	// kindRate is a kind's mean of requests a second.
	kindRate float64
	running  endings
	// spans holds the service times of the waiters.
	spans   map[*Waiter]croft.Millis
	inTime  map[croft.Class]int
	held    int
	refused int
	maxHeld int
}

// newLoad makes the burst of a service as large as a part of what the pool serves.
func newLoad(queue Scheduler, burst float64) *load {
	l := &load{queue: queue, kindRate: burst * capacity / kinds / burstTimes, inTime: map[croft.Class]int{}, spans: map[*Waiter]croft.Millis{}}
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
	queue.Set(Settings{Slots: poolSlots, Classes: l.classes})
	return l
}

// rate is a class's demand a second: five times its mean while its service bursts, else a twentieth.
func (l *load) rate(now croft.Millis, class, flooded int, times float64) float64 {
	if class == flooded && times > 0 {
		return l.kindRate * times
	}
	if int(now/burstSpan)%services == class/kinds {
		return l.kindRate * burstTimes
	}
	return l.kindRate / 20
}

func (l *load) run(flooded int, times float64) map[croft.Class]int {
	// Each class has its own source, so that a flood leaves the arrivals of the others as they are.
	sources := make([]*rand.Rand, len(l.classes))
	for i := range sources {
		sources[i] = rand.New(rand.NewSource(int64(i) + 1))
	}
	for now := croft.Millis(0); now < runSpan; now++ {
		for len(l.running) > 0 && l.running[0].at <= now {
			e := heap.Pop(&l.running).(ending)
			l.queue.Release(now, e.waiter)
			l.held--
			if now <= e.waiter.Deadline {
				l.inTime[e.waiter.Class]++
			}
		}
		for i, k := range l.classes {
			mean := l.rate(now, i, flooded, times) / 1000
			for mean > 0 {
				if sources[i].Float64() < mean {
					// Drawn at arrival, so that a request takes as long with a flood as without one.
					span := croft.Millis(serviceTime/2 + sources[i].Intn(serviceTime))
					w := &Waiter{Class: k.ID, Arrived: now, Deadline: now + k.Deadline}
					l.spans[w] = span
					if l.queue.Offer(now, w) != nil {
						delete(l.spans, w)
						l.refused++
					}
				}
				mean--
			}
		}
		l.queue.Expire(now)
		for w := l.queue.Next(now); w != nil; w = l.queue.Next(now) {
			heap.Push(&l.running, ending{now + l.spans[w], w})
			delete(l.spans, w)
			l.held++
			l.maxHeld = max(l.maxHeld, l.held)
		}
	}
	return l.inTime
}

// kept is the least share of its service that another kind keeps during a flood.
func kept(before, during map[croft.Class]int, flooded croft.Class) (float64, croft.Class) {
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

// TestFloodOfOneKindLeavesTheOthersTheirService has bursts below and above what the pool holds.
func TestFloodOfOneKindLeavesTheOthersTheirService(t *testing.T) {
	for _, burst := range []float64{0.86, 1.04, 1.25} {
		t.Run(fmt.Sprintf("burst %g", burst), func(t *testing.T) {
			t.Parallel()
			before := newLoad(NewCore(), burst).run(-1, 0)
			plainBefore := newLoad(NewFirstCome(), burst).run(-1, 0)
			for _, flooded := range []int{2, 0} { // the least urgent kind, then the most urgent
				for _, times := range []float64{5, 10, 50} {
					l := newLoad(NewCore(), burst)
					class := l.classes[flooded].ID
					during := l.run(flooded, times)
					least, worst := kept(before, during, class)
					plain, _ := kept(plainBefore, newLoad(NewFirstCome(), burst).run(flooded, times), class)
					t.Logf("flood of %s at %g times: kept %.4f (%s), first come %.4f, flooded served %d of %d",
						class, times, least, worst, plain, during[class], before[class])
					assert.Check(t, least >= 0.99, "%s keeps %.4f", worst, least)
					assert.Check(t, plain < 0.99, "first come keeps %.4f", plain)
					assert.Equal(t, l.maxHeld, poolSlots)
				}
			}
		})
	}
}
