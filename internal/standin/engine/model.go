// Package engine stands in for a model engine: adapter slots, continuous batching, cold starts and fault switches.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/standin/switches"
)

// Defaults of Config.
const (
	DefaultSlots     = 8
	DefaultBatch     = 32
	DefaultQueue     = 256
	DefaultTokenTime = 20 * time.Millisecond
	DefaultColdLimit = 4
	DefaultLoadTime  = 250 * time.Millisecond
)

// Config describes an engine. Zero fields take the defaults.
type Config struct {
	// Models lists the base models; empty accepts any.
	Models []string
	// Slots is the number of adapters that fit at once, loading ones included.
	Slots int
	// BatchSize is the number of requests that run at once.
	BatchSize int
	// QueueSize is the number of requests that wait at most; more are refused.
	QueueSize int
	// TokenTime is the time for one token of a request that runs alone.
	TokenTime time.Duration
	// ReportLag is the age of what Report returns.
	ReportLag time.Duration
	// Fencing refuses orders with an old fencing number; otherwise the number is ignored.
	Fencing bool
	// ColdTime is the length of the cold start after each boot; zero means none.
	ColdTime time.Duration
	// ColdLimit is the highest number of requests that a cold engine can handle; beyond it, it collapses.
	ColdLimit int
	// Fetch gets the weights of an adapter; nil waits for DefaultLoadTime.
	Fetch func(ctx context.Context, adapter engine.Adapter) error
}

// Server is an engine in memory. It uses no sockets, so that it works in virtual time.
type Server struct {
	config   Config
	switches switches.Switches

	mu sync.Mutex
	// boot changes with each restart; work of an earlier boot has no effect.
	boot string
	// ctx ends with the boot, and with it the loads that are under way.
	ctx       context.Context
	cancel    context.CancelFunc
	fence     int64
	coldUntil time.Time
	// quiet says that the present cold start is not reported.
	quiet    bool
	resident map[engine.Adapter]bool
	loading  map[engine.Adapter]*load
	// answers holds running, waiting and recently ended requests by id.
	answers map[string]*answer
	running []*answer
	waiting []*answer
	// history holds reports, oldest first; the first one is the one that Lag makes visible or is about to.
	history []snapshot
	faults  counters
	record  Record
	headers switches.Headers
}

// New returns an engine that has just booted.
func New(config Config) *Server {
	setDefault(&config.Slots, DefaultSlots)
	setDefault(&config.BatchSize, DefaultBatch)
	setDefault(&config.QueueSize, DefaultQueue)
	setDefault(&config.ColdLimit, DefaultColdLimit)
	setDefault(&config.TokenTime, DefaultTokenTime)

	if config.Fetch == nil {
		config.Fetch = func(ctx context.Context, _ engine.Adapter) error { return switches.Sleep(ctx, DefaultLoadTime) }
	}

	m := &Server{config: config}
	m.reset()

	return m
}

func setDefault[T comparable](field *T, value T) {
	var zero T

	if *field == zero {
		*field = value
	}
}

// Restart ends the engine process and boots an empty one.
func (m *Server) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.halt()
	m.reset()
}

// Close ends all work, so that no goroutine is left.
func (m *Server) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.halt()
}

func (m *Server) halt() {
	m.cancel()

	for _, a := range m.answers {
		a.cut()
	}
}

func (m *Server) reset() {
	m.boot = ident.New("engine")
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.fence = 0
	m.coldUntil = time.Now().Add(m.config.ColdTime)
	m.quiet = false
	m.resident = map[engine.Adapter]bool{}
	m.loading = map[engine.Adapter]*load{}
	m.answers = map[string]*answer{}
	m.running = nil
	m.waiting = nil
	m.history = nil
	m.note()
}

// Info implements engine.Engine.
func (m *Server) Info(ctx context.Context) (engine.Info, error) {
	var info engine.Info

	err := m.do(ctx, false, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()

		config := m.config
		info = engine.Info{
			Boot: m.boot, Models: config.Models, Slots: config.Slots, BatchSize: config.BatchSize, Fencing: config.Fencing,
		}

		return nil
	})

	return info, err
}

// do runs the effect of a call under the fault switches and gives its error a kind.
func (m *Server) do(ctx context.Context, write bool, effect func() error) error {
	err := m.switches.Do(ctx, write, effect)

	var kinded *fault.Error

	switch {
	case err == nil || errors.As(err, &kinded):
		return err
	case errors.Is(err, switches.ErrDropped):
		return fault.Wrap(err, fault.BackendFailed, "engine")
	default:
		return fault.FromError(err)
	}
}
