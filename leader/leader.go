package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"waxwing.example/croft"
)

// Table holds the row of the lead and what the leader publishes.
const Table = "lead"

// Key is the row of the lead.
const Key = Table + "//leader"

// Spans of the lead, as shares of the lease.
const (
	// renewShare is the part of the lease after which it is renewed: three times before the row
	// counts as standing still.
	renewShare = 8
	// stillShare is the part of the lease, in percent, for which the row must stand still before
	// another entry takes the lead. Executors and rows tell the holders apart by their fencing tokens,
	// so that only orders for VMs have to wait for the whole lease.
	stillShare = 40
	// stillFactor times the longest of the last gaps between renewals, in percent, is waited for too:
	// where the store is slow, so are the renewals.
	stillFactor = 250
	// delayFactor times the delay of the store's answers is waited for besides: a renewal is a write and
	// comes by an answer, each as late.
	delayFactor = 3
	// gapFade is what is left of the longest gap, in percent, with each renewal.
	gapFade = 80
	// marginShare is the part of the lease that a holder leaves unused, for the way of an order.
	marginShare = 10
	// rankWait keeps candidates from racing for a lapsed lead.
	rankWait = 60 * croft.Millis(1)
	// retryWait is the pause after a failed renewal.
	retryWait = 150 * croft.Millis(1)
	// stepWait is how often the lead is looked at.
	stepWait = 100 * croft.Millis(1)
)

// row is the value of the row of the lead.
type row struct {
	Holder string
	// Nonce tells one write of a holder from all others.
	Nonce string
	// Term counts the takeovers.
	Term int
}

// Lead is one tenure of this entry.
type Lead struct {
	// Fence is the fencing token of all orders.
	Fence uint64
	Term  int
	// VMsFrom is the time, by the steady clock, from which VMs may be ordered about: the lease of the
	// former holder, which need not know of its successor yet, has then ended.
	VMsFrom croft.Millis
}

// Election follows the row of the lead and takes the lead when it lapses.
type Election struct {
	self  string
	rank  croft.Millis
	lease croft.Millis
	table croft.Table
	clock croft.Clock

	// writing is held over each write of the row, so that one does not make the next one conflict.
	writing sync.Mutex
	mu      sync.Mutex
	// seen is the newest row known, and since when it has stood still.
	seen  croft.Row
	value row
	since croft.Millis
	read  croft.Millis
	known bool
	// delay is how late the store's last answer without news was.
	delay croft.Millis
	// gap is the longest of the last spans between renewals by the present holder.
	gap croft.Millis
	// released says that this entry is about to end and takes the lead no more.
	released bool
	// earlier says that the row is that of an earlier process of this entry, which is gone.
	earlier bool
	lead    *Lead
	valid   croft.Millis
	renewed croft.Millis
}

// New returns the election as seen by an entry; its rank spaces the candidates.
func New(self string, rank int, lease croft.Millis, table croft.Table, clock croft.Clock) *Election {
	return &Election{self: self, rank: rankWait * croft.Millis(rank), lease: lease, table: table, clock: clock}
}

// ErrNotLeading tells that an order was held back since the lead has lapsed or passed on.
var ErrNotLeading = errors.New("leader: this entry does not lead")

// Guard returns an error where orders may not be given any more.
func (h *Election) Guard() error {
	now := h.clock.Elapsed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holds(now) {
		return ErrNotLeading
	}
	return nil
}

// holds reports whether the present tenure is not over; the caller holds the lock.
func (h *Election) holds(now croft.Millis) bool { return h.lead != nil && now < h.valid }

// GuardVMs returns an error where VMs may not be ordered about.
func (h *Election) GuardVMs() error {
	now := h.clock.Elapsed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holds(now) || now < h.lead.VMsFrom {
		return ErrNotLeading
	}
	return nil
}

// Lead returns the present tenure, nil where another entry may lead.
func (h *Election) Lead() *Lead {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lead
}

// Drop ends the tenure at once, since a higher fencing token was seen; the row must then stand still
// for a whole lease before this entry takes it again.
func (h *Election) Drop() {
	now := h.clock.Elapsed()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lead, h.since = nil, now
}

// Observe takes in an answer of the feed: the row of the lead, or that it did not change.
func (h *Election) Observe(changes croft.Changes, whole bool) {
	now := h.clock.Elapsed()
	h.mu.Lock()
	defer h.mu.Unlock()
	if now-h.read > h.lease/2 {
		// The store did not answer, perhaps nobody: a living holder gets its time to renew.
		h.since = now
	}
	h.read = now
	if whole && !h.known {
		h.known, h.since = true, now
		h.seen, h.value = croft.Row{Key: Key}, row{}
	}
	first := h.seen.Version == 0 && h.value.Holder == ""
	for _, r := range changes.Rows {
		if r.Key == Key {
			h.observeRow(r, now)
		}
	}
	if whole && first && h.value.Holder == h.self && h.lead == nil {
		h.earlier = true
	}
}

func (h *Election) observeRow(r croft.Row, now croft.Millis) {
	if r.Version <= h.seen.Version {
		return
	}
	var value row
	if err := json.Unmarshal(r.Value, &value); err != nil {
		// An unreadable row is taken over like a lapsed one.
		value = row{}
	}
	h.noteGap(value.Holder, now)
	h.seen, h.value, h.since = r, value, now
	h.earlier = false
	if h.lead != nil && value.Holder != h.self {
		h.lead = nil
	}
}

// Delayed takes in how late an answer of the feed without news was.
func (h *Election) Delayed(delay croft.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = max(delay, 0)
}

// noteGap takes in that the row has changed.
func (h *Election) noteGap(holder string, now croft.Millis) {
	if holder != h.value.Holder || h.seen.Version == 0 {
		h.gap = 0
		return
	}
	h.gap = max(now-h.since, h.gap*gapFade/100)
}

// still returns how long the row must not change before the lead counts as lapsed.
func (h *Election) still() croft.Millis {
	return min(max(h.lease*stillShare/100+h.delay*delayFactor, h.gap*stillFactor/100), h.lease) + h.rank
}

// Run takes and renews the lead until the context ends; notify is called whenever it changed hands.
func (h *Election) Run(ctx context.Context, notify func(*Lead)) error {
	var told *Lead
	for ctx.Err() == nil {
		h.step(ctx)
		if lead := h.Lead(); lead != told {
			told = lead
			notify(lead)
		}
		if err := h.clock.Sleep(ctx, stepWait); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (h *Election) step(ctx context.Context) {
	now := h.clock.Elapsed()
	h.mu.Lock()
	leading := h.lead != nil
	due := now-h.renewed >= h.lease/renewShare
	lapsed := h.known && now-h.read < h.lease/2 && (h.value.Holder == "" || h.earlier || h.read-h.since >= h.still())
	if h.known && h.value.Holder == "" && now-h.since < h.rank {
		lapsed = false
	}
	h.mu.Unlock()
	switch {
	case leading && due:
		h.write(ctx, false)
	case !leading && lapsed:
		h.write(ctx, true)
	}
}

// write renews the lead or takes it over.
func (h *Election) write(ctx context.Context, takeover bool) {
	h.writing.Lock()
	defer h.writing.Unlock()
	h.mu.Lock()
	if h.released {
		h.mu.Unlock()
		return
	}
	value := row{Holder: h.self, Nonce: uuid.NewString(), Term: h.value.Term}
	expected := h.seen.Version
	from := h.since + h.lease
	if h.value.Holder == "" {
		// The former holder gave the lead back and orders nothing any more.
		from = h.since
	}
	h.mu.Unlock()
	if takeover {
		value.Term++
	}
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	sent := h.clock.Elapsed()
	version, err := h.table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: Key, Version: expected, Value: raw}})
	if err != nil {
		version, err = h.settle(ctx, value, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.renewed = sent - h.lease/renewShare + retryWait
		return
	}
	now := h.clock.Elapsed()
	h.noteGap(value.Holder, now)
	h.seen, h.value, h.since = croft.Row{Key: Key, Version: version, Value: raw}, value, now
	h.renewed, h.valid = sent, sent+h.lease-h.lease/marginShare
	h.earlier = false
	if takeover {
		h.lead = &Lead{Fence: version, Term: value.Term, VMsFrom: from}
	}
}

// settle reads back a write that was refused or not answered.
func (h *Election) settle(ctx context.Context, value row, failed error) (uint64, error) {
	var conflict *croft.ConflictError
	if !errors.As(failed, &conflict) {
		var lost *croft.LostAnswerError
		if !errors.As(failed, &lost) {
			return 0, failed
		}
		got, err := h.table.Get(ctx, Key)
		if err != nil {
			return 0, err
		}
		conflict = &croft.ConflictError{Rows: []croft.Row{got}}
	}
	now := h.clock.Elapsed()
	for _, r := range conflict.Rows {
		var current row
		if json.Unmarshal(r.Value, &current) == nil && current.Nonce == value.Nonce {
			return r.Version, nil
		}
		h.mu.Lock()
		h.observeRow(r, now)
		h.mu.Unlock()
	}
	return 0, failed
}

// Release gives the lead back at a planned stop, so that another entry takes it at once.
func (h *Election) Release(ctx context.Context) {
	h.mu.Lock()
	h.released = true
	h.mu.Unlock()
	h.writing.Lock()
	defer h.writing.Unlock()
	h.mu.Lock()
	lead, expected, term := h.lead, h.seen.Version, h.value.Term
	h.lead = nil
	h.known = false
	h.mu.Unlock()
	if lead == nil {
		return
	}
	raw, err := json.Marshal(row{Nonce: uuid.NewString(), Term: term})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// Without an answer the lead lapses by itself.
	_, _ = h.table.Commit(ctx, []croft.Op{{Kind: croft.OpPut, Key: Key, Version: expected, Value: raw}})
}
