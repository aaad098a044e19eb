package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// loadInterval is how often the load of the queues is told; entries take it for old after 2 s.
const loadInterval = 500 * croft.Millis(1)

// publishLoads tells what each queue has and whether a new job of it could still be of use.
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
			// What a new job would have to wait is compared with the objectives of those that wait.
			usefulFor := usefulFactor * (j.deadline - j.receivedAt)
			if wait > usefulFor && !j.endless() {
				load.Refuse = true
				load.Wait = max(load.Wait, wait-usefulFor)
				refuse = true
			}
			loads[j.record.Queue] = load
		}
	}
	p.emit(Publish{Loads: loads, Shared: refuse || p.refusing})
	p.logPools()
	if refuse != p.refusing {
		p.log("Load", "queues", fmt.Sprintf("refusing %v", refuse), "the work of a pool takes longer than its jobs are of use")
	}
	p.refusing = refuse
}

// logPools writes a line a second on each pool whose figures have changed.
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
		line := fmt.Sprintf("%d jobs, %d not begun, needs %d VMs, has %d, %d usable, %d of %d cores in use",
			len(po.jobs), waiting, po.demand.current, p.availableVMs(po), schedulable, used/1000, capacity/1000)
		if line != po.lastSummary {
			po.lastSummary = line
			p.log("Pool", string(po.id), "", line)
		}
	}
}

// estimateWait returns how long the work that goes before a new job takes at least: that of jobs which can
// still be on time, if all VMs of the fleet came to the pool's help. Whatever takes less may yet be
// served in time, and its callers are better off waiting.
func (p *Planner) estimateWait(po *pool) croft.Millis {
	var work, capacity int64
	for _, vm := range p.fleet.vms {
		capacity += vm.Room.MilliCores
	}
	for _, j := range po.jobs {
		if p.now.Elapsed > j.deadline || j.endless() {
			continue
		}
		for _, s := range j.stages {
			work += s.needs().MilliCores * int64(s.remainingTasks) * int64(p.expectedDuration(s))
		}
	}
	if capacity == 0 {
		return 0
	}
	return croft.Millis(work / capacity)
}
