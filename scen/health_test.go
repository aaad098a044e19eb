package scen

import (
	"net/http"
	"sync"
	"time"
)

// Timing of the readiness checks of a balancer.
const (
	checkInterval = 100 * time.Millisecond
	checkTimeout  = 500 * time.Millisecond
)

// healthChecker checks the readiness of entries as a balancer does.
type healthChecker struct {
	mu   sync.Mutex
	down map[string]bool
}

// watchReadiness starts checks of the entries' readiness that go on until the program ends.
func watchReadiness(entries []string) *healthChecker {
	h := &healthChecker{down: map[string]bool{}}
	client := &http.Client{Timeout: checkTimeout}
	for _, e := range entries {
		go func() {
			for ; ; time.Sleep(checkInterval) {
				res, err := client.Get("http://" + e + "/ready")
				h.setDown(e, err != nil || res.StatusCode != http.StatusOK)
				if err == nil {
					_ = res.Body.Close()
				}
			}
		}()
	}
	return h
}

func (h *healthChecker) setDown(entry string, down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[entry] = down
}

// choose returns the entry at an index, or the next one that is not known to be down. If all are down, or without checks,
// it returns the one at the index.
func (h *healthChecker) choose(entries []string, index int) string {
	if h == nil {
		return entries[index%len(entries)]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range entries {
		if e := entries[(index+i)%len(entries)]; !h.down[e] {
			return e
		}
	}
	return entries[index%len(entries)]
}
