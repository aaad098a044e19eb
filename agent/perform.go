package agent

import (
	"context"
	"sync"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/leader"
	"waxwing.example/croft/sched"
)

// perform carries out an effect of the planner without blocking the planner's goroutine. Effects other than log
// lines, counts and stepping down are dropped while the entry does not lead.
func (a *Agent) perform(effect sched.Effect) {
	switch e := effect.(type) {
	case sched.Log:
		a.Stats.CountDecision(e.Decision)
		a.Log.Log(e.Decision)
		return
	case sched.CountReservation:
		a.Stats.CountReservation(e.Outcome)
		return
	case sched.StepDown:
		a.Election.StepDown()
		return
	}
	a.mu.Lock()
	ctx, reports := a.leadingCtx, a.waveReports
	a.mu.Unlock()
	if report, ok := effect.(sched.ReportWave); ok && ctx != nil {
		reports.submit(ctx, report)
		return
	}
	if ctx != nil {
		a.performAsLeader(ctx, effect)
	}
}

// performAsLeader carries out an effect that only the leader may carry out; ctx ends with its term.
func (a *Agent) performAsLeader(ctx context.Context, effect sched.Effect) {
	switch e := effect.(type) {
	case sched.Hold:
		a.goroutines.submit(func() { a.hold(ctx, e) })
	case sched.Start:
		a.goroutines.submit(func() { a.start(ctx, e) })
	case sched.Stop:
		a.goroutines.submit(func() { a.post(ctx, sched.Stopped{Stop: e, Err: a.Runner.Stop(ctx, e.Order)}) })
	case sched.Pace:
		a.goroutines.submit(func() { a.pace(ctx, e) })
	case sched.Commit:
		a.goroutines.submit(func() { a.commit(ctx, e) })
	case sched.Advise:
		go a.advise(ctx, e)
	case sched.ListFleet:
		go a.listFleet(ctx, e)
	case sched.OrderVM:
		go func() { a.post(ctx, sched.Ordered{OrderVM: e, Err: a.Fleet.MoveOrMaintain(ctx, e.Order)}) }()
	case sched.Wake:
		a.goroutines.submit(func() {
			if a.Clock.Sleep(ctx, e.After) == nil {
				a.post(ctx, sched.Woken{})
			}
		})
	case sched.ReportWindow:
		a.Stats.SetOrdersLimit(e.Limit)
		a.Election.SetOverloaded(e.Overloaded)
	case sched.PublishLoads:
		for id, load := range e.Loads {
			a.Stats.SetQueue(id, load.Waiting, load.Oldest)
		}
		a.Stats.SetOrganisations(e.Organisations)
		a.Stats.SetUses(e.Uses)
		a.Stats.SetOpenTasks(e.ParkedJobs, e.OpenTasks, e.RecordBytes)
		if e.Shared {
			a.loadReports.submit(ctx, e)
		}
	}
}

func (a *Agent) hold(ctx context.Context, e sched.Hold) {
	report, err := a.Runner.Hold(ctx, e.Order)
	a.post(ctx, sched.Held{Hold: e, Report: report, Err: err})
}

func (a *Agent) start(ctx context.Context, e sched.Start) {
	clock, err := a.Runner.Start(ctx, e.Order)
	a.post(ctx, sched.Started{Start: e, Clock: clock, Err: err})
}

func (a *Agent) pace(ctx context.Context, e sched.Pace) {
	if err := a.Runner.Pace(ctx, e.Order); err != nil {
		a.Log.Warn("Pace", e.Order.Task.String(), err.Error())
	}
}

func (a *Agent) commit(ctx context.Context, e sched.Commit) {
	version, err := a.Table.Commit(ctx, e.Ops)
	a.post(ctx, sched.Committed{Commit: e, Version: version, Err: err})
}

func (a *Agent) listFleet(ctx context.Context, e sched.ListFleet) {
	vms, err := a.Fleet.ListFleet(ctx)
	if err != nil {
		a.Log.Warn("VMs", "list", err.Error())
		vms = nil
	}
	a.post(ctx, sched.FleetRead{RequestedAt: e.RequestedAt, VMs: vms})
}

func (a *Agent) advise(ctx context.Context, e sched.Advise) {
	tickets, valid, err := a.Advice.Advise(ctx, e.Stage, e.Workers)
	a.post(ctx, sched.Advised{Advise: e, Tickets: tickets, Valid: valid, Err: err})
}

// loadsKey is the key of the row in which the leader publishes the load of each queue.
const loadsKey = leader.Table + "//loads"

// loadWriter publishes the loads of the queues, one write at a time; loads submitted meanwhile are dropped.
type loadWriter struct {
	agent   *Agent
	mu      sync.Mutex
	writing bool
}

// submit starts a write of the loads, unless one is in progress.
func (w *loadWriter) submit(ctx context.Context, e sched.PublishLoads) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writing {
		return
	}
	w.writing = true
	go func() {
		ops := []croft.Op{{Kind: croft.OpPut, Key: loadsKey, Version: croft.AnyVersion, Value: jobs.Encode(e.Loads)}}
		if _, err := w.agent.Table.Commit(ctx, ops); err != nil {
			w.agent.Log.Warn("Loads", "leader", err.Error())
		}
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}()
}
