package claim

import (
	"context"
	"errors"
	"sync"

	"waxwing.example/croft"
)

// writer commits the batches of one shard, with at most one call to the table in each step.
type writer struct {
	shard int
	table croft.Table
	clock croft.Clock
	nonce func() string

	// mu guards queue, releases and rereadNeeded.
	mu       sync.Mutex
	queue    []*pendingClaim
	releases []Record
	// rereadNeeded is set if the log must be read again before the queued releases are compared with the claims in it.
	rereadNeeded bool

	// The fields below are used only by the goroutine that calls step.

	ledger *ledger
	// stale is set if the log must be read before a batch may be proposed.
	stale bool
	// scanAfter is the key of the last row read by an unfinished scan, empty at its start.
	scanAfter string
	// refreshedAt is when the log was last read or written to its end.
	refreshedAt croft.Millis
	// pageSize is the number of rows read by one scan.
	pageSize int
	// inFlight is the batch whose commit has no known outcome yet, nil for none.
	inFlight *logBatch
	// inFlightClaims are granted once the batch in flight is committed.
	inFlightClaims []*pendingClaim
	// commits counts the attempted transactions.
	commits int
	// conflicts counts the transactions that lost to another entry's.
	conflicts int
}

func newWriter(shard int, layout Layout, table croft.Table, clock croft.Clock, nonce func() string) *writer {
	return &writer{
		shard:    shard,
		table:    table,
		clock:    clock,
		nonce:    nonce,
		ledger:   newLedger(layout),
		stale:    true,
		pageSize: scanPageSize,
	}
}

// idle reports whether nothing is queued or in flight.
func (w *writer) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight == nil && len(w.queue) == 0 && len(w.releases) == 0
}

// step makes at most one call to the table, to read or to commit, and returns its error; a conflict is not an error.
func (w *writer) step(ctx context.Context) error {
	if w.inFlight != nil {
		return w.commit(ctx)
	}
	if w.stale || w.needsRead() {
		return w.catchUp(ctx)
	}
	if !w.propose() {
		return nil
	}
	return w.commit(ctx)
}

// needsRead reports whether the log must be read, and moves rereadNeeded into stale.
func (w *writer) needsRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stale = w.stale || w.rereadNeeded
	w.rereadNeeded = false
	return w.stale
}

// catchUp reads the next page of new rows into the ledger, and folds them after the last page.
func (w *writer) catchUp(ctx context.Context) error {
	rows, err := w.table.Scan(ctx, croft.Range{
		Prefix: shardPrefix(w.shard),
		After:  w.scanAfter,
		Since:  w.ledger.foldedVersion(),
		Limit:  w.pageSize,
	})
	if err != nil {
		return err
	}
	for _, r := range rows {
		if err := w.ledger.addRow(r); err != nil {
			return err
		}
	}
	if len(rows) == w.pageSize {
		w.scanAfter = rows[len(rows)-1].Key
		return nil
	}
	w.scanAfter = ""
	w.foldRead()
	return nil
}

// foldRead folds the batches read so far, and records whether any are missing and the time.
func (w *writer) foldRead() {
	w.stale = !w.ledger.fold()
	w.refreshedAt = w.clock.Now()
}

// propose creates the next batch from the queue, and reports whether there is one to commit.
func (w *writer) propose() bool {
	now := w.clock.Now()
	claims, releases := w.takeQueued()
	if len(claims) == 0 && len(releases) == 0 {
		return false
	}
	if !w.ledger.hasFreeSlot(now) {
		w.refuse(claims, "the shard's log is full")
		return false
	}
	batch := logBatch{Seq: w.ledger.nextSeq, Nonce: w.nonce(), Taken: now}
	proposed := map[string]string{}
	for _, c := range claims {
		w.evaluate(c, now, proposed, &batch)
	}
	for _, r := range releases {
		if w.ledger.holderOf(r.Hash, now) == r.Attempt {
			batch.Releases = append(batch.Releases, r)
		}
	}
	if len(batch.Claims) == 0 && len(batch.Releases) == 0 {
		return false
	}
	w.inFlight = &batch
	return true
}

// evaluate resolves or requeues a claim by the folded log, or adds it to the next batch; proposed holds the attempts
// in that batch by hash.
func (w *writer) evaluate(c *pendingClaim, now croft.Millis, proposed map[string]string, batch *logBatch) {
	holder := w.ledger.holderOf(c.record.Hash, now)
	switch {
	case c.abandoned.Load():
		return
	case holder == c.record.Attempt:
		c.resolve(outcome{granted: true})
		return
	case holder != "" && now > w.refreshedAt+maxFoldAge:
		// The holder may have released the claim since the last read, in a batch of another entry.
		w.stale = true
		w.requeue([]*pendingClaim{c})
		return
	case holder != "":
		c.resolve(outcome{holder: holder})
		return
	}
	other, found := proposed[c.record.Hash]
	if !found {
		proposed[c.record.Hash] = c.record.Attempt
		batch.Claims = append(batch.Claims, c.record)
	}
	if found && other != c.record.Attempt {
		// The other attempt in this batch may still lose to another entry, so this one is evaluated again afterwards.
		w.requeue([]*pendingClaim{c})
		return
	}
	c.mayBeLogged.Store(true)
	w.inFlightClaims = append(w.inFlightClaims, c)
}

// commit writes the batch in flight; after a lost answer it is called again and writes the same batch unchanged.
func (w *writer) commit(ctx context.Context) error {
	b := *w.inFlight
	w.commits++
	version, err := w.table.Commit(ctx, []croft.Op{w.ledger.putOp(w.shard, b)})
	if err == nil {
		return w.handleCommitted(croft.Row{Version: version, Value: b.encode()})
	}
	var conflict *croft.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if len(conflict.Rows) != 1 || conflict.Rows[0].Version == 0 {
		return &RowError{Key: shardPrefix(w.shard), Reason: "a conflict without the row in conflict"}
	}
	row := conflict.Rows[0]
	existing, err := decodeBatch(row)
	if err != nil {
		return err
	}
	if existing.Seq == b.Seq && existing.Nonce == b.Nonce {
		return w.handleCommitted(row)
	}
	return w.handleConflict(row)
}

// handleCommitted folds the committed batch into the ledger and grants its claims.
func (w *writer) handleCommitted(row croft.Row) error {
	row.Key = slotKey(w.shard, int(w.inFlight.Seq%uint64(w.ledger.layout.Slots)))
	if err := w.ledger.addRow(row); err != nil {
		return err
	}
	w.foldRead()
	w.inFlight = nil
	for _, c := range w.inFlightClaims {
		c.resolve(outcome{granted: true})
	}
	w.inFlightClaims = nil
	return nil
}

// handleConflict adds the row that another writer committed first to the ledger, and queues the claims and releases of
// the batch in flight again.
func (w *writer) handleConflict(row croft.Row) error {
	w.conflicts++
	releases := w.inFlight.Releases
	w.inFlight = nil
	w.requeue(w.inFlightClaims)
	w.inFlightClaims = nil
	for _, r := range releases {
		w.enqueueRelease(r)
	}
	w.stale = true
	if err := w.ledger.addRow(row); err != nil {
		return err
	}
	w.ledger.fold()
	return nil
}
