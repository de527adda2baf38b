// Package metric exposes a go-metrics registry in the Prometheus text format.
package metric

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// namespace is the prefix of all exported metric names.
const namespace = "chestnutbeam_"

// quantiles are the quantiles reported for histograms and timers.
var quantiles = []float64{0.5, 0.95, 0.99}

// Collector is a prometheus.Collector for a go-metrics registry; go-metrics itself has no Prometheus exporter.
type Collector struct {
	// Registry holds the metrics. Dots and hyphens in their names are exported as underscores.
	Registry metrics.Registry
}

// Handler returns an HTTP handler that serves the metrics of the registry.
func Handler(registry metrics.Registry) http.Handler {
	exported := prometheus.NewRegistry()
	exported.MustRegister(Collector{Registry: registry})

	return promhttp.HandlerFor(exported, promhttp.HandlerOpts{})
}

// Describe implements prometheus.Collector; it sends nothing, because metrics are added while the process runs.
func (Collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c Collector) Collect(out chan<- prometheus.Metric) {
	c.Registry.Each(func(name string, value any) {
		desc := prometheus.NewDesc(namespace+strings.NewReplacer(".", "_", "-", "_").Replace(name), name, nil, nil)

		switch m := value.(type) {
		case metrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()))
		case metrics.Meter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()))
		case metrics.Gauge:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(m.Value()))
		case metrics.GaugeFloat64:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, m.Value())
		case metrics.Histogram:
			out <- summary(desc, m.Snapshot())
		case metrics.Timer:
			out <- summary(desc, m.Snapshot())
		}
	})
}

// distribution is the part of histogram and timer snapshots that summary uses.
type distribution interface {
	Count() int64
	Sum() int64
	Percentiles(ps []float64) []float64
}

// summary converts a distribution to a Prometheus summary.
func summary(desc *prometheus.Desc, from distribution) prometheus.Metric {
	values := map[float64]float64{}

	for i, value := range from.Percentiles(quantiles) {
		values[quantiles[i]] = value
	}

	return prometheus.MustNewConstSummary(desc, uint64(from.Count()), float64(from.Sum()), values)
}
