package commit

import (
	"bytes"
	"encoding/json"

	"waxwing.example/croft"
)

// epochField decodes the epoch from the value of a row. The epoch grows with each write of the row; zero stands for a
// row without one.
type epochField struct{ Epoch uint64 }

// epochOf returns the epoch in a row's value, zero if it has none or cannot be decoded.
func epochOf(value []byte) uint64 {
	var e epochField
	if json.Unmarshal(value, &e) != nil {
		return 0
	}
	return e.Epoch
}

// outcomeOf returns the outcome of a transaction whose answer was lost, given the conflict that its
// repetition returned: the version written, the conflict if the transaction was not applied, or a
// *croft.LostAnswerError if the rows do not show whether it was.
func outcomeOf(ops []croft.Op, conflict *croft.ConflictError) (uint64, error) {
	rows := make(map[string]croft.Row, len(conflict.Rows))
	for _, r := range conflict.Rows {
		rows[r.Key] = r
	}
	notApplied := false
	for _, o := range ops {
		if o.Kind == croft.OpCheck {
			continue
		}
		row, inConflict := rows[o.Key]
		if isOwnWrite(o, row, inConflict) {
			return row.Version, nil
		}
		notApplied = notApplied || provesNotApplied(o, row, inConflict)
	}
	if notApplied {
		return 0, conflict
	}
	reason := "rows were written again before the outcome was known: " + conflict.Error()
	return 0, &croft.LostAnswerError{Reason: reason}
}

// isOwnWrite reports whether a row has the value that the operation writes. As each value is unique to its
// write, the operation was then applied.
func isOwnWrite(o croft.Op, row croft.Row, inConflict bool) bool {
	return o.Kind == croft.OpPut && inConflict && row.Version > 0 && bytes.Equal(row.Value, o.Value)
}

// provesNotApplied reports whether a row shows that the operation was not applied.
func provesNotApplied(o croft.Op, row croft.Row, inConflict bool) bool {
	if !inConflict {
		return true // applying the operation would have changed the row's version
	}
	// A row written after this operation would have a higher epoch than the operation's own.
	ownEpoch := epochOf(o.Value)
	return row.Version > 0 && ownEpoch > 0 && epochOf(row.Value) > 0 && epochOf(row.Value) <= ownEpoch
}
