package quest

import (
	"errors"
	"math/big"

	"waxwing.example/croft"
	"waxwing.example/croft/conf"
)

const (
	minuteMillis = int64(croft.Minute)
	wholeShare   = 1000
	mostFloors   = 900
	precision    = 128
)

// Need is how many VMs a service's pool needs, and why.
type Need struct {
	Service string
	// MeanSlots are the slots in use at the mean of all kinds, rounded up.
	MeanSlots int64
	// BurstSlots are the slots in use while the largest burst of one kind lasts.
	BurstSlots int64
	// BurstKind is the kind of that burst.
	BurstKind string
	// MinServing is the number of VMs that have the burst's slots.
	MinServing int
	WaveSize   int
}

// Size is the number of VMs of the pool.
func (n Need) Size() int { return n.MinServing + n.WaveSize }

// Generate returns the configuration for answers, the same for the same answers, or a *ContradictionError and a *QuotaError or a *conf.CheckError.
func Generate(a Answers) (croft.Config, error) {
	found := ContradictionError{
		Workers:      len(a.DataCentres) * a.WorkersPerDataCentre,
		FailuresADay: a.FailuresADay,
		RepairDays:   a.RepairDays,
		RackSize:     a.RackSize,
		Tolerance:    million,
	}
	for _, s := range a.Services {
		found.Needs = append(found.Needs, needOf(s, a.Slots))
		found.Tolerance = min(found.Tolerance, s.Tolerance)
	}
	found.Failed = coveredFailures(found)
	found.Ordinary = (found.Workers*a.FailuresADay*a.RepairDays + wholeShare/2) / wholeShare
	spare := found.Workers - found.Needed() + found.Spare()
	if err := errors.Join(found.errorIf(spare < found.Spare()), overQuota(a, found.Workers)); err != nil {
		return croft.Config{}, err
	}
	config := croft.Config{Pools: []croft.Pool{{ID: spareName, Spare: true, Size: spare}}}
	for _, t := range a.Teams {
		config.Teams = append(config.Teams, team(t))
	}
	for i, s := range a.Services {
		need := found.Needs[i]
		config.Pools = append(config.Pools, croft.Pool{
			ID:         croft.PoolID(s.Name),
			Promise:    million - s.Tolerance,
			MinServing: need.MinServing,
			Size:       need.Size(),
			WaveSize:   need.WaveSize,
		})
		config.Services = append(config.Services, service(s, int64(need.MinServing)*int64(a.Slots)))
	}
	config = conf.Normalize(config)
	return config, conf.Check(config)
}

// load is the slots that a kind uses, times a minute in milliseconds.
func load(k Kind) int64 { return k.RequestsAMinute * int64(k.Work) }

func slots(load int64) int64 { return (load + minuteMillis - 1) / minuteMillis }

func needOf(s Service, slotsEach int) Need {
	n := Need{Service: s.Name, WaveSize: s.WaveSize}
	mean, burst := int64(0), int64(-1)
	for _, k := range s.Kinds {
		mean += load(k)
		if extra := load(k) * (k.Burst - 1); extra > burst {
			burst = extra
			n.BurstKind = k.Name
		}
	}
	n.MeanSlots = slots(mean)
	n.BurstSlots = slots(mean + max(0, burst))
	n.MinServing = int((n.BurstSlots + int64(slotsEach) - 1) / int64(slotsEach))
	return n
}

// coveredFailures returns the least number that the VMs under repair exceed in no more cases than tolerated.
func coveredFailures(e ContradictionError) int {
	number := func(value int64) *big.Float { return new(big.Float).SetPrec(precision).SetInt64(value) }
	mean := number(int64(e.Workers) * int64(e.FailuresADay) * int64(e.RepairDays))
	mean.Quo(mean, number(wholeShare))
	// Software floats keep the result the same on every machine.
	terms := []*big.Float{number(1)}
	total := number(1)
	for k := int64(1); k <= int64(e.Workers); k++ {
		next := number(0).Mul(terms[k-1], mean)
		next.Quo(next, number(k))
		terms = append(terms, next)
		total.Add(total, next)
	}
	wanted := number(0).Mul(total, number(million-e.Tolerance))
	wanted.Quo(wanted, number(million))
	sum := number(0)
	for k, term := range terms {
		if sum.Add(sum, term).Cmp(wanted) >= 0 {
			return k
		}
	}
	return e.Workers
}

func team(t Team) croft.Team {
	return croft.Team{
		ID: croft.TeamID(t.Name),
		Quota: croft.Resources{
			MilliCores:   t.Cores * 1000,
			MemoryMB:     t.MemoryGB * 1024,
			Accelerators: t.Accelerators,
		},
	}
}

// service gives each kind the floor that its mean needs, of the slots always there.
func service(s Service, slotsKept int64) croft.Service {
	made := croft.Service{ID: croft.ServiceID(s.Name), Team: croft.TeamID(s.Team), Pool: croft.PoolID(s.Name)}
	floors := int64(0)
	for _, k := range s.Kinds {
		floors += floor(k, slotsKept)
	}
	for _, k := range s.Kinds {
		share := floor(k, slotsKept)
		if floors > mostFloors {
			share = share * mostFloors / floors
		}
		made.Kinds = append(made.Kinds, croft.Kind{
			ID:         croft.KindID(k.Name),
			Urgency:    urgencies[k.Urgent],
			FloorShare: int(share),
			Deadline:   k.Wait,
			Repeatable: k.Repeatable,
			MeanRate:   k.RequestsAMinute * 1000 / 60,
		})
	}
	return made
}

// floor is the share in thousandths that a kind's mean takes, at least one slot.
func floor(k Kind, slotsKept int64) int64 {
	used := max(slots(load(k)), 1)
	return min((used*wholeShare+slotsKept-1)/slotsKept, wholeShare)
}
