package settle

import (
	"bytes"
	"encoding/json"

	"waxwing.example/croft"
)

// epoch is the part of a row's value that grows with each write, zero where the row has none.
type epoch struct{ Epoch uint64 }

func epochOf(value []byte) uint64 {
	var e epoch
	if json.Unmarshal(value, &e) != nil {
		return 0
	}
	return e.Epoch
}

// judge tells from the rows in conflict with a repeated transaction how the first one ended.
func judge(ops []croft.Op, conflict *croft.ConflictError) (uint64, error) {
	rows := make(map[string]croft.Row, len(conflict.Rows))
	for _, r := range conflict.Rows {
		rows[r.Key] = r
	}
	refuted := false
	for _, o := range ops {
		if o.Kind == croft.OpCheck {
			continue
		}
		row, differs := rows[o.Key]
		if isOurs(o, row, differs) {
			return row.Version, nil
		}
		refuted = refuted || refutes(o, row, differs)
	}
	if refuted {
		return 0, conflict
	}
	reason := "rows were written again before the outcome was known: " + conflict.Error()
	return 0, &croft.LostAnswerError{Reason: reason}
}

// isOurs reports whether a row is what the operation wrote.
func isOurs(o croft.Op, row croft.Row, differs bool) bool {
	return o.Kind == croft.OpPut && differs && row.Version > 0 && bytes.Equal(row.Value, o.Value)
}

// refutes reports whether a row shows that the operation was not done.
func refutes(o croft.Op, row croft.Row, differs bool) bool {
	if !differs {
		return true // done, it would have left another version
	}
	// A row over ours would have a higher epoch than ours.
	ours := epochOf(o.Value)
	return row.Version > 0 && ours > 0 && epochOf(row.Value) > 0 && epochOf(row.Value) <= ours
}
