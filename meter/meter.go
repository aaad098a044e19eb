package meter

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwing.example/croft"
)

const (
	// maxLatencyMillis is the highest latency that the histograms record; higher ones are recorded as this.
	maxLatencyMillis = 600_000
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 2
)

// Ended describes how one request ended.
type Ended struct {
	Class   croft.Class
	Outcome croft.Outcome
	// Late says that the request was answered after its deadline.
	Late bool
	// Latency is the time from the request's arrival to its end.
	Latency croft.Millis
	// Retried is the number of attempts after the first.
	Retried int
	// Repeated says that the claim of an earlier attempt was found.
	Repeated bool
}

// Totals are the request counts of one class since it was declared, and its latency percentiles in milliseconds.
type Totals struct {
	croft.ClassCount
	// Repeated counts requests for which the claim of an earlier attempt was found.
	Repeated int64
	P50      int64
	P99      int64
	Max      int64
}

// classStats holds the counts and latencies of one class.
type classStats struct {
	total croft.ClassCount
	// reported is the part of total that Delta has returned.
	reported croft.ClassCount
	repeated int64
	latency  *hdrhistogram.Histogram
}

// Meter counts requests by class, for declared classes only.
type Meter struct {
	mu      sync.Mutex
	classes map[croft.Class]*classStats
	// undeclared counts requests of all other classes.
	undeclared int64
}

// New returns a meter without declared classes.
func New() *Meter { return &Meter{classes: map[croft.Class]*classStats{}} }

// Declare sets the classes that are counted to those of a configuration, which bounds their number. The counts of
// classes that are no longer declared are deleted.
func (m *Meter) Declare(config croft.Config) {
	declared := map[croft.Class]bool{}
	for _, s := range config.Services {
		for _, k := range s.Kinds {
			declared[croft.Class{Service: s.ID, Kind: k.ID}] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for class := range m.classes {
		if !declared[class] {
			delete(m.classes, class)
		}
	}
	for class := range declared {
		if m.classes[class] == nil {
			m.classes[class] = newClassStats(class)
		}
	}
}

func newClassStats(class croft.Class) *classStats {
	return &classStats{
		total:    croft.ClassCount{Class: class},
		reported: croft.ClassCount{Class: class},
		latency:  hdrhistogram.New(1, maxLatencyMillis, significantDigits),
	}
}

// CountOffered counts a received request.
func (m *Meter) CountOffered(class croft.Class) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.classes[class]
	if !ok {
		m.undeclared++
		return
	}
	e.total.Offered++
}

// CountEnded counts a request by how it ended.
func (m *Meter) CountEnded(ended Ended) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.classes[ended.Class]
	if !ok {
		return
	}
	total := &e.total
	total.Retried += int64(ended.Retried)
	if ended.Repeated {
		e.repeated++
	}
	switch {
	case ended.Outcome == croft.OutcomeNotRun:
		total.NotRun++
		return
	case ended.Outcome == croft.OutcomeUnknown:
		total.Unknown++
		return
	case ended.Late:
		total.Late++
	default:
		total.Answered++
	}
	// RecordValue fails only for values above the highest, which the limit prevents.
	_ = e.latency.RecordValue(int64(min(max(ended.Latency, 0), maxLatencyMillis)))
}

// Delta returns the counts since the previous call, without classes that have none.
func (m *Meter) Delta() []croft.ClassCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	var deltas []croft.ClassCount
	for _, e := range m.classes {
		delta := subtract(e.total, e.reported)
		if delta != (croft.ClassCount{Class: delta.Class}) {
			deltas = append(deltas, delta)
		}
		e.reported = e.total
	}
	return deltas
}

func subtract(a, b croft.ClassCount) croft.ClassCount {
	a.Offered -= b.Offered
	a.Answered -= b.Answered
	a.Late -= b.Late
	a.NotRun -= b.NotRun
	a.Unknown -= b.Unknown
	a.Retried -= b.Retried
	return a
}

// Snapshot returns the totals by class, with keys of the form Service/Kind.
func (m *Meter) Snapshot() map[string]Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals := make(map[string]Totals, len(m.classes))
	for class, e := range m.classes {
		totals[class.String()] = Totals{
			ClassCount: e.total,
			Repeated:   e.repeated,
			P50:        e.latency.ValueAtQuantile(50),
			P99:        e.latency.ValueAtQuantile(99),
			Max:        e.latency.Max(),
		}
	}
	return totals
}

// Undeclared returns the number of requests of classes that are not declared.
func (m *Meter) Undeclared() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.undeclared
}

// Publish makes the totals available as an expvar variable; like expvar.Publish, it terminates the process if the name is
// in use.
func (m *Meter) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return m.Snapshot() }))
}
