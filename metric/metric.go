// Package metric defines the Prometheus metrics of the daemon and serves them in
// the exposition format.
package metric

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	gometrics "github.com/rcrowley/go-metrics"
)

// namespace is the prefix of every metric name.
const namespace = "cranberrywalk"

// Phase is an interval in the lifetime of a request.
type Phase string

// The phases of a request.
const (
	// Queue lasts from the arrival of a request to the start of its first attempt.
	Queue Phase = "Queue"
	// Connect lasts from the start of an attempt to the response header, or to
	// the failure of the attempt.
	Connect Phase = "Connect"
	// FirstEvent lasts from the arrival of a request to the first event of the
	// response stream.
	FirstEvent Phase = "FirstEvent"
	// Total lasts from the arrival of a request to its end.
	Total Phase = "Whole"
)

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	phases   *prometheus.HistogramVec
	// calls and callTimes describe the calls to the store.
	calls     *prometheus.CounterVec
	callTimes *prometheus.HistogramVec
	version   prometheus.Gauge
}

// durationBuckets are the upper bounds of the buckets of both histograms, in seconds.
var durationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 30}

// New returns a set of metrics that also exposes the counters of a go-metrics
// registry.
func New(counters gometrics.Registry) *Set {
	s := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests that have ended.",
		}, []string{"Kind", "Service", "Outcome", "Reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts that have ended, by runner.",
		}, []string{"Runner", "Result"}),
		phases: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "phase_seconds", Help: "Time of the phases of requests.", Buckets: durationBuckets,
		}, []string{"Kind", "Phase"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the store that have ended.",
		}, []string{"Call", "Topic", "Result"}),
		callTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "store_call_seconds", Help: "Time of the calls to the store.", Buckets: durationBuckets,
		}, []string{"Call"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_version", Help: "Version of the configuration in force.",
		}),
	}
	s.registry.MustRegister(s.requests, s.attempts, s.phases, s.calls, s.callTimes, s.version, counterCollector{counters: counters})
	return s
}

// CountRequest counts a finished request.
func (s *Set) CountRequest(kind, service, outcome, reason string) {
	s.requests.WithLabelValues(kind, service, outcome, reason).Inc()
}

// CountAttempt counts a finished attempt at a runner.
func (s *Set) CountAttempt(runner, result string) { s.attempts.WithLabelValues(runner, result).Inc() }

// DeleteRunner deletes the counters of a runner that has left, which bounds the number
// of label values.
func (s *Set) DeleteRunner(runner string) {
	s.attempts.DeletePartialMatch(prometheus.Labels{"Runner": runner})
}

// ObservePhase records the duration of a phase.
func (s *Set) ObservePhase(kind string, phase Phase, d time.Duration) {
	s.phases.WithLabelValues(kind, string(phase)).Observe(d.Seconds())
}

// ObserveStoreCall counts a finished call to the store and records its duration.
func (s *Set) ObserveStoreCall(name, topic, result string, d time.Duration) {
	s.calls.WithLabelValues(name, topic, result).Inc()
	s.callTimes.WithLabelValues(name).Observe(d.Seconds())
}

// SetVersion sets the version of the configuration in force.
func (s *Set) SetVersion(version uint64) { s.version.Set(float64(version)) }

// RegisterGauge registers a gauge whose value is read on every scrape.
func (s *Set) RegisterGauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help,
	}, value))
}

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// counterCollector exposes the counters of a go-metrics registry. It implements
// prometheus.Collector as an unchecked collector: it sends no descriptions, since
// counters are registered at any time.
type counterCollector struct{ counters gometrics.Registry }

// Describe implements prometheus.Collector.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c counterCollector) Collect(collected chan<- prometheus.Metric) {
	c.counters.Each(func(name string, value any) {
		counter, ok := value.(gometrics.Counter)
		if !ok {
			return
		}
		description := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", exposedName(name)), name, nil, nil)
		collected <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(counter.Count()))
	})
}

// exposedName replaces the characters that the exposition format does not allow in
// a name and adds the suffix of a counter.
func exposedName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name) + "_total"
}
