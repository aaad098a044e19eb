package buffer

import (
	"math"

	"waxwing.example/croft"
)

// Sizes of a buffer and the means to estimate it.
const (
	// RepairDays is how long a failed VM waits for its repair.
	RepairDays = 3.0
	// PriorFailures is the failures of a VM in a day expected before any were seen.
	PriorFailures = 91.0 / 5600
	// priorDays is the VM-days that the expectation counts as.
	priorDays = 200.0
	// RackFailures is the failures of a rack in a day.
	RackFailures = 1.0 / 7 / 1400
	// RackRepairDays is how long a failed rack stays away.
	RackRepairDays = 1.0
	// fixedShare is the baseline's buffer as a divisor of the VMs needed.
	fixedShare = 5
)

// Need describes a pool for the sizing of its buffer.
type Need struct {
	// Serving is the number of VMs that the promise needs.
	Serving int
	// Promise is the share of time in which that many must be there, in parts per million.
	Promise int64
	// WaveSize is the number of VMs away for maintenance at once.
	WaveSize int
	// Failures is the failures of a VM in a day.
	Failures float64
	// PerRack is the most VMs of the pool in one rack.
	PerRack int
	// Racks is the number of racks that the pool's VMs are in.
	Racks int
}

// Rate returns the failures of a VM in a day from those seen, drawn to the expectation while few were seen.
func Rate(failures int, vmDays float64) float64 {
	return (float64(failures) + PriorFailures*priorDays) / (vmDays + priorDays)
}

// Size returns the VMs a pool should hold: those needed, the wave, and the quantile at the promise of VMs under repair,
// single failures and rack failures each a Poisson number in repair as in an M/G/infinity queue (Palm 1943).
func Size(n Need) int {
	held := n.Serving + n.WaveSize
	for range 8 {
		next := n.Serving + n.WaveSize + quantile(n, held)
		if next == held {
			break
		}
		held = next
	}
	return held
}

// Fixed returns the baseline's size: a fifth above the VMs needed.
func Fixed(n Need) int { return n.Serving + (n.Serving+fixedShare-1)/fixedShare }

// quantile returns the smallest number of VMs in repair that is exceeded less often than the promise allows.
func quantile(n Need, held int) int {
	miss := float64(1_000_000-n.Promise) / 1_000_000
	single := poisson(float64(held)*n.Failures*RepairDays, held)
	rack := poisson(float64(n.Racks)*RackFailures*RackRepairDays, n.Racks)
	sum := 0.0
	for away := range held {
		for racks, p := range rack {
			rest := away - racks*max(1, n.PerRack)
			if rest < 0 {
				break
			}
			sum += p * single[rest]
		}
		if 1-sum <= miss {
			return away
		}
	}
	return held
}

// poisson returns the probabilities of 0 to most events.
func poisson(mean float64, most int) []float64 {
	all := make([]float64, most+1)
	all[0] = math.Exp(-mean)
	for i := 1; i <= most; i++ {
		all[i] = all[i-1] * mean / float64(i)
	}
	return all
}

// NeedOf returns a declared pool's need at a failure rate, with its racks as they are.
func NeedOf(p croft.Pool, failures float64, racks, perRack int) Need {
	return Need{
		Serving:  p.MinServing,
		Promise:  p.Promise,
		WaveSize: p.WaveSize,
		Failures: failures,
		PerRack:  perRack,
		Racks:    racks,
	}
}
