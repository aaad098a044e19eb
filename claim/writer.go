package claim

import (
	"context"
	"errors"
	"sync"

	"waxwing.example/croft"
)

// writer commits the batches of one shard, with one table call a step.
type writer struct {
	shard int
	table croft.Table
	clock croft.Clock
	nonce func() string

	mu       sync.Mutex
	queue    []*wanted
	releases []Record
	// reread says that rows must be read before the releases are judged.
	reread bool

	// The fields below belong to the goroutine that steps.
	ledger *ledger
	// behind says that rows must be read before a batch may be proposed.
	behind bool
	page   string
	// refreshed is when the log was last read or written to its end.
	refreshed croft.Millis
	// limit is the most rows of one read.
	limit int
	// flight is the batch whose commit is not settled, nil for none.
	flight  *logBatch
	waiting []*wanted
	// commits counts the transactions asked for.
	commits int
	// conflicts counts those that lost to another entry's.
	conflicts int
}

func newWriter(shard int, layout Layout, table croft.Table, clock croft.Clock, nonce func() string) *writer {
	return &writer{
		shard:  shard,
		table:  table,
		clock:  clock,
		nonce:  nonce,
		ledger: newLedger(layout),
		behind: true,
		limit:  scanLimit,
	}
}

// idle reports whether there is nothing to write or to settle.
func (w *writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flight == nil && len(w.queue) == 0 && len(w.releases) == 0
}

// step makes at most one call to the table and returns the platform's failure, if any.
func (w *writer) step(ctx context.Context) error {
	if w.flight != nil {
		return w.commit(ctx)
	}
	if w.behind || w.mustReread() {
		return w.catchUp(ctx)
	}
	if !w.propose() {
		return nil
	}
	return w.commit(ctx)
}

func (w *writer) mustReread() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behind = w.behind || w.reread
	w.reread = false
	return w.behind
}

func (w *writer) catchUp(ctx context.Context) error {
	rows, err := w.table.Scan(ctx, croft.Range{
		Prefix: shardPrefix(w.shard),
		After:  w.page,
		Since:  w.ledger.since(),
		Limit:  w.limit,
	})
	if err != nil {
		return err
	}
	for _, r := range rows {
		if err := w.ledger.read(r); err != nil {
			return err
		}
	}
	if len(rows) == w.limit {
		w.page = rows[len(rows)-1].Key
		return nil
	}
	w.page = ""
	w.refresh()
	return nil
}

// refresh folds what was read and notes whether that was all.
func (w *writer) refresh() {
	w.behind = !w.ledger.fold()
	w.refreshed = w.clock.Now()
}

// propose makes the next batch of what waits and reports whether there is one.
func (w *writer) propose() bool {
	now := w.clock.Now()
	claims, releases := w.take()
	if len(claims) == 0 && len(releases) == 0 {
		return false
	}
	if !w.ledger.room(now) {
		w.refuse(claims, "the shard's log is full")
		return false
	}
	next := logBatch{Seq: w.ledger.next, Nonce: w.nonce(), Taken: now}
	proposed := map[string]string{}
	for _, c := range claims {
		w.judge(c, now, proposed, &next)
	}
	for _, r := range releases {
		if w.ledger.holds(r.Hash, now) == r.Attempt {
			next.Releases = append(next.Releases, r)
		}
	}
	if len(next.Claims) == 0 && len(next.Releases) == 0 {
		return false
	}
	w.flight = &next
	return true
}

func (w *writer) judge(c *wanted, now croft.Millis, proposed map[string]string, next *logBatch) {
	held := w.ledger.holds(c.record.Hash, now)
	switch {
	case c.gone.Load():
		return
	case held == c.record.Attempt:
		c.end(verdict{granted: true})
		return
	case held != "" && now > w.refreshed+refreshSpan:
		// The holder may have released it in a batch of another entry.
		w.behind = true
		w.requeue([]*wanted{c})
		return
	case held != "":
		c.end(verdict{holder: held})
		return
	}
	first, twice := proposed[c.record.Hash]
	if !twice {
		proposed[c.record.Hash] = c.record.Attempt
		next.Claims = append(next.Claims, c.record)
	}
	if twice && first != c.record.Attempt {
		// The first may still lose to another entry, so the second is judged again after it.
		w.requeue([]*wanted{c})
		return
	}
	c.sent.Store(true)
	w.waiting = append(w.waiting, c)
}

// commit writes the batch in flight, again and unchanged where an earlier answer was lost.
func (w *writer) commit(ctx context.Context) error {
	b := *w.flight
	w.commits++
	version, err := w.table.Commit(ctx, []croft.Op{w.ledger.op(w.shard, b)})
	if err == nil {
		return w.written(croft.Row{Version: version, Value: b.encode()})
	}
	var conflict *croft.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if len(conflict.Rows) != 1 || conflict.Rows[0].Version == 0 {
		return &RowError{Key: shardPrefix(w.shard), Reason: "a conflict without the row in conflict"}
	}
	row := conflict.Rows[0]
	found, err := decodeBatch(row)
	if err != nil {
		return err
	}
	if found.Seq == b.Seq && found.Nonce == b.Nonce {
		return w.written(row)
	}
	return w.lost(row)
}

// written folds the batch in flight into the ledger and grants its claims.
func (w *writer) written(row croft.Row) error {
	row.Key = slotKey(w.shard, int(w.flight.Seq%uint64(w.ledger.layout.Slots)))
	if err := w.ledger.read(row); err != nil {
		return err
	}
	w.refresh()
	w.flight = nil
	for _, c := range w.waiting {
		c.end(verdict{granted: true})
	}
	w.waiting = nil
	return nil
}

// lost takes in the row that came first and queues the batch's claims again.
func (w *writer) lost(row croft.Row) error {
	w.conflicts++
	releases := w.flight.Releases
	w.flight = nil
	w.requeue(w.waiting)
	w.waiting = nil
	for _, r := range releases {
		w.release(r)
	}
	w.behind = true
	if err := w.ledger.read(row); err != nil {
		return err
	}
	w.ledger.fold()
	return nil
}
