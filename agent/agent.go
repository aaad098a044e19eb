package agent

import (
	"context"
	"sync"

	"github.com/oklog/run"

	"waxwing.example/croft"
	"waxwing.example/croft/intake"
	"waxwing.example/croft/leader"
	"waxwing.example/croft/logs"
	"waxwing.example/croft/sched"
	"waxwing.example/croft/stats"
	"waxwing.example/croft/window"
)

// Options holds the parts and settings of an entry.
type Options struct {
	Self      string
	Election  *leader.Election
	Intake    *intake.Intake
	Table     croft.Table
	Feed      croft.Feed
	Directory croft.Directory
	Runner    croft.Runner
	Fleet     croft.Fleet
	Advice    croft.Advice
	Clock     croft.Clock
	Log       *logs.Logger
	Stats     *stats.Stats
	Planner   sched.Options
	// ConfigApply is how long after its confirmation a configuration has to be in force.
	ConfigApply croft.Millis
	// StateRetention is for how long at least the states of ended jobs are kept, zero for ever.
	StateRetention croft.Millis
}

// Agent runs one entry.
type Agent struct {
	Options
	planner     *sched.Planner
	goroutines  goroutinePool
	events      chan sched.Event
	standby     standby
	loadReports loadWriter

	mu sync.Mutex
	// stopLeading cancels leadingCtx; it is nil if the entry does not lead.
	stopLeading context.CancelFunc
	// leadingCtx is the context of the work that runs only while the entry leads; it ends with the
	// current term. It is nil if the entry does not lead.
	leadingCtx context.Context
	// waveReports is the writer of the current term; it is nil if the entry does not lead.
	waveReports *waveWriter
	// storeAnsweredAt is when the store last answered; storeFailures counts the failed calls since.
	storeAnsweredAt croft.Millis
	storeFailures   int
}

// Limits of the planner's goroutine and of the feeds.
const (
	// eventQueueSize is the number of queued events; it suffices for the answers of all executors of
	// a large pool at once.
	eventQueueSize = 4096
	// maxBatchEvents is the maximum number of events that are reduced before their effects are
	// carried out.
	maxBatchEvents = 128
	// tickInterval is how often the planner gets a Ticked event.
	tickInterval = 50 * croft.Millis(1)
	// followWait is how long a feed call waits for changes (long polling). It limits how long a dead
	// connection can hide a change, which has to take effect within 2 s.
	followWait = 900 * croft.Millis(1)
	// leaderFollowWait is how long a call of the leader table's feed waits: longer than the interval
	// between renewals, and short enough for a few calls within the time before a takeover.
	leaderFollowWait = 450 * croft.Millis(1)
	// probeWait is how long a feed call waits for changes while the feed fails.
	probeWait = croft.Millis(1)
	// retryDelay is the pause before a failed call is repeated.
	retryDelay = 100 * croft.Millis(1)
)

// New returns an entry; Run starts it.
func New(options Options) *Agent {
	a := &Agent{Options: options, planner: sched.New(options.Planner), goroutines: newGoroutinePool(), events: make(chan sched.Event, eventQueueSize)}
	a.loadReports.agent = a
	return a
}

// Add adds the goroutines of the entry to a run group.
func (a *Agent) Add(g *run.Group) {
	for _, work := range []func(context.Context) error{a.runPlanner, a.followOperator, a.followLeader, a.runElection, a.runStandby} {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
}

// Ready reports whether the entry can serve callers: it has a configuration and the store answers.
func (a *Agent) Ready() bool {
	if a.Intake.Index() == nil {
		return false
	}
	return a.StoreOutage() == 0
}

// Limits within which the store counts as available.
const (
	// storeTimeout is longer than the wait of a feed call plus the time after which the call is
	// abandoned.
	storeTimeout = 2 * croft.Second
	// maxStoreFailures is the number of consecutive failures, over the two feeds together, that
	// distinguishes an outage from a burst of refusals.
	maxStoreFailures = 4
)

// StoreOutage returns for how long the store has not answered this entry, zero if it has answered recently.
func (a *Agent) StoreOutage() croft.Millis {
	now := a.Clock.Elapsed()
	a.mu.Lock()
	defer a.mu.Unlock()
	silence := now - a.storeAnsweredAt
	if silence < storeTimeout && a.storeFailures < maxStoreFailures {
		return 0
	}
	return max(silence, 1)
}

// recordStoreCall records whether a feed call was answered by the store.
func (a *Agent) recordStoreCall(answered bool) {
	now := a.Clock.Elapsed()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !answered {
		a.storeFailures++
		return
	}
	a.storeAnsweredAt, a.storeFailures = now, 0
}

// post queues an event for the planner unless the context has ended; it waits while the queue is full.
func (a *Agent) post(ctx context.Context, e sched.Event) {
	if ctx.Err() != nil {
		return
	}
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

// runPlanner feeds events to the planner and carries out the effects; only its goroutine uses the planner.
func (a *Agent) runPlanner(ctx context.Context) error {
	ticks := make(chan struct{})
	go func() {
		for a.Clock.Sleep(ctx, tickInterval) == nil {
			if a.Election.Leadership() == nil {
				continue
			}
			select {
			case ticks <- struct{}{}:
			case <-ctx.Done():
			}
		}
	}()
	for {
		var batch []sched.Event
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-a.events:
			batch = append(batch, e)
		case <-ticks:
			batch = append(batch, sched.Ticked{DoubtFrom: a.Election.DoubtFrom(), Fence: a.Election.RenewedFence()})
		}
		for more := true; more && len(batch) < maxBatchEvents; {
			select {
			case e := <-a.events:
				batch = append(batch, e)
			default:
				more = false
			}
		}
		now := sched.Instant{Elapsed: a.Clock.Elapsed(), Wall: a.Clock.Now()}
		for _, effect := range a.planner.Reduce(now, batch...) {
			a.perform(effect)
		}
	}
}

// runElection takes part in the leader election.
func (a *Agent) runElection(ctx context.Context) error {
	return a.Election.Run(ctx, func(lead *leader.Leadership) { a.handleLeadershipChange(ctx, lead) })
}

// handleLeadershipChange starts and stops the goroutines that run only while the entry leads; term is nil
// if the entry no longer leads.
func (a *Agent) handleLeadershipChange(ctx context.Context, term *leader.Leadership) {
	a.mu.Lock()
	if a.stopLeading != nil {
		a.stopLeading()
		a.stopLeading, a.leadingCtx, a.waveReports = nil, nil, nil
	}
	var leadingCtx context.Context
	var reports *waveWriter
	if term != nil {
		leadingCtx, a.stopLeading = context.WithCancel(ctx)
		reports = newWaveWriter(a, term.Fence)
		a.leadingCtx, a.waveReports = leadingCtx, reports
	}
	a.mu.Unlock()
	a.Stats.SetLeading(term != nil)
	a.Stats.SetOrdersLimit(window.Unlimited)
	a.post(ctx, sched.LeadershipLost{})
	if term == nil {
		a.Log.Warn("Lead", a.Self, "this entry no longer leads")
		return
	}
	a.Log.Log(croft.Decision{Action: "Lead", Subject: a.Self, Choice: "Taken", Reason: describeTerm(*term)})
	a.post(ctx, sched.LeadershipAcquired{Fence: term.Fence, Term: term.Term, VMOrdersFrom: term.VMOrdersFrom})
	go a.followWorkers(leadingCtx)
	go a.followJobs(leadingCtx, term.Fence)
	go a.readWaves(leadingCtx, reports)
	go a.removeEndedStates(leadingCtx)
}
