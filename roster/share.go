package roster

import "waxwing.example/croft"

// wholeShare is all of a pool's slots, in thousandths.
const wholeShare = 1000

// evenPart is the part of a pool's slots that is split evenly, in thousandths; the rest follows demand.
const evenPart = 500

// Share returns this entry's share of a pool's slots in thousandths: half of them evenly
// among the entries alive, half in proportion to what each says it wants.
func (s State) Share(pool croft.PoolID) int {
	entries := 0
	total := 0
	for _, p := range s.alive {
		if p.Stopping {
			continue
		}
		entries++
		total += s.wantedBy(p.ID, pool)
	}
	if entries <= 1 {
		return wholeShare
	}
	if total == 0 {
		return wholeShare / entries
	}
	byDemand := (wholeShare - evenPart) * s.wantedBy(s.self.ID, pool) / total
	return evenPart/entries + byDemand
}

func (s State) wantedBy(id croft.EntryID, pool croft.PoolID) int {
	if id == s.self.ID {
		return s.wanted[pool]
	}
	m, _ := s.members.Get(id)
	return m.Wanted[pool]
}
