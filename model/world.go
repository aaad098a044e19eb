package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// Options are the size, load and faults of a simulation.
type Options struct {
	Seed uint64
	// Pools is the number of pools with jobs, WorkersPerPool the executors in each, Spares the VMs of the spare pool.
	Pools, WorkersPerPool, Spares int
	// LoadDuration is how long jobs are submitted; QuietDuration is how long the simulation runs afterwards, without new
	// faults.
	LoadDuration, QuietDuration croft.Millis
	// JobsPerSecond is the mean rate of submissions to each pool.
	JobsPerSecond float64
	// Peaks makes the load of the pools peak one after another, each at four times its mean; otherwise the load is steady.
	Peaks bool
	// Faults makes leaders, executors, answers and the store fail.
	Faults bool
	// ZoneCuts makes each loss of a leader a cut between a rack together with the leader, and the store together with all
	// others: until the leader's validity ends, it goes on renewing the leases of executors that its successor cannot reach.
	ZoneCuts bool
	// SameIDs makes executors crash and start again under their IDs, at their addresses and with later start times, knowing nothing
	// of before. Orders that were on their way reach whichever incarnation is there.
	SameIDs bool
	// ClocksSetBack adds to SameIDs that the start times of some incarnations are earlier than those of former ones.
	ClocksSetBack bool
	// DeadlyJobs makes a task of some jobs crash each executor that starts it.
	DeadlyJobs bool
	// EndlessEnds makes runs of endless tasks end by themselves while jobs are submitted, as done or as failed.
	EndlessEnds bool
	// Wave requests the maintenance of half of the VMs.
	Wave bool
	// MoreWaves is how many further waves are requested after the first one, which all share VMs. The options below also
	// add to Wave.
	MoreWaves int
	// UnlistedVMs makes VMs that stay missing from the list of VMs for some seconds at a time.
	UnlistedVMs bool
	// LateWaves makes the VM API learn of a wave later than the leader, and refuse its orders until then.
	LateWaves bool
	// LeavingVMs makes some VMs leave for good.
	LeavingVMs bool
	// TakeoversAfterWaves makes the leader fail seconds after a wave was said to be finished.
	TakeoversAfterWaves bool
	// EndsPerList is the maximum number of ended runs that an executor lists at a time, zero for no limit.
	EndsPerList int
	// RowBytes is the maximum size of a value that the store takes, zero for no limit.
	RowBytes int
	// Schedules makes some jobs repeat some hundreds of times within seconds, with occurrences that are due already.
	Schedules bool
	// ClockLead is the maximum time by which the clock of a leader is ahead.
	ClockLead croft.Millis
	// StartTime is how long the leader or its link is occupied with each start, one after another, zero for no time: the more
	// starts are in flight, the later they are carried out and answered. Those that would take longer than answerTimeout are
	// carried out all the same, but not answered.
	StartTime croft.Millis
	// Varied draws jobs with gangs, schedules, labels, data racks and per-executor limits; otherwise all steps are plain.
	Varied bool
	// Caps makes most jobs belong to organisations with caps, which are reduced for some seconds, and some steps fillers.
	Caps bool
	// Uncounted is what the planners do not count for caps, see sched.Options.
	Uncounted sched.Uncounted
	// LargeTasks makes the tasks of some steps need most of what endless tasks leave of an executor.
	LargeTasks bool
	// Reservations switches the reservations of the planner on.
	Reservations bool
	// MaxTasks is that of the planner's options.
	MaxTasks int
}

// Timings and sizes of the simulated platform, those of the platform's example settings.
const (
	// maxLease is the maximum time that an executor goes on running tasks without an order from a leader.
	maxLease = 10 * croft.Second
	// leaderLease is how long after a leader's last renewal no successor gives orders for VMs.
	leaderLease = 3 * croft.Second
	// leaderValidity is how long after its last renewal a leader gives orders.
	leaderValidity = 2700 * croft.Millis(1)
	// takeoverTimeout is how long the leader row must be unchanged before another entry takes over.
	takeoverTimeout = 1200 * croft.Millis(1)
	// doubtTimeout is how long after its last renewal a leader has to assume that it may have a successor.
	doubtTimeout        = 1050 * croft.Millis(1)
	renewInterval       = 375 * croft.Millis(1)
	maxStopDuration     = 200 * croft.Millis(1)
	moveDuration        = 1500 * croft.Millis(1)
	maintenanceDuration = 2 * croft.Second
	gangTimeout         = 3 * croft.Second
	// maxCancelDelay is how long after a cancellation, on top of leaderLease, tasks of the job may still be started.
	maxCancelDelay     = 3 * croft.Second
	networkDelay       = 1 * croft.Millis(1)
	commitDelay        = 10 * croft.Millis(1)
	answerTimeout      = 600 * croft.Millis(1)
	tickInterval       = 50 * croft.Millis(1)
	registrationDelay  = 20 * croft.Millis(1)
	maxAttempts        = 3
	executorMilliCores = 16_000
	executorMemoryMB   = 32_768
	vmsPerRack         = 4
	// startWallTime is the wall clock time at the start of a simulation, in milliseconds.
	startWallTime = 1_700_000_000_000
	// unregistrationDelay is the time from the end of an executor until the leader is notified of it.
	unregistrationDelay = 4500 * croft.Millis(1)
)

// World is the state of one simulation.
type World struct {
	options Options
	rng     *rand.Rand
	now     croft.Millis
	events  eventQueue
	// scheduled counts all events scheduled so far.
	scheduled int

	store map[string]croft.Row
	// version is the number of the last commit or takeover; a new leader's fencing token is taken from it.
	version   uint64
	vms       []*vm
	executors map[croft.WorkerID]*executor
	// incarnations counts the executors booted so far; their ids are derived from it.
	incarnations int
	// entries is the registry of executors, kept if they start again under their IDs.
	entries map[croft.WorkerID]croft.WorkerEntry

	// leader is the leader that events are delivered to: the newest one, except while an event of a former leader
	// that is still alive is delivered (see runAs).
	leader *leader
	// term is the number of takeovers so far.
	term int
	// storeDownUntil is when the store accepts commits again.
	storeDownUntil croft.Millis
	// answerLossRate is the share of commits whose answer is lost; VM orders lose a quarter and orders to executors
	// a tenth of that share.
	answerLossRate float64
	// orderDelayed reports that the order being carried out was delayed in the network, and orderSentAt when it was sent.
	orderDelayed bool
	orderSentAt  croft.Millis

	jobs   map[croft.JobID]*trackedJob
	config croft.QueueConfig
	caps   capState
	waves  []*wave
	report Report
}

// Counts are the totals of a simulation.
type Counts struct {
	// Jobs counts submissions; OnTime and Late count the jobs done within their objective and after it.
	Jobs, OnTime, Late, Failed, Cancelled int
	// Starts, Moves and Maintained count orders carried out, Takeovers the terms that began, Commits the commits that
	// planners requested.
	Starts, Moves, Maintained, Takeovers, Commits int
	// Reserved counts the reservations of executors.
	Reserved int
}

// Report is the result of a simulation.
type Report struct {
	Counts
	// Broken has a line for each violation of an invariant, up to maxViolations.
	Broken []string
	// Waits has the time from submission to first start of each job that started, in milliseconds.
	Waits []int64
	// InFlight has, for each start sent, the number of starts in flight, if Options.StartTime is set.
	InFlight []int
	// MostParked is the largest number of jobs that a leader has published as parked.
	MostParked int
	// Unanswered counts the starts that were not answered since too many were in flight.
	Unanswered int
	// Durations has the time from submission to completion of each job that was done, in milliseconds.
	Durations []int64
}

// maxViolations limits the violations listed in a report.
const maxViolations = 24

// violation adds a violation of an invariant to the report. The invariants have short codes:
//
//   - AVAIL: orders do not make more tasks of an endless step absent than the step allows.
//   - BUDGET: no task is started again once its failures are used up, nor long after it has crashed several executors.
//   - GANG: without faults no gang member times out waiting for the others.
//   - KEPT: no stage waits long for the cap of an organisation that uses less than half of it.
//   - LIMIT: neither an executor's capacity nor a wave's limit on VMs under maintenance is exceeded.
//   - LOST: each job ends before the simulation does, or runs until then if it is endless, and none fails before its
//     failures are used up, unless a task of it crashes executors.
//   - MIXED: the final status of a job does not change, and no job or wave is reported as finished with parts missing.
//   - ONE: only one leader at a time gives orders for VMs.
//   - ORDER: a task starts after the tasks that it depends on and not before its scheduled time.
//   - QUOTA: no start makes what executors run of an organisation exceed its cap by more than the overrun and one task.
//   - ROUTE: a task starts in its job's pool and within its step's limit per executor.
//   - STORE: the rows in the store can be written and decoded.
//   - TWICE: no task runs twice unless its step allows duplicates.
//   - UNASKED: only tasks that callers submitted, and did not cancel long ago, are started.
//   - WAVE: each wave maintains all of its VMs that are up at the end, and is said to be finished if no others stay.
func (w *World) violation(invariant, format string, args ...any) {
	if len(w.report.Broken) < maxViolations {
		w.report.Broken = append(w.report.Broken, fmt.Sprintf("%s at %d ms: %s", invariant, w.now, fmt.Sprintf(format, args...)))
	}
}

// timedEvent is an action scheduled for an instant; sequence keeps events of the same instant in the order in which they
// were scheduled.
type timedEvent struct {
	at       croft.Millis
	sequence int
	action   func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []timedEvent

// Len returns the number of events; with Less, Swap, Push and Pop it implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time and then by sequence.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(timedEvent)) }

// Pop removes and returns the last event.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule schedules an action after a delay.
func (w *World) schedule(delay croft.Millis, action func()) {
	w.scheduled++
	heap.Push(&w.events, timedEvent{at: w.now + delay, sequence: w.scheduled, action: action})
}

// chance draws true with the given probability.
func (w *World) chance(probability float64) bool { return w.rng.Float64() < probability }

// between draws a duration from low to high, both included.
func (w *World) between(low, high croft.Millis) croft.Millis {
	return low + croft.Millis(w.rng.Int64N(int64(high-low)+1))
}

// Run runs a simulation and returns its report; the same options repeat the same simulation.
func Run(options Options) Report {
	w := &World{
		options: options, rng: rand.New(rand.NewPCG(options.Seed, 0)),
		store: map[string]croft.Row{}, executors: map[croft.WorkerID]*executor{}, jobs: map[croft.JobID]*trackedJob{},
		entries: map[croft.WorkerID]croft.WorkerEntry{},
	}
	w.createPlatform()
	if options.Caps {
		w.createOrganisations()
	}
	w.scheduleTakeover(0, -leaderLease)
	w.scheduleSubmissions()
	if options.Faults {
		w.scheduleFaults()
	}
	if options.SameIDs {
		w.scheduleReturns()
	}
	if options.Wave {
		w.scheduleWaves()
	}
	end := options.LoadDuration + options.QuietDuration
	for w.events.Len() > 0 {
		next := heap.Pop(&w.events).(timedEvent)
		if next.at > end {
			break
		}
		w.now = next.at
		next.action()
	}
	w.now = end
	w.checkEnd()
	return w.report
}

// createPlatform creates the pools with two queues each, and the VMs.
func (w *World) createPlatform() {
	w.config = croft.QueueConfig{Version: 1}
	for i := range w.options.Pools {
		id := poolID(i)
		w.config.Pools = append(w.config.Pools, croft.PoolRule{ID: id})
		w.config.Queues = append(w.config.Queues,
			croft.Queue{ID: croft.QueueID("batch-" + string(id)), Pool: id, Priority: 1, MostAttempts: maxAttempts, Stretch: 1.6, Latency: 600},
			croft.Queue{ID: croft.QueueID("last-" + string(id)), Pool: id, MostAttempts: maxAttempts, Stretch: 2.2, Latency: 2500})
		for range w.options.WorkersPerPool {
			w.addVM(id)
		}
	}
	w.config.Pools = append(w.config.Pools, croft.PoolRule{ID: sparePool, Spare: true})
	for range w.options.Spares {
		w.addVM(sparePool)
	}
}

const sparePool = croft.PoolID("spare")

func poolID(i int) croft.PoolID { return croft.PoolID(fmt.Sprintf("p%d", i)) }

// leader is an entry that is the leader, or that still acts as one after another entry took over.
type leader struct {
	planner *sched.Planner
	alive   bool
	// term is the number of takeovers up to its own.
	term int
	// storeUnreachable reports that the store rejects its commits, while executors and VMs still accept its orders.
	storeUnreachable bool
	// cutUntil is when a cut ends in which it reaches only the executors of its own rack and, if listsVMs, the list of VMs.
	cutUntil croft.Millis
	listsVMs bool
	// doubtFrom is from when on it has to assume that it has a successor, zero while it renews its leadership.
	doubtFrom croft.Millis
	// renewedAt is when it last renewed its leadership, and renewedFence the fencing token that this brought.
	renewedAt    croft.Millis
	renewedFence uint64
	// vmOrdersFrom is the earliest time at which it may give orders for VMs.
	vmOrdersFrom croft.Millis
	// clockLead is by how much its clock is ahead.
	clockLead croft.Millis
	// startsUntil is until when its earlier starts occupy it or its link, and startsInFlight the number without a result.
	startsUntil    croft.Millis
	startsInFlight int
}

// scheduleTakeover starts a new leader after a delay, with only the state in the store; it may give orders for VMs
// once the lease that its predecessor renewed at lastRenewal has ended.
func (w *World) scheduleTakeover(delay, lastRenewal croft.Millis) {
	w.schedule(delay, func() {
		w.term++
		w.report.Takeovers++
		clear(w.caps.held)
		w.version++
		w.leader = &leader{alive: true, term: w.term, vmOrdersFrom: lastRenewal + leaderLease, planner: sched.New(sched.Options{
			Holder: fmt.Sprintf("entry-%d", w.term), Lease: maxLease, Stop: maxStopDuration, Maintain: maintenanceDuration,
			RowBytes: w.options.RowBytes, Uncounted: w.options.Uncounted, Reservations: w.reservationMode(), MaxTasks: w.options.MaxTasks,
		})}
		if w.options.ClockLead > 0 {
			w.leader.clockLead = w.between(0, w.options.ClockLead)
		}
		w.schedule(tickInterval, func() { w.tick(w.leader) })
		w.deliver(sched.LeadershipAcquired{Fence: w.version, Term: w.term, VMOrdersFrom: lastRenewal + leaderLease}, sched.ConfigRead{Config: w.config})
		if len(w.waves) > 0 {
			w.deliver(sched.WavesRead{Waves: w.requestedWaves()})
		}
		w.scheduleForLeader(w.between(2, 30), func() { w.deliver(sched.WorkersRead{Changes: w.registry()}) })
		w.scheduleForLeader(w.between(2, 200), func() { w.deliver(sched.JobsRead{Whole: true, Jobs: w.storedJobs()}) })
		w.scheduleForLeader(w.between(2, 200), func() { w.deliver(w.waveRows()) })
	})
}

// reservationMode returns where planners make reservations.
func (w *World) reservationMode() sched.ReservationMode {
	if w.options.Reservations {
		return sched.ReservationsAlways
	}
	return sched.ReservationsNever
}

// scheduleForLeader schedules an action on behalf of the current leader, skipped if that leader is no longer alive by
// then.
func (w *World) scheduleForLeader(delay croft.Millis, action func()) {
	w.scheduleFor(w.leader, delay, action)
}

// scheduleFor schedules an action on behalf of a leader, skipped if it is no longer alive by then.
func (w *World) scheduleFor(l *leader, delay croft.Millis, action func()) {
	w.schedule(delay, func() { w.runAs(l, action) })
}

// runAs runs an action with l as the current leader, if l is alive. Afterwards the previous leader is the current one
// again, unless the action replaced l.
func (w *World) runAs(l *leader, action func()) {
	if l == nil || !l.alive {
		return
	}
	previous := w.leader
	w.leader = l
	action()
	if w.leader == l {
		w.leader = previous
	}
}

func (w *World) tick(l *leader) {
	if l.alive {
		if !l.storeUnreachable && w.now >= w.storeDownUntil && w.now-l.renewedAt >= renewInterval {
			w.version++
			l.renewedAt, l.renewedFence = w.now, w.version
		}
		w.runAs(l, func() { w.deliver(sched.Ticked{DoubtFrom: l.doubtFrom, Fence: l.renewedFence}) })
		w.schedule(tickInterval, func() { w.tick(l) })
	}
}

// deliver passes events to the current leader's planner and carries out the effects it returns.
func (w *World) deliver(events ...sched.Event) {
	l := w.leader
	if l == nil || !l.alive {
		return
	}
	now := sched.Instant{Elapsed: w.now, Wall: startWallTime + w.now + l.clockLead}
	for _, e := range l.planner.Reduce(now, events...) {
		w.perform(e)
	}
}

// storedJobs returns the rows of all stored jobs, as a new leader reads them.
func (w *World) storedJobs() []sched.JobRow {
	var out []sched.JobRow
	for _, t := range w.sortedJobs() {
		row, ok := w.store[jobs.Key(jobs.StateTable, t.part, t.id)]
		if !ok || !t.stored {
			continue
		}
		progress, err := jobs.DecodeProgress(row.Value)
		if err != nil {
			w.violation("STORE", "%v", err)
			continue
		}
		out = append(out, sched.JobRow{ID: t.id, Part: t.part, Version: row.Version, Encoded: jobs.EncodeRecord(t.record), Progress: progress})
	}
	return out
}
