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
	options Options
	now     Instant
	leading bool
	fence   uint64
	term    int
	// took is when the lead began.
	took croft.Millis
	// vmsFrom is when VMs may be ordered about: a former leader may do so until then.
	vmsFrom croft.Millis
	// read says that all jobs of before are known.
	read bool

	config croft.QueueConfig
	queues map[croft.QueueID]croft.Queue
	pools  map[croft.PoolID]*pool
	// poolOrder and workerOrder have both by name, so that decisions repeat.
	poolOrder   []*pool
	workerOrder []*worker
	workers     map[croft.WorkerID]*worker
	jobs        map[croft.JobID]*job
	// over are jobs that have ended or whose cancelling was heard of before the job itself, by when
	// that was: a row that was read before may still come.
	over  map[croft.JobID]croft.Millis
	parts map[string]*part
	waves map[int]*wave
	// begun has what former leaders wrote of waves, nil until it is read.
	begun map[int][]croft.VMID
	// sent has the VMs whose orders by former leaders may still be on their way.
	sent  map[int][]croft.VMID
	fleet fleet

	// advising counts the questions to the advice service that are not answered.
	advising int
	moves    map[croft.VMID]*move
	// refusedMoves are ways between pools of different VMs.
	refusedMoves map[moveWay]bool
	nextScale    croft.Millis
	// sweep says that all executors are to be gone through.
	sweep bool
	// heard are executors about which something was heard since the last holds.
	heard []*worker
	// unsettled are executors on which starts without an answer are to be looked for.
	unsettled []*worker
	// waking is when time passes by the last Wake.
	waking    croft.Millis
	nextLoads croft.Millis
	nextPools croft.Millis
	// refusing says that a queue takes no new jobs at present.
	refusing bool
	// durations has the mean duration of each queue's tasks, in milliseconds.
	durations map[croft.QueueID]float64

	out []Effect
}

// New returns a planner that does not lead yet.
func New(options Options) *Planner {
	p := &Planner{options: options, waves: map[int]*wave{}}
	p.forget()
	return p
}

// forget drops all that only the leader knows; configuration and waves stay.
func (p *Planner) forget() {
	p.leading, p.read = false, false
	p.pools = map[croft.PoolID]*pool{}
	p.workers = map[croft.WorkerID]*worker{}
	p.poolOrder, p.workerOrder = nil, nil
	p.jobs = map[croft.JobID]*job{}
	p.over = map[croft.JobID]croft.Millis{}
	p.parts = map[string]*part{}
	p.fleet = fleet{}
	p.begun = nil
	p.heard, p.unsettled, p.waking = nil, nil, 0
	p.moves = map[croft.VMID]*move{}
	p.refusedMoves = map[moveWay]bool{}
	p.nextScale, p.nextLoads, p.nextPools, p.advising, p.refusing = 0, 0, 0, 0, false
	p.durations = map[croft.QueueID]float64{}
	for number, w := range p.waves {
		p.waves[number] = newWave(w.Wave, w.asked)
	}
}

// Reduce takes in events of one instant and returns what is to be done.
func (p *Planner) Reduce(now Instant, events ...Event) []Effect {
	p.now, p.out = now, nil
	for _, e := range events {
		p.take(e)
	}
	if p.leading {
		p.settle()
	}
	return p.out
}

func (p *Planner) take(e Event) {
	switch e := e.(type) {
	case Started, Stopped, Holding, Committed, Advised, JobsCancelled, Woken:
	case JobsRead:
		p.sweep = p.sweep || e.Whole
	default:
		p.sweep = true
	}
	switch e := e.(type) {
	case LeadBegan:
		p.begin(e)
	case LeadEnded:
		p.forget()
	case ConfigRead:
		p.configure(e.Config)
	case WavesRead:
		p.takeWaves(e)
	default:
		if p.leading {
			p.takeAsLeader(e)
		}
	}
}

func (p *Planner) takeAsLeader(e Event) {
	switch e := e.(type) {
	case WorkersRead:
		p.takeWorkers(e.Changes)
	case JobsRead:
		p.takeJobs(e)
	case JobsCancelled:
		p.cancelJobs(e.IDs)
	case WaveRowsRead:
		p.takeBegun(e)
	case WaveStored:
		p.takeWaveStored(e)
	case FleetRead:
		p.takeFleet(e)
	case Holding:
		p.takeHold(e)
	case Started:
		p.takeStarted(e)
	case Stopped:
		p.takeStopped(e)
	case Committed:
		p.takeCommitted(e)
	case Ordered:
		p.takeOrdered(e)
	case Advised:
		p.takeAdvised(e)
	}
}

func (p *Planner) begin(e LeadBegan) {
	p.forget()
	p.leading, p.fence, p.term, p.took, p.vmsFrom = true, e.Fence, e.Term, p.now.Elapsed, e.VMsFrom
	p.askFleet()
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

// settle does what is due after the events of an instant. What goes through all executors and
// waits for time to pass is done with ticks and news, not after each answer of an executor.
func (p *Planner) settle() {
	all := p.sweep
	if p.sweep {
		p.sweep = false
		p.openOccurrences()
		p.expireLeases()
		p.pollFleet()
		p.runWaves()
		p.scale()
		p.evacuate()
		p.repeatStops()
	}
	p.settleStarts()
	p.place()
	p.holdIdle(all)
	p.commitDirty()
	p.tellLoads()
}

func (p *Planner) do(e Effect) { p.out = append(p.out, e) }

func (p *Planner) log(action, subject, choice, reason string) {
	p.do(Log{Decision: croft.Decision{Action: action, Subject: subject, Choice: choice, Reason: reason}})
}

// stepDown ends the lead since an executor or a row has seen a higher fencing token.
func (p *Planner) stepDown(reason string) {
	p.log("StepDown", "planner", "", reason)
	p.do(StepDown{})
	p.forget()
}

func (p *Planner) pool(id croft.PoolID) *pool {
	po, ok := p.pools[id]
	if !ok {
		po = &pool{id: id}
		p.pools[id] = po
		at, _ := slices.BinarySearchFunc(p.poolOrder, po, func(a, b *pool) int { return cmp.Compare(a.id, b.id) })
		p.poolOrder = slices.Insert(p.poolOrder, at, po)
	}
	return po
}

// rule returns what the operator configured for a pool.
func (p *Planner) rule(id croft.PoolID) croft.PoolRule {
	for _, r := range p.config.Pools {
		if r.ID == id {
			return r
		}
	}
	return croft.PoolRule{ID: id}
}
