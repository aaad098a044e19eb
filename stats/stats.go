package stats

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"waxwing.example/croft"
	"waxwing.example/croft/window"
)

// Stats holds the metrics of one entry. The number of time series is bounded: labels have a few fixed values, except the
// labels queue and organisation, which have a value for each of the first maxQueues queues and shares.MaxNames organisations only.
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
	ordersLimit    prometheus.Gauge
	removedStates  prometheus.Counter
	inflowDrops    *prometheus.CounterVec
	inflowConns    *prometheus.GaugeVec
	inflowBytes    *prometheus.GaugeVec
	reservations   *prometheus.CounterVec
	parkedJobs     prometheus.Gauge
	openTasks      prometheus.Gauge
	recordBytes    prometheus.Gauge
	// countedQueues are the queues that have series.
	countedQueues map[croft.QueueID]bool
	organisations organisationStats
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
		ordersLimit:    newGauge("croft_orders_limit", "Starts that may be in flight at once, 0 if there is no limit."),
		removedStates:  prometheus.NewCounter(prometheus.CounterOpts{Name: "croft_states_removed_total", Help: "States of ended jobs that were removed from the store."}),
		inflowDrops:    newCounterVec("croft_inflow_dropped_total", "Connections and requests that a limit ended, by listener and limit.", "listener", "limit"),
		inflowConns:    newGaugeVec("croft_inflow_connections", "Open connections of a listener.", "listener"),
		inflowBytes:    newGaugeVec("croft_inflow_body_bytes", "Size of the buffers of bodies that are being received or wait.", "listener"),
		parkedJobs:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "croft_parked_jobs", Help: "Jobs whose tasks the leader does not hold in memory yet."}),
		openTasks:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "croft_open_tasks", Help: "Tasks that the leader holds in memory."}),
		recordBytes:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "croft_record_bytes", Help: "Memory of the records of jobs without open tasks at the leader, in bytes."}),
		reservations:   newCounterVec("croft_reservations_total", "Reservations of executors for large tasks that the leader made or released, by outcome.", "outcome"),
		countedQueues:  map[croft.QueueID]bool{},
		organisations:  newOrganisationStats(),
	}
	s.registry.MustRegister(s.decisions, s.calls, s.storeTimes, s.orderTimes, s.requestTimes, s.feedTimes, s.queueWaiting, s.queueOldest, s.leading,
		s.configVersion, s.ordersInFlight, s.ordersLimit, s.removedStates, s.reservations, s.parkedJobs, s.openTasks, s.recordBytes, s.inflowDrops, s.inflowConns, s.inflowBytes, collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	s.organisations.register(s.registry)
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

// maxScrapes is the number of requests for the metrics that are served at once; further ones are answered 503.
const maxScrapes = 2

// Handler returns a handler that serves the metrics.
func (s *Stats) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
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

// CountInflowDrops returns a function that counts what a limit of a listener ended.
func (s *Stats) CountInflowDrops(listener string) func(limit string) {
	return func(limit string) { s.inflowDrops.WithLabelValues(listener, limit).Inc() }
}

// RecordInflow returns a function that records what is open at a listener.
func (s *Stats) RecordInflow(listener string) func(connections int, bodyBytes int64) {
	connectionGauge, byteGauge := s.inflowConns.WithLabelValues(listener), s.inflowBytes.WithLabelValues(listener)
	return func(connections int, bodyBytes int64) {
		connectionGauge.Set(float64(connections))
		byteGauge.Set(float64(bodyBytes))
	}
}

// CountReservation counts a reservation of executors that was made, or released with an outcome.
func (s *Stats) CountReservation(outcome string) { s.reservations.WithLabelValues(outcome).Inc() }

// SetOpenTasks records how many jobs are parked, how many tasks this entry holds in memory as leader, and how much memory the records of
// jobs without open tasks take.
func (s *Stats) SetOpenTasks(parkedJobs, tasks, recordBytes int) {
	s.parkedJobs.Set(float64(parkedJobs))
	s.openTasks.Set(float64(tasks))
	s.recordBytes.Set(float64(recordBytes))
}

// SetLeading records whether this entry is the leader.
func (s *Stats) SetLeading(leads bool) {
	value := 0.0
	if leads {
		value = 1
	} else {
		s.organisations.use.Reset()
		s.SetOpenTasks(0, 0, 0)
	}
	s.leading.Set(value)
}

// SetConfigVersion records the version of the configuration in use.
func (s *Stats) SetConfigVersion(version uint64) { s.configVersion.Set(float64(version)) }

// SetOrdersLimit records how many starts may be in flight at once.
func (s *Stats) SetOrdersLimit(limit int) {
	if limit == window.Unlimited {
		limit = 0
	}
	s.ordersLimit.Set(float64(limit))
}

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
