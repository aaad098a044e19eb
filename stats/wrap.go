package stats

import (
	"context"
	"errors"
	"time"

	"waxwing.example/croft"
)

// outcome returns the label of a call's error.
func outcome(err error) string {
	var conflict *croft.ConflictError
	var unavailable *croft.UnavailableError
	var refused *croft.RunRefusedError
	var vm *croft.FleetRefusedError
	switch {
	case err == nil, errors.Is(err, croft.ErrNoRow):
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &refused), errors.As(err, &vm):
		return "refused"
	case errors.As(err, &unavailable):
		return "not done"
	case errors.Is(err, croft.ErrHistoryGone):
		return "history gone"
	default:
		return "no answer"
	}
}

func (s *Stats) storeCall(call string, began time.Time, err error) {
	s.outcomes.WithLabelValues(call, outcome(err)).Inc()
	s.store.WithLabelValues(call).Observe(time.Since(began).Seconds())
}

func (s *Stats) orderCall(order string, began time.Time, err error) {
	s.inFlight.Dec()
	s.outcomes.WithLabelValues(order, outcome(err)).Inc()
	s.orders.WithLabelValues(order).Observe(time.Since(began).Seconds())
}

// Table counts the calls of a table.
type Table struct {
	croft.Table
	stats *Stats
}

// Table returns a table whose calls are counted.
func (s *Stats) Table(table croft.Table) Table { return Table{Table: table, stats: s} }

// Get returns a row.
func (t Table) Get(ctx context.Context, key string) (croft.Row, error) {
	began := time.Now()
	row, err := t.Table.Get(ctx, key)
	t.stats.storeCall("get", began, err)
	return row, err
}

// Scan returns rows.
func (t Table) Scan(ctx context.Context, rows croft.Range) ([]croft.Row, error) {
	began := time.Now()
	got, err := t.Table.Scan(ctx, rows)
	t.stats.storeCall("scan", began, err)
	return got, err
}

// Commit does all operations or none.
func (t Table) Commit(ctx context.Context, ops []croft.Op) (uint64, error) {
	began := time.Now()
	version, err := t.Table.Commit(ctx, ops)
	t.stats.storeCall("commit", began, err)
	return version, err
}

// Runner counts orders to executors.
type Runner struct {
	croft.Runner
	stats *Stats
}

// Runner returns a runner whose orders are counted.
func (s *Stats) Runner(runner croft.Runner) Runner { return Runner{Runner: runner, stats: s} }

// Start begins a run.
func (r Runner) Start(ctx context.Context, order croft.RunOrder) (croft.Millis, error) {
	r.stats.inFlight.Inc()
	began := time.Now()
	clock, err := r.Runner.Start(ctx, order)
	r.stats.orderCall("start", began, err)
	return clock, err
}

// Stop ends a run.
func (r Runner) Stop(ctx context.Context, order croft.RunOrder) error {
	r.stats.inFlight.Inc()
	began := time.Now()
	err := r.Runner.Stop(ctx, order)
	r.stats.orderCall("stop", began, err)
	return err
}

// Hold renews leases; its time includes the wait that was asked for.
func (r Runner) Hold(ctx context.Context, order croft.HoldOrder) (croft.HoldReport, error) {
	r.stats.inFlight.Inc()
	began := time.Now()
	report, err := r.Runner.Hold(ctx, order)
	r.stats.orderCall("hold", began, err)
	return report, err
}

// Fleet counts the calls for VMs.
type Fleet struct {
	croft.Fleet
	stats *Stats
}

// Fleet returns a fleet whose calls are counted.
func (s *Stats) Fleet(fleet croft.Fleet) Fleet { return Fleet{Fleet: fleet, stats: s} }

// ListFleet returns all VMs.
func (f Fleet) ListFleet(ctx context.Context) ([]croft.FleetVM, error) {
	vms, err := f.Fleet.ListFleet(ctx)
	f.stats.outcomes.WithLabelValues("list VMs", outcome(err)).Inc()
	return vms, err
}

// MoveOrMaintain carries out an order.
func (f Fleet) MoveOrMaintain(ctx context.Context, order croft.FleetOrder) error {
	err := f.Fleet.MoveOrMaintain(ctx, order)
	f.stats.outcomes.WithLabelValues("order VM", outcome(err)).Inc()
	return err
}
