package sizing

import "waxwing.example/croft"

// Policy has the parameters by which pools are sized.
type Policy struct {
	// ByBacklog means that a pool needs the VMs that complete all its work within a fixed time. Otherwise it needs those on which
	// the tasks that may run at once fit.
	ByBacklog bool
	// HeadroomPercent of the tasks that may run now, and NextStepPercent of those whose step comes later, are to fit, unless
	// ByBacklog is set.
	HeadroomPercent, NextStepPercent int64
	// GrowthPercent of what the need has grown by over the last samples is added to it; the load is expected to grow by
	// MaxGrowthPercent at most.
	GrowthPercent, MaxGrowthPercent int
	// KeepPercent of the need and PeakPercent of its recent peak stay in the pool when it releases VMs.
	KeepPercent, PeakPercent int
	// SurplusDelay is how long a pool must have had a surplus before it releases VMs, MaxReleases at a time.
	SurplusDelay croft.Millis
	MaxReleases  int
}

// ByBacklog sizes pools by their work. It asks for more VMs than the tasks can use while tasks take longer than the time in
// which the work is to be done, and releases one VM at a time.
func ByBacklog() Policy {
	return Policy{ByBacklog: true, KeepPercent: 100, PeakPercent: 60, SurplusDelay: 2 * croft.Second, MaxReleases: 1}
}

// ByConcurrency sizes pools by the tasks that may run at once and by the growth of their number.
func ByConcurrency() Policy {
	return Policy{
		// Jobs that arrive within the 1.5 s that a move takes need VMs too, and executors are never filled completely.
		HeadroomPercent: 140,
		// About half of a job's later steps become ready while a VM moves.
		NextStepPercent: 50,
		// The need of a queue grows by half within the time of a move when its turn begins.
		GrowthPercent: 100, MaxGrowthPercent: 50,
		// A VM that is released and returns within 3 s costs callers more than it saves.
		KeepPercent: 125, PeakPercent: 10, SurplusDelay: croft.Second,
		// The need of a pool falls by some hundred VMs within 5 s when the turn of its queue ends.
		MaxReleases: 8,
	}
}

// growthSamples is the number of samples over which growth is measured; with one each 150 ms they span 600 ms, so that single
// jobs do not look like growth.
const growthSamples = 4

// peakDecay multiplies the peak at each sample; it halves in about a minute.
const peakDecay = 0.9983

// KeepMargin is how many VMs a pool keeps beyond its need.
const KeepMargin = 1

// Demand is the number of VMs that a pool needs; the zero value is that of a pool without load.
type Demand struct {
	// Current is the number of VMs that the pool needs now.
	Current int
	// peak is the highest recent value of Current, with a decay over time.
	peak float64
	// surplusSince is since when the pool has had more than Current VMs.
	surplusSince croft.Millis
	// samples are the last needs without growth, the oldest first.
	samples [growthSamples]int
}

// Sample is the load of a pool at one time, in VMs.
type Sample struct {
	// Need is what the load needs, and Most what it may need once it has grown by MaxGrowthPercent.
	Need, Most int
	// Minimum is what the pool needs at least, and Available what it has.
	Minimum, Available int
}

// With returns the demand after a sample.
func (d Demand) With(p Policy, now croft.Millis, s Sample) Demand {
	growth := max(s.Need-d.samples[0], 0) * p.GrowthPercent / 100
	copy(d.samples[:], d.samples[1:])
	d.samples[growthSamples-1] = s.Need
	d.Current = max(min(s.Need+growth, max(s.Most, s.Need)), s.Minimum)
	d.peak = max(d.peak*peakDecay, float64(d.Current))
	if s.Available <= d.Current {
		d.surplusSince = now
	}
	return d
}

// HasSurplus reports whether a pool with some VMs may release one.
func (d Demand) HasSurplus(p Policy, now croft.Millis, available int) bool {
	keep := max(d.Current*p.KeepPercent/100+KeepMargin, int(d.peak*float64(p.PeakPercent)/100))
	return available > keep && now-d.surplusSince >= p.SurplusDelay
}
