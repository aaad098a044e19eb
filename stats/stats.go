package stats

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"waxwing.example/croft"
)

// Stats holds the metrics of one entry. The number of time series is bounded: labels have a few fixed values, except the
// label queue, which has a value for each of the first maxQueues queues only.
type Stats struct {
	registry       *prometheus.Registry
	decisions      *prometheus.CounterVec
	calls          *prometheus.CounterVec
	storeTimes     *prometheus.HistogramVec
	orderTimes     *prometheus.HistogramVec
	requestTimes   *prometheus.HistogramVec
	feedTimes      *prometheus.GaugeVec
	leading        prometheus.Gauge
	configVersion  prometheus.Gauge
	queueWaiting   *prometheus.GaugeVec
	queueOldest    *prometheus.GaugeVec
	ordersInFlight prometheus.Gauge
	removedStates  prometheus.Counter
	reservations   *prometheus.CounterVec
	// countedQueues are the queues that have series.
	countedQueues map[croft.QueueID]bool
}

// maxQueues is the number of queues that get series; any further queue is not counted.
const maxQueues = 64

// callBuckets are the upper bounds of the histograms' buckets, in seconds: from the platform's usual 2 to 10 ms
// up to the entry's own timeouts.
var callBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5}

// New returns metrics that are all zero.
func New() *Stats {
	s := &Stats{
		registry:       prometheus.NewRegistry(),
		decisions:      newCounterVec("croft_decisions_total", "Decisions that were logged or would have been, by action.", "action"),
		calls:          newCounterVec("croft_calls_total", "Calls to the platform, executors and the advice service, by outcome.", "call", "outcome"),
		storeTimes:     newHistogramVec("croft_store_seconds", "Time of the store's answers.", "call"),
		orderTimes:     newHistogramVec("croft_order_seconds", "Time of executors' answers to orders.", "order"),
		requestTimes:   newHistogramVec("croft_request_seconds", "Time of answers to callers.", "request", "status"),
		feedTimes:      newGaugeVec("croft_feed_time_seconds", "When each feed last had an answer, since 1970.", "feed"),
		queueWaiting:   newGaugeVec("croft_queue_waiting", "Jobs of a queue that have not begun, as the leader knows.", "queue"),
		queueOldest:    newGaugeVec("croft_queue_oldest_seconds", "Age of the oldest job of a queue that has not begun.", "queue"),
		leading:        newGauge("croft_leading", "1 on the entry that leads."),
		configVersion:  newGauge("croft_config_version", "Version of the configuration in use."),
		ordersInFlight: newGauge("croft_orders_in_flight", "Orders to executors without an answer yet."),
		removedStates:  prometheus.NewCounter(prometheus.CounterOpts{Name: "croft_states_removed_total", Help: "States of ended jobs that were removed from the store."}),
		reservations:   newCounterVec("croft_reservations_total", "Reservations of executors for large tasks that the leader made or released, by outcome.", "outcome"),
		countedQueues:  map[croft.QueueID]bool{},
	}
	s.registry.MustRegister(s.decisions, s.calls, s.storeTimes, s.orderTimes, s.requestTimes, s.feedTimes, s.queueWaiting, s.queueOldest, s.leading,
		s.configVersion, s.ordersInFlight, s.removedStates, s.reservations, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return s
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: callBuckets}, labels)
}

// Handler returns a handler that serves the metrics.
func (s *Stats) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// CountDecision counts a decision by its action.
func (s *Stats) CountDecision(d croft.Decision) { s.decisions.WithLabelValues(d.Action).Inc() }

// RecordRequest records the status and duration of a caller's request.
func (s *Stats) RecordRequest(kind, status string, duration time.Duration) {
	s.requestTimes.WithLabelValues(kind, status).Observe(duration.Seconds())
}

// RecordFeedResponse records that a feed has just responded.
func (s *Stats) RecordFeedResponse(name string) { s.feedTimes.WithLabelValues(name).SetToCurrentTime() }

// CountRemovedStates counts states of ended jobs that were removed from the store.
func (s *Stats) CountRemovedStates(n int) { s.removedStates.Add(float64(n)) }

// CountReservation counts a reservation of executors that was made, or released with an outcome.
func (s *Stats) CountReservation(outcome string) { s.reservations.WithLabelValues(outcome).Inc() }

// SetLeading records whether this entry is the leader.
func (s *Stats) SetLeading(leads bool) {
	value := 0.0
	if leads {
		value = 1
	}
	s.leading.Set(value)
}

// SetConfigVersion records the version of the configuration in use.
func (s *Stats) SetConfigVersion(version uint64) { s.configVersion.Set(float64(version)) }

// SetQueue records the number of waiting jobs of a queue and the age of the oldest, unless maxQueues other queues have
// series already. It must not be called concurrently.
func (s *Stats) SetQueue(id croft.QueueID, waiting int, oldest croft.Millis) {
	if !s.countedQueues[id] && len(s.countedQueues) >= maxQueues {
		return
	}
	s.countedQueues[id] = true
	s.queueWaiting.WithLabelValues(string(id)).Set(float64(waiting))
	s.queueOldest.WithLabelValues(string(id)).Set(oldest.Duration().Seconds())
}
