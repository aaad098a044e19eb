package intake

import (
	"maps"

	"waxwing.example/croft"
)

const (
	// uncertainTime is how long a transaction without an answer counts as one that may still be carried out: stores have
	// carried such calls out seconds later.
	uncertainTime = 15 * croft.Second
	// maxUncertain bounds the memory for such transactions to some 1 MB; it allows 270 jobs a second without an answer.
	maxUncertain = 4096
)

// uncertainKeys has the state keys of the transactions that may still be carried out, although their outcome is unknown.
type uncertainKeys struct {
	// until has the time up to which each key counts.
	until map[string]croft.Millis
	// allUntil is the time up to which every key counts, since there were too many.
	allUntil croft.Millis
}

// add adds the key of a transaction that has had no answer.
func (u *uncertainKeys) add(key string, now croft.Millis) {
	if u.until == nil {
		u.until = map[string]croft.Millis{}
	}
	if _, known := u.until[key]; !known && len(u.until) >= maxUncertain {
		maps.DeleteFunc(u.until, func(_ string, until croft.Millis) bool { return until <= now })
		if len(u.until) >= maxUncertain {
			u.allUntil = now + uncertainTime
			return
		}
	}
	u.until[key] = now + uncertainTime
}

// contains reports whether a transaction with the key may still be carried out.
func (u *uncertainKeys) contains(key string, now croft.Millis) bool {
	return now < max(u.until[key], u.allUntil)
}
