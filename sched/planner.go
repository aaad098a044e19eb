package sched

import (
	"cmp"
	"fmt"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/quota"
	"waxwing.example/croft/sizing"
)

// Options are the settings that decisions depend on.
type Options struct {
	// Holder is the name of this entry, as the lease holder, in orders for VMs.
	Holder string
	// Lease is how long an executor may keep running tasks after a leader's last renewal.
	Lease croft.Millis
	// Stop is the maximum time that a run takes to stop.
	Stop croft.Millis
	// Maintain is how long a VM is unavailable for a maintenance.
	Maintain croft.Millis
	// RowBytes is the maximum size of the value of a row in the store, zero if it is not known.
	RowBytes int
	// Uncounted is what does not count for the caps of organisations; tests of the invariants set it, to show that they fail then.
	Uncounted Uncounted
	// SizeByBacklog sizes pools by their work also where the configuration has a spare pool; it is the baseline.
	SizeByBacklog bool
	// Reservations is where large tasks, gangs and wide stages which small tasks keep waiting get a reservation of executors (package
	// resv). Elsewhere waiting tasks are placed by rank alone.
	Reservations ReservationMode
	// MaxTasks is the number of tasks that may be held in memory; beyond it, new jobs are parked. Zero means no limit. Jobs that may
	// run already, and one job of each class of size, are kept beyond it.
	MaxTasks int
	// MaxRecordBytes is the memory that the records of jobs without open tasks may take; beyond it, the queues of such jobs refuse new
	// ones. Zero means no limit.
	MaxRecordBytes int
}

// ReservationMode is where the planner makes reservations.
type ReservationMode int

// The modes of reservations.
const (
	ReservationsNever ReservationMode = iota
	// ReservationsWithOrganisations makes them where the configuration has organisations, which compete for capacity.
	ReservationsWithOrganisations
	ReservationsAlways
)

// Planner holds the leader's state and decides on each event; only one goroutine may use it.
type Planner struct {
	options Options
	// now is the instant of the current Reduce call.
	now          Instant
	leading      bool
	fencingToken uint64
	// newestFence is the highest fencing token that this leader may use for executors. Each renewal of the leadership brings a
	// higher one, and all are lower than that of a successor.
	newestFence uint64
	term        int
	// lastNumberUsed names a waiting task that has used its last run number of the term.
	lastNumberUsed string
	// leaderSince is when the current term began.
	leaderSince croft.Millis
	// vmOrdersFrom is when VMs may first be ordered to move or to be maintained; until then a former leader may do so, and
	// may grant leases to executors that have not seen this leader's fencing token.
	vmOrdersFrom croft.Millis
	// doubtFrom is from when on another entry may have taken over, zero if that is not known.
	doubtFrom croft.Millis
	// inDoubt reports that this time had come at the last tick.
	inDoubt bool
	// jobsLoaded reports that all jobs that were stored before the term have been read.
	jobsLoaded bool

	config croft.QueueConfig
	queues map[croft.QueueID]croft.Queue
	// caps has the caps of the organisations that have one.
	caps map[croft.OrganisationID]croft.Resources
	// ledger is what the organisations may have running.
	ledger quota.Ledger
	pools  map[croft.PoolID]*pool
	// sizing is the policy by which pools are sized.
	sizing sizing.Policy
	// sortedPools and sortedWorkers are sorted by ID, to make decisions reproducible.
	sortedPools   []*pool
	sortedWorkers []*worker
	workers       map[croft.WorkerID]*worker
	jobs          map[croft.JobID]*job
	// tombstones are jobs that ended, or were cancelled before they were read, with the time of that: a read that began
	// before may still return their rows.
	tombstones map[croft.JobID]croft.Millis
	// parts has the writer of each partition of the store, by its name.
	parts map[string]*partWriter
	waves map[int]*wave
	// inheritedBegun has the VMs whose maintenance former leaders began, by wave; nil until it is read.
	inheritedBegun map[int][]croft.VMID
	// inheritedOrders has the VMs for which orders of former leaders may still take effect, by wave.
	inheritedOrders map[int][]croft.VMID
	// inheritedDeparted has the VMs that had left for good by what former leaders stored, by wave.
	inheritedDeparted map[int][]croft.VMID
	// inheritedRequested is when the waves were requested by what former leaders stored, as Unix time.
	inheritedRequested map[int]croft.Millis
	fleet              fleet
	window             startWindow
	open               openTasks

	// pendingAdvice counts the unanswered requests to the advice service.
	pendingAdvice int
	// moves are the moves of VMs in progress.
	moves map[croft.VMID]*move
	// refusedMoves are the routes that the platform refuses because the pools have VMs of different shape.
	refusedMoves map[moveRoute]bool
	// nextScale is when the sizes of the pools are next compared.
	nextScale croft.Millis
	// sweepDue reports that the periodic work over all pools and executors is due.
	sweepDue bool
	// sweeping reports that this work is being done.
	sweeping bool
	// holdCandidates are the workers whose state changed since holds were last sent.
	holdCandidates []*worker
	// unresolvedStarts are the workers whose lists are to be requested to resolve the unknown outcomes of starts.
	unresolvedStarts []*worker
	// wakeAt is when the last requested Woken event is due.
	wakeAt croft.Millis
	// nextLoads and nextPoolLog are when the loads are next published and the pools next logged.
	nextLoads   croft.Millis
	nextPoolLog croft.Millis
	// refusing reports that new jobs of at least one queue are refused.
	refusing bool
	// loadsPublished reports that this leader has published loads.
	loadsPublished bool
	// meanDurations has the moving average of each queue's task durations, in milliseconds.
	meanDurations map[croft.QueueID]float64
	sharing       sharing
	// durationErrors has the moving average of the relative errors of these expectations.
	durationErrors map[croft.QueueID]float64

	// effects are those of the current Reduce call.
	effects []Effect
}

// New returns a planner that does not lead yet.
func New(options Options) *Planner {
	p := &Planner{options: options, waves: map[int]*wave{}, sizing: sizing.ByBacklog()}
	p.resetLeaderState()
	return p
}

// resetLeaderState drops the state that only a leader has; the configuration and the requested waves are kept.
func (p *Planner) resetLeaderState() {
	p.leading, p.jobsLoaded, p.doubtFrom, p.inDoubt = false, false, 0, false
	p.pools = map[croft.PoolID]*pool{}
	p.workers = map[croft.WorkerID]*worker{}
	p.sortedPools, p.sortedWorkers = nil, nil
	p.jobs = map[croft.JobID]*job{}
	p.tombstones = map[croft.JobID]croft.Millis{}
	p.parts = map[string]*partWriter{}
	p.fleet = fleet{}
	p.window = newStartWindow()
	p.open = openTasks{}
	p.inheritedBegun = nil
	p.holdCandidates, p.unresolvedStarts, p.wakeAt = nil, nil, 0
	p.moves = map[croft.VMID]*move{}
	p.refusedMoves = map[moveRoute]bool{}
	p.lastNumberUsed = ""
	p.nextScale, p.nextLoads, p.nextPoolLog, p.pendingAdvice, p.refusing, p.loadsPublished = 0, 0, 0, 0, false, false
	p.meanDurations, p.durationErrors = map[croft.QueueID]float64{}, map[croft.QueueID]float64{}
	p.ledger = quota.Ledger{}
	p.sharing = newSharing(p.config.Organisations, &p.ledger)
	for number, w := range p.waves {
		p.waves[number] = newWave(w.Wave, w.requestedAt)
	}
}

// Reduce applies events that happened by one instant and returns the effects to carry out.
func (p *Planner) Reduce(now Instant, events ...Event) []Effect {
	p.now, p.effects = now, nil
	for _, e := range events {
		p.handle(e)
	}
	if p.leading {
		p.plan()
	}
	p.endTermWithoutNumbers()
	return p.effects
}

// handle applies one event.
func (p *Planner) handle(e Event) {
	// These events are frequent; what they change is planned without a sweep.
	switch e := e.(type) {
	case Started, Stopped, Held, Committed, Advised, JobsCancelled, Woken:
	case JobsRead:
		p.sweepDue = p.sweepDue || e.Whole
	default:
		p.sweepDue = true
	}
	switch e := e.(type) {
	case LeadershipAcquired:
		p.startTerm(e)
	case LeadershipLost:
		p.resetLeaderState()
	case ConfigRead:
		p.configure(e.Config)
	case WavesRead:
		p.handleWavesRead(e)
	default:
		if p.leading {
			p.handleAsLeader(e)
		}
	}
}

// handleAsLeader applies an event that only concerns the leader.
func (p *Planner) handleAsLeader(e Event) {
	switch e := e.(type) {
	case Ticked:
		p.recordDoubt(e.DoubtFrom)
		p.newestFence = max(p.newestFence, e.Fence)
	case WorkersRead:
		p.handleWorkersRead(e.Changes)
	case JobsRead:
		p.handleJobsRead(e)
	case JobsCancelled:
		p.cancelJobs(e.IDs)
	case WaveRowsRead:
		p.handleWaveRowsRead(e)
	case WaveStored:
		p.handleWaveStored(e)
	case FleetRead:
		p.handleFleetRead(e)
	case Held:
		p.handleHoldResult(e)
	case Started:
		p.handleStartResult(e)
	case Stopped:
		p.handleStopResult(e)
	case Committed:
		p.handleCommitResult(e)
	case Ordered:
		p.handleVMOrderResult(e)
	case Advised:
		p.handleAdviceResult(e)
	}
}

// startTerm resets the state and begins a term as leader.
func (p *Planner) startTerm(e LeadershipAcquired) {
	p.resetLeaderState()
	p.leading, p.fencingToken, p.term, p.leaderSince, p.vmOrdersFrom = true, e.Fence, e.Term, p.now.Elapsed, e.VMOrdersFrom
	p.newestFence = e.Fence
	p.requestFleet()
}

// configure applies a configuration unless a later one is known.
func (p *Planner) configure(config croft.QueueConfig) {
	if config.Version < p.config.Version {
		return
	}
	p.config = config
	p.queues = make(map[croft.QueueID]croft.Queue, len(config.Queues))
	for _, q := range config.Queues {
		p.queues[q.ID] = q
	}
	p.sharing.configure(config.Organisations)
	p.configureCaps()
	p.chooseSizing()
}

// plan does what is due after the events of an instant. Work that examines all executors or depends only on time is
// done with ticks and changes of the lists, not after each answer of an executor.
func (p *Planner) plan() {
	everyWorker := p.sweepDue
	p.sweeping = p.sweepDue
	if p.sweepDue {
		p.sweepDue = false
		p.openDueOccurrences()
		p.expireLeases()
		p.pollFleet()
		p.runWaves()
		p.scalePools()
		p.evacuate()
		p.retryStops()
		p.checkSuspects()
	}
	p.resolveUnansweredStarts()
	p.openParked()
	p.releaseReservations()
	p.placePools()
	p.sendDueHolds(everyWorker)
	p.sendDueCommits()
	p.publishLoads()
	p.reportWindow()
}

// recordDoubt records from when on another entry may have taken over, and logs when that time comes or is put off.
func (p *Planner) recordDoubt(from croft.Millis) {
	p.doubtFrom = from
	doubted := p.inDoubt
	if p.inDoubt = p.mayBeSucceeded(); p.inDoubt == doubted {
		return
	}
	if p.inDoubt {
		p.log("Doubt", "leader", "Begun", fmt.Sprintf("the leadership was due for renewal %d ms ago and another entry may lead; tasks whose last run was not listed as ended wait", p.now.Elapsed-from))
		return
	}
	p.log("Doubt", "leader", "Ended", "the leadership was renewed")
}

// mayBeSucceeded reports that another entry may have taken over, as the last renewal of the leadership is too long ago.
func (p *Planner) mayBeSucceeded() bool { return p.doubtFrom != 0 && p.now.Elapsed >= p.doubtFrom }

// emit adds an effect to those that Reduce returns.
func (p *Planner) emit(e Effect) { p.effects = append(p.effects, e) }

// log emits a log line about a decision.
func (p *Planner) log(action, subject, choice, reason string) {
	p.emit(Log{Decision: croft.Decision{Action: action, Subject: subject, Choice: choice, Reason: reason}})
}

// stepDown ends the leadership because an executor, a row or the platform has seen a higher fencing token.
func (p *Planner) stepDown(reason string) {
	p.log("StepDown", "planner", "", reason)
	p.emit(StepDown{})
	p.resetLeaderState()
}

// pool returns the state of a pool, which it creates if needed.
func (p *Planner) pool(id croft.PoolID) *pool {
	po, ok := p.pools[id]
	if !ok {
		po = &pool{id: id}
		p.pools[id] = po
		at, _ := slices.BinarySearchFunc(p.sortedPools, po, func(a, b *pool) int { return cmp.Compare(a.id, b.id) })
		p.sortedPools = slices.Insert(p.sortedPools, at, po)
	}
	return po
}

// poolRule returns the configuration of a pool.
func (p *Planner) poolRule(id croft.PoolID) croft.PoolRule {
	for _, r := range p.config.Pools {
		if r.ID == id {
			return r
		}
	}
	return croft.PoolRule{ID: id}
}
