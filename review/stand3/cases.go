//go:build review3

package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// step and job are submitted jobs on the wire.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	MemMB       int64  `json:"mem_mb,omitempty"`
	EstimateMs  int64  `json:"estimate_ms,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Requires    string `json:"requires,omitempty"`
	After       []int  `json:"after,omitempty"`
}

type job struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	Repeats    int    `json:"repeats,omitempty"`
	FirstMs    int64  `json:"first_ms,omitempty"`
	IntervalMs int64  `json:"interval_ms,omitempty"`
}

const requestTimeout = 3 * time.Second

var errRefused = errors.New("an ordinary job was not accepted")

// submit hands a job in, again after no response, 429, 502, 503 or 504, up to four times.
func (d *deployment) submit(e *entry, path string, body job) error {
	for range 5 {
		status, _ := d.call(e, http.MethodPost, path, body, requestTimeout)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return errRefused
}

// small starts a small deployment: two entries, and three executors of each service.
func (d *deployment) small(routes []route, services ...string) error {
	d.configure(1, routes, services)
	for _, service := range services {
		if err := d.addExecutors(service, 3, capacity{CPU: 16000, MemMB: 32768}); err != nil {
			return err
		}
	}
	return d.start("front-z1-1", "front-z1-2")
}

// playSameID has two requesters of two queues choose the same ID for their jobs, and one of them cancel its job.
func playSameID(d *deployment, trouble bool, o *outcome) error {
	if err := d.small([]route{{"r-a", "/a/", "sorting"}, {"r-b", "/b/", "packing"}}, "sorting", "packing"); err != nil {
		return err
	}
	const first = "0000000000000001"
	second := "0000000000000002"
	if trouble {
		second = first
	}
	lasting := job{Spec: "0 lasting", Steps: []step{{Count: 2, CPU: 1000, MemMB: 1000, LongRunning: true}}}
	if err := d.submit(d.entries[0], "/a/"+first, lasting); err != nil {
		return err
	}
	if !await(5*time.Second, func() bool { return d.running(first) == 2 }) {
		return errors.New("the first job did not begin")
	}
	status, _ := d.call(d.entries[1], http.MethodPost, "/b/"+second, job{Spec: "1000 short", Steps: []step{{Count: 2, CPU: 1000, MemMB: 1000, EstimateMs: 1000}}}, requestTimeout)
	if status < 200 || status > 299 {
		// Not accepted: nothing is owed.
		d.rec.printf("the second job was not accepted")
		return nil
	}
	if !await(14*time.Second, func() bool { time.Sleep(500 * time.Millisecond); return d.state(d.entries[1], "/b/"+second) == "done" }) {
		o.breakf("LOST: job /b/%s was accepted and is shown as %s after 14 s, though there was room for it many times over all the time", second, d.state(d.entries[1], "/b/"+second))
	}
	if status, _ := d.call(d.entries[1], http.MethodDelete, "/b/"+second, nil, requestTimeout); status != http.StatusOK && status != http.StatusGone {
		return errors.New("the second job's requester could not cancel")
	}
	time.Sleep(3 * time.Second)
	// Looked at for 4 s: the first job, which nobody has cancelled, must have its work units at work.
	if !await(4*time.Second, func() bool { return d.running(first) == 2 }) {
		o.breakf("LOST: job /a/%s, which nobody has cancelled, is shown as %s and has %d of 2 work units at work for 4 s, from 3 s after /b/%s was cancelled",
			first, d.state(d.entries[0], "/a/"+first), d.running(first), second)
	}
	return nil
}

// playWithdraw has a requester leave while its submission is under way at a slow store, and cancel the job at once at another entry.
func playWithdraw(d *deployment, trouble bool, o *outcome) error {
	if err := d.small([]route{{"r-a", "/a/", "work"}}, "work"); err != nil {
		return err
	}
	if err := d.submit(d.entries[0], "/a/5c0e7a21d94b0001", job{Spec: "500 ordinary", Steps: []step{{Count: 1, CPU: 100, MemMB: 100, EstimateMs: 500}}}); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	d.store.setSlow(trouble)
	time.Sleep(500 * time.Millisecond)
	const id = "5c0e7a21d94b0002"
	go d.call(d.entries[0], http.MethodPost, "/a/"+id, job{Spec: "0 lasting", Steps: []step{{Count: 2, CPU: 1000, MemMB: 1000, LongRunning: true}}}, 150*time.Millisecond)
	time.Sleep(160 * time.Millisecond)
	status, _ := d.call(d.entries[0], http.MethodDelete, "/a/"+id, nil, requestTimeout)
	if status != http.StatusOK && status != http.StatusGone {
		return errors.New("the cancelling was not acknowledged")
	}
	time.Sleep(1500 * time.Millisecond)
	d.store.setSlow(false)
	// cancel_ms and stop_ms, and contact_ms after the end of the impairment.
	time.Sleep(7 * time.Second)
	d.state(d.entries[1], "/a/"+id)
	if n := d.running(id); n > 0 {
		o.breakf("UNASKED: %d work units of job %s run 7 s after the store was sound again and over 8 s after its cancelling was acknowledged with %d", n, id, status)
	}
	return nil
}

// playRename has the operator send a version that removes a route and adds one of another name in its place, for the same host,
// prefix and service, while a job lasts and after another one is done.
func playRename(d *deployment, trouble bool, o *outcome) error {
	if err := d.small([]route{{"r-a", "/a/", "work"}}, "work"); err != nil {
		return err
	}
	const lasting, short = "5c0e7a21d94b0001", "5c0e7a21d94b0002"
	if err := d.submit(d.entries[0], "/a/"+lasting, job{Spec: "0 lasting", Steps: []step{{Count: 2, CPU: 1000, MemMB: 1000, LongRunning: true}}}); err != nil {
		return err
	}
	if err := d.submit(d.entries[0], "/a/"+short, job{Spec: "500 short", Steps: []step{{Count: 2, CPU: 1000, MemMB: 1000, EstimateMs: 500}}}); err != nil {
		return err
	}
	if !await(8*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		return d.running(lasting) == 2 && d.state(d.entries[0], "/a/"+short) == "done"
	}) {
		return errors.New("the jobs did not go as they should before the change")
	}
	name := "r-a"
	if trouble {
		name = "r-b"
	}
	d.rec.printf("configuration 2: the route of /a/ is %s", name)
	d.configure(2, []route{{name, "/a/", "work"}}, []string{"work"})
	// config_apply_ms and visible_ms.
	time.Sleep(3500 * time.Millisecond)
	for _, id := range []string{lasting, short} {
		if state := d.state(d.entries[1], "/a/"+id); state == "410" {
			o.breakf("LOST: a GET for job /a/%s, which was accepted and nobody has cancelled, is answered 410", id)
		}
	}
	if status, _ := d.call(d.entries[1], http.MethodDelete, "/a/"+lasting, nil, requestTimeout); status != http.StatusOK && status != http.StatusGone {
		return nil
	}
	// cancel_ms and stop_ms.
	time.Sleep(4 * time.Second)
	if n := d.running(lasting); n > 0 {
		o.breakf("UNASKED: %d work units of job /a/%s run 4 s after its cancelling was acknowledged", n, lasting)
	}
	return nil
}

// playCrashes has executors crash one after another while jobs of short work units run, after the leading entry was killed. No work
// unit ever ends as failed.
func playCrashes(d *deployment, trouble bool, o *outcome) error {
	const service = "work"
	if err := d.addExecutors(service, 5, capacity{CPU: 16000, MemMB: 32768}); err != nil {
		return err
	}
	if err := d.small([]route{{"r-a", "/a/", service}}, service); err != nil {
		return err
	}
	var ids []string
	for n := range 6 {
		body := job{Spec: "150 ordinary"}
		for k := range 250 {
			s := step{Count: 12, CPU: 1500, MemMB: 1000, EstimateMs: 150}
			if k > 0 {
				s.After = []int{k - 1}
			}
			body.Steps = append(body.Steps, s)
		}
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b%04x", n))
		if err := d.submit(d.entries[0], "/a/"+ids[n], body); err != nil {
			return err
		}
	}
	if !await(10*time.Second, func() bool { return d.running(ids[5]) > 0 }) {
		return errors.New("the jobs did not begin")
	}
	if trouble {
		d.kill(leaderName(d), time.Second)
	}
	time.Sleep(5 * time.Second)
	for wave := range 40 {
		if trouble {
			d.crash(wave%8, 400*time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		for _, id := range ids {
			if state := d.state(d.entries[0], "/a/"+id); state == "failed" {
				o.breakf("LOST: job %s is shown as failed, though none of its work units has ended as failed", id)
			}
		}
		if len(o.broken) > 0 {
			return nil
		}
	}
	return nil
}

// playTakeover has a part of the store turn the leading entry away for a while, so that another one takes over, which has no path to one
// executor for a while. Jobs of one work unit each end on that executor under the former leader, whose lease has not ended.
func playTakeover(d *deployment, trouble bool, o *outcome) error {
	if err := d.addExecutors("work", 2, capacity{CPU: 16000, MemMB: 32768}); err != nil {
		return err
	}
	if err := d.small([]route{{"r-a", "/a/", "work"}}, "work"); err != nil {
		return err
	}
	if err := d.start("front-z1-3", "front-z1-4"); err != nil {
		return err
	}
	noted := map[string]time.Time{}
	var mu sync.Mutex
	for _, e := range d.executors {
		e.onNoted = func(task string) {
			mu.Lock()
			defer mu.Unlock()
			noted[task] = time.Now()
		}
		e.onStart = func(e *executor, task string, run int) {
			mu.Lock()
			defer mu.Unlock()
			if at, ok := noted[task]; ok && time.Since(at) > time.Second {
				o.breakf("TWICE: %s run %d was started on %s %d ms after its end `done` had been taken note of", task, run, e.id, time.Since(at).Milliseconds())
			}
		}
	}
	var ids []string
	for n := range 10 {
		ids = append(ids, fmt.Sprintf("5c0e7a21d94b%04x", n))
		if err := d.submit(d.entries[0], "/a/"+ids[n], job{Spec: "3800 ordinary", Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstimateMs: 3800}}}); err != nil {
			return err
		}
	}
	began := time.Now()
	if !await(5*time.Second, func() bool { return d.running(ids[9]) > 0 }) {
		return errors.New("the jobs did not begin")
	}
	former := leaderName(d)
	time.Sleep(time.Until(began.Add(1750 * time.Millisecond)))
	if trouble {
		d.rec.printf("the part without a name turns %s away", d.entries[former].name)
		d.entries[former].view.turnsAway.Store(true)
		time.Sleep(800 * time.Millisecond)
		fence := d.store.newest()
		for _, e := range d.executors {
			if e.count(ids[0]+".") > 0 {
				d.rec.printf("%s loses the path to entries that take over", e.id)
				e.setCut(fence)
			}
		}
		time.Sleep(1600 * time.Millisecond)
		d.entries[former].view.turnsAway.Store(false)
		d.rec.printf("the store is sound again")
		d.state(d.entries[(former+1)%len(d.entries)], "/a/"+ids[0])
		time.Sleep(3400 * time.Millisecond)
		for _, e := range d.executors {
			e.setCut(0)
		}
		d.rec.printf("all paths are sound again")
	}
	time.Sleep(6 * time.Second)
	for _, id := range ids {
		d.state(d.entries[(former+1)%len(d.entries)], "/a/"+id)
	}
	mu.Lock()
	defer mu.Unlock()
	return nil
}

// playLateStart has an executor leave a start unanswered and accept its stop, crash, and start again under its ID; the start, which is
// late, is carried out by the new lifetime.
func playLateStart(d *deployment, trouble bool, o *outcome) error {
	d.configure(1, []route{{"r-a", "/a/", "work"}}, []string{"work"})
	for n := range 8 {
		e := newExecutor(fmt.Sprintf("i-%04d", n+1), "work", fmt.Sprintf("m-%04d", n+1), capacity{CPU: 16000, MemMB: 32768}, d.store, d.rec)
		e.kind = fmt.Sprintf("k%d", n+1)
		if err := e.serve(); err != nil {
			return err
		}
		d.executors = append(d.executors, e)
	}
	if err := d.start("front-z1-1", "front-z1-2"); err != nil {
		return err
	}
	const victim = "5c0e7a21d94b00ff"
	// Work that lasts on two executors, and short work on the first one, which makes that the fullest.
	ordinary := func(n, count int, spec, kind string, cpu int64) error {
		return d.submit(d.entries[0], fmt.Sprintf("/a/5c0e7a21d94b%04x", n), job{Spec: spec, Steps: []step{{Count: count, CPU: cpu, MemMB: 500, EstimateMs: 1000, Requires: kind}}})
	}
	if err := ordinary(1, 10, "30000 ordinary", "k2", 300); err != nil {
		return err
	}
	if err := ordinary(2, 4, "30000 ordinary", "k3", 300); err != nil {
		return err
	}
	if !await(5*time.Second, func() bool { return d.running("5c0e7a21d94b0001")+d.running("5c0e7a21d94b0002") == 14 }) {
		return errors.New("the ordinary work did not begin")
	}
	if err := ordinary(3, 10, "700 short", "k1", 400); err != nil {
		return err
	}
	if !await(5*time.Second, func() bool { return d.running("5c0e7a21d94b0003") == 10 }) {
		return errors.New("the short work did not begin")
	}
	first := d.lives()[0]
	if trouble {
		first.mu.Lock()
		first.lateJob = victim
		first.mu.Unlock()
	}
	time.Sleep(400 * time.Millisecond)
	if err := d.submit(d.entries[0], "/a/"+victim, job{Spec: "12000 ordinary", Steps: []step{{Count: 1, CPU: 1000, MemMB: 500, EstimateMs: 12000}}}); err != nil {
		return err
	}
	if !await(8*time.Second, func() bool { return d.running(victim) == 1 }) {
		return errors.New("the job did not begin")
	}
	if trouble {
		first.mu.Lock()
		late := first.late != nil
		first.mu.Unlock()
		if !late || first.count(victim+".") > 0 {
			return errors.New("the job's start did not reach the first executor first, or its next run is there")
		}
		time.Sleep(1500 * time.Millisecond)
		go func() {
			if err := d.restartSame(0, 700*time.Millisecond); err != nil {
				d.rec.printf("the executor does not start again: %v", err)
			}
		}()
	}
	var twice time.Duration
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if d.running(victim) > 1 {
			twice += 5 * time.Millisecond
		}
	}
	if twice > 0 {
		o.breakf("TWICE: two runs of %s.0.0.0 at the same time, on two executors that are up, for some %d ms", victim, twice.Milliseconds())
	}
	return nil
}
