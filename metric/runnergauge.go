package metric

import "github.com/prometheus/client_golang/prometheus"

// LabelValues calls yield with the value for each runner or service.
type LabelValues func(yield func(label string, value float64))

// RegisterRunnerGauge registers a gauge for each runner, whose values are read on every scrape.
func (s *Set) RegisterRunnerGauge(name, help string, values LabelValues) {
	s.registerGauges(name, help, "Runner", values)
}

// RegisterServiceGauge registers a gauge for each service, whose values are read on every scrape.
func (s *Set) RegisterServiceGauge(name, help string, values LabelValues) {
	s.registerGauges(name, help, "Service", values)
}

func (s *Set) registerGauges(name, help, label string, values LabelValues) {
	description := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil)
	s.registry.MustRegister(labelledGauge{description: description, values: values})
}

// labelledGauge implements prometheus.Collector.
type labelledGauge struct {
	description *prometheus.Desc
	values      LabelValues
}

// Describe implements prometheus.Collector.
func (g labelledGauge) Describe(described chan<- *prometheus.Desc) { described <- g.description }

// Collect implements prometheus.Collector.
func (g labelledGauge) Collect(collected chan<- prometheus.Metric) {
	g.values(func(label string, value float64) {
		collected <- prometheus.MustNewConstMetric(g.description, prometheus.GaugeValue, value, label)
	})
}
