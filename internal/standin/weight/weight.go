// Package weight stands in for the platform's rate-limited weight store.
package weight

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

const (
	// Interval is the time between the starts of two loads when more arrive: 4 loads a second.
	Interval = 250 * time.Millisecond
	// Duration is the time of one load with up to Transit in transit.
	Duration = 250 * time.Millisecond
	// Transit is the number of loads in transit up to which a load takes Duration.
	Transit = 8
	// burst is the number of loads that may start at once after a pause.
	burst = 8
)

// Record is what the store has seen.
type Record struct {
	// Loads is the number of loads that were completed.
	Loads int64 `json:"loads"`
	// Highest is the highest number of loads in transit; a load that waits for its start counts.
	Highest int64 `json:"highest"`
}

// Store hands out adapter weights at a limited rate. The zero value is ready.
type Store struct {
	// Switches are the fault switches.
	Switches switches.Switches

	mu sync.Mutex
	// next is the earliest start of the next load; it is never more than burst intervals behind the present.
	next    time.Time
	transit int64
	record  Record
}

// Load returns when the weights have arrived.
func (s *Store) Load(ctx context.Context, _ engine.Adapter) error {
	return s.Switches.Do(ctx, false, func() error { return s.load(ctx) })
}

// Record returns what the store has seen.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.record
}

// Handler returns the HTTP handler.
func (s *Store) Handler() http.Handler {
	server := echo.New()
	server.GET("/weight", s.Switches.Wrap(s.get))
	server.GET("/record", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Record()) })
	s.Switches.Register(server)

	return server
}

func (s *Store) get(c echo.Context) error {
	adapter := engine.Adapter{Name: c.QueryParam("adapter"), Version: c.QueryParam("version")}

	if err := s.load(c.Request().Context()); err != nil {
		return err
	}

	return c.JSON(http.StatusOK, adapter)
}

func (s *Store) load(ctx context.Context) error {
	start, duration := s.begin()
	defer s.end()

	if err := switches.Sleep(ctx, start+duration); err != nil {
		return err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.record.Loads++

	return nil
}

// begin returns the time until the load starts and the time it takes from then on.
func (s *Store) begin() (time.Duration, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.transit++
	s.record.Highest = max(s.record.Highest, s.transit)

	now := time.Now()
	if oldest := now.Add(-(burst - 1) * Interval); s.next.Before(oldest) {
		s.next = oldest
	}

	wait := max(0, s.next.Sub(now))
	s.next = s.next.Add(Interval)

	return wait, Duration * time.Duration(max(Transit, s.transit)) / Transit
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.transit--
}
