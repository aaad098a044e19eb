package meter

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwing.example/croft"
)

const (
	// maxLatency is the highest latency in milliseconds that the histograms tell apart.
	maxLatency = 600_000
	// figures is the number of significant decimal digits of a latency.
	figures = 2
)

// Ended is how one request ended.
type Ended struct {
	Class   croft.Class
	Outcome croft.Outcome
	// Late says that the answer came after the deadline.
	Late bool
	// Latency is the span from arrival to the outcome.
	Latency croft.Millis
	// Retried counts attempts after the first.
	Retried int
	// Repeated says that a claim of an earlier attempt was found.
	Repeated bool
}

// Totals are the counts of one class since the start and its latency in milliseconds.
type Totals struct {
	croft.ClassCount
	Repeated int64
	P50      int64
	P99      int64
	Max      int64
}

// entry is one class in a Meter.
type entry struct {
	total    croft.ClassCount
	told     croft.ClassCount
	repeated int64
	latency  *hdrhistogram.Histogram
}

// Meter counts requests by class.
type Meter struct {
	mu      sync.Mutex
	classes map[croft.Class]*entry
	// unknown counts requests for classes that are not declared.
	unknown int64
}

// New returns a meter without classes.
func New() *Meter { return &Meter{classes: map[croft.Class]*entry{}} }

// Declare bounds the classes that are counted to those of a configuration.
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
			m.classes[class] = newEntry(class)
		}
	}
}

func newEntry(class croft.Class) *entry {
	return &entry{
		total:   croft.ClassCount{Class: class},
		told:    croft.ClassCount{Class: class},
		latency: hdrhistogram.New(1, maxLatency, figures),
	}
}

// Offered counts a request that was read.
func (m *Meter) Offered(class croft.Class) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.classes[class]
	if !ok {
		m.unknown++
		return
	}
	e.total.Offered++
}

// End counts how a request ended.
func (m *Meter) End(ended Ended) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.classes[ended.Class]
	if !ok {
		return
	}
	t := &e.total
	t.Retried += int64(ended.Retried)
	if ended.Repeated {
		e.repeated++
	}
	switch {
	case ended.Outcome == croft.OutcomeNotRun:
		t.NotRun++
		return
	case ended.Outcome == croft.OutcomeUnknown:
		t.Unknown++
		return
	case ended.Late:
		t.Late++
	default:
		t.Answered++
	}
	// Latencies above the highest are recorded as the highest, so that this cannot fail.
	_ = e.latency.RecordValue(int64(min(max(ended.Latency, 0), maxLatency)))
}

// Delta returns what was counted since the last call, without the classes that saw nothing.
func (m *Meter) Delta() []croft.ClassCount {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []croft.ClassCount
	for _, e := range m.classes {
		d := minus(e.total, e.told)
		if d != (croft.ClassCount{Class: d.Class}) {
			out = append(out, d)
		}
		e.told = e.total
	}
	return out
}

func minus(a, b croft.ClassCount) croft.ClassCount {
	a.Offered -= b.Offered
	a.Answered -= b.Answered
	a.Late -= b.Late
	a.NotRun -= b.NotRun
	a.Unknown -= b.Unknown
	a.Retried -= b.Retried
	return a
}

// Snapshot returns the totals by class, the class written as Service/Kind.
func (m *Meter) Snapshot() map[string]Totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Totals, len(m.classes))
	for class, e := range m.classes {
		out[class.String()] = Totals{
			ClassCount: e.total,
			Repeated:   e.repeated,
			P50:        e.latency.ValueAtQuantile(50),
			P99:        e.latency.ValueAtQuantile(99),
			Max:        e.latency.Max(),
		}
	}
	return out
}

// Undeclared counts requests for classes that are not declared.
func (m *Meter) Undeclared() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unknown
}

// Publish shows the totals as an expvar variable; like expvar.Publish it ends the program for a name in use.
func (m *Meter) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return m.Snapshot() }))
}
