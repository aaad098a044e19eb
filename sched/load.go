package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// loadInterval is the interval between publications of the loads; entries ignore loads older than 2 s.
const loadInterval = 500 * croft.Millis(1)

// publishLoads publishes the load of each queue, and whether a new job in it could still end in time to be of use.
func (p *Planner) publishLoads() {
	if p.now.Elapsed < p.nextLoads || !p.jobsLoaded {
		return
	}
	p.nextLoads = p.now.Elapsed + loadInterval
	loads := map[croft.QueueID]Load{}
	refuse := false
	for _, po := range p.pools {
		wait := p.estimateWait(po)
		for _, j := range po.jobs {
			load := loads[j.record.Queue]
			if !j.began {
				load.Waiting++
				load.Oldest = max(load.Oldest, p.now.Elapsed-j.receivedAt)
			}
			// The objective of a new job is not known; it is assumed to be that of a job in the queue.
			usefulFor := usefulFactor * (j.deadline - j.receivedAt)
			if wait > usefulFor && !j.endless() && !p.hasOrganisations() {
				load.Refuse = true
				load.Wait = max(load.Wait, wait-usefulFor)
				refuse = true
			}
			loads[j.record.Queue] = load
		}
	}
	if p.limitRecords(loads) {
		refuse = true
	}
	limited := p.sharing.limiting
	organisations := p.addShares(loads)
	// The first loads replace those of a former leader, which may have limited jobs.
	shared := !p.loadsPublished || refuse || p.refusing || limited || p.sharing.limiting
	p.loadsPublished = true
	p.emit(PublishLoads{Loads: loads, Organisations: organisations, Uses: p.ledger.Uses(), ParkedJobs: p.open.parkedJobs(), OpenTasks: p.open.total(), RecordBytes: p.open.recordBytes, Shared: shared})
	p.logPools()
	if refuse != p.refusing {
		p.log("Load", "queues", fmt.Sprintf("refusing %v", refuse), "queues refuse jobs while the backlog of their pool takes longer than the jobs are of use, or its records take too much memory")
	}
	p.refusing = refuse
}

// logPools logs a summary of each pool that has changed, at most once a second.
func (p *Planner) logPools() {
	if p.now.Elapsed < p.nextPoolLog {
		return
	}
	p.nextPoolLog = p.now.Elapsed + croft.Second
	for _, po := range p.sortedPools {
		var used, capacity int64
		schedulable := 0
		for _, w := range po.workers {
			if p.schedulable(w) {
				used += w.used.MilliCores
				capacity += w.Room.MilliCores
				schedulable++
			}
		}
		waiting := 0
		for _, j := range po.jobs {
			if !j.began {
				waiting++
			}
		}
		line := fmt.Sprintf("%d jobs, %d not begun, needs %d VMs, has %d, %d schedulable, %d of %d cores in use",
			len(po.jobs), waiting, po.demand.Current, p.availableVMs(po), schedulable, used/1000, capacity/1000)
		if line != po.lastSummary {
			po.lastSummary = line
			p.log("Pool", string(po.id), "", line)
		}
	}
}

// estimateWait returns the minimum time until the work ahead of a new job is done. It counts the jobs that are not late
// yet, and the capacity of the whole fleet, since all VMs might be moved to the pool. A job is refused only if even this
// minimum is too long: while its result may still be of use, its caller is better off waiting than refused.
func (p *Planner) estimateWait(po *pool) croft.Millis {
	var work, capacity int64
	for _, vm := range p.fleet.vms {
		capacity += vm.Room.MilliCores
	}
	for _, j := range po.jobs {
		if p.now.Elapsed > j.deadline || j.endless() {
			continue
		}
		work += j.parkedWork().MilliCores
		for _, s := range j.stages {
			work += s.needs().MilliCores * int64(s.remainingTasks) * int64(p.expectedDuration(s))
		}
	}
	if capacity == 0 {
		return 0
	}
	return croft.Millis(work / capacity)
}
