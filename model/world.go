package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// Options are the size and the troubles of a run.
type Options struct {
	Seed uint64
	// Pools is the number of pools with work, WorkersAPool the executors of each, Spares those of the spare pool.
	Pools, WorkersAPool, Spares int
	// Span is how long jobs come in, Quiet how long the run goes on after the last trouble.
	Span, Quiet croft.Millis
	// JobsASecond is the mean number of submissions for each pool.
	JobsASecond float64
	// Turns gives each pool a turn of five times its mean.
	Turns bool
	// Faults lets leaders, executors, answers and the store fail.
	Faults bool
	// Wave asks for the maintenance of half of the VMs.
	Wave bool
	// Varied gives jobs all properties that a step may have; without it they have plain steps.
	Varied bool
}

// bounds of the modelled platform, those of the platform's example file.
const (
	mostHold     = 10 * croft.Second
	plannerLease = 3 * croft.Second
	// plannerValid is how long a leader gives orders without having renewed, and plannerStill how long
	// its row must stand still before it has a successor.
	plannerValid  = 2700 * croft.Millis(1)
	plannerStill  = 1200 * croft.Millis(1)
	renewSpan     = 375 * croft.Millis(1)
	stopSpan      = 200 * croft.Millis(1)
	moveSpan      = 1500 * croft.Millis(1)
	maintainSpan  = 2 * croft.Second
	gangSpan      = 3 * croft.Second
	cancelSpan    = 3 * croft.Second
	hopSpan       = 1 * croft.Millis(1)
	commitSpan    = 10 * croft.Millis(1)
	lostSpan      = 600 * croft.Millis(1)
	tickSpan      = 50 * croft.Millis(1)
	registerSpan  = 20 * croft.Millis(1)
	mostAttempts  = 3
	workerCores   = 16_000
	workerMemory  = 32_768
	rackSize      = 4
	epochWall     = 1_700_000_000_000
	unregisterLag = 4500 * croft.Millis(1)
)

// World is the state of one run.
type World struct {
	options Options
	random  *rand.Rand
	now     croft.Millis
	queue   timeline
	count   int

	store        map[string]croft.Row
	version      uint64
	vms          []*vm
	executors    map[croft.WorkerID]*executor
	incarnations int

	// lead is the leader for which things happen at present: the last one to take the lead, but for
	// the answers to a former one that is still there.
	lead *leader
	term int
	// storeDown is until when the store refuses, losing the share of answers that are lost.
	storeDown croft.Millis
	losing    float64
	// late says that the order being carried out was held up on its way.
	late bool

	jobs   map[croft.JobID]*tracked
	config croft.QueueConfig
	wave   croft.Wave
	report Report
}

// Counts are the figures of a run.
type Counts struct {
	// Jobs counts submissions, OnTime those that ended within their objective, Late the others.
	Jobs, OnTime, Late, Failed, Cancelled int
	// Starts, Moves and Maintained count orders that were carried out, Takeovers changes of the leader.
	Starts, Moves, Maintained, Takeovers, Commits int
}

// Report is what a run came to.
type Report struct {
	Counts
	// Broken has a line for each broken law, at most some dozen.
	Broken []string
	// Waits are the milliseconds from each submission to its first start.
	Waits []int64
	// Durations are the milliseconds from each submission to its end.
	Durations []int64
}

// mostBroken bounds the lines about broken laws.
const mostBroken = 24

func (w *World) broken(law, format string, args ...any) {
	if len(w.report.Broken) < mostBroken {
		w.report.Broken = append(w.report.Broken, fmt.Sprintf("%s at %d ms: %s", law, w.now, fmt.Sprintf(format, args...)))
	}
}

// entry is something that happens at an instant; entries of one instant keep their order.
type entry struct {
	at    croft.Millis
	order int
	what  func()
}

type timeline []entry

// Len, Less, Swap, Push and Pop make the timeline a heap.
func (t timeline) Len() int { return len(t) }

// Less orders by time and then by arrival.
func (t timeline) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}

// Swap exchanges two entries.
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push adds an entry.
func (t *timeline) Push(x any) { *t = append(*t, x.(entry)) }

// Pop takes the last entry off.
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (w *World) after(span croft.Millis, what func()) {
	w.count++
	heap.Push(&w.queue, entry{at: w.now + span, order: w.count, what: what})
}

func (w *World) chance(share float64) bool { return w.random.Float64() < share }

func (w *World) between(low, high croft.Millis) croft.Millis {
	return low + croft.Millis(w.random.Int64N(int64(high-low)+1))
}

// Run plays a run and returns its report.
func Run(options Options) Report {
	w := &World{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0)),
		store: map[string]croft.Row{}, executors: map[croft.WorkerID]*executor{}, jobs: map[croft.JobID]*tracked{},
	}
	w.build()
	w.takeOver(0, -plannerLease)
	w.submitAll()
	if options.Faults {
		w.plan()
	}
	if options.Wave {
		w.after(options.Span/8, w.askWave)
	}
	end := options.Span + options.Quiet
	for w.queue.Len() > 0 {
		next := heap.Pop(&w.queue).(entry)
		if next.at > end {
			break
		}
		w.now = next.at
		next.what()
	}
	w.now = end
	w.checkEnd()
	return w.report
}

func (w *World) build() {
	w.config = croft.QueueConfig{Version: 1}
	for i := range w.options.Pools {
		id := poolName(i)
		w.config.Pools = append(w.config.Pools, croft.PoolRule{ID: id})
		w.config.Queues = append(w.config.Queues,
			croft.Queue{ID: croft.QueueID("batch-" + string(id)), Pool: id, Priority: 1, MostAttempts: mostAttempts, Stretch: 1.6, Latency: 600},
			croft.Queue{ID: croft.QueueID("last-" + string(id)), Pool: id, MostAttempts: mostAttempts, Stretch: 2.2, Latency: 2500})
		for range w.options.WorkersAPool {
			w.addVM(id)
		}
	}
	w.config.Pools = append(w.config.Pools, croft.PoolRule{ID: spareName, Spare: true})
	for range w.options.Spares {
		w.addVM(spareName)
	}
}

const spareName = croft.PoolID("spare")

func poolName(i int) croft.PoolID { return croft.PoolID(fmt.Sprintf("p%d", i)) }

// leader is one entry while it leads, or believes that it does.
type leader struct {
	planner *sched.Planner
	alive   bool
	// cut says that the store does not answer it, though executors do.
	cut bool
	// vmsFrom is when it may give orders for VMs.
	vmsFrom croft.Millis
}

// takeOver lets a new leader begin, with nothing but what the store holds; it may give orders for VMs
// once the lease of its predecessor, renewed at an instant, has ended.
func (w *World) takeOver(span, renewed croft.Millis) {
	w.after(span, func() {
		w.term++
		w.report.Takeovers++
		w.version++
		w.lead = &leader{alive: true, vmsFrom: renewed + plannerLease, planner: sched.New(sched.Options{
			Holder: fmt.Sprintf("entry-%d", w.term), Lease: mostHold, Stop: stopSpan, Maintain: maintainSpan,
		})}
		w.after(tickSpan, func() { w.tick(w.lead) })
		w.tell(sched.LeadershipAcquired{Fence: w.version, Term: w.term, VMOrdersFrom: renewed + plannerLease}, sched.ConfigRead{Config: w.config})
		if w.wave.Number != 0 {
			w.tell(sched.WavesRead{Waves: []croft.Wave{w.wave}})
		}
		w.later(w.between(2, 30), func() { w.tell(sched.WorkersRead{Changes: w.registry()}) })
		w.later(w.between(2, 200), func() { w.tell(sched.JobsRead{Whole: true, Jobs: w.storedJobs()}) })
		w.later(w.between(2, 200), func() { w.tell(w.waveRows()) })
	})
}

// later does something for the present leader, unless it is gone by then.
func (w *World) later(span croft.Millis, what func()) { w.laterFor(w.lead, span, what) }

// laterFor does something for a leader, unless it is gone by then.
func (w *World) laterFor(l *leader, span croft.Millis, what func()) {
	w.after(span, func() { w.as(l, what) })
}

// as does something for a leader that is there.
func (w *World) as(l *leader, what func()) {
	if l == nil || !l.alive {
		return
	}
	present := w.lead
	w.lead = l
	what()
	if w.lead == l {
		w.lead = present
	}
}

func (w *World) tick(l *leader) {
	if l.alive {
		w.as(l, func() { w.tell(sched.Ticked{}) })
		w.after(tickSpan, func() { w.tick(l) })
	}
}

// tell lets the leader reduce events and carries out what it decides.
func (w *World) tell(events ...sched.Event) {
	l := w.lead
	if l == nil || !l.alive {
		return
	}
	now := sched.Instant{Elapsed: w.now, Wall: epochWall + w.now}
	for _, e := range l.planner.Reduce(now, events...) {
		w.perform(e)
	}
}

func (w *World) storedJobs() []sched.JobRow {
	var out []sched.JobRow
	for _, t := range w.sortedJobs() {
		row, ok := w.store[jobs.Key(jobs.StateTable, t.part, t.id)]
		if !ok || !t.stored {
			continue
		}
		progress, err := jobs.DecodeProgress(row.Value)
		if err != nil {
			w.broken("STORE", "%v", err)
			continue
		}
		out = append(out, sched.JobRow{ID: t.id, Part: t.part, Version: row.Version, Record: t.record, Progress: progress})
	}
	return out
}
