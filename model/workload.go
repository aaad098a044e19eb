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

// trackedJob is a job as its caller and the executors see it, independent of the planner's state.
type trackedJob struct {
	id croft.JobID
	// part is the part of the store that holds the job's rows.
	part        string
	record      jobs.Record
	submittedAt croft.Millis
	// stored reports that the job's rows were committed, which accepts the job.
	stored bool
	// cancelledAt is when the caller was informed of the job's cancellation, zero for never.
	cancelledAt croft.Millis
	// alwaysFails makes every run of the job fail.
	alwaysFails bool
	// deadly makes the job's first task crash each executor that starts it.
	deadly     bool
	status     jobs.Status
	firstStart croft.Millis
	tasks      map[croft.TaskID]*taskHistory
}

// Shape of the load: that of the platform's specification, slightly smaller.
const (
	peakDuration = 4500 * croft.Millis(1)
	// peakFactor is the rate at a peak in relation to the mean, and the number of periods of peakDuration in a cycle.
	peakFactor = 4
	// offPeakShare is the share of a pool's mean rate outside its peak.
	offPeakShare       = 0.05
	failingJobShare    = 0.02
	deadlyJobShare     = 0.05
	cancelledJobShare  = 0.05
	maxStepTasks       = 12
	largeStepShare     = 0.15
	scheduleShare      = 0.05
	endlessJobsPerPool = 2
)

// scheduleSubmissions schedules the endless jobs of each pool and the first of its other jobs.
func (w *World) scheduleSubmissions() {
	for i := range w.options.Pools {
		for range endlessJobsPerPool {
			w.schedule(w.between(100, 1000), func() { w.submit(i, true) })
		}
		w.scheduleNextSubmission(i)
	}
}

// scheduleNextSubmission schedules the next job of a pool. With Options.Peaks the pool's rate is peakFactor times its mean
// in one of every peakFactor periods, a different one for each of peakFactor pools, and offPeakShare of its mean in the
// others.
func (w *World) scheduleNextSubmission(pool int) {
	rate := w.options.JobsPerSecond
	if w.options.Peaks {
		if int(w.now/peakDuration)%peakFactor == pool%peakFactor {
			rate *= peakFactor
		} else {
			rate *= offPeakShare
		}
	}
	gap := min(croft.Millis(w.rng.ExpFloat64()*float64(croft.Second)/rate), peakDuration/4)
	w.schedule(max(gap, 1), func() {
		if w.now > w.options.LoadDuration {
			return
		}
		// A gap that was cut to its maximum ends without a submission, and the next gap is drawn with the rate at that
		// time, so that no peak is skipped.
		if gap < peakDuration/4 {
			w.submit(pool, false)
		}
		w.scheduleNextSubmission(pool)
	})
}

// submit creates a job and stores it, as an entry does for a caller.
func (w *World) submit(pool int, endless bool) {
	id := croft.JobID(fmt.Sprintf("%016x", w.rng.Uint64()))
	queue := w.config.Queues[pool*2]
	if endless {
		queue = w.config.Queues[pool*2+1]
	}
	t := &trackedJob{
		id: id, part: jobs.Part(queue.ID, id), submittedAt: w.now, tasks: map[croft.TaskID]*taskHistory{},
		alwaysFails: !endless && w.options.Varied && w.chance(failingJobShare),
		record: jobs.Record{
			Queue: queue.ID, Pool: queue.Pool, Priority: queue.Priority, MostAttempts: queue.MostAttempts,
			Stretch: queue.Stretch, Latency: queue.Latency, Accepted: startWallTime + w.now, Organisation: w.drawOrganisation(pool, endless),
		},
	}
	t.record.Spec = w.randomSpec(endless)
	t.deadly = !endless && w.options.DeadlyJobs && w.chance(deadlyJobShare)
	w.jobs[id] = t
	w.report.Jobs++
	w.storeJob(t)
	if !endless && w.options.Varied && w.chance(cancelledJobShare) {
		w.schedule(w.between(100, 3000), func() { w.cancelJob(t) })
	}
}

// storeJob writes a job's rows, retrying while the store is down, and notifies the leader.
func (w *World) storeJob(t *trackedJob) {
	if w.now < w.storeDownUntil {
		w.schedule(100, func() { w.storeJob(t) })
		return
	}
	progress := jobs.Progress{Status: jobs.Pending, Organisation: t.record.Organisation}
	version, err := w.commit([]croft.Op{
		{Kind: croft.OpPut, Key: jobs.Key(jobs.StateTable, t.part, t.id), Value: jobs.EncodeProgress(progress)},
		{Kind: croft.OpPut, Key: jobs.Key(jobs.JobTable, t.part, t.id), Version: croft.AnyVersion, Value: jobs.EncodeRecord(t.record)},
	})
	if err != nil {
		w.violation("STORE", "%v", err)
		return
	}
	t.stored = true
	row := sched.JobRow{ID: t.id, Part: t.part, Version: version, Record: t.record, Progress: progress}
	w.scheduleForLeader(w.between(5, 30), func() { w.deliver(sched.JobsRead{Jobs: []sched.JobRow{row}}) })
}

// cancelJob cancels a job as an entry does for a caller, and notifies the leader.
func (w *World) cancelJob(t *trackedJob) {
	key := jobs.Key(jobs.StateTable, t.part, t.id)
	row := w.store[key]
	progress, err := jobs.DecodeProgress(row.Value)
	if w.now < w.storeDownUntil || err != nil || progress.Status.Final() {
		return
	}
	progress.Status = jobs.Canceled
	if _, err := w.commit([]croft.Op{
		{Kind: croft.OpPut, Key: key, Version: row.Version, Value: jobs.EncodeProgress(progress)},
		{Kind: croft.OpPut, Key: jobs.Key(jobs.CancelTable, t.part, t.id), Version: croft.AnyVersion},
	}); err != nil {
		return
	}
	t.cancelledAt = w.now
	w.report.Cancelled++
	w.scheduleForLeader(w.between(5, 30), func() { w.deliver(sched.JobsCancelled{IDs: []croft.JobID{t.id}}) })
}

func (w *World) sortedJobs() []*trackedJob {
	return slices.SortedFunc(maps.Values(w.jobs), func(a, b *trackedJob) int { return cmp.Compare(a.id, b.id) })
}

// randomSpec draws the specification of a job.
func (w *World) randomSpec(endless bool) croft.JobSpec {
	if endless {
		return croft.JobSpec{Payload: "endless", Steps: []croft.Step{{
			Count: 3 + w.rng.IntN(3), Needs: croft.Resources{MilliCores: 1000 + w.rng.Int64N(1500), MemoryMB: 2000},
			Endless: true, MayMiss: 1, MostPerWorker: 1, Estimate: 500,
		}}}
	}
	spec := croft.JobSpec{Payload: "batch"}
	for i := range 1 + w.rng.IntN(3) {
		spec.Steps = append(spec.Steps, w.randomStep(i))
	}
	if w.options.Varied && w.chance(0.05) {
		spec.Repeats, spec.First, spec.Interval = 2, startWallTime+w.now+w.between(0, 2000), 1500
	}
	if w.options.Schedules && w.chance(scheduleShare) {
		spec.Repeats, spec.Interval = 100+w.rng.IntN(400), w.between(5, 40)
		spec.First = startWallTime + w.now - spec.Interval*croft.Millis(w.rng.IntN(spec.Repeats))
		spec.Steps = spec.Steps[:1]
		spec.Steps[0].Count = 1 + w.rng.IntN(2)
		spec.Steps[0].Needs, spec.Steps[0].Gang = croft.Resources{MilliCores: 200, MemoryMB: 200}, false
	}
	return spec
}

// randomStep draws a step; steps after the first depend on the one before.
func (w *World) randomStep(number int) croft.Step {
	s := croft.Step{
		Count:    1 + w.rng.IntN(maxStepTasks),
		Needs:    croft.Resources{MilliCores: 300 + w.rng.Int64N(3000), MemoryMB: 500 + w.rng.Int64N(3000)},
		Estimate: w.between(200, 1500),
	}
	if w.options.SameIDs && number == 0 && w.chance(longStepShare) {
		s.Estimate *= longStepFactor
	}
	if number > 0 {
		s.After = []int{number - 1}
	}
	if w.options.LargeTasks && w.chance(largeStepShare) {
		// Gangs of more such tasks may wait for ever, with and without reservations: the sizes of the pools follow the sum of the
		// needs, also if only one task fits on an executor.
		s.Count, s.Gang = 1+w.rng.IntN(2), w.chance(0.5)
		s.Needs.MilliCores = executorMilliCores/3 + w.rng.Int64N(executorMilliCores/4)
		return s
	}
	if w.options.Varied {
		w.vary(&s)
	}
	return s
}

// vary draws the constraints of a step.
func (w *World) vary(s *croft.Step) {
	switch w.rng.IntN(8) {
	case 0:
		s.Gang, s.Count = true, 2+w.rng.IntN(4)
	case 1:
		s.MostPerWorker = 1 + w.rng.IntN(2)
		s.Count = min(s.Count, w.options.WorkersPerPool/2)
	case 2:
		s.SameRack = true
	case 3:
		s.DataRack = w.vms[w.rng.IntN(len(w.vms))].rack
	case 4:
		s.Requires = "a"
	case 5, 6:
		s.Duplicates = true
	}
	s.SavesProgress = w.chance(0.3)
	s.Filler = w.options.Caps && !s.Gang && w.chance(fillerShare)
}

// runDuration draws how long a run of a step works; it is doubled outside the rack that holds the step's data.
func (t *trackedJob) runDuration(w *World, x *executor, s croft.Step) croft.Millis {
	duration := s.Estimate * w.between(600, 1500) / 1000
	if s.DataRack != "" && s.DataRack != x.vm.rack {
		duration *= 2
	}
	return max(duration, 1)
}

// scheduleFaults draws the faults of a simulation and when they happen.
func (w *World) scheduleFaults() {
	duration := w.options.LoadDuration
	for range 2 + w.rng.IntN(3) {
		w.schedule(w.between(1000, duration), w.failLeader)
	}
	for range 2 + w.rng.IntN(4) {
		w.schedule(w.between(1000, duration), w.crashRandomExecutor)
		w.schedule(w.between(1000, duration), w.partitionExecutor)
	}
	w.schedule(w.between(1000, duration), w.drainExecutor)
	w.schedule(w.between(1000, duration), func() { w.storeDownUntil = w.now + w.between(500, 5000) })
	w.schedule(w.between(1000, duration), func() {
		w.answerLossRate = 0.3
		w.schedule(w.between(1000, 6000), func() { w.answerLossRate = 0 })
	})
	w.schedule(w.between(1000, duration), func() {
		if x := w.randomExecutor(); x != nil {
			x.failureRate = 1
			w.schedule(w.between(1000, 6000), func() { x.failureRate = 0 })
		}
	})
}

// failLeader either ends the leader or makes the store reject its commits, and schedules the takeover. In the second case
// the leader still gives orders beside its successor until its own validity ends or its planner steps down.
func (w *World) failLeader() {
	l := w.leader
	if l == nil || !l.alive || l.storeUnreachable {
		return
	}
	lastRenewal := w.now - w.between(0, renewInterval)
	l.doubtFrom = lastRenewal + doubtTimeout
	if w.options.ZoneCuts {
		w.cutRack(l)
	}
	if !w.options.ZoneCuts && w.chance(0.5) {
		l.alive = false
	} else {
		l.storeUnreachable = true
		w.schedule(lastRenewal+leaderValidity-w.now, func() { l.alive = false })
	}
	w.scheduleTakeover(lastRenewal+takeoverTimeout-w.now+w.between(0, 800), lastRenewal)
}

// cutRack cuts the executors of a random rack off from all but one leader, and from the registry, for some seconds.
func (w *World) cutRack(l *leader) {
	seen := w.randomExecutor()
	if seen == nil {
		return
	}
	end := w.now + w.between(3000, 18000)
	l.cutUntil, l.listsVMs = end, w.chance(0.5)
	for _, v := range w.vms {
		x := v.executor
		if x == nil || v.rack != seen.vm.rack {
			continue
		}
		x.cutWith, x.cutUntil = l, end
		w.schedule(unregistrationDelay, func() {
			if !x.dead && w.now < x.cutUntil {
				w.unregister(x)
			}
		})
		w.schedule(end+registrationDelay-w.now, func() {
			if !x.dead {
				w.register(x)
			}
		})
	}
}

func (w *World) randomExecutor() *executor {
	var up []*executor
	for _, v := range w.vms {
		if v.executor != nil {
			up = append(up, v.executor)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

// crashRandomExecutor crashes a random executor.
func (w *World) crashRandomExecutor() {
	if x := w.randomExecutor(); x != nil {
		w.crash(x)
	}
}

// crash ends an executor and boots its VM again seconds later.
func (w *World) crash(x *executor) {
	if w.options.SameIDs {
		w.crashAndReturn(x, w.between(minDowntime, maxDowntime))
		return
	}
	v := x.vm
	v.state = croft.FleetDown
	w.terminate(x)
	w.schedule(w.between(1000, 6000), func() {
		if v.state == croft.FleetDown && !v.left {
			w.bootExecutor(v)
		}
	})
}

// partitionExecutor makes a random executor unreachable for some time while its runs go on.
func (w *World) partitionExecutor() {
	if x := w.randomExecutor(); x != nil {
		x.unreachableUntil = w.now + w.between(500, 14000)
	}
}

// drainExecutor registers a random executor as draining and ends it, with its VM, seconds later.
func (w *World) drainExecutor() {
	x := w.randomExecutor()
	if x == nil {
		return
	}
	x.draining = true
	w.scheduleRegistration(x, registrationDelay)
	w.schedule(w.between(2000, 5000), func() {
		if x.vm.executor == x {
			x.vm.state = croft.FleetDown
			w.terminate(x)
		}
	})
}
