package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are the counters and histograms of a serving process. Use NewMetrics.
type Metrics struct {
	Requests        *prometheus.CounterVec   // by kind of route and outcome
	WaitTime        prometheus.Histogram     // seconds that requests waited for a place, also if they got none
	FirstEventTime  prometheus.Histogram     // seconds from a request's arrival to its stream's first event
	EventGaps       prometheus.Histogram     // seconds between two events of a stream
	RequestTime     *prometheus.HistogramVec // seconds of whole requests, by kind of route
	Attempts        *prometheus.CounterVec   // by reason
	Failures        *prometheus.CounterVec   // failed attempts, by reason
	Refusals        *prometheus.CounterVec   // by reason
	LostAnswers     *prometheus.CounterVec   // connections that ended without the whole answer to a request, by cause
	Bars            *prometheus.CounterVec   // servers that said that they want no requests, by cause
	Limits          *prometheus.CounterVec   // servers that began, changed or ended a limit on requests, by word
	StoreCalls      *prometheus.CounterVec   // by call and outcome
	StoreTime       *prometheus.HistogramVec // seconds, by call
	StoreRestores   *prometheus.CounterVec   // times that the store was found restored from a copy
	Orders          *prometheus.CounterVec   // orders to workers, by operation and outcome
	Probes          *prometheus.CounterVec   // requests for a worker's report, by outcome
	Dials           *prometheus.CounterVec   // connections to backend servers, by outcome
	RejectedDigests *prometheus.CounterVec   // datagrams rejected as a peer's digest, by reason
	GroupRepairTime prometheus.Histogram     // seconds from the loss of a group until its model's next group opens

	registry *prometheus.Registry
}

// NewMetrics returns metrics that are registered with a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry()}
	bucketSeconds := []float64{.005, .01, .025, .05, .1, .2, .3, .4, .6, 1, 2, 4, 8, 16}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "chicorystall", Name: name, Help: help}, labels)
		m.registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "chicorystall", Name: name, Help: help, Buckets: bucketSeconds}, labels)
		m.registry.MustRegister(h)
		return h
	}
	unlabelledHistogram := func(name, help string) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "chicorystall", Name: name, Help: help, Buckets: bucketSeconds})
		m.registry.MustRegister(h)
		return h
	}
	m.Requests = counter("requests_total", "Requests that ended.", "kind", "outcome")
	m.WaitTime = unlabelledHistogram("wait_seconds", "Time that requests waited for a place.")
	m.FirstEventTime = unlabelledHistogram("first_event_seconds", "Time from a request's arrival to its stream's first event.")
	m.EventGaps = unlabelledHistogram("pause_seconds", "Time between two events of a stream.")
	m.RequestTime = histogram("request_seconds", "Time from a request's arrival to its end.", "kind")
	m.Attempts = counter("attempts_total", "Requests sent to backend servers.", "reason")
	m.Failures = counter("attempt_failures_total", "Attempts at backend servers that failed.", "reason")
	m.Refusals = counter("refusals_total", "Requests that were refused.", "reason")
	m.LostAnswers = counter("lost_answers_total", "Connections of clients that ended without the whole answer to a request.", "cause")
	m.Bars = counter("bars_total", "Times that a backend server began to get no requests by its own word.", "cause")
	m.Limits = counter("server_limits_total", "Times that a backend server's answer began, changed or ended its limit on requests per second.", "word")
	m.StoreCalls = counter("store_calls_total", "Calls to the platform's store.", "call", "outcome")
	m.StoreRestores = counter("store_restores_total", "Times that the store was found restored from a copy.")
	m.StoreTime = histogram("store_call_seconds", "Time of calls to the platform's store.", "call")
	m.Orders = counter("orders_total", "Orders to workers.", "operation", "outcome")
	m.Probes = counter("probes_total", "Requests for a worker's report.", "outcome")
	m.Dials = counter("dials_total", "Connections to backend servers.", "outcome")
	m.RejectedDigests = counter("digests_refused_total", "Datagrams rejected as a peer's digest.", "reason")
	m.GroupRepairTime = unlabelledHistogram("group_repair_seconds", "Time from the loss of a group until its model's next group opens.")
	return m
}

// Gauge registers a gauge whose value is read each time the metrics are served.
func (m *Metrics) Gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "chicorystall", Name: name, Help: help,
	}, value))
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
