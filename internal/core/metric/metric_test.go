package metric_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
)

// Guards against a change of the names, types or values in the Prometheus text output.
func TestHandlerRendersCounterGaugeAndHistogram(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("route.retry", registry).Inc(3)
	metrics.GetOrRegisterGauge("queue.length", registry).Update(7)
	metrics.GetOrRegisterHistogram("load.wait", registry, metrics.NewUniformSample(8)).Update(250)

	recorder := httptest.NewRecorder()
	metric.Handler(registry).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))

	assert.Equal(t, recorder.Code, 200)
	golden.Assert(t, recorder.Body.String(), "metrics.golden")
}
