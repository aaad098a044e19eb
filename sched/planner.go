package sched

import (
	"cmp"
	"slices"

	"waxwing.example/croft"
)

// Options are the bounds that decisions depend on.
type Options struct {
	// Holder is this entry's name in orders for VMs.
	Holder string
	// Lease is how long an executor may run on without hearing from a planner.
	Lease croft.Millis
	// Stop is the longest that a run takes to stop.
	Stop croft.Millis
	// Maintain is how long a VM is away for a maintenance.
	Maintain croft.Millis
}

// Planner is the state of the leading entry; one goroutine owns it.
type Planner struct {
	options      Options
	now          Instant
	leading      bool
	fencingToken uint64
	term         int
	// leaderSince is when the lead began.
	leaderSince croft.Millis
	// vmOrdersFrom is when VMs may be ordered about: a former leader may do so until then.
	vmOrdersFrom croft.Millis
	// jobsLoaded says that all jobs of before are known.
	jobsLoaded bool

	config croft.QueueConfig
	queues map[croft.QueueID]croft.Queue
	pools  map[croft.PoolID]*pool
	// sortedPools and sortedWorkers have both by name, so that decisions repeat.
	sortedPools   []*pool
	sortedWorkers []*worker
	workers       map[croft.WorkerID]*worker
	jobs          map[croft.JobID]*job
	// tombstones are jobs that have ended or whose cancelling was heard of before the job itself, by when
	// that was: a row that was read before may still come.
	tombstones map[croft.JobID]croft.Millis
	parts      map[string]*partWriter
	waves      map[int]*wave
	// inheritedBegun has what former leaders wrote of waves, nil until it is read.
	inheritedBegun map[int][]croft.VMID
	// inheritedOrders has the VMs whose orders by former leaders may still be on their way.
	inheritedOrders map[int][]croft.VMID
	fleet           fleet

	// pendingAdvice counts the questions to the advice service that are not answered.
	pendingAdvice int
	moves         map[croft.VMID]*move
	// refusedMoves are ways between pools of different VMs.
	refusedMoves map[moveRoute]bool
	nextScale    croft.Millis
	// sweepDue says that all executors are to be gone through.
	sweepDue bool
	// holdCandidates are executors about which something was heard since the last holds.
	holdCandidates []*worker
	// unresolvedStarts are executors on which starts without an answer are to be looked for.
	unresolvedStarts []*worker
	// wakeAt is when time passes by the last Wake.
	wakeAt      croft.Millis
	nextLoads   croft.Millis
	nextPoolLog croft.Millis
	// refusing says that a queue takes no new jobs at present.
	refusing bool
	// meanDurations has the mean duration of each queue's tasks, in milliseconds.
	meanDurations map[croft.QueueID]float64

	effects []Effect
}

// New returns a planner that does not lead yet.
func New(options Options) *Planner {
	p := &Planner{options: options, waves: map[int]*wave{}}
	p.resetLeaderState()
	return p
}

// resetLeaderState drops all that only the leader knows; configuration and waves stay.
func (p *Planner) resetLeaderState() {
	p.leading, p.jobsLoaded = false, false
	p.pools = map[croft.PoolID]*pool{}
	p.workers = map[croft.WorkerID]*worker{}
	p.sortedPools, p.sortedWorkers = nil, nil
	p.jobs = map[croft.JobID]*job{}
	p.tombstones = map[croft.JobID]croft.Millis{}
	p.parts = map[string]*partWriter{}
	p.fleet = fleet{}
	p.inheritedBegun = nil
	p.holdCandidates, p.unresolvedStarts, p.wakeAt = nil, nil, 0
	p.moves = map[croft.VMID]*move{}
	p.refusedMoves = map[moveRoute]bool{}
	p.nextScale, p.nextLoads, p.nextPoolLog, p.pendingAdvice, p.refusing = 0, 0, 0, 0, false
	p.meanDurations = map[croft.QueueID]float64{}
	for number, w := range p.waves {
		p.waves[number] = newWave(w.Wave, w.requestedAt)
	}
}

// Reduce takes in events of one instant and returns what is to be done.
func (p *Planner) Reduce(now Instant, events ...Event) []Effect {
	p.now, p.effects = now, nil
	for _, e := range events {
		p.handle(e)
	}
	if p.leading {
		p.plan()
	}
	return p.effects
}

func (p *Planner) handle(e Event) {
	switch e := e.(type) {
	case Started, Stopped, Holding, Committed, Advised, JobsCancelled, Woken:
	case JobsRead:
		p.sweepDue = p.sweepDue || e.Whole
	default:
		p.sweepDue = true
	}
	switch e := e.(type) {
	case LeadBegan:
		p.startTerm(e)
	case LeadEnded:
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

func (p *Planner) handleAsLeader(e Event) {
	switch e := e.(type) {
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
	case Holding:
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

func (p *Planner) startTerm(e LeadBegan) {
	p.resetLeaderState()
	p.leading, p.fencingToken, p.term, p.leaderSince, p.vmOrdersFrom = true, e.Fence, e.Term, p.now.Elapsed, e.VMsFrom
	p.requestFleet()
}

func (p *Planner) configure(config croft.QueueConfig) {
	if config.Version < p.config.Version {
		return
	}
	p.config = config
	p.queues = make(map[croft.QueueID]croft.Queue, len(config.Queues))
	for _, q := range config.Queues {
		p.queues[q.ID] = q
	}
}

// plan does what is due after the events of an instant. What goes through all executors and
// waits for time to pass is done with ticks and news, not after each answer of an executor.
func (p *Planner) plan() {
	all := p.sweepDue
	if p.sweepDue {
		p.sweepDue = false
		p.openDueOccurrences()
		p.expireLeases()
		p.pollFleet()
		p.runWaves()
		p.scalePools()
		p.evacuate()
		p.retryStops()
	}
	p.resolveUnansweredStarts()
	p.placePools()
	p.sendDueHolds(all)
	p.sendDueCommits()
	p.publishLoads()
}

func (p *Planner) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Planner) log(action, subject, choice, reason string) {
	p.emit(Log{Decision: croft.Decision{Action: action, Subject: subject, Choice: choice, Reason: reason}})
}

// stepDown ends the lead since an executor or a row has seen a higher fencing token.
func (p *Planner) stepDown(reason string) {
	p.log("StepDown", "planner", "", reason)
	p.emit(StepDown{})
	p.resetLeaderState()
}

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

// poolRule returns what the operator configured for a pool.
func (p *Planner) poolRule(id croft.PoolID) croft.PoolRule {
	for _, r := range p.config.Pools {
		if r.ID == id {
			return r
		}
	}
	return croft.PoolRule{ID: id}
}
