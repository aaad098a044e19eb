package roster

import "waxwing.example/croft"

// wholeShare is all of a pool's slots, in thousandths.
const wholeShare = 1000

// evenPart is the part of a pool's slots that is split evenly, in thousandths; the rest follows demand.
const evenPart = 500

// Share returns this entry's share of a pool's slots in thousandths: half of them evenly among
// the entries alive; of the rest a part for each data centre, in proportion to what its
// entries say they want.
func (s State) Share(pool croft.PoolID) int {
	entries, centres := s.serving()
	if entries <= 1 {
		return wholeShare
	}
	total := 0
	near := 0
	for _, p := range s.alive {
		if p.Stopping || p.DataCentre != s.self.DataCentre {
			continue
		}
		near++
		total += s.wantedBy(p.ID, pool)
	}
	byDemand := (wholeShare - evenPart) / centres
	if total == 0 {
		return evenPart/entries + byDemand/max(near, 1)
	}
	return evenPart/entries + byDemand*s.wantedBy(s.self.ID, pool)/total
}

// serving counts the entries that take requests and their data centres.
func (s State) serving() (entries, centres int) {
	seen := map[croft.DataCentre]bool{}
	for _, p := range s.alive {
		if p.Stopping {
			continue
		}
		entries++
		seen[p.DataCentre] = true
	}
	return entries, len(seen)
}

func (s State) wantedBy(id croft.EntryID, pool croft.PoolID) int {
	if id == s.self.ID {
		return s.wanted[pool]
	}
	m, _ := s.members.Get(id)
	return m.Wanted[pool]
}
