// Package server wires an agent process, the only path to one backend server.
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/admit/queue"
	"github.com/chestnutbeam/chestnutbeam/internal/agent/orders"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/core/probe"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	component = "agent"
	// mostFirst bounds the first epoch of the resident list; two processes rarely choose the same one.
	mostFirst = 1 << 32
	// drainPoll is the time between two looks at the work left during a drain.
	drainPoll = 20 * time.Millisecond
	// waitLog is the time between two log lines that say what the process waits for.
	waitLog = 5 * time.Second
	// waitDocument is what the process waits for until it has a fleet document.
	waitDocument = "configuration"
	// settleTimeout bounds the wait for canceled work at the end of a drain that ran out of time.
	settleTimeout = 2 * time.Second
	// probeShutdown bounds the end of the HTTP server.
	probeShutdown = time.Second
)

var (
	coldStarts   = metrics.GetOrRegisterCounter("agent.cold", metrics.DefaultRegistry)
	runningGauge = metrics.GetOrRegisterGauge("agent.running", metrics.DefaultRegistry)
	queuedGauge  = metrics.GetOrRegisterGauge("agent.queued", metrics.DefaultRegistry)
	limitGauge   = metrics.GetOrRegisterGauge("agent.limit", metrics.DefaultRegistry)
	evictions    = metrics.GetOrRegisterCounter("agent.eviction", metrics.DefaultRegistry)
	loadFailures = metrics.GetOrRegisterCounter("agent.load.failed", metrics.DefaultRegistry)
	loadTime     = metrics.GetOrRegisterTimer("agent.load.time", metrics.DefaultRegistry)
	loadWait     = metrics.GetOrRegisterTimer("agent.load.wait", metrics.DefaultRegistry)
	queueWait    = metrics.GetOrRegisterTimer("agent.queue.wait", metrics.DefaultRegistry)
)

// Source brings the document on the board up to date.
type Source interface {
	// CatchUp returns when the board holds the version or a higher one, or with an error.
	CatchUp(ctx context.Context, version int64) error
	// Confirm tells that an entry confirmed the version at a moment on this process's clock.
	Confirm(version int64, at time.Time)
	// AddPendingRevocations puts the pending revocations of an entry on the board.
	AddPendingRevocations(revocations []*rpc.Revocation)
}

// Server is an agent process. Its exported fields are set before Run.
type Server struct {
	Settings settings.Agent
	// Engine is the model engine; exactly one of Engine and Service is set.
	Engine engine.Engine
	// Service is the plain service.
	Service service.Caller
	// Table holds the fencing number; needed with Engine.
	Table table.Table
	// Listener accepts drpc connections. It is the lock that allows one agent process at an address.
	Listener net.Listener
	// Probe accepts HTTP connections for /healthz, /readyz and /metrics; may be nil.
	Probe net.Listener
	Board *board.Board
	// Source brings the board's document up to date.
	Source Source
	// LoadBudget limits the rate of adapter loads across the fleet; needed with Engine.
	LoadBudget orders.LoadBudget
	// Background runs beside the server until the drain has ended; may be nil.
	Background func(ctx context.Context)

	boot     string
	gate     gate
	tickets  tickets
	attempts attempts
	runs     runs
	backend  backend
	fence    *orders.Fence
	orders   *orders.Orders
	wake     chan struct{}
	polling  sync.Mutex
	// polled is when the last read of the engine's state began.
	polled    time.Time
	readiness probe.Readiness
	held      atomic.Pointer[heldLimits]
	// work is the context of work at the backend server; it outlives the streams of the entries.
	work context.Context
	// group counts the work at the backend server.
	group sync.WaitGroup
	// streams counts the requests that are being answered.
	streams atomic.Int64
}

// Run serves until the context ends, then drains and returns.
func (s *Server) Run(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	s.prepare(serving)

	var background sync.WaitGroup

	s.startBackground(serving, &background)

	served := make(chan error, 1)

	background.Go(func() {
		served <- conn.Serve(serving, s.Listener, func(mux *drpcmux.Mux) error {
			return rpc.DRPCRegisterAgent(mux, handler{s})
		})
	})

	var err error

	select {
	case <-ctx.Done():
		s.drain()
	case err = <-served:
	}

	stop()
	background.Wait()
	s.settle()

	return err
}

func (s *Server) prepare(ctx context.Context) {
	s.boot = ident.New("boot")
	s.work = ctx
	s.wake = make(chan struct{}, 1)
	s.backend.plain = s.Engine == nil
	s.gate.Wake = s.wakeLoader
	s.gate.slots.InitialEpoch = 1 + rand.Int64N(mostFirst)
	s.gate.jobs = map[*queue.Item]*job{}
	s.tickets.valid = map[string]ticket{}
	s.tickets.current = map[string]ticket{}
	s.runs.byID = map[string]*run{}
	s.attempts.book = newBook()
	s.fence = &orders.Fence{Table: s.Table, Server: s.Settings.Server}
	s.orders = &orders.Orders{Engine: s.Engine, Fence: s.fence}

	s.setReady(waitDocument, s.Board.Document.Value() != nil)
	s.setReady("engine", s.backend.up())
}

func (s *Server) startBackground(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() { s.awaitDocument(ctx) })
	group.Go(func() { s.logWaiting(ctx) })

	if s.Background != nil {
		group.Go(func() { s.Background(ctx) })
	}

	if s.Probe != nil {
		group.Go(func() { s.serveProbe(ctx) })
	}

	if s.Engine == nil {
		return
	}

	group.Go(func() { s.fence.Run(ctx) })
	group.Go(func() { s.monitor(ctx) })
	group.Go(func() { s.loader(ctx) })
}

func (s *Server) log() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"component": component, "server": s.Settings.Server})
}

// drain refuses new requests and waits until all work has ended.
func (s *Server) drain() {
	s.Board.Draining.Set(true)
	s.setReady("drain", false)

	log := s.log()
	log.Info("draining")

	began := time.Now()

	for s.gate.busy() > 0 || s.streams.Load() > 0 {
		if bound := s.Settings.Drain; bound > 0 && time.Since(began) >= bound {
			log.WithField("left", s.gate.busy()).Warn("drain time is over")
			return
		}

		time.Sleep(drainPoll)
	}

	log.Info("drained")
}

func (s *Server) wakeLoader() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// loadable reports whether adapters can be loaded now.
func (s *Server) loadable() bool {
	return s.fence.Held()
}

func (s *Server) loadMessage(known int64) *rpc.Load {
	load := s.gate.load(known)
	load.Draining = s.Board.Draining.Value()
	load.ConfigVersion = s.version()

	return load
}

// policy returns the defaults with the exceptions for this backend server, and for the request unless it is nil.
func (s *Server) policy(request *rpc.RunRequest) document.Default {
	doc := s.Board.Document.Value()
	if doc == nil {
		return document.Default{}
	}

	return doc.Resolve(document.Query{
		Domain:  s.Settings.Place.Domain,
		Server:  s.Settings.Server,
		Route:   request.GetRoute(),
		Account: request.GetAccount(),
		Adapter: request.GetGenerate().GetAdapter(),
	})
}

// limits returns the settings of the gate; they are resolved once for each document.
func (s *Server) limits() limits {
	doc := s.Board.Document.Value()

	if held := s.held.Load(); held != nil && held.doc == doc {
		return held.limits
	}

	value := s.policy(nil)
	found := limits{queue: value.Queue, ramp: value.Ramp, ceiling: value.Limit}
	s.held.Store(&heldLimits{doc: doc, limits: found})

	return found
}

// heldLimits are the limits that a document gives.
type heldLimits struct {
	doc    *document.Document
	limits limits
}
