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

// Options set a Claimer; zero values of amounts and spans stand for the defaults.
type Options struct {
	Table  croft.Table
	Clock  croft.Clock
	Viewer croft.Viewer
	// Remote carries claims to a shard's owner, nil to commit all claims here.
	Remote Remote
	Layout Layout
	// Gap is the least time between two commits of a shard, in milliseconds.
	Gap croft.Millis
	// Writes is the most commits a second of this entry.
	Writes int
	// CallTimeout bounds one call to the table, in milliseconds.
	CallTimeout croft.Millis
	// RemoteTimeout bounds one call to an owner, in milliseconds.
	RemoteTimeout croft.Millis
	// ProbeGap is the time between probes of a table that fails, in milliseconds.
	ProbeGap croft.Millis
	// Failures is the number of failures in a row after which claims are refused at once.
	Failures int
}

// Defaults returns the options that stand for zero values.
func Defaults() Options {
	return Options{
		Layout:        Layout{Shards: 8, Slots: 16384, Window: 10 * croft.Minute, Margin: croft.Minute},
		Gap:           50,
		Writes:        150,
		CallTimeout:   croft.Second,
		RemoteTimeout: croft.Second / 2,
		ProbeGap:      croft.Second / 2,
		Failures:      3,
	}
}

func orDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}

func (o Options) withDefaults() Options {
	d := Defaults()
	orDefault(&o.Layout.Shards, d.Layout.Shards)
	orDefault(&o.Layout.Slots, d.Layout.Slots)
	orDefault(&o.Layout.Window, d.Layout.Window)
	orDefault(&o.Layout.Margin, d.Layout.Margin)
	orDefault(&o.Gap, d.Gap)
	orDefault(&o.Writes, d.Writes)
	orDefault(&o.CallTimeout, d.CallTimeout)
	orDefault(&o.RemoteTimeout, d.RemoteTimeout)
	orDefault(&o.ProbeGap, d.ProbeGap)
	orDefault(&o.Failures, d.Failures)
	return o
}

// Claimer takes claims by group commit into the platform's table.
type Claimer struct {
	options Options
	shards  []*shard
	limiter *rate.Limiter
	// failures counts the table's failures in a row.
	failures atomic.Int64
	// open says that claims are refused at once.
	open atomic.Bool
	// refusal is why claims are refused at once.
	refusal  atomic.Pointer[string]
	counters counters
	// layoutVersion is the version of the layout row, zero before it is known.
	layoutVersion atomic.Uint64
}

// New returns a claimer that takes claims while Run runs.
func New(options Options) *Claimer {
	o := options.withDefaults()
	c := &Claimer{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.Writes), max(1, o.Layout.Shards)),
	}
	for i := range o.Layout.Shards {
		c.shards = append(c.shards, &shard{
			claimer: c,
			writer:  newWriter(i, o.Layout, o.Table, o.Clock, uuid.NewString),
			woken:   make(chan struct{}, 1),
			posted:  make(chan struct{}, 1),
		})
	}
	return c
}

// Claim returns nil once the claim is this attempt's alone, a *croft.ClaimedError or a *croft.NoClaimError.
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

func (c *Claimer) claim(ctx context.Context, request croft.Request, attempt string) error {
	if c.open.Load() {
		return &croft.NoClaimError{Reason: c.why()}
	}
	start := c.options.Clock.Elapsed()
	left := request.Deadline - c.options.Clock.Now()
	if left <= 0 {
		return &croft.NoClaimError{Reason: "the deadline has passed"}
	}
	hash, number := hashOf(request)
	s := c.shards[number%uint64(len(c.shards))]
	one := newWanted(Record{Hash: hash, Attempt: attempt})
	if !s.submit(one) {
		return &croft.NoClaimError{Reason: "too many claims wait"}
	}
	v := c.await(ctx, one, left)
	if v.granted && c.options.Clock.Elapsed()-start >= c.options.Layout.Margin {
		v = verdict{reason: "the claim was taken too long ago"}
	}
	switch {
	case v.granted:
		return nil
	case v.holder != "":
		return &croft.ClaimedError{Attempt: v.holder}
	}
	one.gone.Store(true)
	if one.sent.Load() {
		s.giveBack(one.record)
	}
	return &croft.NoClaimError{Reason: v.reason}
}

func (c *Claimer) await(ctx context.Context, one *wanted, left croft.Millis) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := make(chan struct{})
	go func() {
		if c.options.Clock.Sleep(ctx, left) == nil {
			close(late)
		}
	}()
	select {
	case v := <-one.ended:
		return v
	case <-late:
		return verdict{reason: "no verdict before the deadline"}
	case <-ctx.Done():
		return verdict{reason: "the request was given up"}
	}
}

// Release gives back the claim of an attempt that surely did not run and will not.
func (c *Claimer) Release(_ context.Context, request croft.Request, attempt string) {
	c.counters.released.Add(1)
	hash, number := hashOf(request)
	s := c.shards[number%uint64(len(c.shards))]
	s.giveBack(Record{Hash: hash, Attempt: attempt})
}

// Run commits claims until the context ends, and returns the context's error.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.probe(ctx) })
	for _, s := range c.shards {
		group.Go(func() error { return s.run(ctx) })
		group.Go(func() error { return s.runForward(ctx) })
	}
	return group.Wait()
}

// probe settles the layout row and then asks the table each probe gap while it fails.
func (c *Claimer) probe(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.layoutVersion.Load() == 0 || c.open.Load() {
			c.note(c.agree(ctx))
		}
		if err := c.options.Clock.Sleep(ctx, c.options.ProbeGap); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// LayoutError tells that the other entries use another layout.
type LayoutError struct{ Row string }

// Error shows the layout in force.
func (e *LayoutError) Error() string {
	return "claim: this entry's layout of claims differs from the one in force, which is " + e.Row
}

// agree writes the layout row or compares it with this entry's layout.
func (c *Claimer) agree(ctx context.Context) error {
	value, err := json.Marshal(c.options.Layout)
	if err != nil {
		return err
	}
	ctx, cancel := c.bounded(ctx)
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

func (c *Claimer) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.options.CallTimeout.Duration())
}

// note counts the table's failures and opens or closes the way for claims.
func (c *Claimer) note(err error) {
	if err == nil {
		c.failures.Store(0)
		c.open.Store(false)
		return
	}
	reason := "the platform's table does not answer"
	var mismatch *LayoutError
	if errors.As(err, &mismatch) {
		reason = mismatch.Error()
	}
	c.refusal.Store(&reason)
	if c.failures.Add(1) >= int64(c.options.Failures) {
		c.open.Store(true)
	}
}

// why returns the reason for which claims are refused at once.
func (c *Claimer) why() string {
	if reason := c.refusal.Load(); reason != nil {
		return *reason
	}
	return "no claim has been tried"
}

// admit waits for this entry's share of the table's writes.
func (c *Claimer) admit(ctx context.Context) error {
	now := time.UnixMilli(int64(c.options.Clock.Elapsed()))
	wait := c.limiter.ReserveN(now, 1).DelayFrom(now)
	return c.options.Clock.Sleep(ctx, croft.Millis(wait.Milliseconds()))
}
