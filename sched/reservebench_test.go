package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"waxwing.example/croft"
)

// fullPool returns a planner with 350 executors that have runs everywhere, and 30,000 waiting tasks of 1.5 to 13 cores; a gang of 32
// tasks of 13 cores is the first of the stages.
func fullPool(b *testing.B, reservations bool) (*Planner, *pool, *stage) {
	b.Helper()
	const workers = 350
	bench := &testBench{now: 1000, born: map[int]int64{}, planner: New(Options{Holder: "entry-1", Lease: 10 * croft.Second, Stop: 200, Maintain: 2000, Reservations: reservationMode(reservations)})}
	bench.takeLeadership(1, workers)
	for _, s := range effectsOf[Start](bench.event(JobsRead{Jobs: []JobRow{testJob("running", step(workers*16, 4))}})) {
		bench.event(Started{Start: s, Clock: bench.now})
	}
	rows := []JobRow{testJob("gang", gang(32, 13))}
	for i := range 3750 {
		s := step(8, 0)
		s.Needs.MilliCores, s.Estimate = int64(1500+i*37%11500), croft.Millis(600+i*13%1100)
		rows = append(rows, testJob(croft.JobID(fmt.Sprintf("j%d", i)), s))
	}
	p := bench.planner
	bench.event(JobsRead{Jobs: rows})
	return p, p.pools[testPool], p.jobs["gang"].stages[0]
}

// BenchmarkPlacement reports the median time of a placement pass over a pool that is full: without reservations, with reservations that are
// switched on and not needed, with one that keeps free capacity of its executors, and with one that is planned in each pass, which
// planInterval prevents. The passes take turns, so that other load of the machine affects all of them alike.
func BenchmarkPlacement(b *testing.B) {
	names := []string{"baseline", "unused", "held", "planned"}
	times := map[string][]time.Duration{}
	passes := map[string]func(){}
	for _, name := range names {
		p, po, gang := fullPool(b, name != "baseline")
		if name == "held" {
			p.beginBackfill(po)
			p.reserveFor(po, gang)
			for _, id := range po.backfill.reservation.Executors() {
				p.removeRun(sortedRuns(p.workers[id])[0])
			}
		}
		passes[name] = func() {
			if name != "held" {
				po.backfill.reservation, po.backfill.nextPlan, gang.heldBack = nil, 0, heldBack{}
			}
			if name == "planned" {
				gang.heldBack = heldBack{since: p.now.Elapsed - reserveAfter, passes: reservePasses}
			}
			p.effects = nil
			p.placePool(po)
			if (po.backfill.reservation != nil) != (name == "held" || name == "planned") || len(effectsOf[Start](p.effects)) > 0 {
				b.Fatalf("%s: reservation %v, %d effects", name, po.backfill.reservation, len(p.effects))
			}
		}
	}
	b.ResetTimer()
	for range b.N {
		for _, name := range names {
			begin := time.Now()
			passes[name]()
			times[name] = append(times[name], time.Since(begin))
		}
	}
	for _, name := range names {
		slices.Sort(times[name])
		b.ReportMetric(float64(times[name][len(times[name])/2].Microseconds()), "µs/"+name)
	}
}
