// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Request describes a request that has ended.
type Request struct {
	// Route is the name of the route. It is exported as the label "class".
	Route string
	// Status is the answered status; 0 if the connection was closed without an answer.
	Status int
	// Reason is why the request failed; empty for a success.
	Reason string
	// Retries is the number of further endpoints that the request was sent to.
	Retries int
	// Waited is the wait for endpoints, over all attempts.
	Waited time.Duration
	// First is the time from the arrival to the head of the answer, 0 if there was none; Whole is the time to its end.
	First time.Duration
	Whole time.Duration
	// StartRatios are, for each attempt that ran with a declared prompt, the time until it ran divided by the expected time.
	StartRatios []float64
	// EndCauses name, for each attempt without a complete response, what ended it.
	EndCauses []string
}

// Gauges are the values read at each scrape.
type Gauges struct {
	ConfigurationVersion float64
	Endpoints            float64
	Ejected              float64
	Limited              float64
	Resting              float64
	CutOff               float64
	TunnelsOpened        float64
	StoreEra             float64
	Quarantined          float64
	ResidentCopies       float64
	Waiting              float64
	InFlight             float64
	Planning             float64
	Term                 float64
	Members              float64
	Connections          float64
	LogSuppressed        float64
	PeerQueueBytes       float64
	// CountsAgeSeconds is the mean age of the other instances' counts of requests in flight.
	CountsAgeSeconds    float64
	EndpointsAgeSeconds float64
	// ConfigurationLagSeconds is for how long the operators' keys have lacked changes that the planner has.
	ConfigurationLagSeconds float64
	// CallersConnections and EndpointConnections are open connections, IdleEndpointConnections those of the latter that carry no request.
	CallersConnections, EndpointConnections, IdleEndpointConnections float64
	// DescriptorLimit is the number of descriptors that the process may have open.
	DescriptorLimit float64
}

// Metrics holds the counters and histograms of a process.
type Metrics struct {
	registry         *prometheus.Registry
	requests         *prometheus.CounterVec
	failures         *prometheus.CounterVec
	retries          *prometheus.CounterVec
	orders           *prometheus.CounterVec
	storeFailures    *prometheus.CounterVec
	relayedBytes     prometheus.Counter
	linksClosed      prometheus.Counter
	recalled         prometheus.Counter
	waitSeconds      *prometheus.HistogramVec
	firstByteSeconds *prometheus.HistogramVec
	requestSeconds   *prometheus.HistogramVec
	startRatios      *prometheus.HistogramVec
	formerVersionAge prometheus.Histogram
	overdue          prometheus.Counter
	// connectionsEnded counts callers' connections, and unanswered the requests on them that ended without a complete response, by the reason
	// for which the connection ended.
	connectionsEnded *prometheus.CounterVec
	unanswered       *prometheus.CounterVec
	// attemptsEnded counts attempts without a complete response by what ended them.
	attemptsEnded *prometheus.CounterVec
	controlWait   prometheus.Histogram
}

// buckets are the upper bounds of the histograms, in seconds. More buckets give a finer resolution, fewer take less memory for each class.
var buckets = []float64{.01, .05, .1, .25, .5, .8, 1, 2, 4, 8, 15}

// ratioBuckets are the upper bounds of the ratios of actual to expected times. More buckets give a finer resolution, fewer take less memory
// for each class.
var ratioBuckets = []float64{.25, .5, .8, 1.25, 2, 4, 8}

// ageBuckets are the upper bounds of the ages of newer versions, in seconds, dense around the 5 s for which the platform allows requests to
// begin on a former version. More buckets show more closely how near requests come to that limit, fewer take less memory.
var ageBuckets = []float64{.25, .5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 4.5, 5, 5.5, 6, 8, 15, 60}

// controlWaitBuckets are the upper bounds of the waits for the control goroutine, in seconds, up to the time in which a change must be in
// force. More buckets give a finer resolution, fewer take less memory.
var controlWaitBuckets = []float64{.001, .01, .1, .5, 1, 3}

// namespace is the prefix of the names of all metrics.
const namespace = "shelfledge"

// New returns metrics that read gauges at each scrape.
func New(gauges func() Gauges) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	plain := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, []string{"class"})
	}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: counter("requests_total", "Requests by class and answered status; 0 is a connection closed without a whole answer.", "class", "status"),
		failures: counter("failures_total", "Requests without success, by reason.", "class", "reason"),
		// The exported name and help text call retries "repeats" and "repeated sends"; they are part of the program's outer interface and stay.
		retries:          counter("repeats_total", "Repeated sends to further endpoints.", "class"),
		orders:           counter("orders_total", "Orders to endpoints, by kind and reply.", "kind", "reply"),
		storeFailures:    counter("store_failures_total", "Calls to the store that failed, by call.", "call"),
		relayedBytes:     plain("configuration_relayed_bytes_total", "Bytes of the operators' keys sent to peers that lacked them."),
		recalled:         plain("requests_taken_back_total", "Requests taken back from endpoints where they had not begun in time."),
		linksClosed:      plain("peer_links_closed_total", "Links of peers closed because too much waited for the peer."),
		waitSeconds:      histogram("wait_seconds", "Wait for an endpoint."),
		firstByteSeconds: histogram("first_byte_seconds", "Time to the head of the answer."),
		requestSeconds:   histogram("request_seconds", "Time to the end of the answer."),
		startRatios: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "start_ratio", Buckets: ratioBuckets,
			Help: "Time until a request with a declared prompt ran at its endpoint, over the time that was expected.",
		}, []string{"class"}),
		formerVersionAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "former_version_age_seconds", Buckets: ageBuckets,
			Help: "How long a newer version had been known when a request began on a former one.",
		}),
		overdue:          plain("former_version_overdue_total", "Requests that began on a former version after its time."),
		connectionsEnded: counter("connections_ended_total", "Callers' connections that ended, by reason.", "reason"),
		unanswered: counter("requests_unanswered_total",
			"Requests that were read and ended without a whole answer, by the reason for which their connection ended.", "reason"),
		attemptsEnded: counter("attempts_ended_total", "Attempts that brought no whole answer, by who ended them.", "by"),
		controlWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "control_wait_seconds", Buckets: controlWaitBuckets, Help: "Wait of functions for the control goroutine.",
		}),
	}
	m.registry.MustRegister(m.requests, m.failures, m.retries, m.orders, m.storeFailures, m.relayedBytes, m.linksClosed, m.recalled, m.waitSeconds, m.firstByteSeconds, m.requestSeconds, m.startRatios,
		m.formerVersionAge, m.overdue, m.connectionsEnded, m.unanswered, m.attemptsEnded, m.controlWait, &gaugeCollector{read: gauges})
	return m
}

// Handler returns a handler that serves the metrics in the text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveRequest records a request that has ended.
func (m *Metrics) ObserveRequest(r Request) {
	m.requests.WithLabelValues(r.Route, strconv.Itoa(r.Status)).Inc()
	if r.Reason != "" {
		m.failures.WithLabelValues(r.Route, r.Reason).Inc()
	}
	if r.Retries > 0 {
		m.retries.WithLabelValues(r.Route).Add(float64(r.Retries))
	}
	m.waitSeconds.WithLabelValues(r.Route).Observe(r.Waited.Seconds())
	if r.First > 0 {
		m.firstByteSeconds.WithLabelValues(r.Route).Observe(r.First.Seconds())
	}
	m.requestSeconds.WithLabelValues(r.Route).Observe(r.Whole.Seconds())
	for _, ratio := range r.StartRatios {
		m.startRatios.WithLabelValues(r.Route).Observe(ratio)
	}
	for _, by := range r.EndCauses {
		m.attemptsEnded.WithLabelValues(by).Inc()
	}
}

// ObserveOrder counts an order to an endpoint.
func (m *Metrics) ObserveOrder(kind, reply string) {
	m.orders.WithLabelValues(kind, reply).Inc()
}

// ObserveStoreFailure counts a failed call to the store.
func (m *Metrics) ObserveStoreFailure(call string) {
	m.storeFailures.WithLabelValues(call).Inc()
}

// ObserveRelay counts bytes of the operators' keys that were sent to a peer.
func (m *Metrics) ObserveRelay(bytes int) {
	m.relayedBytes.Add(float64(bytes))
}

// ObserveLinkClosed counts a peer's link that was closed because too much was queued for the peer.
func (m *Metrics) ObserveLinkClosed() {
	m.linksClosed.Inc()
}

// ObserveFormerVersion records a request that began on a former version: how long a newer one has been in force, and whether that is longer
// than former versions may be used.
func (m *Metrics) ObserveFormerVersion(age time.Duration, overdue bool) {
	m.formerVersionAge.Observe(age.Seconds())
	if overdue {
		m.overdue.Inc()
	}
}

// ObserveConnection counts a caller's connection that ended, and the requests on it that ended without a complete response.
func (m *Metrics) ObserveConnection(reason string, unanswered int) {
	m.connectionsEnded.WithLabelValues(reason).Inc()
	m.unanswered.WithLabelValues(reason).Add(float64(unanswered))
}

// ObserveRecall counts a request that was recalled from its endpoint.
func (m *Metrics) ObserveRecall() {
	m.recalled.Inc()
}

// ObserveControlWait records for how long a function waited for the control goroutine.
func (m *Metrics) ObserveControlWait(waited time.Duration) {
	m.controlWait.Observe(waited.Seconds())
}

// gaugeCollector collects all gauges with a single read.
type gaugeCollector struct {
	read func() Gauges
}

// gauge maps a field of Gauges to a metric.
type gauge struct {
	description *prometheus.Desc
	value       func(Gauges) float64
}

func describe(name, help string, value func(Gauges) float64) gauge {
	return gauge{description: prometheus.NewDesc(namespace+"_"+name, help, nil, nil), value: value}
}

var allGauges = []gauge{
	describe("configuration_version", "Version of the configuration in force.", func(g Gauges) float64 { return g.ConfigurationVersion }),
	describe("endpoints", "Endpoints known.", func(g Gauges) float64 { return g.Endpoints }),
	describe("endpoints_ejected", "Endpoints that get no requests for now.", func(g Gauges) float64 { return g.Ejected }),
	describe("endpoints_limited", "Endpoints that take a limited number of requests a second.", func(g Gauges) float64 { return g.Limited }),
	describe("cut_off", "1 while this instance reaches no endpoint over its own links.", func(g Gauges) float64 { return g.CutOff }),
	describe("tunnels_opened", "Tunnels to endpoints opened for other instances.", func(g Gauges) float64 { return g.TunnelsOpened }),
	describe("store_era", "How often the store came back from a copy, as far as this instance knows.", func(g Gauges) float64 { return g.StoreEra }),
	describe("endpoints_resting", "Endpoints that asked this instance for rest.", func(g Gauges) float64 { return g.Resting }),
	describe("quarantined_requests", "Requests that are held back since they crash endpoints.", func(g Gauges) float64 { return g.Quarantined }),
	describe("resident_copies", "Copies of adapters that take requests.", func(g Gauges) float64 { return g.ResidentCopies }),
	describe("waiting_requests", "Requests that wait for an endpoint.", func(g Gauges) float64 { return g.Waiting }),
	describe("in_flight_requests", "This instance's requests at endpoints.", func(g Gauges) float64 { return g.InFlight }),
	describe("planning", "1 if this instance plans.", func(g Gauges) float64 { return g.Planning }),
	describe("planner_term", "Term of the planner that this instance knows.", func(g Gauges) float64 { return g.Term }),
	describe("members", "Instances that share the fleet's bounds.", func(g Gauges) float64 { return g.Members }),
	describe("connections_opened", "Connections opened to endpoints.", func(g Gauges) float64 { return g.Connections }),
	describe("peer_queue_bytes", "Bytes that wait to be written to peers.", func(g Gauges) float64 { return g.PeerQueueBytes }),
	describe("counts_age_seconds", "How old the other instances' requests in flight are on the mean, as this one knows them.", func(g Gauges) float64 { return g.CountsAgeSeconds }),
	describe("endpoints_age_seconds", "For how long the endpoints in use may have changed unnoticed.", func(g Gauges) float64 { return g.EndpointsAgeSeconds }),
	describe("configuration_lag_seconds", "For how long this instance has lacked operators' keys that the planner has.", func(g Gauges) float64 { return g.ConfigurationLagSeconds }),
	describe("callers_connections", "Open connections of callers.", func(g Gauges) float64 { return g.CallersConnections }),
	describe("endpoint_connections", "Open connections to endpoints.", func(g Gauges) float64 { return g.EndpointConnections }),
	describe("endpoint_connections_idle", "Open connections to endpoints that carry no request.", func(g Gauges) float64 { return g.IdleEndpointConnections }),
	describe("descriptor_limit", "Descriptors that the process may have open.", func(g Gauges) float64 { return g.DescriptorLimit }),
	describe("log_lines_suppressed", "Log lines that were not written.", func(g Gauges) float64 { return g.LogSuppressed }),
}

// Describe implements prometheus.Collector.
func (*gaugeCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, g := range allGauges {
		descriptions <- g.description
	}
}

// Collect implements prometheus.Collector.
func (c *gaugeCollector) Collect(metrics chan<- prometheus.Metric) {
	values := c.read()
	for _, g := range allGauges {
		metrics <- prometheus.MustNewConstMetric(g.description, prometheus.GaugeValue, g.value(values))
	}
}
