package claim

import "sync/atomic"

// Limits of one shard's queue and of its reads.
const (
	maxQueued = 4096
	maxBatch  = 512
	scanLimit = 1000
	// refreshSpan is how old the fold may be, in milliseconds, for a claim to be refused by it.
	refreshSpan = 200
)

// verdict is what became of a wanted claim; the zero value is that none was taken.
type verdict struct {
	granted bool
	// holder is the other attempt that has the claim, empty for none.
	holder string
	reason string
}

// wanted is a claim that waits for its verdict.
type wanted struct {
	record Record
	ended  chan verdict
	// sent says that the claim may be in the log or get there.
	sent atomic.Bool
	// gone says that nobody waits for the verdict any more.
	gone atomic.Bool
}

func newWanted(r Record) *wanted { return &wanted{record: r, ended: make(chan verdict, 1)} }

func (w *wanted) end(v verdict) {
	select {
	case w.ended <- v:
	default:
	}
}

func (w *writer) enqueue(c *wanted) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueued {
		return false
	}
	w.queue = append(w.queue, c)
	return true
}

func (w *writer) release(r Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.releases) < maxQueued {
		w.releases = append(w.releases, r)
		w.reread = true
	}
}

func (w *writer) take() ([]*wanted, []Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := min(len(w.queue), maxBatch)
	claims := w.queue[:count:count]
	w.queue = w.queue[count:]
	releases := w.releases
	w.releases = nil
	return claims, releases
}

func (w *writer) requeue(claims []*wanted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, claims...)
}

// refuseAll ends the wait of all claims that have no verdict yet.
func (w *writer) refuseAll(reason string) {
	w.mu.Lock()
	queued := w.queue
	w.queue = nil
	w.mu.Unlock()
	w.refuse(w.waiting, reason)
	w.refuse(queued, reason)
}

func (w *writer) refuse(claims []*wanted, reason string) {
	for _, c := range claims {
		c.gone.Store(true)
		c.end(verdict{reason: reason})
	}
}
