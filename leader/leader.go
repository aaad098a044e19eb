package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// Table is the name of the table that holds the leader row and the rows that the leader publishes.
const Table = "lead"

// Key is the key of the leader row.
const Key = Table + "//leader"

// Timing of renewals and takeovers, most of it relative to the duration of the lease.
const (
	// renewDivisor divides the lease into renewal intervals: the row is renewed three times within
	// the time after which it counts as expired.
	renewDivisor = 8
	// unchangedPercent is the share of the lease, in percent, for which the row must stay unchanged
	// before another entry takes over. This can be less than the whole lease because executors and
	// stored rows distinguish successive leaders by their fencing tokens; only VM orders have to wait
	// for the whole lease.
	unchangedPercent = 40
	// gapPercent of the longest recent gap between renewals must also pass before a takeover:
	// renewals come late while the store is slow.
	gapPercent = 250
	// delayFactor times the delay of the store's answers is added to that wait: a renewal is a write
	// and becomes visible through an answer of the feed, and both may be delayed.
	delayFactor = 3
	// gapDecayPercent is the percentage to which the longest gap decays with each renewal.
	gapDecayPercent = 80
	// doubtPercent of the lease after a leader's last renewal it must assume that another entry may have taken over; this is
	// less than unchangedPercent, since clocks differ.
	doubtPercent = 35
	// marginDivisor gives the part of the lease that the leader leaves unused, so that orders sent
	// at the last moment arrive within the lease.
	marginDivisor = 10
	// rankSpacing is the delay between candidates of consecutive ranks, so that they don't race to
	// take over.
	rankSpacing = 60 * croft.Millis(1)
	// retryDelay is the pause after a failed renewal.
	retryDelay = 150 * croft.Millis(1)
	// stepInterval is how often an entry checks whether to renew or take over.
	stepInterval = 100 * croft.Millis(1)
)

// leaderRow is the value of the leader row.
type leaderRow struct {
	// Holder is the leader, empty after it has released the leadership.
	Holder string
	// Nonce is unique to each write, so that the writer recognises it after a lost answer.
	Nonce string
	// Term counts the takeovers.
	Term int
	// Rank is the rank of the holder.
	Rank int
	// PredecessorRemaining is set in a released row: for how long, from the release on, a leader before the one that
	// released the row may still give VM orders, or the last ones of the latter may arrive, in milliseconds.
	PredecessorRemaining croft.Millis `json:",omitempty"`
	// Class is the class of strength of the entry that wrote the row, nil if it has a version that writes none.
	Class *int `json:",omitempty"`
	// Executors is the number of executors that the leader has, zero if it is not known.
	Executors int `json:",omitempty"`
	// Successor is set in a row that was released for one entry.
	Successor string `json:",omitempty"`
}

// unknownHolder stands for the holder of a leader row that can't be decoded: it may be a leader that gives orders.
const unknownHolder = "unknown"

// Leadership is one term of leadership of this entry.
type Leadership struct {
	// Fence is the fencing token of all orders in this term.
	Fence uint64
	// Term is the number of the term, counted over all entries.
	Term int
	// VMOrdersFrom is the time, by the monotonic clock, from which orders for VMs are allowed. Until then the
	// former leader, which may not have noticed the takeover, may send such orders within its lease.
	VMOrdersFrom croft.Millis
}

// Election follows the leader row, takes the leadership over when the row expires, and renews it.
type Election struct {
	self string
	rank int
	// rankDelay delays a takeover by this entry, so that candidates don't race.
	rankDelay croft.Millis
	lease     croft.Millis
	table     croft.Table
	clock     croft.Clock
	strength  Strength
	// log logs decisions about handovers, if it is set.
	log func(croft.Decision)

	// writeMu serialises writes of the row, which would conflict with each other.
	writeMu sync.Mutex
	mu      sync.Mutex
	// row is the newest version seen of the leader row and value its decoded value. It counts as
	// unchanged since unchangedSince: its last change, the end of an outage of the store, or a StepDown.
	row            croft.Row
	value          leaderRow
	unchangedSince croft.Millis
	// lastAnswer is when the store last answered the feed.
	lastAnswer croft.Millis
	// rowKnown reports that the leader row has been read, or been found not to exist.
	rowKnown bool
	// rowFromFeed reports that the feed has returned a change of the leader row since the table was last read as a whole.
	rowFromFeed bool
	// executors is the number of executors that this entry leads, zero if it is not known.
	executors int
	// answerDelay is how late the store's last answer without changes was.
	answerDelay croft.Millis
	// longestGap is the longest recent gap between renewals by the current leader; it decays.
	longestGap croft.Millis
	// stopping reports that this entry is shutting down and must not lead any more.
	stopping bool
	// stepDowns counts the calls of StepDown.
	stepDowns int
	// ownEarlierRow reports that the row was written by an earlier process of this entry, which has ended, or in an earlier term
	// of this one, which gives no more orders.
	ownEarlierRow bool
	// leadership is the current term of this entry, nil if it does not lead. It holds until
	// validUntil, by the monotonic clock, unless it is renewed; the last renewal was at renewedAt.
	leadership *Leadership
	validUntil croft.Millis
	renewedAt  croft.Millis
	// renewedFence is the version of the row after the last renewal by this entry.
	renewedFence uint64
	handover     handover
}

// New returns an Election for the entry named self; candidates of a higher rank take over later.
func New(self string, rank int, lease croft.Millis, table croft.Table, clock croft.Clock) *Election {
	return &Election{self: self, rank: rank, rankDelay: rankSpacing * croft.Millis(rank), lease: lease, table: table, clock: clock}
}

// ErrNotLeading reports that an order was not sent because this entry does not lead or, for a VM order,
// because the former leader's lease has not ended.
var ErrNotLeading = errors.New("leader: this entry does not lead")

// Guard returns ErrNotLeading if this entry may not send orders.
func (e *Election) Guard() error {
	now := e.clock.Elapsed()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLeading(now) {
		return ErrNotLeading
	}
	return nil
}

// isLeading reports whether this entry leads and its lease has not expired; the caller holds e.mu.
func (e *Election) isLeading(now croft.Millis) bool { return e.leadership != nil && now < e.validUntil }

// GuardVMOrders returns ErrNotLeading if this entry may not send VM orders, or may not send them yet.
func (e *Election) GuardVMOrders() error {
	now := e.clock.Elapsed()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isLeading(now) || now < e.leadership.VMOrdersFrom {
		return ErrNotLeading
	}
	return nil
}

// DoubtFrom returns from when on, by the monotonic clock, another entry may have taken over unless this one renews its
// leadership before; zero if it does not lead.
func (e *Election) DoubtFrom() croft.Millis {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadership == nil {
		return 0
	}
	renewed := e.validUntil - e.lease + e.lease/marginDivisor
	return renewed + e.lease*doubtPercent/100
}

// RenewedFence returns a fencing token that only this entry has and that is higher after each renewal; zero if this entry does not
// lead. It is lower than that of any successor, whose takeover is a later write of the row.
func (e *Election) RenewedFence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leadership == nil {
		return 0
	}
	return e.renewedFence
}

// Leadership returns the current term of this entry, nil if it does not lead.
func (e *Election) Leadership() *Leadership {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leadership
}

// standbyRanks is by how many ranks an entry that stands by may come after the leader. The next leader is most likely
// among these, since the leader was itself the first of the candidates.
const standbyRanks = 1

// StandsBy reports whether this entry is likely to be the next leader, so that it should know what a leader has to know.
func (e *Election) StandsBy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	near := e.rank <= e.value.Rank+standbyRanks || e.leaderIsWeaker()
	return e.rowKnown && !e.stopping && e.leadership == nil && e.value.Holder != "" && near
}

// StepDown ends this entry's leadership at once, for use when a higher fencing token has been seen. The
// entry takes over again only after the row has stayed unchanged for the usual time from now.
func (e *Election) StepDown() {
	now := e.clock.Elapsed()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leadership, e.unchangedSince = nil, now
	e.stepDowns++
}

// Observe processes an answer of the feed, which has the leader row or shows that it did not change;
// whole reports that the answer is a read of the whole table.
func (e *Election) Observe(changes croft.Changes, whole bool) {
	now := e.clock.Elapsed()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.lastAnswer > e.lease/2 {
		// The store did not answer this entry for a while, and perhaps did not answer the leader either.
		// A live leader gets time to renew.
		e.unchangedSince = now
	}
	e.lastAnswer = now
	if whole && !e.rowKnown {
		e.rowKnown, e.unchangedSince = true, now
		e.row, e.value = croft.Row{Key: Key}, leaderRow{}
	}
	firstRead := e.row.Version == 0 && e.value.Holder == ""
	e.rowFromFeed = e.rowFromFeed && !whole
	for _, r := range changes.Rows {
		if r.Key == Key {
			e.rowFromFeed = !whole
			e.applyRow(r, now)
		}
		if r.Key == CandidateKey {
			e.applyCandidate(r, now, whole)
		}
	}
	if whole && firstRead && e.value.Holder == e.self && e.leadership == nil {
		e.ownEarlierRow = true
	}
}

// applyRow records a newer version of the leader row, which ends the leadership of this entry if
// another entry wrote the row; the caller holds e.mu.
func (e *Election) applyRow(r croft.Row, now croft.Millis) {
	if r.Version <= e.row.Version {
		return
	}
	var value leaderRow
	if err := json.Unmarshal(r.Value, &value); err != nil {
		value = leaderRow{Holder: unknownHolder, Term: e.value.Term}
	}
	e.recordGap(value.Holder, now)
	e.row, e.value, e.unchangedSince = r, value, now
	e.ownEarlierRow = false
	if e.leadership != nil && value.Holder != e.self {
		e.leadership = nil
	}
}

// RecordDelay records how late an answer of the feed without changes was.
func (e *Election) RecordDelay(delay croft.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerDelay = max(delay, 0)
}

// recordGap updates the longest gap between renewals when the row has changed; the first change by
// another holder resets it. The caller holds e.mu.
func (e *Election) recordGap(holder string, now croft.Millis) {
	if holder != e.value.Holder || e.row.Version == 0 {
		e.longestGap = 0
		return
	}
	e.longestGap = max(now-e.unchangedSince, e.longestGap*gapDecayPercent/100)
}

// Run takes over and renews the leadership until the context ends; it calls notify with
// the new term whenever this entry's leadership begins, and with nil when it ends.
func (e *Election) Run(ctx context.Context, notify func(*Leadership)) error {
	var notified *Leadership
	for ctx.Err() == nil {
		e.step(ctx)
		if current := e.Leadership(); current != notified {
			notified = current
			notify(current)
		}
		if err := e.clock.Sleep(ctx, stepInterval); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// step renews the leadership if that is due, or takes it over if it was released or has expired.
func (e *Election) step(ctx context.Context) {
	now := e.clock.Elapsed()
	e.mu.Lock()
	leading := e.leadership != nil
	due := now-e.renewedAt >= e.lease/renewDivisor
	canTakeOver, canAnnounce := e.mayTakeOver(now), e.mayAnnounce(now)
	successor, reason := e.successor(now)
	e.mu.Unlock()
	switch {
	case reason != "":
		e.handOver(ctx, successor, reason)
	case leading && due:
		e.write(ctx, false)
	case !leading && canTakeOver && e.confirmRow(ctx):
		e.write(ctx, true)
	case !leading && canAnnounce:
		e.announce(ctx)
	}
}

// write writes the leader row, to take the leadership over or to renew it.
func (e *Election) write(ctx context.Context, takeover bool) {
	e.writeMu.Lock()
	defer e.writeMu.Unlock()
	e.mu.Lock()
	if e.stopping {
		e.mu.Unlock()
		return
	}
	if takeover {
		e.executors = 0
	}
	value := e.newRow(e.self, uuid.NewString())
	expected := e.row.Version
	vmsFrom := e.unchangedSince + e.lease
	if e.value.Holder == "" {
		// The former leader released the leadership and sends no more orders, but its last ones may still arrive, and the one
		// before it may send some.
		vmsFrom = e.unchangedSince + e.value.PredecessorRemaining
	}
	e.mu.Unlock()
	if takeover {
		value.Term++
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sentAt := e.clock.Elapsed()
	commitCtx, cancel := context.WithTimeout(ctx, (e.lease * unchangedPercent / 100).Duration())
	defer cancel()
	version, err := e.table.Commit(commitCtx, []croft.Op{{Kind: croft.OpPut, Key: Key, Version: expected, Value: encoded}})
	if err != nil {
		version, err = e.resolve(ctx, value, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.renewedAt = sentAt - e.lease/renewDivisor + retryDelay
		return
	}
	now := e.clock.Elapsed()
	e.recordGap(value.Holder, now)
	e.row, e.value, e.unchangedSince = croft.Row{Key: Key, Version: version, Value: encoded}, value, now
	e.renewedAt, e.validUntil = sentAt, sentAt+e.lease-e.lease/marginDivisor
	e.renewedFence = version
	e.ownEarlierRow = false
	if takeover {
		e.leadership = &Leadership{Fence: version, Term: value.Term, VMOrdersFrom: vmsFrom}
		e.handover.leadingSince, e.handover.overloaded = now, false
	}
}

// resolve finds out whether a write of the leader row took effect although it failed with a conflict or
// its answer was lost. It returns the version written, or an error if the write did not take effect or
// its outcome is still unknown.
func (e *Election) resolve(ctx context.Context, value leaderRow, commitErr error) (uint64, error) {
	var conflict *croft.ConflictError
	if !errors.As(commitErr, &conflict) {
		var lost *croft.LostAnswerError
		if !errors.As(commitErr, &lost) {
			return 0, commitErr
		}
		stored, err := e.table.Get(ctx, Key)
		if err != nil {
			return 0, err
		}
		conflict = &croft.ConflictError{Rows: []croft.Row{stored}}
	}
	now := e.clock.Elapsed()
	for _, r := range conflict.Rows {
		var current leaderRow
		if json.Unmarshal(r.Value, &current) == nil && current.Nonce == value.Nonce {
			return r.Version, nil
		}
		e.mu.Lock()
		e.applyRow(r, now)
		e.mu.Unlock()
	}
	return 0, commitErr
}
