package claim

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"waxwing.example/croft"
)

// Options configures a Claimer; numbers and durations that are zero are replaced by those of Defaults.
type Options struct {
	Table  croft.Table
	Clock  croft.Clock
	Viewer croft.Viewer
	// Remote sends claims to the owner of their shard, nil to commit all claims at this entry.
	Remote Remote
	Layout Layout
	// CommitInterval is the minimum time between two commits of a shard.
	CommitInterval croft.Millis
	// Writes limits the commits of this entry, in commits a second over all shards.
	Writes int
	// CallTimeout bounds one call to the table.
	CallTimeout croft.Millis
	// RemoteTimeout bounds one call to a shard's owner.
	RemoteTimeout croft.Millis
	// ProbeInterval is the time between probes of a failing table.
	ProbeInterval croft.Millis
	// FailureThreshold is the number of consecutive table failures that opens the circuit breaker.
	FailureThreshold int
}

// Defaults returns the options that replace zero values.
func Defaults() Options {
	return Options{
		Layout:           Layout{Shards: 8, Slots: 16384, Window: 10 * croft.Minute, Margin: croft.Minute},
		CommitInterval:   50,
		Writes:           150,
		CallTimeout:      croft.Second,
		RemoteTimeout:    croft.Second / 2,
		ProbeInterval:    croft.Second / 2,
		FailureThreshold: 3,
	}
}

// setDefault replaces a zero value by a fallback.
func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (o Options) withDefaults() Options {
	d := Defaults()
	setDefault(&o.Layout.Shards, d.Layout.Shards)
	setDefault(&o.Layout.Slots, d.Layout.Slots)
	setDefault(&o.Layout.Window, d.Layout.Window)
	setDefault(&o.Layout.Margin, d.Layout.Margin)
	setDefault(&o.CommitInterval, d.CommitInterval)
	setDefault(&o.Writes, d.Writes)
	setDefault(&o.CallTimeout, d.CallTimeout)
	setDefault(&o.RemoteTimeout, d.RemoteTimeout)
	setDefault(&o.ProbeInterval, d.ProbeInterval)
	setDefault(&o.FailureThreshold, d.FailureThreshold)
	return o
}

// Claimer grants claims by group commit to the platform's table.
type Claimer struct {
	options Options
	shards  []*shard
	limiter *rate.Limiter
	// consecutiveFailures counts the table's failures since its last success.
	consecutiveFailures atomic.Int64
	// circuitOpen is set while claims are refused immediately, because the table keeps failing.
	circuitOpen atomic.Bool
	// lastFailure is the reason given to callers while the circuit breaker is open.
	lastFailure atomic.Pointer[string]
	counters    counters
	// layoutVersion is the version of the layout row, zero until it was written or compared.
	layoutVersion atomic.Uint64
}

// New returns a claimer, which grants claims only while Run runs.
func New(options Options) *Claimer {
	o := options.withDefaults()
	c := &Claimer{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.Writes), max(1, o.Layout.Shards)),
	}
	for i := range o.Layout.Shards {
		c.shards = append(c.shards, &shard{
			claimer:      c,
			writer:       newWriter(i, o.Layout, o.Table, o.Clock, uuid.NewString),
			wakeSignal:   make(chan struct{}, 1),
			outboxSignal: make(chan struct{}, 1),
		})
	}
	return c
}

// Claim returns nil once the attempt holds the claim, a *croft.ClaimedError if another attempt holds it, or a
// *croft.NoClaimError if the claim was not granted for another reason.
func (c *Claimer) Claim(ctx context.Context, request croft.Request, attempt string) error {
	err := c.claim(ctx, request, attempt)
	var held *croft.ClaimedError
	switch {
	case err == nil:
		c.counters.granted.Add(1)
	case errors.As(err, &held):
		c.counters.held.Add(1)
	default:
		c.counters.refused.Add(1)
	}
	return err
}

// claim does what Claim does, without counting.
func (c *Claimer) claim(ctx context.Context, request croft.Request, attempt string) error {
	if c.circuitOpen.Load() {
		return &croft.NoClaimError{Reason: c.refusalReason()}
	}
	start := c.options.Clock.Elapsed()
	remaining := request.Deadline - c.options.Clock.Now()
	if remaining <= 0 {
		return &croft.NoClaimError{Reason: "the deadline has passed"}
	}
	hash, shardHash := hashRequest(request)
	s := c.shards[shardHash%uint64(len(c.shards))]
	pending := newPendingClaim(Record{Hash: hash, Attempt: attempt})
	if !s.submitClaim(pending) {
		return &croft.NoClaimError{Reason: "too many claims wait"}
	}
	o := c.await(ctx, pending, remaining)
	if o.granted && c.options.Clock.Elapsed()-start >= c.options.Layout.Margin {
		o = outcome{reason: "the claim was taken too long ago"}
	}
	switch {
	case o.granted:
		return nil
	case o.holder != "":
		return &croft.ClaimedError{Attempt: o.holder}
	}
	pending.abandoned.Store(true)
	if pending.mayBeLogged.Load() {
		s.submitRelease(pending.record)
	}
	return &croft.NoClaimError{Reason: o.reason}
}

// await waits for the outcome of a claim, for at most the remaining time.
func (c *Claimer) await(ctx context.Context, pending *pendingClaim, remaining croft.Millis) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	expired := make(chan struct{})
	go func() {
		if c.options.Clock.Sleep(ctx, remaining) == nil {
			close(expired)
		}
	}()
	select {
	case o := <-pending.result:
		return o
	case <-expired:
		return outcome{reason: "no verdict before the deadline"}
	case <-ctx.Done():
		return outcome{reason: "the request was given up"}
	}
}

// Release releases the claim of an attempt that certainly did not run and never will.
func (c *Claimer) Release(_ context.Context, request croft.Request, attempt string) {
	c.counters.released.Add(1)
	hash, shardHash := hashRequest(request)
	s := c.shards[shardHash%uint64(len(c.shards))]
	s.submitRelease(Record{Hash: hash, Attempt: attempt})
}

// Run commits claims until the context is done, and returns the context's error.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.runProbe(ctx) })
	for _, s := range c.shards {
		group.Go(func() error { return s.runWriter(ctx) })
		group.Go(func() error { return s.runOutbox(ctx) })
	}
	return group.Wait()
}

// runProbe writes or compares the layout row, and repeats that at each probe interval until it succeeds and
// while the circuit breaker is open.
func (c *Claimer) runProbe(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.layoutVersion.Load() == 0 || c.circuitOpen.Load() {
			c.recordTableResult(c.ensureLayout(ctx))
		}
		if err := c.options.Clock.Sleep(ctx, c.options.ProbeInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// LayoutError reports that the stored layout differs from this entry's; Row is the value of the layout row.
type LayoutError struct{ Row string }

// Error contains the stored layout.
func (e *LayoutError) Error() string {
	return "claim: this entry's layout of claims differs from the one in force, which is " + e.Row
}

// ensureLayout writes the layout row, or compares an existing one with this entry's layout.
func (c *Claimer) ensureLayout(ctx context.Context) error {
	value, err := json.Marshal(c.options.Layout)
	if err != nil {
		return err
	}
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	version, err := c.options.Table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: layoutKey, Value: value}})
	var conflict *croft.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) == 1 {
		row := conflict.Rows[0]
		if !bytes.Equal(row.Value, value) {
			return &LayoutError{Row: string(row.Value)}
		}
		version, err = row.Version, nil
	}
	if err != nil {
		return err
	}
	c.layoutVersion.Store(version)
	return nil
}

// withCallTimeout returns a context for one call to the table.
func (c *Claimer) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.options.CallTimeout.Duration())
}

// recordTableResult counts consecutive failures of the table, and opens or closes the circuit breaker.
func (c *Claimer) recordTableResult(err error) {
	if err == nil {
		c.consecutiveFailures.Store(0)
		c.circuitOpen.Store(false)
		return
	}
	reason := "the platform's table does not answer"
	var mismatch *LayoutError
	if errors.As(err, &mismatch) {
		reason = mismatch.Error()
	}
	c.lastFailure.Store(&reason)
	if c.consecutiveFailures.Add(1) >= int64(c.options.FailureThreshold) {
		c.circuitOpen.Store(true)
	}
}

// refusalReason returns the reason given to callers while the circuit breaker is open.
func (c *Claimer) refusalReason() string {
	if reason := c.lastFailure.Load(); reason != nil {
		return *reason
	}
	return "no claim has been tried"
}

// awaitWriteQuota waits until the rate limiter allows this entry another write to the table.
func (c *Claimer) awaitWriteQuota(ctx context.Context) error {
	now := time.UnixMilli(int64(c.options.Clock.Elapsed()))
	wait := c.limiter.ReserveN(now, 1).DelayFrom(now)
	return c.options.Clock.Sleep(ctx, croft.Millis(wait.Milliseconds()))
}
