package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

// cancelAttempts is how often a caller sends a cancellation that is not acknowledged.
const cancelAttempts = 6

// balancer sends requests to entries, in the order of their slots; an entry that ends is replaced in its slot.
type balancer struct {
	mu      sync.Mutex
	entries []*entry
}

func (b *balancer) at(slot int) *entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries[slot]
}

func (b *balancer) replace(slot int, e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[slot] = e
}

// caller submits and cancels jobs. It goes on using an entry, also one that is being stopped, until that closes the connection.
type caller struct {
	balancer *balancer
	random   *rand.Rand
	client   *http.Client
	using    []*entry
}

func newCaller(b *balancer, seed, number uint64) *caller {
	return &caller{
		balancer: b, random: rand.New(rand.NewPCG(seed, number)),
		client: &http.Client{Transport: &http.Transport{}}, using: slices.Clone(b.entries),
	}
}

// fork returns a caller for the requests that are sent at the same time as the caller's own.
func (c *caller) fork() *caller {
	return &caller{balancer: c.balancer, random: rand.New(rand.NewPCG(c.random.Uint64(), 0)), client: c.client, using: slices.Clone(c.using)}
}

// send sends a request to any entry and returns the status of the response, zero without one.
func (c *caller) send(method, id string, patience time.Duration) int {
	slot := c.random.IntN(len(c.using))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = smallJob
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.using[slot].callers+"/q/"+id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "h"
	r.Header.Set("Waxwingcroft-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := c.client.Do(r)
	if err != nil {
		if ctx.Err() == nil {
			c.using[slot] = c.balancer.at(slot)
		}
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.Close {
		c.using[slot] = c.balancer.at(slot)
	}
	return resp.StatusCode
}

// submission is the response to one POST of a job; began is when it was sent.
type submission struct {
	began  time.Time
	status int
}

// history is a job and what its caller was told of it.
type history struct {
	id          string
	submissions []submission
	// cancelled is when a cancellation was first sent, zero if none was, and acknowledged when one was acknowledged, with what status.
	cancelled, acknowledged time.Time
	cancelStatus            int
}

// submit submits the job.
func (h *history) submit(c *caller, patience time.Duration) {
	s := submission{began: time.Now()}
	s.status = c.send(http.MethodPost, h.id, patience)
	h.submissions = append(h.submissions, s)
}

// cancel cancels the job until that is acknowledged or the attempts are used.
func (h *history) cancel(c *caller) {
	h.cancelled = time.Now()
	for range cancelAttempts {
		status := c.send(http.MethodDelete, h.id, 2500*time.Millisecond)
		if status == http.StatusOK || status == http.StatusGone {
			h.acknowledged, h.cancelStatus = time.Now(), status
			return
		}
		if status == http.StatusTooManyRequests {
			time.Sleep(time.Second)
		}
	}
}

// play submits a job, with little patience or more, and does some of the following: repeats the submission meanwhile, cancels the job,
// and lets a duplicate of the submission arrive late.
func (c *caller) play(id string) *history {
	h := &history{id: id}
	patience := []time.Duration{30 * time.Millisecond, 150 * time.Millisecond, 1500 * time.Millisecond}[c.random.IntN(3)]
	repetition := &history{id: id}
	var group sync.WaitGroup
	if c.random.IntN(2) == 0 {
		other, pause := c.fork(), time.Duration(c.random.IntN(400))*time.Millisecond
		group.Go(func() {
			time.Sleep(pause)
			repetition.submit(other, 1500*time.Millisecond)
		})
	}
	h.submit(c, patience)
	if c.random.IntN(4) > 0 {
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		h.cancel(c)
	}
	if c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
		h.submit(c, 1500*time.Millisecond)
	}
	group.Wait()
	h.submissions = append(h.submissions, repetition.submissions...)
	return h
}

// check checks what a caller was told against what the store has; it returns a description of what is wrong, empty if nothing is.
func (h *history) check(s *store) string {
	id := croft.JobID(h.id)
	part := jobs.Part("r", id)
	state, record := s.rows[jobs.Key(jobs.StateTable, part, id)], s.rows[jobs.Key(jobs.JobTable, part, id)]
	progress := jobs.Progress{}
	if state.Ver != nil && !state.Gone {
		var err error
		if progress, err = jobs.DecodeProgress(state.Value); err != nil {
			return err.Error()
		}
	}
	isKept := record.Ver != nil && !record.Gone && progress.Status != "" && !progress.Status.Final()
	submitted, wasStored := s.submitted[h.id]
	isCancelled, isAcknowledged := !h.cancelled.IsZero(), !h.acknowledged.IsZero()
	refused := 0
	for _, attempt := range h.submissions {
		switch attempt.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			refused++
		case http.StatusOK:
			if h.cancelStatus == http.StatusGone && attempt.began.After(h.acknowledged) {
				return "accepted after it was reported as missing"
			}
			if !isCancelled && !isKept {
				return "accepted, not cancelled and lost"
			}
		case http.StatusGone:
			if !isCancelled {
				return "reported as cancelled, which it was not"
			}
		}
	}
	switch {
	case wasStored && refused == len(h.submissions):
		return "refused by all attempts and stored"
	case isAcknowledged && progress.Status != jobs.Canceled:
		return fmt.Sprintf("cancelled, its status is %q", progress.Status)
	case isAcknowledged && wasStored && submitted.After(h.acknowledged):
		return "stored after its cancellation was acknowledged"
	case h.cancelStatus == http.StatusGone && wasStored:
		return "reported as missing and stored"
	}
	return ""
}
