package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"waxwing.example/croft"
)

// fault is what goes wrong in one call to a memTable.
type fault int

const (
	faultNone fault = iota
	// faultDown fails the call without effect.
	faultDown
	// faultAnswerLost applies a commit and loses its answer.
	faultAnswerLost
	// faultDelayed loses the answer of a commit, which takes effect only in applyDelayed.
	faultDelayed
)

// maxHistory is the number of past states that a memTable keeps for stale reads.
const maxHistory = 64

// memTable is a table in memory with faults chosen by the test.
type memTable struct {
	mu      sync.Mutex
	rows    map[string]croft.Row
	history []map[string]croft.Row
	version uint64
	commits int
	applied int
	// readLag is the number of latest commits that a read does not see.
	readLag int
	fault   func() fault
	delayed [][]croft.Op
}

func newMemTable() *memTable {
	return &memTable{
		rows:    map[string]croft.Row{},
		history: []map[string]croft.Row{{}},
		fault:   func() fault { return faultNone },
	}
}

func (t *memTable) Get(context.Context, string) (croft.Row, error) {
	return croft.Row{}, croft.ErrNoRow
}

func (t *memTable) Scan(_ context.Context, r croft.Range) ([]croft.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault() == faultDown {
		return nil, &croft.UnavailableError{Reason: "down"}
	}
	visible := t.rows
	if t.readLag > 0 {
		visible = t.history[max(0, len(t.history)-1-t.readLag)]
	}
	var rows []croft.Row
	for k, v := range visible {
		if strings.HasPrefix(k, r.Prefix) && k > r.After && v.Version > r.Since {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(len(rows), r.Limit)], nil
}

func (t *memTable) Commit(_ context.Context, ops []croft.Op) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	f := t.fault()
	switch f {
	case faultDown:
		return 0, &croft.UnavailableError{Reason: "down"}
	case faultDelayed:
		t.delayed = append(t.delayed, ops)
		return 0, &croft.LostAnswerError{Reason: "late"}
	}
	version, err := t.apply(ops)
	if f == faultAnswerLost {
		return 0, &croft.LostAnswerError{Reason: "lost"}
	}
	return version, err
}

func (t *memTable) apply(ops []croft.Op) (uint64, error) {
	conflict := &croft.ConflictError{}
	for _, o := range ops {
		if row := t.rows[o.Key]; row.Version != o.Version {
			row.Key = o.Key
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	t.version++
	t.applied++
	next := make(map[string]croft.Row, len(t.rows)+1)
	for k, v := range t.rows {
		next[k] = v
	}
	for _, o := range ops {
		next[o.Key] = croft.Row{Key: o.Key, Version: t.version, Value: o.Value}
	}
	t.rows = next
	t.history = append(t.history, next)
	t.history = t.history[max(0, len(t.history)-maxHistory):]
	return t.version, nil
}

// applyDelayed applies the delayed commits, except those that now conflict.
func (t *memTable) applyDelayed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ops := range t.delayed {
		_, _ = t.apply(ops)
	}
	t.delayed = nil
}

// FuzzDecode decodes arbitrary rows of the table and batches of other entries: what is accepted must fold without a
// panic, and its records must be within the limits.
func FuzzDecode(f *testing.F) {
	hash := strings.Repeat("a", hashLength)
	f.Add([]byte(`{"Seq":1,"Nonce":"n","Taken":5,"Claims":[{"Hash":"` + hash + `","Attempt":"x"}]}`))
	f.Add([]byte(`{"Seq":18446744073709551615,"Claims":null,"Releases":[{"Hash":"h","Attempt":"x"}]}`))
	f.Add([]byte(`{"Shard":3,"Releases":[{"Hash":"` + hash + `","Attempt":"` + strings.Repeat("y", maxAttemptLength+1) + `"}]}`))
	f.Add([]byte(`{"Shard":-1,"Claims":[{}]}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l := newLedger(smallLayout)
		var row *RowError
		if err := l.addRow(croft.Row{Key: "r", Version: 1, Value: text}); err != nil {
			assert.Assert(t, errors.As(err, &row))
		}
		l.fold()
		for hash, h := range l.claims {
			assert.Assert(t, len(hash) <= hashLength && len(h.attempt) <= maxAttemptLength && h.attempt != "")
		}
		var b Batch
		if json.Unmarshal(text, &b) != nil || !b.valid(4) {
			return
		}
		assert.Assert(t, b.Shard >= 0 && b.Shard < 4 && len(b.Claims) <= maxBatchRecords && len(b.Releases) <= maxBatchRecords)
		for _, r := range append(b.Claims, b.Releases...) {
			assert.Assert(t, len(r.Hash) == hashLength && len(r.Attempt) <= maxAttemptLength)
		}
	})
}
