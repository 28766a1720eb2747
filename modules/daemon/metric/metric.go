// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package metric

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// Metrics holds the metrics of a daemon and their registry.
type Metrics struct {
	Registry *prometheus.Registry

	Requests        *prometheus.CounterVec
	LoadStall       *prometheus.HistogramVec
	QueueWait       *prometheus.HistogramVec
	FirstToken      *prometheus.HistogramVec
	BetweenTokens   *prometheus.HistogramVec
	RequestDuration *prometheus.HistogramVec
	Retries         *prometheus.CounterVec
	Events          *prometheus.CounterVec
	KVCalls         *prometheus.GaugeVec
	RunningRequests prometheus.Gauge
	WaitingRequests prometheus.Gauge
	Revision        prometheus.Gauge
	Dropped         prometheus.Gauge
	Claims          *prometheus.CounterVec
	OperatorLogins  *prometheus.CounterVec

	callers *labelLimiter
	classes *labelLimiter
}

// otherLabel is the label value that replaces all values above the limit of a label.
const otherLabel = "other"

// Options limit the number of label values.
type Options struct {
	MaxCallers int
	MaxClasses int
}

// The bucket bounds are in seconds. waitBuckets range from a millisecond to the default maximum wait of a minute, tokenBuckets from the
// time of a fast step to that of a stall. The bounds 1.2 and 0.041 are thresholds of conf/alerts.yml: a threshold is exact only at a
// bucket bound.
var (
	waitBuckets  = []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 1.2, 2.5, 5, 10, 30, 60}
	tokenBuckets = []float64{.005, .01, .02, .03, .041, .06, .1, .25, 1}
)

// New returns the metrics, registered in a new registry.
func New(o Options) *Metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m := &Metrics{Registry: r, callers: newLabelLimiter(o.MaxCallers), classes: newLabelLimiter(o.MaxClasses)}
	labels := []string{"class", "caller"}
	m.Requests = counter(r, "requests_total", "Requests by how they ended.", "class", "caller", "outcome", "reason")
	m.LoadStall = histogram(r, "load_stall_seconds", "Time that requests waited for an adapter to load.", waitBuckets, labels)
	m.QueueWait = histogram(r, "queue_wait_seconds", "Time from a request's arrival to its ticket, save the load stall.", waitBuckets, labels)
	m.FirstToken = histogram(r, "first_token_seconds", "Time from a request's arrival to its first token.", waitBuckets, labels)
	m.BetweenTokens = histogram(r, "between_tokens_seconds", "Mean time between a stream's tokens.", tokenBuckets, labels)
	m.RequestDuration = histogram(r, "request_seconds", "Time from a request's arrival to its end.", waitBuckets, labels)
	m.Retries = counter(r, "retries_total", "Attempts repeated, by cause.", "cause")
	m.Events = counter(r, "events_total", "Actions of the system by kind.", "kind")
	m.KVCalls = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: "kv_calls", Help: "Calls to the key-value service since the start, by kind."}, []string{"kind"})
	r.MustRegister(m.KVCalls)
	m.Claims = counter(r, "once_claims_total", "Claims of requests that must not be repeated, by result.", "result")
	m.OperatorLogins = counter(r, "operator_logins_total", "Operators' requests by the result of the check of their key.", "result")
	m.RunningRequests = gauge(r, "running_requests", "Requests that run through this instance.")
	m.WaitingRequests = gauge(r, "waiting_requests", "Requests of this instance that wait for a ticket.")
	m.Revision = gauge(r, "configuration_revision", "Revision of the configuration in force.")
	m.Dropped = gauge(r, "peer_messages_dropped", "Messages to peers that could not be sent.")
	return m
}

const namespace = "shelfledge"

func counter(r *prometheus.Registry, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

func histogram(r *prometheus.Registry, name, help string, buckets []float64, labels []string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, labels)
	r.MustRegister(h)
	return h
}

func gauge(r *prometheus.Registry, name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	r.MustRegister(g)
	return g
}

// Handler returns the HTTP handler of the metrics page.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}

// Observation holds the values that a finished request adds to the metrics.
type Observation struct {
	Class           string
	Caller          string
	Outcome         string
	Reason          string
	LoadStall       time.Duration
	QueueWait       time.Duration
	FirstToken      time.Duration
	TokenInterval   time.Duration
	RequestDuration time.Duration
	Ran             bool
}

// Observe adds a finished request to the metrics.
func (m *Metrics) Observe(o Observation) {
	class, caller := m.classes.label(o.Class), m.callers.label(o.Caller)
	m.Requests.WithLabelValues(class, caller, o.Outcome, o.Reason).Inc()
	m.RequestDuration.WithLabelValues(class, caller).Observe(o.RequestDuration.Seconds())
	if !o.Ran {
		return
	}
	m.LoadStall.WithLabelValues(class, caller).Observe(o.LoadStall.Seconds())
	m.QueueWait.WithLabelValues(class, caller).Observe(o.QueueWait.Seconds())
	if o.FirstToken > 0 {
		m.FirstToken.WithLabelValues(class, caller).Observe(o.FirstToken.Seconds())
	}
	if o.TokenInterval > 0 {
		m.BetweenTokens.WithLabelValues(class, caller).Observe(o.TokenInterval.Seconds())
	}
}

// labelLimiter limits the number of different values of a label; further values are replaced by otherLabel.
type labelLimiter struct {
	mutex     sync.RWMutex
	maxValues int
	seen      map[string]bool
}

func newLabelLimiter(maxValues int) *labelLimiter {
	return &labelLimiter{maxValues: maxValues, seen: make(map[string]bool)}
}

// label returns the label value to use for value.
func (l *labelLimiter) label(value string) string {
	l.mutex.RLock()
	ok := l.seen[value]
	l.mutex.RUnlock()
	if ok {
		return value
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.seen[value] && len(l.seen) >= l.maxValues {
		return otherLabel
	}
	l.seen[value] = true
	return value
}

// SetKVCalls sets the metrics of the calls to the key-value service.
func (m *Metrics) SetKVCalls(c kv.Counts) {
	for kind, n := range map[string]int64{
		"read": c.Reads, "write": c.Writes, "watch": c.Watches, "unknown": c.OutcomeUnknown, "not_done": c.NotDone, "throttled": c.Throttled,
	} {
		m.KVCalls.WithLabelValues(kind).Set(float64(n))
	}
}
