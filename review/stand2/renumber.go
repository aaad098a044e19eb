//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

// setFailing sets on all executors whether work units that last fail just after their start.
func (s *site) setFailing(machines []*machine, on bool) {
	flag := "0"
	if on {
		flag = "1"
	}
	for _, m := range machines {
		if resp, err := s.client.Post("http://"+m.listen+"/fail?on="+flag, "", nil); err == nil {
			resp.Body.Close()
		}
	}
	s.record.write(entry{Who: "driver", What: "work units that last fail just after their start", Detail: fmt.Sprint(on)})
}

// renumber: a work unit that lasts has been started again many times when a zone with the entry and one executor loses power.
func renumber(s *site, trouble bool) (bool, error) {
	machines, err := startAll(s, 8, 16000, nil)
	if err != nil {
		return false, err
	}
	job := jobID(1)
	s.setFailing(machines, true)
	if status, _ := s.call("POST", job, `{"spec":"lasts","steps":[{"count":1,"cpu":1300,"mem_mb":3100,"estimate_ms":500,"long_running":true}]}`); status != 200 {
		return false, errCannotRun
	}
	s.record.write(entry{Who: "client", What: "submit", Task: job, Detail: "200"})
	task := job + ".0.0.0"
	time.Sleep(25 * time.Second)
	s.setFailing(machines, false)
	time.Sleep(4 * time.Second)
	where, last, starts := "", 0, 0
	for _, e := range readRecord(s.recordPath) {
		if e.Task == task && e.What == "start" {
			where, last = e.Who, e.Run
			starts++
		}
	}
	s.record.write(entry{Who: "driver", What: "starts so far", Task: task, Detail: fmt.Sprintf("%d, the last one is run %d on %s", starts, last, where)})
	if s.active(task) != 1 {
		return false, errCannotRun
	}
	if trouble {
		for _, m := range machines {
			if m.id == where {
				_ = s.entry.Process.Kill()
				s.record.write(entry{Who: "entry", What: "killed"})
				m.kill()
				s.setState(m.id, "down")
				go func() {
					time.Sleep(3 * heartbeat)
					_ = dropRow(s.store, "servers", m.id)
				}()
			}
		}
		time.Sleep(2 * time.Second)
		if err := s.startEntry(); err != nil {
			return false, err
		}
	}
	longest := time.Duration(0)
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		if s.active(task) == 0 || (trouble && !s.restarted(task)) {
			longest = time.Since(began)
		} else if trouble {
			break
		}
	}
	refused := 0
	for _, e := range readRecord(s.recordPath) {
		if strings.HasPrefix(e.What, "refused") {
			refused++
		}
	}
	s.record.write(entry{Who: "driver", What: "not running for", Task: task, Detail: fmt.Sprintf("%d ms after the entry was ready again; %d starts refused", longest.Milliseconds(), refused)})
	// The rule counts from 6 s after the last run, and wants 4 s of calm before the 3 s.
	return longest > 13*time.Second, nil
}

// restarted reports whether a task was started after the entry was killed.
func (s *site) restarted(task string) bool {
	killed, again := false, false
	for _, e := range readRecord(s.recordPath) {
		killed = killed || (e.Who == "entry" && e.What == "killed")
		again = again || (killed && e.Task == task && e.What == "start")
	}
	return again
}
