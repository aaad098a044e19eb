package claim

import (
	"waxwing.example/croft"
)

// claimRecord is a held claim: the attempt that holds it, and the sequence number and creation time of its batch.
type claimRecord struct {
	attempt string
	seq     uint64
	taken   croft.Millis
}

// slot is one row of the ring as last read or written; known is false before that.
type slot struct {
	version uint64
	batch   logBatch
	known   bool
}

// ledger holds the rows and the claims of one shard's log; the claims result from folding the batches in order.
type ledger struct {
	layout Layout
	slots  []slot
	// nextSeq is the lowest sequence number that is not folded.
	nextSeq uint64
	// readEnd is the highest sequence number read so far plus one.
	readEnd uint64
	// claims holds the claims by hash, including expired ones until their row is overwritten.
	claims map[string]claimRecord
}

func newLedger(layout Layout) *ledger {
	return &ledger{
		layout: layout,
		slots:  make([]slot, layout.Slots),
		claims: map[string]claimRecord{},
	}
}

func (l *ledger) slotOf(seq uint64) *slot { return &l.slots[seq%uint64(len(l.slots))] }

// addRow stores a row that was read or written, unless the known version of it is at least as new.
func (l *ledger) addRow(row croft.Row) error {
	b, err := decodeBatch(row)
	if err != nil {
		return err
	}
	s := l.slotOf(b.Seq)
	if s.known && s.version >= row.Version {
		return nil
	}
	l.dropClaims(s)
	*s = slot{version: row.Version, batch: b, known: true}
	l.readEnd = max(l.readEnd, b.Seq+1)
	return nil
}

// dropClaims removes the claims of a row that is overwritten.
func (l *ledger) dropClaims(s *slot) {
	for _, c := range s.batch.Claims {
		if l.claims[c.Hash].seq == s.batch.Seq {
			delete(l.claims, c.Hash)
		}
	}
}

// fold applies the stored batches in order up to the first missing one, and reports whether none is missing.
func (l *ledger) fold() bool {
	size := uint64(len(l.slots))
	if l.readEnd > l.nextSeq+size {
		l.reset(l.readEnd - size)
	}
	for l.nextSeq < l.readEnd {
		s := l.slotOf(l.nextSeq)
		if !s.known || s.batch.Seq != l.nextSeq {
			return false
		}
		l.apply(s.batch)
		l.nextSeq++
	}
	return true
}

// reset discards the folded state; it is needed if more batches than the ring holds were written since the last fold.
func (l *ledger) reset(next uint64) {
	l.nextSeq = next
	l.claims = map[string]claimRecord{}
}

// apply adds the claims of a batch, then removes what it releases.
func (l *ledger) apply(b logBatch) {
	for _, c := range b.Claims {
		l.claims[c.Hash] = claimRecord{attempt: c.Attempt, seq: b.Seq, taken: b.Taken}
	}
	for _, r := range b.Releases {
		if l.claims[r.Hash].attempt == r.Attempt {
			delete(l.claims, r.Hash)
		}
	}
}

// holderOf returns the attempt that holds a claim at an instant, empty for none.
func (l *ledger) holderOf(hash string, now croft.Millis) string {
	h, found := l.claims[hash]
	if !found || l.expired(h.taken, now) {
		return ""
	}
	return h.attempt
}

// expired reports whether window and margin have passed since a batch was created.
func (l *ledger) expired(taken, now croft.Millis) bool {
	return now > taken+l.layout.Window+l.layout.Margin
}

// hasFreeSlot reports whether the next batch may overwrite the row at its slot.
func (l *ledger) hasFreeSlot(now croft.Millis) bool {
	s := l.slotOf(l.nextSeq)
	return !s.known || l.expired(s.batch.Taken, now)
}

// foldedVersion returns the version of the last folded row, zero if it is not known. Reads start above it, since all
// rows with lower versions are folded.
func (l *ledger) foldedVersion() uint64 {
	if l.nextSeq == 0 {
		return 0
	}
	s := l.slotOf(l.nextSeq - 1)
	if !s.known || s.batch.Seq != l.nextSeq-1 {
		return 0
	}
	return s.version
}

// putOp returns the compare-and-set that writes a batch to its slot.
func (l *ledger) putOp(shard int, b logBatch) croft.Op {
	return croft.Op{
		Kind:    croft.OpPut,
		Key:     slotKey(shard, int(b.Seq%uint64(len(l.slots)))),
		Version: l.slotOf(b.Seq).version,
		Value:   b.encode(),
	}
}
