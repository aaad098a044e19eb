package scen

import (
	"net/http"
	"sync"
	"time"
)

// The checks of a balancer.
const (
	checkEvery = 100 * time.Millisecond
	checkLimit = 500 * time.Millisecond
)

// health is what a balancer knows of the entries' readiness.
type health struct {
	mu   sync.Mutex
	down map[string]bool
}

// watch checks the readiness of entries until the program ends.
func watch(entries []string) *health {
	h := &health{down: map[string]bool{}}
	client := &http.Client{Timeout: checkLimit}
	for _, e := range entries {
		go func() {
			for ; ; time.Sleep(checkEvery) {
				res, err := client.Get("http://" + e + "/ready")
				h.mark(e, err != nil || res.StatusCode != http.StatusOK)
				if err == nil {
					_ = res.Body.Close()
				}
			}
		}()
	}
	return h
}

func (h *health) mark(entry string, down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[entry] = down
}

// choose returns the entry at a place, or the next one that is not known to be down.
func (h *health) choose(entries []string, place int) string {
	if h == nil {
		return entries[place%len(entries)]
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range entries {
		if e := entries[(place+i)%len(entries)]; !h.down[e] {
			return e
		}
	}
	return entries[place%len(entries)]
}
