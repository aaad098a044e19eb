package buffer

import (
	"math"

	"waxwing.example/croft"
)

// Rates and durations from which the size of a buffer is calculated.
const (
	// RepairDays is how long the repair of a failed VM takes, in days.
	RepairDays = 3.0
	// PriorFailures is the expected number of failures of a VM in a day, before any were observed: 91 a day among 5600 VMs.
	PriorFailures = 91.0 / 5600
	// priorDays is the weight of PriorFailures, in VM-days of observation.
	priorDays = 200.0
	// RackFailures is the expected number of failures of a rack in a day: one a week among 1400 racks.
	RackFailures = 1.0 / 7 / 1400
	// RackRepairDays is how long a failed rack is unavailable, in days.
	RackRepairDays = 1.0
	// fixedDivisor sets the buffer of the baseline: a fifth of the VMs needed.
	fixedDivisor = 5
)

// Need holds the properties of a pool from which the size of its buffer is calculated.
type Need struct {
	// Serving is the number of serving VMs that the availability target requires.
	Serving int
	// Promise is the availability target: the share of time in which that many VMs must serve, in parts per million.
	Promise int64
	// WaveSize is the number of VMs in maintenance at once.
	WaveSize int
	// Failures is the failure rate of a VM, in failures a day.
	Failures float64
	// PerRack is the largest number of the pool's VMs in one rack.
	PerRack int
	// Racks is the number of racks that contain VMs of the pool.
	Racks int
}

// FailureRate returns the failure rate of a VM, in failures a day, from the observed failures. PriorFailures dominates
// while there are few observations.
func FailureRate(failures int, vmDays float64) float64 {
	return (float64(failures) + PriorFailures*priorDays) / (vmDays + priorDays)
}

// Size returns the number of VMs a pool should have: those needed, those in maintenance, and the quantile of the VMs under
// repair at the availability target. The number of VMs that failed on their own and are under repair, and the number of
// failed racks, each have a Poisson distribution, as in an M/G/infinity queue (Palm 1943).
func Size(n Need) int {
	size := n.Serving + n.WaveSize
	// The VMs of the buffer fail too, so the quantile is calculated again for each new size, at most eight times.
	for range 8 {
		next := n.Serving + n.WaveSize + repairQuantile(n, size)
		if next == size {
			break
		}
		size = next
	}
	return size
}

// FixedSize returns the size in the baseline: a fifth more than the VMs needed, rounded up.
func FixedSize(n Need) int { return n.Serving + (n.Serving+fixedDivisor-1)/fixedDivisor }

// repairQuantile returns the smallest number of VMs under repair, of a pool with the given number of VMs, that is exceeded
// in no larger share of time than the availability target allows.
func repairQuantile(n Need, vms int) int {
	missShare := float64(1_000_000-n.Promise) / 1_000_000
	single := poisson(float64(vms)*n.Failures*RepairDays, vms)
	rack := poisson(float64(n.Racks)*RackFailures*RackRepairDays, n.Racks)
	sum := 0.0
	for inRepair := range vms {
		for racks, p := range rack {
			singles := inRepair - racks*max(1, n.PerRack)
			if singles < 0 {
				break
			}
			sum += p * single[singles]
		}
		if 1-sum <= missShare {
			return inRepair
		}
	}
	return vms
}

// poisson returns the probabilities of 0 to maxEvents events.
func poisson(mean float64, maxEvents int) []float64 {
	probabilities := make([]float64, maxEvents+1)
	probabilities[0] = math.Exp(-mean)
	for i := 1; i <= maxEvents; i++ {
		probabilities[i] = probabilities[i-1] * mean / float64(i)
	}
	return probabilities
}

// NeedOf returns the need of a declared pool with the given failure rate and racks.
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
