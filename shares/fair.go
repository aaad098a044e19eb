package shares

import (
	"cmp"
	"slices"

	"waxwing.example/croft"
)

// Claim is the rate at which an organisation submits jobs, per second, and its weight.
type Claim struct {
	Organisation croft.OrganisationID
	Rate, Weight float64
}

// FairRates divides a rate of jobs among organisations by weighted max-min fairness: none gets more than it submits, and what some
// leave is divided among the others by their weights (Bertsekas and Gallager, Data Networks, 1992). What organisations submit beyond
// their weight in jobs per second only gets what the rest leaves.
func FairRates(capacity float64, claims []Claim) map[croft.OrganisationID]float64 {
	contracts, excess := slices.Clone(claims), slices.Clone(claims)
	for i, c := range claims {
		contracts[i].Rate = min(c.Rate, c.Weight)
		excess[i].Rate = c.Rate - contracts[i].Rate
	}
	rates := divide(capacity, contracts)
	for _, rate := range rates {
		capacity -= rate
	}
	for org, rate := range divide(max(capacity, 0), excess) {
		rates[org] += rate
	}
	return rates
}

// divide divides a rate among claims by weighted max-min fairness; it reorders the claims.
func divide(capacity float64, claims []Claim) map[croft.OrganisationID]float64 {
	weights := 0.0
	for _, c := range claims {
		weights += c.Weight
	}
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Rate*b.Weight, b.Rate*a.Weight), cmp.Compare(a.Organisation, b.Organisation))
	})
	rates := make(map[croft.OrganisationID]float64, len(claims))
	for _, c := range claims {
		if c.Weight <= 0 {
			rates[c.Organisation] = 0
			continue
		}
		rate := min(c.Rate, capacity*c.Weight/weights)
		rates[c.Organisation] = rate
		capacity -= rate
		weights -= c.Weight
	}
	return rates
}
