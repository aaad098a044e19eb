package roster

import (
	"slices"

	"waxwing.example/croft"
)

// fullShare is all of a pool's slots, in thousandths.
const fullShare = 1000

// evenShare is the part of a pool's slots that is split evenly, in thousandths; the rest is split by demand.
const evenShare = 500

// baseDemand is added to each entry's demand, in slots, so that random differences between small demands hardly
// change the shares.
const baseDemand = 32

// shareHistory is the number of recent counts of demand whose shares limit the current share.
const shareHistory = 4

// Share returns this entry's share of a pool's slots in thousandths. It is the smallest of the shares at the last counts
// of demand and now, because a demand that rises here may also rise at other entries, whose reports arrive later.
func (s State) Share(pool croft.PoolID) int {
	share := s.currentShare(pool)
	for _, past := range s.pastShares {
		if before, found := past[pool]; found {
			share = min(share, before)
		}
	}
	return share
}

// withRecordedShares adds the current shares to the last shareHistory ones.
func (s State) withRecordedShares() State {
	shares := make(map[croft.PoolID]int, len(s.demand))
	for p := range s.demand {
		shares[p] = s.currentShare(p)
	}
	kept := s.pastShares[max(0, len(s.pastShares)-shareHistory+1):]
	s.pastShares = append(slices.Clone(kept), shares)
	return s
}

// currentShare returns the share that follows from the current demand. One part of the slots is split evenly between the
// serving entries; the rest is split evenly between data centres and within each in proportion to its entries' demand.
func (s State) currentShare(pool croft.PoolID) int {
	entries, centres := s.countServing()
	if entries <= 1 {
		return fullShare
	}
	total := 0
	for _, p := range s.alive {
		if !p.Stopping && p.DataCentre == s.self.DataCentre {
			total += s.demandOf(p.ID, pool) + baseDemand
		}
	}
	byDemand := (fullShare - evenShare) / centres
	own := s.demandOf(s.self.ID, pool) + baseDemand
	return evenShare/entries + byDemand*own/max(total, own)
}

// countServing returns the number of entries that accept requests and the number of their data centres.
func (s State) countServing() (entries, centres int) {
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

func (s State) demandOf(id croft.EntryID, pool croft.PoolID) int {
	if id == s.self.ID {
		return s.demand[pool]
	}
	m, _ := s.members.Get(id)
	return m.Demand[pool]
}
