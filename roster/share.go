package roster

import (
	"slices"

	"waxwing.example/croft"
)

// wholeShare is all of a pool's slots, in thousandths.
const wholeShare = 1000

// evenPart is the part of a pool's slots that is split evenly, in thousandths; the rest follows demand.
const evenPart = 500

// evenDemand is added to each entry's demand, so that chance differences of a small one do
// not decide, in slots.
const evenDemand = 32

// sharesKept is how many past counts of demand hold a share back.
const sharesKept = 4

// Share returns this entry's share of a pool's slots in thousandths, the least of the last
// counts: a demand that rises here may rise elsewhere too, which is heard of only later.
func (s State) Share(pool croft.PoolID) int {
	share := s.shareNow(pool)
	for _, past := range s.past {
		if before, found := past[pool]; found {
			share = min(share, before)
		}
	}
	return share
}

// withPast keeps the shares of this count of demand.
func (s State) withPast() State {
	shares := make(map[croft.PoolID]int, len(s.wanted))
	for p := range s.wanted {
		shares[p] = s.shareNow(p)
	}
	kept := s.past[max(0, len(s.past)-sharesKept+1):]
	s.past = append(slices.Clone(kept), shares)
	return s
}

// shareNow is half of the slots evenly among the entries alive; of the rest a part for each
// data centre, in proportion to what its entries say they want.
func (s State) shareNow(pool croft.PoolID) int {
	entries, centres := s.serving()
	if entries <= 1 {
		return wholeShare
	}
	total := 0
	for _, p := range s.alive {
		if !p.Stopping && p.DataCentre == s.self.DataCentre {
			total += s.wantedBy(p.ID, pool) + evenDemand
		}
	}
	byDemand := (wholeShare - evenPart) / centres
	own := s.wantedBy(s.self.ID, pool) + evenDemand
	return evenPart/entries + byDemand*own/max(total, own)
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
