//go:build review2

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// jobsOfADay is the number of jobs that the callers of the site submit in a day: 4.9 + 1.12 + 6.13 + 1.37 a second.
	jobsOfADay = 86_400 * 1352 / 100
	// memoryLimit is memory_mb of the site's machines, above which the platform kills a process.
	memoryLimit = 284 << 10
	// restartDelay is how long after the end of a process the platform starts it again.
	restartDelay = time.Second
)

// residentKB returns the resident memory of a process, zero once it has ended.
func residentKB(pid int) int {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

// keeper does for the entry what the platform does for a process: it kills one that exceeds its memory and starts it again.
type keeper struct {
	site     *site
	mu       sync.Mutex
	cmd      *exec.Cmd
	exceeded int
	peak     int
}

// restart kills the process and starts it again.
func (k *keeper) restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.cmd.Process.Kill()
	time.Sleep(restartDelay)
	if cmd, err := k.site.spawnEntry(); err == nil {
		k.cmd = cmd
	}
}

// watch watches the memory of the process until the test ends.
func (k *keeper) watch() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		k.mu.Lock()
		used := residentKB(k.cmd.Process.Pid)
		k.peak = max(k.peak, used)
		over := used > memoryLimit
		if over {
			k.exceeded++
		}
		k.mu.Unlock()
		if over {
			k.site.record.write(entry{Who: "platform", What: "entry killed: memory over the limit", Detail: fmt.Sprintf("%d KB of %d KB", used, memoryLimit)})
			k.restart()
		}
	}
}

// storedState returns the stored state of a job.
func (s *site) storedState(job string) []byte {
	for part := range 4 {
		resp, err := s.client.Get(fmt.Sprintf("http://%s/-/rows-get?table=state&part=%s.%d&from=%s&limit=1", s.store, s.queue, part, job))
		if err != nil {
			return nil
		}
		var page struct{ Rows []wireRow }
		_ = json.NewDecoder(resp.Body).Decode(&page)
		resp.Body.Close()
		if len(page.Rows) == 1 && page.Rows[0].Key == job {
			return page.Rows[0].Value
		}
	}
	return nil
}

// aged: a process is killed after the system has run for a day.
func aged(s *site, trouble bool) (bool, error) {
	if _, err := startAll(s, 8, 16000, nil); err != nil {
		return false, err
	}
	first := jobID(1)
	if !s.submit(first, 300*time.Millisecond, `"count":1,"cpu":500,"mem_mb":64`) || waitDone(s, first, 10*time.Second) != "done" {
		return false, errCannotRun
	}
	count := jobsOfADay
	if n, err := strconv.Atoi(os.Getenv("AGED_JOBS")); err == nil {
		count = n
	}
	value := s.storedState(first)
	req, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/age?queue=%s&n=%d", s.store, s.queue, count), bytes.NewReader(value))
	slow := http.Client{Timeout: 60 * time.Second}
	resp, err := slow.Do(req)
	if err != nil || len(value) == 0 {
		return false, errCannotRun
	}
	resp.Body.Close()
	s.record.write(entry{Who: "platform", What: "states of ended jobs in the store", Detail: fmt.Sprintf("%d, each %s", count, value)})
	k := &keeper{site: s, cmd: s.entry}
	go k.watch()
	if trouble {
		s.record.write(entry{Who: "entry", What: "killed"})
		k.restart()
		time.Sleep(time.Second)
	}
	second := jobID(2)
	if !s.submit(second, time.Second, `"count":1,"cpu":500,"mem_mb":64`) {
		s.record.write(entry{Who: "client", What: "not accepted", Task: second})
	}
	state := waitDone(s, second, 40*time.Second)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.record.write(entry{Who: "driver", What: "memory of the entry", Detail: fmt.Sprintf("highest %d KB, over the limit %d times", k.peak, k.exceeded)})
	return state != "done", nil
}
