package lease

import (
	"github.com/cespare/xxhash/v2"

	"waxwing.example/croft"
)

// Rank returns the entry's rank for a pool among the given entries, zero the best, by highest random weight
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
func Rank(self croft.EntryID, pool croft.PoolID, entries []croft.Peer) int {
	own := weight(self, pool)
	rank := 0
	for _, e := range entries {
		if e.ID == self || e.Stopping {
			continue
		}
		w := weight(e.ID, pool)
		if w > own || (w == own && e.ID < self) {
			rank++
		}
	}
	return rank
}

// weight returns the hash of an entry and a pool.
func weight(entry croft.EntryID, pool croft.PoolID) uint64 {
	return xxhash.Sum64String(string(entry) + "\x00" + string(pool))
}
