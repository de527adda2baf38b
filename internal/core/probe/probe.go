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
	waiting map[string]bool
}

// Wait marks the process as waiting for a named thing.
func (r *Readiness) Wait(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.waiting == nil {
		r.waiting = map[string]bool{}
	}

	r.waiting[name] = true
}

// Done marks a named thing as present.
func (r *Readiness) Done(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	delete(r.waiting, name)
}

// Waiting returns the names of what the process waits for, sorted; none means ready.
func (r *Readiness) Waiting() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	names := make([]string, 0, len(r.waiting))
	for name := range r.waiting {
		names = append(names, name)
	}

	slices.Sort(names)

	return names
}

type readyReply struct {
	Ready   bool     `json:"ready"`
	Waiting []string `json:"waiting,omitempty"`
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
	waiting := readiness.Waiting()
	status := http.StatusOK

	if len(waiting) > 0 {
		status = http.StatusServiceUnavailable
	}

	return c.JSON(status, readyReply{Ready: len(waiting) == 0, Waiting: waiting})
}
