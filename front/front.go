package front

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"waxwing.example/croft"
	"waxwing.example/croft/admit"
	"waxwing.example/croft/inflow"
	"waxwing.example/croft/meter"
	"waxwing.example/croft/retry"
	"waxwing.example/croft/route"
	"waxwing.example/croft/serve"
)

const (
	// expireInterval is the time between two checks for waiters that can no longer start in time. A planned stop checks
	// at the same interval whether requests are still running.
	expireInterval = 20 * croft.Millis(1)
	// countInterval is the time between TrafficCounted events.
	countInterval = croft.Second
	// defaultMaxBodyBytes is the default of Limits.BodyBytes.
	defaultMaxBodyBytes = 1 << 20
	// defaultBodyTimeout is the default of Limits.BodyTimeout.
	defaultBodyTimeout = 30 * croft.Second
	// defaultBalancerDelay is the default of Limits.BalancerDelay.
	defaultBalancerDelay = 5 * croft.Second
	// defaultRetryShare is the number of retries that each first attempt earns, in thousandths of a retry.
	defaultRetryShare = 100
)

// Limits holds the limits of requests and the delay of a planned stop; a zero field selects its default.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// BodyTimeout is the time for a request body to arrive.
	BodyTimeout croft.Millis
	// BalancerDelay is how long a planned stop keeps serving after readiness fails, so that the load balancer can
	// react; a negative value disables the delay.
	BalancerDelay croft.Millis
}

// Policies selects the mechanisms for admission, retries and load balancing; a nil field selects the default, which
// the scenario tests cover.
type Policies struct {
	// Queue returns a new scheduler for one pool.
	Queue func() admit.Scheduler
	// Retry returns a new retry policy for one pool.
	Retry func() retry.Policy
	// Picker picks the executors of all pools.
	Picker route.Picker
}

// Options holds the dependencies and settings of a Front; all but Policies, Limits and Gate are required.
type Options struct {
	Clock    croft.Clock
	Viewer   croft.Viewer
	Executor croft.Executor
	Claimer  croft.Claimer
	Poster   croft.Poster
	Log      croft.DecisionLog
	Policies Policies
	Limits   Limits
	// Gate limits the memory of requests and replies; it has to be that of the listener, nil for no limit.
	Gate *inflow.Gate
}

// Front is the traffic path of an entry: the HTTP handlers for callers, with admission and load balancing.
type Front struct {
	Options
	meter  *meter.Meter
	router *echo.Echo
	pools  poolSet

	// running is the number of requests being served, from the first byte read to the last byte written.
	running atomic.Int64
	// stopping is set once a planned stop has begun: readiness fails and connections are closed.
	stopping atomic.Bool
	// refusing is set once a planned stop refuses new requests.
	refusing atomic.Bool
}

// New returns a front; its Run must be running while its Handler serves requests.
func New(options Options) *Front {
	options.Policies = withDefaults(options.Policies)
	if options.Limits.BodyBytes == 0 {
		options.Limits.BodyBytes = defaultMaxBodyBytes
	}
	if options.Limits.BodyTimeout == 0 {
		options.Limits.BodyTimeout = defaultBodyTimeout
	}
	if options.Limits.BalancerDelay == 0 {
		options.Limits.BalancerDelay = defaultBalancerDelay
	}
	f := &Front{Options: options, meter: meter.New(), router: echo.New()}
	f.pools = newPoolSet(f)
	f.router.HTTPErrorHandler = f.handleRouteError
	f.router.POST("/v1/:service/:kind", f.serve)
	f.router.GET("/ready", f.ready)
	f.router.GET("/live", func(c *echo.Context) error { return c.String(http.StatusOK, "live\n") })
	return f
}

// withDefaults replaces nil policies by the defaults.
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
func (f *Front) Handler() http.Handler { return serve.Requests(f.router, f.Limits.BodyTimeout) }

// Meter returns the traffic meter of this front.
func (f *Front) Meter() *meter.Meter { return f.meter }

// Run refuses waiters that can no longer start in time and posts traffic counts. It returns the context's error once
// the context has ended.
func (f *Front) Run(ctx context.Context) error {
	next := f.Clock.Elapsed() + countInterval
	for {
		if err := f.Clock.Sleep(ctx, expireInterval); err != nil {
			return err
		}
		f.pools.sync()
		f.pools.expire()
		if f.Clock.Elapsed() < next {
			continue
		}
		next += countInterval
		f.Poster.Post(croft.TrafficCounted{
			At:     croft.At{Time: f.Clock.Now()},
			Counts: f.meter.Delta(),
			Wanted: f.pools.wanted(),
		})
	}
}

// ready answers the load balancer's readiness checks: 503 during a planned stop or if the control state is not ready.
func (f *Front) ready(c *echo.Context) error {
	v := f.Viewer.View()
	if f.stopping.Load() || v.Stopping || !v.Ready {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// Stop performs a planned stop: it fails readiness, keeps serving while the load balancer reacts, and then refuses new
// requests without dispatching them. It returns once no handler is in progress, or with the context's error; the
// server's Shutdown then closes the connections.
func (f *Front) Stop(ctx context.Context) error {
	f.stopping.Store(true)
	if f.Limits.BalancerDelay > 0 {
		if err := f.Clock.Sleep(ctx, f.Limits.BalancerDelay); err != nil {
			return err
		}
	}
	f.refusing.Store(true)
	for f.running.Load() > 0 {
		if err := f.Clock.Sleep(ctx, expireInterval); err != nil {
			return err
		}
	}
	return nil
}
