package front

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/admit"
	"waxwing.example/croft/meter"
	"waxwing.example/croft/retry"
	"waxwing.example/croft/route"
)

const (
	// expireEvery is the span between looks at waiters that can no longer start.
	expireEvery = 20 * croft.Millis(1)
	// countEvery is the span between TrafficCounted events.
	countEvery = croft.Second
	// defaultBodyBytes is the largest body where Limits gives none.
	defaultBodyBytes = 1 << 20
	// defaultBalancerSpan is how long a planned stop waits for the balancer where Limits gives nothing.
	defaultBalancerSpan = 5 * croft.Second
	// defaultRetryShare is the share of further attempts in thousandths of the first ones.
	defaultRetryShare = 100
)

// Limits bound requests and the planned stop; zero values stand for the defaults.
type Limits struct {
	// BodyBytes is the largest body of a request.
	BodyBytes int64
	// BalancerSpan is how long a planned stop goes on serving once readiness fails; negative for not at all.
	BalancerSpan croft.Millis
}

// Policies select the mechanisms; nil fields stand for the ones proved by the scenarios.
type Policies struct {
	// Queue makes the scheduler of one pool.
	Queue func() admit.Scheduler
	// Retry makes the retry policy of one pool.
	Retry func() retry.Policy
	// Picker picks executors for all pools.
	Picker route.Picker
}

// Options are what a Front works with; all but Policies and Limits are required.
type Options struct {
	Clock    croft.Clock
	Viewer   croft.Viewer
	Executor croft.Executor
	Claimer  croft.Claimer
	Poster   croft.Poster
	Log      croft.DecisionLog
	Policies Policies
	Limits   Limits
}

// Front is the traffic path of an entry.
type Front struct {
	Options
	meter *meter.Meter
	web   *echo.Echo
	pools pools

	// running counts requests being served, from their first byte read to their last byte written.
	running  atomic.Int64
	stopping atomic.Bool
	refusing atomic.Bool
}

// New returns a front that serves nothing until Run is called too.
func New(options Options) *Front {
	options.Policies = withDefaults(options.Policies)
	if options.Limits.BodyBytes == 0 {
		options.Limits.BodyBytes = defaultBodyBytes
	}
	if options.Limits.BalancerSpan == 0 {
		options.Limits.BalancerSpan = defaultBalancerSpan
	}
	f := &Front{Options: options, meter: meter.New(), web: echo.New()}
	f.pools = newPools(f)
	f.web.HTTPErrorHandler = f.routeFailed
	f.web.POST("/v1/:service/:kind", f.serve)
	f.web.GET("/ready", f.ready)
	f.web.GET("/live", func(c *echo.Context) error { return c.String(http.StatusOK, "live\n") })
	return f
}

func withDefaults(p Policies) Policies {
	if p.Queue == nil {
		p.Queue = func() admit.Scheduler { return admit.NewFairShare() }
	}
	if p.Retry == nil {
		p.Retry = func() retry.Policy { return retry.NewBudget(defaultRetryShare) }
	}
	if p.Picker == nil {
		p.Picker = route.NewTwoChoices(uint64(uuid.New().ID()))
	}
	return p
}

// Handler returns the callers' HTTP interface.
func (f *Front) Handler() http.Handler { return f.web }

// Meter returns the counts of this front.
func (f *Front) Meter() *meter.Meter { return f.meter }

// Run expires waiters and posts counts until the context ends, and then returns the context's error.
func (f *Front) Run(ctx context.Context) error {
	next := f.Clock.Elapsed() + countEvery
	for {
		if err := f.Clock.Sleep(ctx, expireEvery); err != nil {
			return err
		}
		f.pools.sync()
		f.pools.expire()
		if f.Clock.Elapsed() < next {
			continue
		}
		next += countEvery
		f.Poster.Post(croft.TrafficCounted{
			At:     croft.At{Time: f.Clock.Now()},
			Counts: f.meter.Delta(),
			Wanted: f.pools.wanted(),
		})
	}
}

func (f *Front) ready(c *echo.Context) error {
	v := f.Viewer.View()
	if f.stopping.Load() || v.Stopping || !v.Ready {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// Stop fails readiness, serves on while the balancer takes note, then refuses what is new as not run and
// returns once no handler is in progress, or with the context's error; the server's Shutdown then ends the connections.
func (f *Front) Stop(ctx context.Context) error {
	f.stopping.Store(true)
	if f.Limits.BalancerSpan > 0 {
		if err := f.Clock.Sleep(ctx, f.Limits.BalancerSpan); err != nil {
			return err
		}
	}
	f.refusing.Store(true)
	for f.running.Load() > 0 {
		if err := f.Clock.Sleep(ctx, expireEvery); err != nil {
			return err
		}
	}
	return nil
}
