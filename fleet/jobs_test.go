package fleet

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"waxwing.example/croft"
	"waxwing.example/croft/place"
)

// jobsConfig returns smallConfig with two services in pool a, one of which belongs to a team with a quota.
func jobsConfig() croft.Config {
	c := smallConfig()
	c.Pools[0].Size = 8
	c.Teams = []croft.Team{{ID: "bounded", Quota: croft.Resources{MilliCores: 40_000}}, {ID: "free"}}
	c.Services = []croft.Service{{ID: "night", Team: "bounded", Pool: "a"}, {ID: "day", Team: "free", Pool: "a"}}
	return c
}

// cores returns the resources of n cores with 1000 MB of memory per core.
func cores(n int64) croft.Resources { return croft.Resources{MilliCores: n * 1000, MemoryMB: n * 1000} }

// submitJobs submits jobs that can succeed, jobs that fail on every VM and jobs that are too large for any VM.
func (w *world) submitJobs(n *simEntry) (good, bad, huge []croft.JobID) {
	for i := range 40 {
		j := croft.Job{ID: croft.JobID(fmt.Sprintf("good%02d", i)), Service: "day", Urgency: i % 3, Declared: cores(1 + int64(w.rnd.IntN(4)))}
		if i%2 == 0 {
			j.Service = "night"
		}
		runTime := croft.Millis(1000 + w.rnd.IntN(200_000))
		good = append(good, w.submit(n, j, runTime, 25+int64(w.rnd.IntN(275))))
	}
	for i := range 2 {
		j := croft.Job{ID: croft.JobID(fmt.Sprintf("bad%d", i)), Service: "day", Declared: cores(1)}
		bad = append(bad, w.submit(n, j, croft.Minute, 100))
		w.workers.badJobs[j.ID] = true
		j = croft.Job{ID: croft.JobID(fmt.Sprintf("huge%d", i)), Service: "day", Declared: cores(17)}
		huge = append(huge, w.submit(n, j, croft.Minute, 100))
	}
	return good, bad, huge
}

// allEnded reports whether all jobs have reached a final status.
func (w *world) allEnded(all ...[]croft.JobID) bool {
	for _, ids := range all {
		for _, id := range ids {
			switch w.job(id).Status {
			case croft.JobDone, croft.JobRefused, croft.JobStopped, croft.JobCancelled:
			default:
				return false
			}
		}
	}
	return true
}

// jobScenario is a simulation after runJobsWithFaults, with the IDs of the jobs that submitJobs returned.
type jobScenario struct {
	*world
	good, bad, huge []croft.JobID
}

// runJobsWithFaults runs the jobs of submitJobs under random faults. If calm is set, there are no stale reads and no
// calls of injectDisturbance, whose disturbances lead to takeovers.
func runJobsWithFaults(t *rapid.T, calm bool) jobScenario {
	f := drawFaultRates(t)
	if calm {
		f.staleRead = 0
	}
	w := newWorld(rapid.Uint64().Draw(t, "seed"), jobsConfig(), makeVMs(14, 7), 3, DefaultOptions())
	w.startWorkers()
	w.run(40 * croft.Second)
	for _, id := range w.vmIDs {
		if _, ok := w.members["a"][id]; ok && len(w.workers.badWorkers) < 2 {
			w.workers.badWorkers[id] = true
		}
	}
	c := jobScenario{world: w}
	c.good, c.bad, c.huge = w.submitJobs(w.entries[0])
	w.run(2 * croft.Second)
	w.faultRates = f
	for range 10 {
		w.run(croft.Millis(w.rnd.IntN(20_000)))
		if !calm {
			w.injectDisturbance(DefaultOptions())
		}
	}
	w.run(croft.Minute)
	return c
}

// A team's jobs must never use more than its quota, even after takeovers and stale reads.
func TestQuotaHoldsOverTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if w := runJobsWithFaults(t, false); len(w.workers.quotaViolations) > 0 {
			t.Errorf("quota: %v", w.workers.quotaViolations)
		}
	})
}

// Under takeovers, lost answers and stale reads a job must not run on two VMs at once, and each job must reach the final
// status that fits it: good ones Done, too large ones Refused, and ones that fail everywhere Stopped.
func TestJobsRunOnceAtATimeAndAllEnd(t *testing.T) {
	resumed := 0
	checks := flag.Lookup("rapid.checks").Value.String()
	assert.NilError(t, flag.Set("rapid.checks", "60"))
	defer func() { assert.NilError(t, flag.Set("rapid.checks", checks)) }()
	rapid.Check(t, func(t *rapid.T) {
		calm := rapid.Bool().Draw(t, "calm")
		w := runJobsWithFaults(t, calm)
		good, bad, huge := w.good, w.bad, w.huge
		w.faultRates = faultRates{}
		for _, v := range w.vmIDs {
			w.repair(v)
		}
		for range 80 {
			w.run(30 * croft.Second)
			if w.allEnded(good, bad, huge) && w.noMovesPending() {
				break
			}
		}
		for _, violation := range w.violations {
			t.Error(violation)
		}
		if len(w.workers.quotaViolations) > 0 {
			t.Errorf("quota: %v", w.workers.quotaViolations)
		}
		w.expectJobs(t, good, croft.JobDone, 0)
		w.expectJobs(t, huge, croft.JobRefused, 0)
		w.expectJobs(t, bad, croft.JobStopped, place.FailuresToStop)
		for _, id := range huge {
			if j := w.job(id); !strings.Contains(j.Reason, "could hold 17000 milli-cores") {
				t.Errorf("%s: %s", id, j.Reason)
			}
		}
		resumed += w.workers.resumedRuns
	})
	t.Logf("%d runs resumed from a checkpoint", resumed)
	assert.Assert(t, resumed > 0)
}

// expectJobs checks the status of jobs and, unless failures is zero, the number of workers on which each failed.
func (w *world) expectJobs(t *rapid.T, ids []croft.JobID, status croft.JobStatus, failures int) {
	for _, id := range ids {
		j := w.job(id)
		if j.Status != status || (failures > 0 && len(j.FailedOn) != failures) {
			t.Errorf("%s should be %s: %+v", id, status, j)
		}
	}
}

// An urgent job submitted at any entry must start within 1.1 s although 3000 less urgent jobs wait for their team's
// quota. Cancelling those must take about one transaction for every 25 jobs.
func TestUrgentJobStartsWhileThousandsWaitAndAreCancelledInBatches(t *testing.T) {
	w := newWorld(3, jobsConfig(), makeVMs(14, 7), 3, DefaultOptions())
	w.tickInterval = 100
	w.startWorkers()
	w.run(40 * croft.Second)
	var ids []croft.JobID
	for i := range 3000 {
		j := croft.Job{ID: croft.JobID(fmt.Sprintf("low%04d", i)), Service: "night", Urgency: 5, Declared: cores(8)}
		ids = append(ids, w.submit(w.entries[i%3], j, croft.Hour, 100))
	}
	w.submit(w.entries[0], croft.Job{ID: "beyond", Service: "night", Declared: cores(41)}, croft.Hour, 100)
	w.run(20 * croft.Second)
	assert.Equal(t, w.job("beyond").Reason, "larger than the quota of team bounded")
	assert.Equal(t, w.countRunning(ids), 5, "a quota of 40 cores allows five jobs of 8")
	for i, n := range w.entries {
		submitted := w.now
		id := w.submit(n, croft.Job{ID: croft.JobID(fmt.Sprintf("urgent%d", i)), Service: "day", Declared: cores(2)}, croft.Hour, 100)
		w.run(5 * croft.Second)
		assert.Equal(t, len(w.workers.starts[id]), 1)
		assert.Assert(t, w.workers.starts[id][0]-submitted <= 1100, "%s started after %d ms", id, w.workers.starts[id][0]-submitted)
	}
	firstVersion := w.version
	w.sendCommand(w.entries[1], croft.CancelJobs{IDs: ids})
	w.run(15 * croft.Second)
	commits := w.version - firstVersion
	for _, id := range ids {
		assert.Equal(t, w.job(id).Status, croft.JobCancelled)
	}
	t.Logf("%d jobs cancelled; %d transactions in that time, renewals included", len(ids), commits)
	assert.Assert(t, commits <= 3000/25+25)
	w.run(2 * croft.Minute)
	assert.Equal(t, w.countRunning(ids), 0)
	assert.DeepEqual(t, w.violations, []string(nil))
	assert.DeepEqual(t, w.workers.quotaViolations, []string(nil))
}

// countRunning returns how many of the jobs are running now.
func (w *world) countRunning(ids []croft.JobID) int {
	n := 0
	for _, id := range ids {
		for _, v := range w.vmIDs {
			if r := w.workers.runs[v][id]; r != nil && r.state(w.now) == croft.TaskRunning {
				n++
			}
		}
	}
	return n
}

// Four VMs fail every task. There must be four quarantines, and all jobs must succeed on the other VMs.
func TestWorkersThatFailAllAreQuarantined(t *testing.T) {
	w := newWorld(5, jobsConfig(), makeVMs(14, 7), 1, DefaultOptions())
	w.startWorkers()
	w.run(40 * croft.Second)
	for _, id := range w.vmIDs {
		if _, ok := w.members["a"][id]; ok && len(w.workers.badWorkers) < 4 {
			w.workers.badWorkers[id] = true
		}
	}
	var ids []croft.JobID
	for i := range 60 {
		j := croft.Job{ID: croft.JobID(fmt.Sprintf("job%02d", i)), Service: "day", Declared: cores(4)}
		ids = append(ids, w.submit(w.entries[0], j, 30*croft.Second, 100))
	}
	w.run(20 * croft.Minute)
	for _, id := range ids {
		assert.Equal(t, w.job(id).Status, croft.JobDone, "%+v", w.job(id))
	}
	t.Logf("decisions %v", w.decisions)
	assert.Equal(t, w.decisions["Quarantine"], 4)
}
