package fakes

import (
	"strings"

	"github.com/benbjohnson/immutable"

	"waxwing.example/croft"
)

// maxHistory limits the writes that are kept for History; later ones are not recorded.
const maxHistory = 400_000

// Written is one committed version of a row.
type Written struct {
	Key     string
	Version uint64
	// Time is when the version was committed, by the platform's wall clock.
	Time    croft.Millis
	Deleted bool
	Value   []byte
}

// Counts are the numbers of operations on the table since the start.
type Counts struct {
	// Commits counts the transactions that were applied.
	Commits int64
	// Writes counts the rows that they wrote or deleted.
	Writes int64
	// Conflicts counts the transactions that were rejected because rows had other versions.
	Conflicts int64
	// Reads counts gets and scans.
	Reads int64
	// LostAnswers counts the transactions that were decided but got no answer.
	LostAnswers int64
}

// table is a versioned table; its map is immutable, so that keeping an old state needs no copy.
type table struct {
	rows    *immutable.SortedMap[string, croft.Row]
	version uint64
	history []Written
	counts  Counts
}

func newTable() *table {
	return &table{rows: immutable.NewSortedMap[string, croft.Row](nil)}
}

// commit applies all operations or none; it returns the version written or the conflicting rows.
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

// scan returns the rows of a range in a state of the table, in key order.
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

// historyOf returns every committed version of the rows whose keys have a prefix, in commit order.
func (t *table) historyOf(prefix string) []Written {
	found := []Written{}
	for _, w := range t.history {
		if strings.HasPrefix(w.Key, prefix) {
			found = append(found, w)
		}
	}
	return found
}
