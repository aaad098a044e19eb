package claim

import (
	"waxwing.example/croft"
)

// holder is the attempt that has a claim.
type holder struct {
	attempt string
	seq     uint64
	taken   croft.Millis
}

// slot is one row of the ring as last read or written.
type slot struct {
	version uint64
	batch   logBatch
	known   bool
}

// ledger is the folded log of one shard.
type ledger struct {
	layout Layout
	slots  []slot
	// next is the lowest batch number that is not folded.
	next uint64
	// seen is the highest batch number read so far plus one.
	seen    uint64
	holders map[string]holder
}

func newLedger(layout Layout) *ledger {
	return &ledger{
		layout:  layout,
		slots:   make([]slot, layout.Slots),
		holders: map[string]holder{},
	}
}

func (l *ledger) at(seq uint64) *slot { return &l.slots[seq%uint64(len(l.slots))] }

// read notes a row; older versions of a row than the one known are ignored.
func (l *ledger) read(row croft.Row) error {
	b, err := decodeBatch(row)
	if err != nil {
		return err
	}
	s := l.at(b.Seq)
	if s.known && s.version >= row.Version {
		return nil
	}
	l.forget(s)
	*s = slot{version: row.Version, batch: b, known: true}
	l.seen = max(l.seen, b.Seq+1)
	return nil
}

// forget drops the holders of a row that is written over.
func (l *ledger) forget(s *slot) {
	for _, c := range s.batch.Claims {
		if l.holders[c.Hash].seq == s.batch.Seq {
			delete(l.holders, c.Hash)
		}
	}
}

// fold applies the batches read, in order, and reports whether none is missing.
func (l *ledger) fold() bool {
	size := uint64(len(l.slots))
	if l.seen > l.next+size {
		l.restart(l.seen - size)
	}
	for l.next < l.seen {
		s := l.at(l.next)
		if !s.known || s.batch.Seq != l.next {
			return false
		}
		l.apply(s.batch)
		l.next++
	}
	return true
}

// restart forgets the fold after the ring went round unseen.
func (l *ledger) restart(next uint64) {
	l.next = next
	l.holders = map[string]holder{}
}

func (l *ledger) apply(b logBatch) {
	for _, c := range b.Claims {
		l.holders[c.Hash] = holder{attempt: c.Attempt, seq: b.Seq, taken: b.Taken}
	}
	for _, r := range b.Releases {
		if l.holders[r.Hash].attempt == r.Attempt {
			delete(l.holders, r.Hash)
		}
	}
}

// holds returns who has a claim at an instant, empty for nobody.
func (l *ledger) holds(hash string, now croft.Millis) string {
	h, found := l.holders[hash]
	if !found || l.aged(h.taken, now) {
		return ""
	}
	return h.attempt
}

func (l *ledger) aged(taken, now croft.Millis) bool {
	return now > taken+l.layout.Window+l.layout.Margin
}

// room reports whether the next batch may be written over the row in its place.
func (l *ledger) room(now croft.Millis) bool {
	s := l.at(l.next)
	return !s.known || l.aged(s.batch.Taken, now)
}

// since is the version below which all rows are folded.
func (l *ledger) since() uint64 {
	if l.next == 0 {
		return 0
	}
	s := l.at(l.next - 1)
	if !s.known || s.batch.Seq != l.next-1 {
		return 0
	}
	return s.version
}

func (l *ledger) op(shard int, b logBatch) croft.Op {
	return croft.Op{
		Kind:    croft.OpPut,
		Key:     slotKey(shard, int(b.Seq%uint64(len(l.slots)))),
		Version: l.at(b.Seq).version,
		Value:   b.encode(),
	}
}
