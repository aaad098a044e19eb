package fakes

import (
	"strings"

	"github.com/benbjohnson/immutable"

	"waxwing.example/croft"
)

// maxHistory bounds the writes kept for History.
const maxHistory = 400_000

// Written is one committed version of a row.
type Written struct {
	Key     string
	Version uint64
	// Time is when the platform committed it, by its wall clock.
	Time    croft.Millis
	Deleted bool
	Value   []byte
}

// Counts are numbers of operations on the table since the start.
type Counts struct {
	// Commits counts transactions that took effect.
	Commits int64
	// Writes counts the rows they wrote or deleted.
	Writes int64
	// Conflicts counts transactions that met other versions.
	Conflicts int64
	// Reads counts gets and scans.
	Reads int64
	// LostAnswers counts transactions that took effect without an answer.
	LostAnswers int64
}

// table is a versioned table; its maps are immutable, so that an old state costs nothing to keep.
type table struct {
	rows    *immutable.SortedMap[string, croft.Row]
	version uint64
	history []Written
	counts  Counts
}

func newTable() *table {
	return &table{rows: immutable.NewSortedMap[string, croft.Row](nil)}
}

// commit does all operations or none, and returns the rows in conflict where there are any.
func (t *table) commit(ops []croft.Op, now croft.Millis) (uint64, []croft.Row) {
	if conflicts := t.conflicts(ops); len(conflicts) > 0 {
		t.counts.Conflicts++
		return 0, conflicts
	}
	t.version++
	t.counts.Commits++
	for _, o := range ops {
		t.apply(o, now)
	}
	return t.version, nil
}

func (t *table) conflicts(ops []croft.Op) []croft.Row {
	var found []croft.Row
	for _, o := range ops {
		row, _ := t.rows.Get(o.Key)
		if row.Version != o.Version {
			row.Key = o.Key
			found = append(found, row)
		}
	}
	return found
}

func (t *table) apply(o croft.Op, now croft.Millis) {
	switch o.Kind {
	case croft.OpPut:
		t.rows = t.rows.Set(o.Key, croft.Row{Key: o.Key, Version: t.version, Value: o.Value})
	case croft.OpDelete:
		t.rows = t.rows.Delete(o.Key)
	default:
		return
	}
	t.counts.Writes++
	if len(t.history) < maxHistory {
		deleted := o.Kind == croft.OpDelete
		t.history = append(t.history, Written{
			Key:     o.Key,
			Version: t.version,
			Time:    now,
			Deleted: deleted,
			Value:   o.Value,
		})
	}
}

// scan returns the rows of a range in one state of the table.
func scan(rows *immutable.SortedMap[string, croft.Row], r croft.Range) []croft.Row {
	found := []croft.Row{}
	it := rows.Iterator()
	it.Seek(max(r.Prefix, r.After))
	for !it.Done() {
		key, row, _ := it.Next()
		if !strings.HasPrefix(key, r.Prefix) {
			if key > r.Prefix {
				break
			}
			continue
		}
		if key == r.After && r.After != "" || row.Version <= r.Since {
			continue
		}
		found = append(found, row)
		if r.Limit > 0 && len(found) == r.Limit {
			break
		}
	}
	return found
}

// written returns every committed version of the rows of a prefix, in order.
func (t *table) written(prefix string) []Written {
	found := []Written{}
	for _, w := range t.history {
		if strings.HasPrefix(w.Key, prefix) {
			found = append(found, w)
		}
	}
	return found
}
