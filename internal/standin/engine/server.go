// Package engine simulates a model engine with adapter slots, continuous batching, cold starts and fault switches.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	api "github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Defaults of Config.
const (
	DefaultSlots     = 8
	DefaultBatchSize = 32
	DefaultQueueSize = 256
	DefaultTokenTime = 20 * time.Millisecond
	DefaultColdLimit = 4
	DefaultLoadTime  = 250 * time.Millisecond
)

// Config describes an engine. Zero fields take the defaults.
type Config struct {
	// Models lists the base models; empty accepts any.
	Models []string
	// Slots is the maximum number of adapters, including those that are loading.
	Slots int
	// BatchSize is the maximum number of requests that run at once.
	BatchSize int
	// QueueSize is the maximum number of waiting requests; more are rejected.
	QueueSize int
	// TokenTime is the time for one token of a request that runs alone.
	TokenTime time.Duration
	// ReportLag is the age of what Report returns.
	ReportLag time.Duration
	// Fencing rejects orders with an old fencing number; otherwise such orders are executed and counted.
	Fencing bool
	// ColdTime is the length of the cold start after each boot; zero means none.
	ColdTime time.Duration
	// ColdLimit is the highest number of requests that a cold engine can handle; beyond it, the engine slows down sharply, and
	// beyond a multiple of it, requests fail.
	ColdLimit int
	// Fetch fetches the weights of an adapter; nil waits for DefaultLoadTime.
	Fetch func(ctx context.Context, adapter api.Adapter) error
}

// Server is a simulated engine in memory. It uses no sockets itself, so that tests can run it in virtual time; Handler serves it
// over HTTP.
type Server struct {
	config   Config
	switches switches.Switches

	mu sync.Mutex
	// boot is the boot id. It changes at each restart; work of an earlier boot has no effect.
	boot string
	// ctx ends at the next restart, and with it the loads in progress.
	ctx       context.Context
	cancel    context.CancelFunc
	fence     int64
	coldUntil time.Time
	// coldHidden is true if reports do not show the current cold start.
	coldHidden bool
	resident   map[api.Adapter]bool
	loading    map[api.Adapter]*pendingLoad
	// generations holds running, waiting and recently ended requests by id.
	generations map[string]*generation
	running     []*generation
	waiting     []*generation
	// history holds the state over time, oldest first. The first snapshot is the state as of Config.ReportLag ago, or the
	// oldest state if none is that old.
	history []snapshot
	faults  faultCounters
	record  Record
	headers switches.Headers
}

// New returns an engine that has just booted.
func New(config Config) *Server {
	setDefault(&config.Slots, DefaultSlots)
	setDefault(&config.BatchSize, DefaultBatchSize)
	setDefault(&config.QueueSize, DefaultQueueSize)
	setDefault(&config.ColdLimit, DefaultColdLimit)
	setDefault(&config.TokenTime, DefaultTokenTime)

	if config.Fetch == nil {
		config.Fetch = func(ctx context.Context, _ api.Adapter) error { return switches.Sleep(ctx, DefaultLoadTime) }
	}

	s := &Server{config: config}
	s.reset()

	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T

	if *field == zero {
		*field = value
	}
}

// Restart simulates a restart of the engine process: requests and loads end, and the engine boots without adapters.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stopWork()
	s.reset()
}

// Close aborts all requests and loads, so that no goroutine is left.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.stopWork()
}

func (s *Server) stopWork() {
	s.cancel()

	for _, g := range s.generations {
		g.abort()
	}
}

func (s *Server) reset() {
	s.boot = ident.New("engine")
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.fence = 0
	s.coldUntil = time.Now().Add(s.config.ColdTime)
	s.coldHidden = false
	s.resident = map[api.Adapter]bool{}
	s.loading = map[api.Adapter]*pendingLoad{}
	s.generations = map[string]*generation{}
	s.running = nil
	s.waiting = nil
	s.history = nil
	s.recordReport()
}

// Info implements api.Engine.
func (s *Server) Info(ctx context.Context) (api.Info, error) {
	var info api.Info

	err := s.do(ctx, false, func() error {
		s.mu.Lock()
		defer s.mu.Unlock()

		config := s.config
		info = api.Info{
			Boot: s.boot, Models: config.Models, Slots: config.Slots, BatchSize: config.BatchSize, Fencing: config.Fencing,
		}

		return nil
	})

	return info, err
}

// do runs the effect of a call subject to the fault switches and gives errors without a kind one.
func (s *Server) do(ctx context.Context, write bool, effect func() error) error {
	err := s.switches.Do(ctx, write, effect)

	var classified *fault.Error

	switch {
	case err == nil || errors.As(err, &classified):
		return err
	case errors.Is(err, switches.ErrDropped):
		return fault.Wrap(err, fault.BackendFailed, "engine")
	default:
		return fault.FromError(err)
	}
}
