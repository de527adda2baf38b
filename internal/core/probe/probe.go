// Package probe serves the health, readiness and metrics endpoints (/healthz, /readyz and /metrics).
package probe

import (
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
)

// Readiness tracks the conditions that must be satisfied before a process is ready. The zero value is ready.
type Readiness struct {
	mu      sync.Mutex
	pending map[string]bool
}

// Require adds a named condition that is not yet satisfied.
func (r *Readiness) Require(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.pending == nil {
		r.pending = map[string]bool{}
	}

	r.pending[name] = true
}

// Satisfy marks a named condition as satisfied.
func (r *Readiness) Satisfy(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.pending, name)
}

// Pending returns the sorted names of the conditions that are not satisfied. The process is ready if there are none.
func (r *Readiness) Pending() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	names := make([]string, 0, len(r.pending))
	for name := range r.pending {
		names = append(names, name)
	}

	slices.Sort(names)

	return names
}

// readyResponse is the response body of /readyz.
type readyResponse struct {
	Ready   bool     `json:"ready"`
	Pending []string `json:"waiting,omitempty"`
}

// Register adds the three endpoints to a server.
func Register(server *echo.Echo, readiness *Readiness) {
	server.GET("/healthz", func(c echo.Context) error {
		return c.String(http.StatusOK, "ok\n")
	})
	server.GET("/readyz", func(c echo.Context) error {
		return ready(c, readiness)
	})
	server.GET("/metrics", echo.WrapHandler(metric.Handler(metrics.DefaultRegistry)))
}

func ready(c echo.Context, readiness *Readiness) error {
	pending := readiness.Pending()
	status := http.StatusOK

	if len(pending) > 0 {
		status = http.StatusServiceUnavailable
	}

	return c.JSON(status, readyResponse{Ready: len(pending) == 0, Pending: pending})
}
