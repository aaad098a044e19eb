package crowd

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// soakSeeds is how many seeds the soak plays, unless WAXWING_SEEDS sets another number; WAXWING_FIRST_SEED sets the first one.
	soakSeeds = 2
	// soakTime is how long callers submit and cancel jobs in one seed.
	soakTime = 15 * time.Second
	// soakCallers is the number of callers that submit and cancel jobs at once.
	soakCallers = 24
	// fewEntries and manyEntries are the numbers of entries; one seed in manyEvery has many.
	fewEntries, manyEntries, manyEvery = 3, 40, 25
)

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

// disturb changes the store's trouble, each kind in turn in a random order, and replaces entries until a time has passed. Replacements
// overlap: an entry may be killed while it is being stopped, and others are replaced meanwhile.
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

// run lets callers submit and cancel jobs while entries and store are disturbed, and returns what each was told once nothing is under way
// any more.
func (s *soak) run(t *testing.T, seed uint64) []*history {
	var stopped atomic.Bool
	var group sync.WaitGroup
	told := make([][]*history, soakCallers)
	for number := range soakCallers {
		c := newCaller(s.balancer, seed, uint64(number+2))
		group.Go(func() {
			for !stopped.Load() {
				told[number] = append(told[number], c.play(fmt.Sprintf("%016x", c.random.Uint64())))
			}
		})
	}
	s.disturb(t, soakTime)
	stopped.Store(true)
	group.Wait()
	s.trouble.pending.Wait()
	// What an entry has sent on to the store is carried out and answered.
	time.Sleep(time.Second)
	return slices.Concat(told...)
}

// Guards against jobs that are stored and run after their cancellation was acknowledged, against accepted jobs that are lost, and against
// refused jobs that are stored, while entries end and are replaced and the store is slow, refuses transactions or loses their answers.
func TestCancelledJobsStayCancelled(t *testing.T) {
	first, seeds := envNumber(t, "WAXWING_FIRST_SEED", 1), envNumber(t, "WAXWING_SEEDS", soakSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			s := newSoak(t, seed)
			defer s.stop()
			told := s.run(t, seed)
			counts := map[string]int{}
			s.store.mu.Lock()
			defer s.store.mu.Unlock()
			for _, h := range told {
				for _, attempt := range h.submissions {
					counts[fmt.Sprintf("POST %d", attempt.status)]++
				}
				if !h.cancelled.IsZero() {
					counts[fmt.Sprintf("DELETE %d", h.cancelStatus)]++
				}
				if wrong := h.check(s.store); wrong != "" {
					t.Errorf("job %s: %s: %+v", h.id, wrong, *h)
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
