package survey

import (
	"errors"
	"math/big"

	"waxwing.example/croft"
	"waxwing.example/croft/conf"
)

const (
	millisPerMinute = int64(croft.Minute)
	// thousand is the denominator of shares and of the failure rate, which are counted in thousandths.
	thousand = 1000
	// maxFloorSum limits the sum of a pool's floors, in thousandths; the rest of the slots is not reserved for any kind.
	maxFloorSum = 900
	// floatPrecision is the size of the mantissa of the software floats, in bits.
	floatPrecision = 128
)

// Need is the number of VMs that a service's pool needs, and the numbers that it is computed from.
type Need struct {
	Service string
	// MeanSlots is the mean number of slots in use by all kinds, rounded up.
	MeanSlots int64
	// BurstSlots is the number of slots in use during the largest burst of one kind, with the others at their mean.
	BurstSlots int64
	// BurstKind is the kind that has this burst.
	BurstKind string
	// MinServing is the least number of VMs whose executors together have BurstSlots.
	MinServing int
	// WaveSize is the number of VMs that may be in maintenance at once.
	WaveSize int
}

// Size returns the number of VMs of the pool.
func (n Need) Size() int { return n.MinServing + n.WaveSize }

// Generate returns the configuration for the answers; it is deterministic. If the fleet is too small, the
// error wraps a *ContradictionError and a *QuotaError for each resource whose quotas are too large; otherwise it is a
// *conf.CheckError if the configuration is invalid.
func Generate(a Answers) (croft.Config, error) {
	sizing := ContradictionError{
		Workers:      len(a.DataCentres) * a.WorkersPerDataCentre,
		FailuresADay: a.FailuresADay,
		RepairDays:   a.RepairDays,
		RackSize:     a.RackSize,
		Tolerance:    partsPerMillion,
	}
	for _, s := range a.Services {
		sizing.Needs = append(sizing.Needs, computeNeed(s, a.Slots))
		sizing.Tolerance = min(sizing.Tolerance, s.Tolerance)
	}
	sizing.MaxUnderRepair = maxUnderRepair(sizing)
	sizing.MeanUnderRepair = (sizing.Workers*a.FailuresADay*a.RepairDays + thousand/2) / thousand
	// All VMs that no service needs are spare.
	spare := sizing.Workers - sizing.Needed() + sizing.Spare()
	if err := errors.Join(sizing.errorIf(spare < sizing.Spare()), checkQuotas(a, sizing.Workers)); err != nil {
		return croft.Config{}, err
	}
	config := croft.Config{Pools: []croft.Pool{{ID: sparePoolName, Spare: true, Size: spare}}}
	for _, t := range a.Teams {
		config.Teams = append(config.Teams, newTeam(t))
	}
	for i, s := range a.Services {
		need := sizing.Needs[i]
		config.Pools = append(config.Pools, croft.Pool{
			ID:         croft.PoolID(s.Name),
			Promise:    partsPerMillion - s.Tolerance,
			MinServing: need.MinServing,
			Size:       need.Size(),
			WaveSize:   need.WaveSize,
		})
		config.Services = append(config.Services, newService(s, int64(need.MinServing)*int64(a.Slots)))
	}
	config = conf.Normalize(config)
	return config, conf.Check(config)
}

// loadOf returns a kind's mean load: the total run time, in milliseconds, of the requests that arrive in one minute.
func loadOf(k Kind) int64 { return k.RequestsAMinute * int64(k.Work) }

// slotsFor returns the mean number of slots that a load, in milliseconds of run time per minute, occupies, rounded up.
func slotsFor(load int64) int64 { return (load + millisPerMinute - 1) / millisPerMinute }

// computeNeed returns the number of VMs that a service needs for its mean load and the largest burst of one kind.
func computeNeed(s Service, slotsPerVM int) Need {
	n := Need{Service: s.Name, WaveSize: s.WaveSize}
	mean, largestExtra := int64(0), int64(-1)
	for _, k := range s.Kinds {
		mean += loadOf(k)
		if extra := loadOf(k) * (k.Burst - 1); extra > largestExtra {
			largestExtra = extra
			n.BurstKind = k.Name
		}
	}
	n.MeanSlots = slotsFor(mean)
	n.BurstSlots = slotsFor(mean + max(0, largestExtra))
	n.MinServing = int((n.BurstSlots + int64(slotsPerVM) - 1) / int64(slotsPerVM))
	return n
}

// maxUnderRepair returns the smallest number of VMs that the VMs under repair exceed with no higher probability than the
// tolerance. Their number is taken to follow a Poisson distribution, cut off at the number of all VMs.
func maxUnderRepair(sizing ContradictionError) int {
	toFloat := func(value int64) *big.Float { return new(big.Float).SetPrec(floatPrecision).SetInt64(value) }
	mean := toFloat(int64(sizing.Workers) * int64(sizing.FailuresADay) * int64(sizing.RepairDays))
	mean.Quo(mean, toFloat(thousand))
	// Software floats give the same result on every machine.
	// terms[k] is the probability of k VMs under repair times total, which is the sum of all terms.
	terms := []*big.Float{toFloat(1)}
	total := toFloat(1)
	for k := int64(1); k <= int64(sizing.Workers); k++ {
		next := toFloat(0).Mul(terms[k-1], mean)
		next.Quo(next, toFloat(k))
		terms = append(terms, next)
		total.Add(total, next)
	}
	threshold := toFloat(0).Mul(total, toFloat(partsPerMillion-sizing.Tolerance))
	threshold.Quo(threshold, toFloat(partsPerMillion))
	cumulative := toFloat(0)
	for k, term := range terms {
		if cumulative.Add(cumulative, term).Cmp(threshold) >= 0 {
			return k
		}
	}
	return sizing.Workers
}

// newTeam returns the configuration of a team.
func newTeam(t Team) croft.Team {
	return croft.Team{
		ID: croft.TeamID(t.Name),
		Quota: croft.Resources{
			MilliCores:   t.Cores * 1000,
			MemoryMB:     t.MemoryGB * 1024,
			Accelerators: t.Accelerators,
		},
	}
}

// newService returns the configuration of a service; guaranteedSlots are the slots that its pool always has. The floor
// of each kind is the share that its mean load needs. If the floors sum to more than maxFloorSum, all are reduced in
// proportion.
func newService(s Service, guaranteedSlots int64) croft.Service {
	result := croft.Service{ID: croft.ServiceID(s.Name), Team: croft.TeamID(s.Team), Pool: croft.PoolID(s.Name)}
	floorSum := int64(0)
	for _, k := range s.Kinds {
		floorSum += floorShare(k, guaranteedSlots)
	}
	for _, k := range s.Kinds {
		share := floorShare(k, guaranteedSlots)
		if floorSum > maxFloorSum {
			share = share * maxFloorSum / floorSum
		}
		result.Kinds = append(result.Kinds, croft.Kind{
			ID:         croft.KindID(k.Name),
			Urgency:    urgencies[k.Urgent],
			FloorShare: int(share),
			Deadline:   k.Wait,
			Repeatable: k.Repeatable,
			MeanRate:   k.RequestsAMinute * 1000 / 60,
		})
	}
	return result
}

// floorShare returns the share of the guaranteed slots that a kind's mean load needs, at least one slot, in thousandths.
func floorShare(k Kind, guaranteedSlots int64) int64 {
	used := max(slotsFor(loadOf(k)), 1)
	return min((used*thousand+guaranteedSlots-1)/guaranteedSlots, thousand)
}
