package stats

import (
	"context"
	"errors"
	"time"

	"waxwing.example/croft"
)

// outcomeLabel returns the value of the outcome label for a call's error. A missing row counts as done, since the store
// did respond.
func outcomeLabel(err error) string {
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	var runRefused *croft.RunRefusedError
	var vmRefused *croft.FleetRefusedError
	switch {
	case err == nil, errors.Is(err, croft.ErrNoRow):
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &runRefused), errors.As(err, &vmRefused):
		return "refused"
	case errors.As(err, &unavailable):
		return "not done"
	case errors.Is(err, croft.ErrHistoryGone):
		return "history gone"
	default:
		return "no answer"
	}
}

// recordStoreCall records the outcome and duration of a call to the store.
func (s *Stats) recordStoreCall(call string, start time.Time, err error) {
	s.calls.WithLabelValues(call, outcomeLabel(err)).Inc()
	s.storeTimes.WithLabelValues(call).Observe(time.Since(start).Seconds())
}

// recordOrderCall records the outcome and duration of an order to an executor, which is then no longer in flight.
func (s *Stats) recordOrderCall(order string, start time.Time, err error) {
	s.ordersInFlight.Dec()
	s.calls.WithLabelValues(order, outcomeLabel(err)).Inc()
	s.orderTimes.WithLabelValues(order).Observe(time.Since(start).Seconds())
}

// Table wraps a table and records the outcomes and durations of its calls.
type Table struct {
	croft.Table
	stats *Stats
}

// Table returns a table whose calls are recorded.
func (s *Stats) Table(table croft.Table) Table { return Table{Table: table, stats: s} }

// Get calls Get of the wrapped table and records the call.
func (t Table) Get(ctx context.Context, key string) (croft.Row, error) {
	start := time.Now()
	row, err := t.Table.Get(ctx, key)
	t.stats.recordStoreCall("get", start, err)
	return row, err
}

// Scan calls Scan of the wrapped table and records the call.
func (t Table) Scan(ctx context.Context, rows croft.Range) ([]croft.Row, error) {
	start := time.Now()
	result, err := t.Table.Scan(ctx, rows)
	t.stats.recordStoreCall("scan", start, err)
	return result, err
}

// Commit calls Commit of the wrapped table and records the call.
func (t Table) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	start := time.Now()
	version, err := t.Table.Commit(ctx, ops)
	t.stats.recordStoreCall("commit", start, err)
	return version, err
}

// Runner wraps a runner and records the outcomes and durations of its orders to executors, except those of Pace.
type Runner struct {
	croft.Runner
	stats *Stats
}

// Runner returns a runner whose orders are recorded.
func (s *Stats) Runner(runner croft.Runner) Runner { return Runner{Runner: runner, stats: s} }

// Start calls Start of the wrapped runner and records the order.
func (r Runner) Start(ctx context.Context, order croft.RunOrder) (croft.Millis, error) {
	r.stats.ordersInFlight.Inc()
	start := time.Now()
	executorTime, err := r.Runner.Start(ctx, order)
	r.stats.recordOrderCall("start", start, err)
	return executorTime, err
}

// Stop calls Stop of the wrapped runner and records the order.
func (r Runner) Stop(ctx context.Context, order croft.RunOrder) error {
	r.stats.ordersInFlight.Inc()
	start := time.Now()
	err := r.Runner.Stop(ctx, order)
	r.stats.recordOrderCall("stop", start, err)
	return err
}

// Hold calls Hold of the wrapped runner and records the order; its duration includes the wait that the order requests.
func (r Runner) Hold(ctx context.Context, order croft.HoldOrder) (croft.HoldReport, error) {
	r.stats.ordersInFlight.Inc()
	start := time.Now()
	report, err := r.Runner.Hold(ctx, order)
	r.stats.recordOrderCall("hold", start, err)
	return report, err
}

// Fleet wraps a fleet and counts its calls by outcome.
type Fleet struct {
	croft.Fleet
	stats *Stats
}

// Fleet returns a fleet whose calls are counted.
func (s *Stats) Fleet(fleet croft.Fleet) Fleet { return Fleet{Fleet: fleet, stats: s} }

// ListFleet calls ListFleet of the wrapped fleet and counts the call.
func (f Fleet) ListFleet(ctx context.Context) ([]croft.FleetVM, error) {
	vms, err := f.Fleet.ListFleet(ctx)
	f.stats.calls.WithLabelValues("list VMs", outcomeLabel(err)).Inc()
	return vms, err
}

// MoveOrMaintain calls MoveOrMaintain of the wrapped fleet and counts the call.
func (f Fleet) MoveOrMaintain(ctx context.Context, order croft.FleetOrder) error {
	err := f.Fleet.MoveOrMaintain(ctx, order)
	f.stats.calls.WithLabelValues("order VM", outcomeLabel(err)).Inc()
	return err
}
