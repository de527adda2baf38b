// Package weight implements a test double of the platform's rate-limited weight store.
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
	// LoadInterval is the minimum time between the starts of two loads, beyond a burst: 4 loads a second.
	LoadInterval = 250 * time.Millisecond
	// LoadDuration is the time that one load takes with up to NominalConcurrency loads in flight.
	LoadDuration = 250 * time.Millisecond
	// NominalConcurrency is the highest number of loads in flight at which a load takes LoadDuration; beyond it, a load takes
	// proportionally longer.
	NominalConcurrency = 8
	// burst is the maximum number of loads that may start at once after an idle period.
	burst = 8
)

// Record holds the counters of a store.
type Record struct {
	// Loads is the number of completed loads.
	Loads int64 `json:"loads"`
	// MaxInFlight is the highest number of loads in flight, including those that wait for their start.
	MaxInFlight int64 `json:"highest"`
}

// Store serves adapter weights at a limited rate. The zero value is ready to use.
type Store struct {
	// Switches are the fault switches.
	Switches switches.Switches

	mu sync.Mutex
	// nextStart is the earliest start of the next load. It is at most burst intervals in the past.
	nextStart time.Time
	inFlight  int64
	record    Record
}

// Load returns when the weights have arrived.
func (s *Store) Load(ctx context.Context, _ engine.Adapter) error {
	return s.Switches.Do(ctx, false, func() error { return s.load(ctx) })
}

// Record returns the counters.
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
	start, duration := s.startLoad()
	defer s.endLoad()

	if err := switches.Sleep(ctx, start+duration); err != nil {
		return err
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.record.Loads++

	return nil
}

// startLoad reserves the start of a load. It returns the time until the load starts and the time that it takes from then on.
func (s *Store) startLoad() (time.Duration, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.inFlight++
	s.record.MaxInFlight = max(s.record.MaxInFlight, s.inFlight)

	now := time.Now()
	if oldest := now.Add(-(burst - 1) * LoadInterval); s.nextStart.Before(oldest) {
		s.nextStart = oldest
	}

	wait := max(0, s.nextStart.Sub(now))
	s.nextStart = s.nextStart.Add(LoadInterval)

	return wait, LoadDuration * time.Duration(max(NominalConcurrency, s.inFlight)) / NominalConcurrency
}

func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.inFlight--
}
