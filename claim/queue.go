package claim

import "sync/atomic"

// Limits of one shard's queue and of its reads.
const (
	// maxQueued bounds the waiting claims, and likewise the waiting releases.
	maxQueued = 4096
	// maxBatchRecords bounds the claims of a batch, and likewise the releases that one entry sends to another.
	maxBatchRecords = 512
	// scanPageSize is the number of rows read by one scan.
	scanPageSize = 1000
	// maxFoldAge is how long after the last read, in milliseconds, a claim may be refused as held without reading
	// the log again.
	maxFoldAge = 200
)

// outcome is the result of a claim; the zero value means that it was not granted.
type outcome struct {
	granted bool
	// holder is the other attempt that holds the claim, empty for none.
	holder string
	// reason explains why the claim was not granted although no other attempt is known to hold it.
	reason string
}

// pendingClaim is a claim that waits for its outcome.
type pendingClaim struct {
	record Record
	result chan outcome
	// mayBeLogged is set once the claim may be in the log or may still be written to it.
	mayBeLogged atomic.Bool
	// abandoned is set once nobody waits for the outcome.
	abandoned atomic.Bool
}

func newPendingClaim(r Record) *pendingClaim {
	return &pendingClaim{record: r, result: make(chan outcome, 1)}
}

// resolve delivers an outcome; only the first one counts.
func (p *pendingClaim) resolve(o outcome) {
	select {
	case p.result <- o:
	default:
	}
}

// enqueue adds a claim to the queue, and reports false if the queue is full.
func (w *writer) enqueue(c *pendingClaim) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueued {
		return false
	}
	w.queue = append(w.queue, c)
	return true
}

// enqueueRelease adds a release to the queue, or drops it if the queue is full: the claim is then held until
// it expires.
func (w *writer) enqueueRelease(r Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.releases) < maxQueued {
		w.releases = append(w.releases, r)
		w.rereadNeeded = true
	}
}

// takeQueued removes and returns the claims of the next batch and all releases.
func (w *writer) takeQueued() ([]*pendingClaim, []Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := min(len(w.queue), maxBatchRecords)
	claims := w.queue[:count:count]
	w.queue = w.queue[count:]
	releases := w.releases
	w.releases = nil
	return claims, releases
}

// requeue adds claims to the end of the queue again, even if the queue is full.
func (w *writer) requeue(claims []*pendingClaim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, claims...)
}

// refuseAll refuses all claims that are queued or in flight.
func (w *writer) refuseAll(reason string) {
	w.mu.Lock()
	queued := w.queue
	w.queue = nil
	w.mu.Unlock()
	w.refuse(w.inFlightClaims, reason)
	w.refuse(queued, reason)
}

// refuse resolves claims as not granted for a reason.
func (w *writer) refuse(claims []*pendingClaim, reason string) {
	for _, c := range claims {
		c.abandoned.Store(true)
		c.resolve(outcome{reason: reason})
	}
}
