package metric

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize is the number of values in the sample of a histogram.
const sampleSize = 512

// Count increments a counter.
func Count(registry metrics.Registry, name string) {
	metrics.GetOrRegisterCounter(name, registry).Inc(1)
}

// Observe records a duration in a histogram, in milliseconds.
func Observe(registry metrics.Registry, name string, took time.Duration) {
	// The sample is allocated only when the name is first used.
	create := func() metrics.Histogram { return metrics.NewHistogram(metrics.NewUniformSample(sampleSize)) }

	if histogram, ok := registry.GetOrRegister(name, create).(metrics.Histogram); ok {
		histogram.Update(took.Milliseconds())
	}
}

// Gauge registers a gauge whose value function is called on each scrape. A second registration of a name is ignored.
func Gauge(registry metrics.Registry, name string, value func() int64) {
	registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}
