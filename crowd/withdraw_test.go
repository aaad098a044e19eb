package crowd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
	"waxwing.example/croft/jobs"
)

const (
	// withdrawSeeds is how many seeds the soak plays, unless WAXWING_SEEDS sets another number; WAXWING_FIRST_SEED sets the first one.
	withdrawSeeds = 2
	// withdrawTime is how long callers submit and cancel jobs in one seed.
	withdrawTime = 15 * time.Second
	// withdrawers is the number of callers that submit and cancel jobs at once.
	withdrawers = 24
	// fewEntries and manyEntries are the numbers of entries; one seed in manyEvery has many.
	fewEntries, manyEntries, manyEvery = 3, 40, 25
	// cancelAttempts is how often a caller sends a cancellation that is not acknowledged.
	cancelAttempts = 6
)

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
	return &caller{balancer: b, random: rand.New(rand.NewPCG(seed, number)), client: &http.Client{Transport: &http.Transport{}}, using: slices.Clone(b.entries)}
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
		body = `{"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":100}]}`
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

// withdrawal is a job and what its caller was told.
type withdrawal struct {
	id          string
	submissions []submission
	// cancelled is when a cancellation was first sent, zero if none was, and acknowledged when one was acknowledged, with what status.
	cancelled, acknowledged time.Time
	status                  int
}

// submit submits the job.
func (w *withdrawal) submit(c *caller, patience time.Duration) {
	s := submission{began: time.Now()}
	s.status = c.send(http.MethodPost, w.id, patience)
	w.submissions = append(w.submissions, s)
}

// cancel cancels the job until that is acknowledged or the attempts are used.
func (w *withdrawal) cancel(c *caller) {
	w.cancelled = time.Now()
	for range cancelAttempts {
		status := c.send(http.MethodDelete, w.id, 2500*time.Millisecond)
		if status == http.StatusOK || status == http.StatusGone {
			w.acknowledged, w.status = time.Now(), status
			return
		}
		if status == http.StatusTooManyRequests {
			time.Sleep(time.Second)
		}
	}
}

// withdraw submits a job, impatiently or not, and does some of the following: repeats the submission meanwhile, cancels the job, and
// lets a duplicate of the submission arrive late.
func (c *caller) withdraw(id string) *withdrawal {
	w := &withdrawal{id: id}
	patience := []time.Duration{30 * time.Millisecond, 150 * time.Millisecond, 1500 * time.Millisecond}[c.random.IntN(3)]
	repetition := &withdrawal{id: id}
	var group sync.WaitGroup
	if c.random.IntN(2) == 0 {
		other, pause := c.fork(), time.Duration(c.random.IntN(400))*time.Millisecond
		group.Go(func() {
			time.Sleep(pause)
			repetition.submit(other, 1500*time.Millisecond)
		})
	}
	w.submit(c, patience)
	if c.random.IntN(4) > 0 {
		time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
		w.cancel(c)
	}
	if c.random.IntN(3) == 0 {
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
		w.submit(c, 1500*time.Millisecond)
	}
	group.Wait()
	w.submissions = append(w.submissions, repetition.submissions...)
	return w
}

// check checks what a caller was told against what the store has; it returns a description of what is wrong, empty if nothing is.
func (w *withdrawal) check(s *store) string {
	part := jobs.Part("r", croft.JobID(w.id))
	state, record := s.rows[jobs.Key(jobs.StateTable, part, croft.JobID(w.id))], s.rows[jobs.Key(jobs.JobTable, part, croft.JobID(w.id))]
	progress := jobs.Progress{}
	if state.Ver != nil && !state.Gone {
		var err error
		if progress, err = jobs.DecodeProgress(state.Value); err != nil {
			return err.Error()
		}
	}
	isKept := record.Ver != nil && !record.Gone && progress.Status != "" && !progress.Status.Final()
	submitted, wasStored := s.submitted[w.id]
	isCancelled, isAcknowledged := !w.cancelled.IsZero(), !w.acknowledged.IsZero()
	refused := 0
	for _, attempt := range w.submissions {
		switch attempt.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			refused++
		case http.StatusOK:
			if w.status == http.StatusGone && attempt.began.After(w.acknowledged) {
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
	case wasStored && refused == len(w.submissions):
		return "refused by all attempts and stored"
	case isAcknowledged && progress.Status != jobs.Canceled:
		return fmt.Sprintf("cancelled, its status is %q", progress.Status)
	case isAcknowledged && wasStored && submitted.After(w.acknowledged):
		return "stored after its cancellation was acknowledged"
	case w.status == http.StatusGone && wasStored:
		return "reported as missing and stored"
	}
	return ""
}

// soak is a run of callers, entries that end and are replaced, and a store with trouble.
type soak struct {
	random   *rand.Rand
	trouble  *unreliable
	store    *store
	balancer *balancer
	launched []*entry
	// ending has the entries that were told to end and may still serve.
	ending []*entry
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{random: rand.New(rand.NewPCG(seed, 0)), balancer: &balancer{}}
	s.trouble = &unreliable{random: rand.New(rand.NewPCG(seed, 1))}
	s.store = newStoreBehind(t, config, func(h http.Handler) http.Handler {
		s.trouble.store = h
		return s.trouble
	})
	entries := fewEntries
	if seed%manyEvery == 0 {
		entries = manyEntries
	}
	for range entries {
		s.balancer.entries = append(s.balancer.entries, s.launch(t))
	}
	for _, e := range s.balancer.entries {
		e.await(t, func() bool { return e.probe() == http.StatusOK })
	}
	return s
}

func (s *soak) launch(t *testing.T) *entry {
	e := launchEntry(t, s.store, fmt.Sprintf("e%d", len(s.launched)+1))
	s.launched = append(s.launched, e)
	return e
}

// stop tells all entries to stop, so that they do so at the same time.
func (s *soak) stop() {
	for _, e := range s.launched {
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// disturb changes the store's trouble, each kind in turn in a random order, and replaces entries until a time has passed. Replacements overlap: an entry may be killed
// while it is being stopped, and others are replaced meanwhile.
func (s *soak) disturb(t *testing.T, duration time.Duration) {
	order := s.random.Perm(len(troubles))
	for end := time.Now().Add(duration); time.Now().Before(end); {
		switch s.random.IntN(4) {
		case 0, 1:
			s.trouble.setTrouble(troubles[order[0]])
			order = append(order[1:], order[0])
		case 2:
			slot := s.random.IntN(len(s.balancer.entries))
			former := s.balancer.at(slot)
			s.balancer.replace(slot, s.launch(t))
			signal := []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL}[s.random.IntN(3)]
			_ = former.cmd.Process.Signal(signal)
			s.ending = append(s.ending, former)
		case 3:
			if len(s.ending) > 0 {
				_ = s.ending[s.random.IntN(len(s.ending))].cmd.Process.Kill()
			}
		}
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	s.trouble.setTrouble(trouble{})
}

// run lets callers withdraw jobs while entries and store are disturbed, and returns what each was told once nothing is under way any more.
func (s *soak) run(t *testing.T, seed uint64) []*withdrawal {
	var stopped atomic.Bool
	var group sync.WaitGroup
	told := make([][]*withdrawal, withdrawers)
	for number := range withdrawers {
		c := newCaller(s.balancer, seed, uint64(number+2))
		group.Go(func() {
			for !stopped.Load() {
				told[number] = append(told[number], c.withdraw(fmt.Sprintf("%016x", c.random.Uint64())))
			}
		})
	}
	s.disturb(t, withdrawTime)
	stopped.Store(true)
	group.Wait()
	s.trouble.pending.Wait()
	// What an entry has sent on to the store is carried out and answered.
	time.Sleep(time.Second)
	return slices.Concat(told...)
}

// Guards against jobs that are stored and run after their cancellation was acknowledged, against accepted jobs that are lost, and against
// refused jobs that are stored, while entries end and are replaced and the store is slow, refuses transactions or loses their answers.
func TestWithdrawnJobsStayWithdrawn(t *testing.T) {
	first, seeds := envNumber(t, "WAXWING_FIRST_SEED", 1), envNumber(t, "WAXWING_SEEDS", withdrawSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newSoak(t, seed)
			defer s.stop()
			told := s.run(t, seed)
			counts := map[string]int{}
			s.store.mu.Lock()
			defer s.store.mu.Unlock()
			for _, w := range told {
				for _, attempt := range w.submissions {
					counts[fmt.Sprintf("POST %d", attempt.status)]++
				}
				if !w.cancelled.IsZero() {
					counts[fmt.Sprintf("DELETE %d", w.status)]++
				}
				if wrong := w.check(s.store); wrong != "" {
					t.Errorf("job %s: %s: %+v", w.id, wrong, *w)
				}
			}
			t.Logf("%d jobs, %d entries started, %d transactions late: %v", len(told), len(s.launched), s.trouble.late, counts)
			assert.Check(t, counts["DELETE 200"] > 0 && counts["DELETE 410"] > 0 && s.trouble.late > 0)
		})
	}
}

// envNumber returns the number in an environment variable, or another one if it is not set.
func envNumber(t *testing.T, name string, otherwise uint64) uint64 {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	number, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return number
}
