package agent

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/leader"
	"waxwing.example/croft/sched"
)

// perform carries out an effect; none of them keeps the control goroutine waiting.
func (a *Agent) perform(effect sched.Effect) {
	switch e := effect.(type) {
	case sched.Log:
		a.Stats.Decision(e.Decision)
		a.Log.Log(e.Decision)
		return
	case sched.StepDown:
		a.Election.Drop()
		return
	}
	a.mu.Lock()
	ctx := a.session
	a.mu.Unlock()
	if ctx != nil {
		a.performAsLeader(ctx, effect)
	}
}

func (a *Agent) performAsLeader(ctx context.Context, effect sched.Effect) {
	switch e := effect.(type) {
	case sched.Hold:
		a.crew.do(func() { a.hold(ctx, e) })
	case sched.Start:
		a.crew.do(func() { a.start(ctx, e) })
	case sched.Stop:
		a.crew.do(func() { a.post(ctx, sched.Stopped{Stop: e, Err: a.Runner.Stop(ctx, e.Order)}) })
	case sched.Pace:
		a.crew.do(func() { a.pace(ctx, e) })
	case sched.Commit:
		a.crew.do(func() { a.commit(ctx, e) })
	case sched.Advise:
		go a.advise(ctx, e)
	case sched.ListFleet:
		go a.listFleet(ctx, e)
	case sched.OrderVM:
		go func() { a.post(ctx, sched.Ordered{OrderVM: e, Err: a.Fleet.MoveOrMaintain(ctx, e.Order)}) }()
	case sched.Wake:
		a.crew.do(func() {
			if a.Clock.Sleep(ctx, e.After) == nil {
				a.post(ctx, sched.Woken{})
			}
		})
	case sched.ReportWave:
		a.waves.put(ctx, e)
	case sched.Publish:
		for id, load := range e.Loads {
			a.Stats.Queue(id, load.Waiting, load.Oldest)
		}
		if e.Shared {
			a.loads.put(ctx, e)
		}
	}
}

func (a *Agent) hold(ctx context.Context, e sched.Hold) {
	report, err := a.Runner.Hold(ctx, e.Order)
	a.post(ctx, sched.Holding{Hold: e, Report: report, Err: err})
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
	a.post(ctx, sched.FleetRead{Asked: e.Asked, VMs: vms})
}

func (a *Agent) advise(ctx context.Context, e sched.Advise) {
	tickets, valid, err := a.Advice.Advise(ctx, e.Stage, e.Workers)
	a.post(ctx, sched.Advised{Advise: e, Tickets: tickets, Valid: valid, Err: err})
}

// waveTable holds which VMs of each wave have begun their maintenance, or may be about to.
const waveTable = "wave"

// waveRow is the value of a row of waveTable.
type waveRow struct {
	Begun   []croft.VMID `json:",omitempty"`
	Ordered []croft.VMID `json:",omitempty"`
}

func decodeWave(key string, raw []byte) (int, waveRow, error) {
	number, err := strconv.Atoi(key)
	if err != nil {
		return 0, waveRow{}, err
	}
	var row waveRow
	err = json.Unmarshal(raw, &row)
	return number, row, err
}

// waveWriter publishes the newest state of each wave, one write at a time.
type waveWriter struct {
	agent  *Agent
	mu     sync.Mutex
	newest map[int]sched.ReportWave
	busy   map[int]bool
}

func (w *waveWriter) put(ctx context.Context, e sched.ReportWave) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.newest == nil {
		w.newest, w.busy = map[int]sched.ReportWave{}, map[int]bool{}
	}
	w.newest[e.Number] = e
	if !w.busy[e.Number] {
		w.busy[e.Number] = true
		go w.write(ctx, e.Number)
	}
}

func (w *waveWriter) write(ctx context.Context, number int) {
	for {
		w.mu.Lock()
		e, ok := w.newest[number]
		delete(w.newest, number)
		if !ok || ctx.Err() != nil {
			w.busy[number] = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		if err := w.writeOne(ctx, e); err != nil {
			w.agent.Log.Warn("Wave", strconv.Itoa(number), err.Error())
			w.mu.Lock()
			if _, newer := w.newest[number]; !newer {
				w.newest[number] = e
			}
			w.mu.Unlock()
			if w.agent.Clock.Sleep(ctx, againSpan) != nil {
				continue
			}
		}
	}
}

func (w *waveWriter) writeOne(ctx context.Context, e sched.ReportWave) error {
	key := waveTable + "//" + strconv.Itoa(e.Number)
	ops := []croft.Op{{Kind: croft.OpPut, Key: key, Version: croft.AnyVersion, Value: jobs.Encode(waveRow{Begun: e.Begun, Ordered: e.Ordered})}}
	if _, err := w.agent.Table.Commit(ctx, ops); err != nil {
		return err
	}
	w.agent.post(ctx, sched.WaveStored{ReportWave: e})
	return w.agent.Fleet.ReportWave(ctx, e.Number, e.Finished)
}

// loadsKey is the row in which the leader says what each queue can take.
const loadsKey = leader.Table + "//loads"

// loadWriter publishes the newest loads, one write at a time.
type loadWriter struct {
	agent *Agent
	mu    sync.Mutex
	busy  bool
}

func (w *loadWriter) put(ctx context.Context, e sched.Publish) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy {
		return
	}
	w.busy = true
	go func() {
		ops := []croft.Op{{Kind: croft.OpPut, Key: loadsKey, Version: croft.AnyVersion, Value: jobs.Encode(e.Loads)}}
		if _, err := w.agent.Table.Commit(ctx, ops); err != nil {
			w.agent.Log.Warn("Loads", "leader", err.Error())
		}
		w.mu.Lock()
		w.busy = false
		w.mu.Unlock()
	}()
}
