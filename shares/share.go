package shares

import (
	"math"

	"waxwing.example/croft"
)

// DominantShare returns the largest part of any resource of the total that is in use, over the weight (dominant resource fairness,
// Ghodsi et al. 2011); zero for an organisation without a weight.
func DominantShare(use, total croft.Resources, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	share := 0.0
	for _, pair := range [][2]int64{{use.MilliCores, total.MilliCores}, {use.MemoryMB, total.MemoryMB}, {use.Accelerators, total.Accelerators}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share / weight
}

// stepsPerPart is the number of steps of Level up to the part of the capacity that the weights give an organisation.
const stepsPerPart = 2

// Level quantises a weighted dominant share, so that small differences do not outweigh deadlines; totalWeight is the sum of the weights
// of the organisations that use capacity.
func Level(share, totalWeight float64) int {
	return int(math.Floor(share*totalWeight*stepsPerPart + rounding))
}
