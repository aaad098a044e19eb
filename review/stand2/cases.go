//go:build review2

package main

import (
	"bytes"
	"fmt"
	"strings"
	"time"
)

// startAll starts the platform, some executors and the entry; the machine of the first executor is behind a proxy if p is not nil.
func startAll(s *site, executors int, cpu int64, p *proxy) ([]*machine, error) {
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	var machines []*machine
	for n := range executors {
		m := s.newMachine(n, cpu)
		if n == 0 && p != nil {
			m.listen = freeAddress()
			p.target = m.listen
			if err := p.serve(m.address); err != nil {
				return nil, err
			}
		}
		if err := m.start(0); err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	s.publishVMs()
	time.Sleep(500 * time.Millisecond)
	if err := s.startEntry(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return machines, nil
}

// interval is the time of a run.
type interval struct {
	from, to int64
	where    string
	run      int
}

// runsOf returns the runs of each task.
func runsOf(entries []entry) map[string][]interval {
	runs := map[string][]interval{}
	killed := map[string]int64{}
	for _, e := range entries {
		if e.What == "killed" {
			killed[e.Life] = e.T
		}
	}
	last := entries[len(entries)-1].T
	for i, e := range entries {
		if e.What != "start" {
			continue
		}
		to := last
		if at, ok := killed[e.Life]; ok {
			to = at
		}
		for _, later := range entries[i:] {
			if later.What == "end" && later.Life == e.Life && later.Task == e.Task && later.Run == e.Run {
				to = later.T
				break
			}
		}
		runs[e.Task] = append(runs[e.Task], interval{e.T, to, e.Life, e.Run})
	}
	return runs
}

// minOverlap is the shortest overlap of two runs that counts, far above what the clocks of processes on one machine differ by.
const minOverlap = 20

// overlaps records and counts the pairs of runs of one task that were active at the same time.
func overlaps(s *site) int {
	count := 0
	for task, runs := range runsOf(readRecord(s.recordPath)) {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if shared := min(a.to, b.to) - max(a.from, b.from); shared >= minOverlap {
					count++
					s.record.write(entry{Who: "driver", What: "two runs at the same time", Task: task, Detail: fmt.Sprintf("run %d on %s and run %d on %s, for %d ms", a.run, a.where, b.run, b.where, shared)})
				}
			}
		}
	}
	return count
}

// restartTwice: the machine of an executor loses power for a moment, and its executor starts again under its id.
func restartTwice(s *site, trouble bool) (bool, error) {
	holds := make(chan struct{}, 1)
	p := &proxy{onData: func(b []byte) {
		if bytes.Contains(b, []byte("/-/hold")) {
			select {
			case holds <- struct{}{}:
			default:
			}
		}
	}}
	machines, err := startAll(s, 8, 16000, p)
	if err != nil {
		return false, err
	}
	x := machines[0]
	done := make(chan int)
	stop := make(chan struct{})
	go func() {
		n := 0
		for ; ; n++ {
			select {
			case <-stop:
				done <- n
				return
			case <-time.After(250 * time.Millisecond):
				go s.submit(jobID(n), 2*time.Second, `"count":1,"cpu":500,"mem_mb":64`)
			}
		}
	}()
	time.Sleep(4 * time.Second)
	for len(holds) > 0 {
		<-holds
	}
	<-holds
	if trouble {
		p.dark.Store(true)
		s.record.write(entry{Who: x.id, Life: x.lifeName(), What: "power lost"})
		x.kill()
		s.setState(x.id, "down")
		time.Sleep(500 * time.Millisecond)
		if err := x.start(500 * time.Millisecond); err != nil {
			return false, err
		}
		time.Sleep(20 * time.Millisecond)
		s.setState(x.id, "up")
		p.power.Add(1)
		p.dark.Store(false)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	<-done
	time.Sleep(8 * time.Second)
	return overlaps(s) > 0, nil
}

// waitDone waits until a job is shown as done, and returns the last state shown.
func waitDone(s *site, job string, patience time.Duration) string {
	state := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		if shown := s.state(job); shown != state {
			state = shown
			s.record.write(entry{Who: "client", What: "shown", Task: job, Detail: state})
		}
		if state == "done" || state == "failed" || state == "canceled" {
			break
		}
	}
	return state
}

// bornBack: an executor starts again twice within the time by which its machine's time of day is ahead and set back in between.
func bornBack(s *site, trouble bool) (bool, error) {
	machines, err := startAll(s, 8, 16000, nil)
	if err != nil {
		return false, err
	}
	job := jobID(1)
	x := machines[0]
	restart := func(clockStep int64) error {
		x.clockStep = clockStep
		x.kill()
		time.Sleep(300 * time.Millisecond)
		return x.start(100 * time.Millisecond)
	}
	if trouble {
		if err := restart(clockJump); err != nil {
			return false, err
		}
	}
	time.Sleep(700 * time.Millisecond)
	if !s.submit(job, 3*time.Second, `"count":1,"cpu":500,"mem_mb":64`) {
		return false, errCannotRun
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		if err := restart(0); err != nil {
			return false, err
		}
	}
	state := waitDone(s, job, 30*time.Second)
	idle := s.idleSince(job)
	s.record.write(entry{Who: "driver", What: "nothing of the job ran for the last", Task: job, Detail: idle.String()})
	// The traffic ended with the submission, 30 s ago: more than finish_s (14 s) and the 3 s of the rule.
	return state != "done" && idle > 3*time.Second, nil
}

// clockJump is by how many milliseconds the time of day jumps ahead and back again.
const clockJump = 2000

// idleSince returns how long ago the last run of a job ended, zero while one is active.
func (s *site) idleSince(job string) time.Duration {
	entries := readRecord(s.recordPath)
	last := int64(0)
	for task, runs := range runsOf(entries) {
		for _, r := range runs {
			if strings.HasPrefix(task, job) {
				last = max(last, r.to)
			}
		}
	}
	return time.Duration(time.Now().UnixMilli()-last) * time.Millisecond
}

// lastingDone: work units that last end by themselves, one as failed and one as done.
func lastingDone(s *site, trouble bool) (bool, error) {
	machines, err := startAll(s, 8, 16000, nil)
	if err != nil {
		return false, err
	}
	job := jobID(1)
	if status, _ := s.call("POST", job, `{"spec":"lasts","steps":[{"count":3,"cpu":1300,"mem_mb":3100,"estimate_ms":500,"long_running":true}]}`); status != 200 {
		return false, errCannotRun
	}
	s.record.write(entry{Who: "client", What: "submit", Task: job, Detail: "200"})
	time.Sleep(3 * time.Second)
	if trouble {
		s.endByItself(machines, job+".0.0.0", "failed")
		s.endByItself(machines, job+".0.0.1", "done")
	}
	// The rule counts from 6 s after the last run of a work unit, for 3 s.
	time.Sleep(12 * time.Second)
	missing := 0
	for n := range 3 {
		task := fmt.Sprintf("%s.0.0.%d", job, n)
		runs := runsOf(readRecord(s.recordPath))[task]
		active := s.active(task)
		if active == 0 {
			missing++
		}
		s.record.write(entry{Who: "driver", What: "work unit that lasts", Task: task, Detail: fmt.Sprintf("%d runs, %d active", len(runs), active)})
	}
	s.record.write(entry{Who: "client", What: "shown", Task: job, Detail: s.state(job)})
	return missing > 0, nil
}

// active returns how many runs of a task are active.
func (s *site) active(task string) int {
	count := 0
	for _, e := range readRecord(s.recordPath) {
		if e.Task == task && e.What == "start" {
			count++
		}
		if e.Task == task && e.What == "end" {
			count--
		}
	}
	return count
}

// endByItself ends the run of a task.
func (s *site) endByItself(machines []*machine, task, how string) {
	where := ""
	for _, e := range readRecord(s.recordPath) {
		if e.Task == task && e.What == "start" {
			where = e.Who
		}
	}
	for _, m := range machines {
		if m.id != where {
			continue
		}
		if resp, err := s.client.Post("http://"+m.listen+"/end?task="+task+"&how="+how, "", nil); err == nil {
			resp.Body.Close()
		}
	}
}
