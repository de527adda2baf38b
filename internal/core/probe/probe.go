// Package probe serves /healthz, /readyz and /metrics.
package probe

import (
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/chestnutbeam/chestnutbeam/internal/core/metric"
)

// Readiness tracks what a process still waits for. The zero value waits for nothing.
type Readiness struct {
	mu      sync.Mutex
	pending map[string]bool
}

// Require marks the process as waiting for a named thing.
func (r *Readiness) Require(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.pending == nil {
		r.pending = map[string]bool{}
	}

	r.pending[name] = true
}

// Satisfy marks a named thing as present.
func (r *Readiness) Satisfy(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.pending, name)
}

// Pending returns the names of what the process waits for, sorted; none means ready.
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

type readyResponse struct {
	Ready   bool     `json:"ready"`
	Pending []string `json:"waiting,omitempty"`
}

// Register adds the three routes to a server.
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
	waiting := readiness.Pending()
	status := http.StatusOK

	if len(waiting) > 0 {
		status = http.StatusServiceUnavailable
	}

	return c.JSON(status, readyResponse{Ready: len(waiting) == 0, Pending: waiting})
}
