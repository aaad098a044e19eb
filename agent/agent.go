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
)

// Options are what an entry is made of.
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
}

// Agent is one entry.
type Agent struct {
	Options
	planner *sched.Planner
	crew    crew
	events  chan sched.Event
	waves   waveWriter
	loads   loadWriter

	mu sync.Mutex
	// end stops what runs only while the entry leads.
	end context.CancelFunc
	// session is the context of the present lead.
	session context.Context
	// storeHeard is when the store last answered, and storeMisses counts failures since.
	storeHeard  croft.Millis
	storeMisses int
}

// Limits of the control goroutine.
const (
	// eventQueue holds the answers of all executors of a large pool at once.
	eventQueue = 4096
	// batchEvents bounds how many events are reduced before their effects are carried out.
	batchEvents = 128
	// tickSpan is how often time passes for the planner.
	tickSpan = 50 * croft.Millis(1)
	// followSpan is how long a feed waits for news; it bounds how long a silent connection can
	// hide a change, which is to be in force within 2 s.
	followSpan = 900 * croft.Millis(1)
	// leadSpan is how long the feed of the lead waits: above the time between renewals, and a few
	// times in that after which the lead is taken.
	leadSpan = 450 * croft.Millis(1)
	// againSpan is the pause before a feed that failed is asked again.
	againSpan = 100 * croft.Millis(1)
)

// New returns an entry; Run starts it.
func New(options Options) *Agent {
	a := &Agent{Options: options, planner: sched.New(options.Planner), crew: newCrew(), events: make(chan sched.Event, eventQueue)}
	a.waves.agent, a.loads.agent = a, a
	return a
}

// Add adds the work of the entry to a run group.
func (a *Agent) Add(g *run.Group) {
	for _, work := range []func(context.Context) error{a.control, a.followOperator, a.followLead, a.lead} {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
}

// Ready reports whether the entry can serve callers.
func (a *Agent) Ready() bool {
	if a.Intake.Index() == nil {
		return false
	}
	return a.StoreAnswers()
}

// Limits within which the store counts as answering.
const (
	// storeSpan outlasts a feed that waits and the time after which it is given up.
	storeSpan = 2 * croft.Second
	// storeMostMisses is how many failures in a row of the two feeds tell an outage from a burst of
	// refusals.
	storeMostMisses = 4
)

// StoreAnswers reports whether the store has answered this entry lately.
func (a *Agent) StoreAnswers() bool {
	now := a.Clock.Elapsed()
	a.mu.Lock()
	defer a.mu.Unlock()
	return now-a.storeHeard < storeSpan && a.storeMisses < storeMostMisses
}

func (a *Agent) heardStore(answered bool) {
	now := a.Clock.Elapsed()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !answered {
		a.storeMisses++
		return
	}
	a.storeHeard, a.storeMisses = now, 0
}

func (a *Agent) post(ctx context.Context, e sched.Event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}

// control is the goroutine that owns the planner.
func (a *Agent) control(ctx context.Context) error {
	ticks := make(chan struct{})
	go func() {
		for a.Clock.Sleep(ctx, tickSpan) == nil {
			if a.Election.Lead() == nil {
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
			batch = append(batch, sched.Ticked{})
		}
		for more := true; more && len(batch) < batchEvents; {
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

// lead takes the lead when its turn comes.
func (a *Agent) lead(ctx context.Context) error {
	return a.Election.Run(ctx, func(lead *leader.Lead) { a.leadChanged(ctx, lead) })
}

func (a *Agent) leadChanged(ctx context.Context, lead *leader.Lead) {
	a.mu.Lock()
	if a.end != nil {
		a.end()
		a.end, a.session = nil, nil
	}
	var session context.Context
	if lead != nil {
		session, a.end = context.WithCancel(ctx)
		a.session = session
	}
	a.mu.Unlock()
	a.Stats.Leading(lead != nil)
	a.post(ctx, sched.LeadEnded{})
	if lead == nil {
		a.Log.Warn("Lead", a.Self, "the lead has passed on")
		return
	}
	a.Log.Log(croft.Decision{Action: "Lead", Subject: a.Self, Choice: "Taken", Reason: leadReason(*lead)})
	a.post(ctx, sched.LeadBegan{Fence: lead.Fence, Term: lead.Term, VMsFrom: lead.VMsFrom})
	go a.followWorkers(session)
	go a.followJobs(session)
	go a.followCancels(session)
	go a.readWaves(session)
}
