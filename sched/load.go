package sched

import (
	"fmt"

	"waxwing.example/croft"
)

// loadSpan is how often the load of the queues is told; entries take it for old after 2 s.
const loadSpan = 500 * croft.Millis(1)

// tellLoads tells what each queue has and whether a new job of it could still be of use.
func (p *Planner) tellLoads() {
	if p.now.Elapsed < p.nextLoads || !p.read {
		return
	}
	p.nextLoads = p.now.Elapsed + loadSpan
	loads := map[croft.QueueID]Load{}
	refuse := false
	for _, po := range p.pools {
		wait := p.waitOf(po)
		for _, j := range po.jobs {
			load := loads[j.record.Queue]
			if !j.began {
				load.Waiting++
				load.Oldest = max(load.Oldest, p.now.Elapsed-j.came)
			}
			// What a new job would have to wait is compared with the objectives of those that wait.
			useful := uselessAfter * (j.due - j.came)
			if wait > useful && !j.endless() {
				load.Refuse = true
				load.Wait = max(load.Wait, wait-useful)
				refuse = true
			}
			loads[j.record.Queue] = load
		}
	}
	p.do(Publish{Loads: loads, Shared: refuse || p.refusing})
	p.logPools()
	if refuse != p.refusing {
		p.log("Load", "queues", fmt.Sprintf("refusing %v", refuse), "the work of a pool takes longer than its jobs are of use")
	}
	p.refusing = refuse
}

// logPools writes a line a second on each pool whose figures have changed.
func (p *Planner) logPools() {
	if p.now.Elapsed < p.nextPools {
		return
	}
	p.nextPools = p.now.Elapsed + croft.Second
	for _, po := range p.poolOrder {
		var used, room int64
		working := 0
		for _, w := range po.order {
			if p.usable(w) {
				used += w.used.MilliCores
				room += w.Room.MilliCores
				working++
			}
		}
		waiting := 0
		for _, j := range po.jobs {
			if !j.began {
				waiting++
			}
		}
		line := fmt.Sprintf("%d jobs, %d not begun, needs %d VMs, has %d, %d usable, %d of %d cores in use",
			len(po.jobs), waiting, po.demand.now, p.have(po), working, used/1000, room/1000)
		if line != po.said {
			po.said = line
			p.log("Pool", string(po.id), "", line)
		}
	}
}

// waitOf returns how long the work that goes before a new job takes at least: that of jobs which can
// still be on time, if all VMs of the fleet came to the pool's help. Whatever takes less may yet be
// served in time, and its callers are better off waiting.
func (p *Planner) waitOf(po *pool) croft.Millis {
	var work, room int64
	for _, vm := range p.fleet.vms {
		room += vm.Room.MilliCores
	}
	for _, j := range po.jobs {
		if p.now.Elapsed > j.due || j.endless() {
			continue
		}
		for _, s := range j.stages {
			work += s.needs().MilliCores * int64(s.left) * int64(p.duration(s))
		}
	}
	if room == 0 {
		return 0
	}
	return croft.Millis(work / room)
}
