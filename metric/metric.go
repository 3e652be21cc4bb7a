// Package metric holds the counters and histograms of the daemon and serves them
// in the Prometheus exposition format.
package metric

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	gometrics "github.com/rcrowley/go-metrics"
)

// namespace begins the name of every metric.
const namespace = "cranberrywalk"

// Phase is a part of a request's time.
type Phase string

// The phases of a request.
const (
	// Queue is from the arrival of a request to the begin of its first attempt.
	Queue Phase = "Queue"
	// Connect is from the begin of an attempt to the head of its answer, or to
	// its failure.
	Connect Phase = "Connect"
	// FirstEvent is from the arrival of a request to its first event.
	FirstEvent Phase = "FirstEvent"
	// Whole is from the arrival of a request to its end.
	Whole Phase = "Whole"
)

// Set holds the metrics of one process. It is safe for use by several
// goroutines.
type Set struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	phases   *prometheus.HistogramVec
	// calls and callTimes are those to the store.
	calls     *prometheus.CounterVec
	callTimes *prometheus.HistogramVec
	version   prometheus.Gauge
}

// phaseBuckets are upper bounds in seconds.
var phaseBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 30}

// New returns metrics that also show the counters of a registry.
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
			Namespace: namespace, Name: "phase_seconds", Help: "Time of the phases of requests.", Buckets: phaseBuckets,
		}, []string{"Kind", "Phase"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_calls_total", Help: "Calls to the store that have ended.",
		}, []string{"Call", "Topic", "Result"}),
		callTimes: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "store_call_seconds", Help: "Time of the calls to the store.", Buckets: phaseBuckets,
		}, []string{"Call"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_version", Help: "Version of the configuration in force.",
		}),
	}
	s.registry.MustRegister(s.requests, s.attempts, s.phases, s.calls, s.callTimes, s.version, counterCollector{counters: counters})
	return s
}

// Request counts a request that has ended.
func (s *Set) Request(kind, service, outcome, reason string) {
	s.requests.WithLabelValues(kind, service, outcome, reason).Inc()
}

// Attempt counts an attempt at a runner.
func (s *Set) Attempt(runner, result string) { s.attempts.WithLabelValues(runner, result).Inc() }

// Forget drops the counters of a runner that is gone, so that they do not pile
// up.
func (s *Set) Forget(runner string) {
	s.attempts.DeletePartialMatch(prometheus.Labels{"Runner": runner})
}

// Time notes the length of a phase.
func (s *Set) Time(kind string, phase Phase, d time.Duration) {
	s.phases.WithLabelValues(kind, string(phase)).Observe(d.Seconds())
}

// StoreCall counts a call to the store that has ended.
func (s *Set) StoreCall(name, topic, result string, took time.Duration) {
	s.calls.WithLabelValues(name, topic, result).Inc()
	s.callTimes.WithLabelValues(name).Observe(took.Seconds())
}

// Version notes the version of the configuration in force.
func (s *Set) Version(version uint64) { s.version.Set(float64(version)) }

// Gauge adds a metric whose value is asked when it is shown.
func (s *Set) Gauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: name, Help: help,
	}, value))
}

// Handler serves the metrics.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{})
}

// counterCollector shows the counters of a registry. It implements
// prometheus.Collector and describes nothing beforehand.
type counterCollector struct{ counters gometrics.Registry }

// Describe implements prometheus.Collector.
func (counterCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c counterCollector) Collect(shown chan<- prometheus.Metric) {
	c.counters.Each(func(name string, value any) {
		counter, ok := value.(gometrics.Counter)
		if !ok {
			return
		}
		description := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", exposedName(name)), name, nil, nil)
		shown <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(counter.Count()))
	})
}

// exposedName returns a name that the exposition format allows.
func exposedName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name) + "_total"
}
