package stats

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"waxwing.example/croft"
)

// Stats holds the figures of one entry. The number of series is bounded: labels have a few fixed
// values, but for queues, of which the first mostQueues are told apart.
type Stats struct {
	registry  *prometheus.Registry
	decisions *prometheus.CounterVec
	outcomes  *prometheus.CounterVec
	store     *prometheus.HistogramVec
	orders    *prometheus.HistogramVec
	first     *prometheus.HistogramVec
	ages      *prometheus.GaugeVec
	leading   prometheus.Gauge
	config    prometheus.Gauge
	waiting   *prometheus.GaugeVec
	oldest    *prometheus.GaugeVec
	inFlight  prometheus.Gauge
	queues    map[croft.QueueID]bool
}

// mostQueues bounds the series that are told apart by queue.
const mostQueues = 64

// callBuckets span calls from the platform's usual 2 to 10 ms to the entry's own time-outs, in seconds.
var callBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// New returns figures that are all zero.
func New() *Stats {
	s := &Stats{
		registry:  prometheus.NewRegistry(),
		decisions: counter("croft_decisions_total", "Decisions that were logged or would have been, by action.", "action"),
		outcomes:  counter("croft_calls_total", "Calls to the platform, executors and the advice service, by outcome.", "call", "outcome"),
		store:     histogram("croft_store_seconds", "Time of the store's answers.", "call"),
		orders:    histogram("croft_order_seconds", "Time of executors' answers to orders.", "order"),
		first:     histogram("croft_request_seconds", "Time of answers to callers.", "request", "status"),
		ages:      gauge("croft_feed_time_seconds", "When each feed last had an answer, since 1970.", "feed"),
		waiting:   gauge("croft_queue_waiting", "Jobs of a queue that have not begun, as the leader knows.", "queue"),
		oldest:    gauge("croft_queue_oldest_seconds", "Age of the oldest job of a queue that has not begun.", "queue"),
		leading:   single("croft_leading", "1 on the entry that leads."),
		config:    single("croft_config_version", "Version of the configuration in use."),
		inFlight:  single("croft_orders_in_flight", "Orders to executors without an answer yet."),
		queues:    map[croft.QueueID]bool{},
	}
	s.registry.MustRegister(s.decisions, s.outcomes, s.store, s.orders, s.first, s.ages, s.waiting, s.oldest, s.leading,
		s.config, s.inFlight, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return s
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

func single(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: callBuckets}, labels)
}

// Handler serves the figures.
func (s *Stats) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// Decision counts a decision.
func (s *Stats) Decision(d croft.Decision) { s.decisions.WithLabelValues(d.Action).Inc() }

// Request counts an answer to a caller.
func (s *Stats) Request(kind, status string, took time.Duration) {
	s.first.WithLabelValues(kind, status).Observe(took.Seconds())
}

// Feed notes an answer of a feed.
func (s *Stats) Feed(name string) { s.ages.WithLabelValues(name).SetToCurrentTime() }

// Leading notes whether the entry leads.
func (s *Stats) Leading(leads bool) {
	value := 0.0
	if leads {
		value = 1
	}
	s.leading.Set(value)
}

// Config notes the configuration in use.
func (s *Stats) Config(version uint64) { s.config.Set(float64(version)) }

// Queue notes how many jobs of a queue wait and for how long.
func (s *Stats) Queue(id croft.QueueID, waiting int, oldest croft.Millis) {
	if !s.queues[id] && len(s.queues) >= mostQueues {
		return
	}
	s.queues[id] = true
	s.waiting.WithLabelValues(string(id)).Set(float64(waiting))
	s.oldest.WithLabelValues(string(id)).Set(oldest.Duration().Seconds())
}
