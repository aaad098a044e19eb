// Package lease decides which entry plans for each pool, by one renewed session row an entry and a fenced plan row a pool.
//
// A holder plans while its last good renewal was sent less than TTL minus Margin ago, and each of its writes checks
// the version of the plan row. A candidate that saw the holder's session row unchanged for TTL checks that it still is and writes the
// plan row in one transaction, so that every later write of a holder that was paused fails.
package lease
