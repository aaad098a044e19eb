package model

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
	"waxwing.example/croft/sched"
)

// tracked is what the model knows of a job, apart from what the planner does.
type tracked struct {
	id     croft.JobID
	part   string
	record jobs.Record
	posted croft.Millis
	// stored says that the caller was told that the job is taken.
	stored bool
	// cancelled is when the caller was told that the job is cancelled, zero for never.
	cancelled croft.Millis
	// poison makes every run fail.
	poison bool
	status jobs.Status
	first  croft.Millis
	tasks  map[croft.TaskID]*taskLaw
}

// Shape of the load: that of the platform's sheets, a little smaller.
const (
	turnSpan     = 4500 * croft.Millis(1)
	turnFactor   = 4
	troughShare  = 0.05
	poisonShare  = 0.02
	cancelShare  = 0.05
	mostWidth    = 12
	endlessAPool = 2
)

func (w *World) submitAll() {
	for i := range w.options.Pools {
		for range endlessAPool {
			w.after(w.between(100, 1000), func() { w.submit(i, true) })
		}
		w.nextSubmission(i)
	}
}

// nextSubmission plans the next job of a pool: all its demand comes in its turns but for a twentieth.
func (w *World) nextSubmission(pool int) {
	rate := w.options.JobsASecond
	if w.options.Turns {
		if int(w.now/turnSpan)%turnFactor == pool%turnFactor {
			rate *= turnFactor
		} else {
			rate *= troughShare
		}
	}
	span := min(croft.Millis(w.random.ExpFloat64()*float64(croft.Second)/rate), turnSpan/4)
	w.after(max(span, 1), func() {
		if w.now > w.options.Span {
			return
		}
		// A long gap is walked in pieces, so that a turn is not slept through.
		if span < turnSpan/4 {
			w.submit(pool, false)
		}
		w.nextSubmission(pool)
	})
}

// submit stores a job as an entry does, and tells the leader by its feed.
func (w *World) submit(pool int, endless bool) {
	id := croft.JobID(fmt.Sprintf("%016x", w.random.Uint64()))
	queue := w.config.Queues[pool*2]
	if endless {
		queue = w.config.Queues[pool*2+1]
	}
	t := &tracked{
		id: id, part: jobs.Part(queue.ID, id), posted: w.now, tasks: map[croft.TaskID]*taskLaw{},
		poison: !endless && w.options.Varied && w.chance(poisonShare),
		record: jobs.Record{
			Queue: queue.ID, Pool: queue.Pool, Priority: queue.Priority, MostAttempts: queue.MostAttempts,
			Stretch: queue.Stretch, Latency: queue.Latency, Accepted: epochWall + w.now,
		},
	}
	t.record.Spec = w.spec(endless)
	w.jobs[id] = t
	w.report.Jobs++
	w.storeJob(t)
	if !endless && w.options.Varied && w.chance(cancelShare) {
		w.after(w.between(100, 3000), func() { w.cancel(t) })
	}
}

// storeJob writes a job until the store takes it.
func (w *World) storeJob(t *tracked) {
	if w.now < w.storeDown {
		w.after(100, func() { w.storeJob(t) })
		return
	}
	version, err := w.commit([]croft.Op{
		{Kind: croft.OpPut, Key: jobs.Key(jobs.StateTable, t.part, t.id), Value: jobs.Encode(jobs.Progress{Status: jobs.Pending})},
		{Kind: croft.OpPut, Key: jobs.Key(jobs.JobTable, t.part, t.id), Version: croft.AnyVersion, Value: jobs.Encode(t.record)},
	})
	if err != nil {
		w.broken("STORE", "%v", err)
		return
	}
	t.stored = true
	row := sched.JobRow{ID: t.id, Part: t.part, Version: version, Record: t.record, Progress: jobs.Progress{Status: jobs.Pending}}
	w.later(w.between(5, 30), func() { w.tell(sched.JobsRead{Jobs: []sched.JobRow{row}}) })
}

// cancel ends a job as an entry does.
func (w *World) cancel(t *tracked) {
	key := jobs.Key(jobs.StateTable, t.part, t.id)
	row := w.store[key]
	progress, err := jobs.DecodeProgress(row.Value)
	if w.now < w.storeDown || err != nil || progress.Status.Final() {
		return
	}
	progress.Status = jobs.Canceled
	if _, err := w.commit([]croft.Op{
		{Kind: croft.OpPut, Key: key, Version: row.Version, Value: jobs.Encode(progress)},
		{Kind: croft.OpPut, Key: jobs.Key(jobs.CancelTable, t.part, t.id), Version: croft.AnyVersion},
	}); err != nil {
		return
	}
	t.cancelled = w.now
	w.report.Cancelled++
	w.later(w.between(5, 30), func() { w.tell(sched.JobsCancelled{IDs: []croft.JobID{t.id}}) })
}

func (w *World) sortedJobs() []*tracked {
	return slices.SortedFunc(maps.Values(w.jobs), func(a, b *tracked) int { return cmp.Compare(a.id, b.id) })
}

// spec draws a job.
func (w *World) spec(endless bool) croft.JobSpec {
	if endless {
		return croft.JobSpec{Payload: "endless", Steps: []croft.Step{{
			Count: 3 + w.random.IntN(3), Needs: croft.Resources{MilliCores: 1000 + w.random.Int64N(1500), MemoryMB: 2000},
			Endless: true, MayMiss: 1, MostPerWorker: 1, Estimate: 500,
		}}}
	}
	spec := croft.JobSpec{Payload: "batch"}
	for i := range 1 + w.random.IntN(3) {
		spec.Steps = append(spec.Steps, w.step(i))
	}
	if w.options.Varied && w.chance(0.05) {
		spec.Repeats, spec.First, spec.Interval = 2, epochWall+w.now+w.between(0, 2000), 1500
	}
	return spec
}

func (w *World) step(number int) croft.Step {
	s := croft.Step{
		Count:    1 + w.random.IntN(mostWidth),
		Needs:    croft.Resources{MilliCores: 300 + w.random.Int64N(3000), MemoryMB: 500 + w.random.Int64N(3000)},
		Estimate: w.between(200, 1500),
	}
	if number > 0 {
		s.After = []int{number - 1}
	}
	if !w.options.Varied {
		return s
	}
	switch w.random.IntN(8) {
	case 0:
		s.Gang, s.Count = true, 2+w.random.IntN(4)
	case 1:
		s.MostPerWorker = 1 + w.random.IntN(2)
		s.Count = min(s.Count, w.options.WorkersAPool/2)
	case 2:
		s.SameRack = true
	case 3:
		s.DataRack = w.vms[w.random.IntN(len(w.vms))].rack
	case 4:
		s.Requires = "a"
	case 5, 6:
		s.Duplicates = true
	}
	s.SavesProgress = w.chance(0.3)
	return s
}

// length returns how long a run works.
func (t *tracked) length(w *World, x *executor, s croft.Step) croft.Millis {
	span := s.Estimate * w.between(600, 1500) / 1000
	if s.DataRack != "" && s.DataRack != x.vm.rack {
		span *= 2
	}
	return max(span, 1)
}

// plan draws the troubles of a run.
func (w *World) plan() {
	span := w.options.Span
	for range 2 + w.random.IntN(3) {
		w.after(w.between(1000, span), w.killLeader)
	}
	for range 2 + w.random.IntN(4) {
		w.after(w.between(1000, span), w.crash)
		w.after(w.between(1000, span), w.darken)
	}
	w.after(w.between(1000, span), w.drain)
	w.after(w.between(1000, span), func() { w.storeDown = w.now + w.between(500, 5000) })
	w.after(w.between(1000, span), func() {
		w.losing = 0.3
		w.after(w.between(1000, 6000), func() { w.losing = 0 })
	})
	w.after(w.between(1000, span), func() {
		if x := w.anyExecutor(); x != nil {
			x.failing = 1
			w.after(w.between(1000, 6000), func() { x.failing = 0 })
		}
	})
}

// killLeader ends the leader, or has the store refuse it: it then gives orders beside its successor
// until its lease ends or it hears of the other.
func (w *World) killLeader() {
	l := w.lead
	if l == nil || !l.alive || l.cut {
		return
	}
	renewed := w.now - w.between(0, renewSpan)
	if w.chance(0.5) {
		l.alive = false
	} else {
		l.cut = true
		w.after(renewed+plannerValid-w.now, func() { l.alive = false })
	}
	w.takeOver(renewed+plannerStill-w.now+w.between(0, 800), renewed)
}

func (w *World) anyExecutor() *executor {
	var up []*executor
	for _, v := range w.vms {
		if v.worker != nil {
			up = append(up, v.worker)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.random.IntN(len(up))]
}

// crash ends an executor; its VM is back seconds later.
func (w *World) crash() {
	x := w.anyExecutor()
	if x == nil {
		return
	}
	v := x.vm
	v.state = croft.FleetDown
	w.end(x)
	w.after(w.between(1000, 6000), func() {
		if v.state == croft.FleetDown {
			w.boot(v)
		}
	})
}

// darken cuts an executor off for a while; it runs on.
func (w *World) darken() {
	if x := w.anyExecutor(); x != nil {
		x.dark = w.now + w.between(500, 14000)
	}
}

// drain lets an executor leave.
func (w *World) drain() {
	x := w.anyExecutor()
	if x == nil {
		return
	}
	x.draining = true
	w.later(registerSpan, func() { w.tell(registered(w.registration(x))) })
	w.after(w.between(2000, 5000), func() {
		if x.vm.worker == x {
			x.vm.state = croft.FleetDown
			w.end(x)
		}
	})
}

// askWave asks for the maintenance of half of the VMs, a sixth of them at once.
func (w *World) askWave() {
	w.wave = croft.Wave{Number: 1, Duration: 25 * croft.Second, MaxUnavailable: max(len(w.vms)/6, 1)}
	for i, v := range w.vms {
		if i%2 == 0 {
			w.wave.VMs = append(w.wave.VMs, v.id)
		}
	}
	w.tell(sched.WavesRead{Waves: []croft.Wave{w.wave}})
}
