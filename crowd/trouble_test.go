package crowd

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// trouble is how a store fails its callers.
type trouble struct {
	// delay is the longest time that a call takes.
	delay time.Duration
	// lost and refused are the shares of transactions without an answer and of those that are refused.
	lost, refused float64
}

// troubles are the phases of an unreliable store; the calm one comes more often.
var troubles = []trouble{
	{}, {}, {},
	{delay: 800 * time.Millisecond},
	{delay: 300 * time.Millisecond, lost: 0.3},
	{delay: 50 * time.Millisecond, lost: 0.2, refused: 0.3},
	{refused: 1},
}

// maxLateness is how long after its connection was closed a transaction may be carried out.
const maxLateness = 2 * time.Second

// unreliable passes calls to a store, with trouble.
type unreliable struct {
	store http.Handler

	mu      sync.Mutex
	random  *rand.Rand
	trouble trouble
	// late counts the transactions that were carried out after their callers had been left without an answer.
	late int
	// pending has the late transactions that are still to be carried out.
	pending sync.WaitGroup
}

// setTrouble sets the trouble of the calls that follow.
func (u *unreliable) setTrouble(t trouble) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.trouble = t
}

// fate is what happens to a call.
type fate struct {
	before, after, lateness time.Duration
	refused, lost, dropped  bool
}

// draw draws the fate of a call.
func (u *unreliable) draw() fate {
	u.mu.Lock()
	defer u.mu.Unlock()
	upTo := func(limit time.Duration) time.Duration { return time.Duration(u.random.Float64() * float64(limit)) }
	return fate{
		before: upTo(u.trouble.delay / 2), after: upTo(u.trouble.delay / 2), lateness: upTo(maxLateness),
		refused: u.random.Float64() < u.trouble.refused, lost: u.random.Float64() < u.trouble.lost, dropped: u.random.IntN(3) == 0,
	}
}

// ServeHTTP passes a call on, unless it is refused or dropped; feeds are left alone.
func (u *unreliable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "-feed") {
		u.store.ServeHTTP(w, r)
		return
	}
	fate, isWrite := u.draw(), strings.HasSuffix(r.URL.Path, "-tx")
	body, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return
	case isWrite && fate.refused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case isWrite && fate.lost:
		if !fate.dropped {
			u.pending.Go(func() {
				time.Sleep(fate.lateness)
				u.carryOut(httptest.NewRecorder(), r, body)
				u.mu.Lock()
				defer u.mu.Unlock()
				u.late++
			})
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(fate.before)
	answer := httptest.NewRecorder()
	u.carryOut(answer, r, body)
	time.Sleep(fate.after)
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// carryOut passes a call to the store, also if its caller has left.
func (u *unreliable) carryOut(w http.ResponseWriter, r *http.Request, body []byte) {
	call := r.Clone(context.Background())
	call.Body = io.NopCloser(bytes.NewReader(body))
	u.store.ServeHTTP(w, call)
}
