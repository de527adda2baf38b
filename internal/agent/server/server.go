// Package server implements the agent process. All requests to a backend server pass through its agent.
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
	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/core/ident"
	"github.com/chestnutbeam/chestnutbeam/internal/core/probe"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/rpc"
)

const (
	component = "agent"
	// maxInitialEpoch is the range of the random first epoch of the resident list, so large that two processes rarely choose the
	// same one.
	maxInitialEpoch = 1 << 32
	// drainPollInterval is the time between two checks for remaining work during a drain.
	drainPollInterval = 20 * time.Millisecond
	// drainDelay is the time from the start of a drain to the end of the process. Until the tickets have expired, an entry may send a
	// request because it does not know of the drain yet.
	drainDelay = ticketLifetime
	// drainQuiet is how long there must be no work before a drain ends: a request that an entry sent with its last ticket may still be on
	// its way, and is refused when it arrives.
	drainQuiet = 500 * time.Millisecond
	// waitLogInterval is the time between two log lines with the unmet readiness conditions.
	waitLogInterval = 5 * time.Second
	// documentCondition is the readiness condition that is unmet until the process has a fleet document.
	documentCondition = "configuration"
	// canceledWorkTimeout limits the wait for canceled work after a drain timeout.
	canceledWorkTimeout = 2 * time.Second
	// probeShutdownTimeout limits the graceful shutdown of the HTTP server.
	probeShutdownTimeout = time.Second
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

// Source updates the fleet document on the board.
type Source interface {
	// CatchUp returns nil when the board holds the version or a higher one, or else an error.
	CatchUp(ctx context.Context, version int64) error
	// Confirm records that an entry confirmed the version, at a time on this process's clock.
	Confirm(version int64, at time.Time)
	// AddPendingRevocations adds the pending revocations of an entry to the board.
	AddPendingRevocations(revocations []*rpc.Revocation)
}

// Server is an agent process. Its exported fields are set before Run.
type Server struct {
	Settings settings.Agent
	// Engine is the model engine; exactly one of Engine and Service is set.
	Engine engine.Engine
	// Service is the plain service.
	Service service.Caller
	// Table holds the fencing number; required with Engine.
	Table table.Table
	// Listener accepts drpc connections. Binding its address also ensures that only one agent process uses the address.
	Listener net.Listener
	// Probe accepts HTTP connections for /healthz, /readyz and /metrics; may be nil.
	Probe net.Listener
	// Board holds the state that is shared with Source, such as the fleet document.
	Board *board.Board
	// Source updates the board's document.
	Source Source
	// LoadBudget limits the rate of adapter loads across the fleet; required with Engine.
	LoadBudget orders.LoadBudget
	// Background runs concurrently with the server until the drain has ended; may be nil.
	Background func(ctx context.Context)

	boot          string
	scheduler     scheduler
	tickets       tickets
	attempts      attempts
	generations   generations
	backend       backendState
	fence         *orders.Fence
	adapterLoader *orders.Loader
	// loaderWake wakes the loader; it is buffered for one value.
	loaderWake chan struct{}
	// pollMu is held during a poll of the engine; it guards lastPoll.
	pollMu sync.Mutex
	// lastPoll is when the last poll started.
	lastPoll     time.Time
	readiness    probe.Readiness
	cachedLimits atomic.Pointer[documentLimits]
	// workCtx is the context of the work at the backend server; it outlives the streams of the entries.
	workCtx context.Context
	// workGroup counts the goroutines that work at the backend server.
	workGroup sync.WaitGroup
	// streams counts the open Run streams.
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
	s.awaitCanceledWork()

	return err
}

func (s *Server) prepare(ctx context.Context) {
	s.boot = ident.New("boot")
	s.workCtx = ctx
	s.loaderWake = make(chan struct{}, 1)
	s.backend.plain = s.Engine == nil
	s.scheduler.WakeLoader = s.wakeLoader
	s.scheduler.slots.InitialEpoch = 1 + rand.Int64N(maxInitialEpoch)
	s.scheduler.jobs = map[*queue.Item]*job{}
	s.tickets.valid = map[string]ticket{}
	s.tickets.current = map[string]ticket{}
	s.generations.byID = map[string]*generation{}
	s.attempts.registry = newAttemptRegistry()
	s.fence = &orders.Fence{Table: s.Table, Server: s.Settings.Server}
	s.adapterLoader = &orders.Loader{Engine: s.Engine, Fence: s.fence}

	s.setReady(documentCondition, s.Board.Document.Value() != nil)
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
	group.Go(func() { s.runLoader(ctx) })
}

func (s *Server) log() *logrus.Entry {
	return logrus.WithFields(logrus.Fields{"component": component, "server": s.Settings.Server})
}

// drain refuses new requests and waits for drainDelay and until there was no work for drainQuiet, or until Settings.Drain has passed if it
// is not 0.
func (s *Server) drain() {
	s.Board.Draining.Set(true)
	s.setReady("drain", false)

	log := s.log()
	log.Info("draining")

	drainStart := time.Now()
	lastWork := drainStart

	for time.Since(lastWork) < drainQuiet {
		if time.Since(drainStart) < drainDelay || s.scheduler.jobCount() > 0 || s.streams.Load() > 0 {
			lastWork = time.Now()
		}

		timeout := s.Settings.Drain
		if timeout > 0 && time.Since(drainStart) >= timeout-refusalLead {
			// What has not started is refused while there is time to say so.
			s.scheduler.refuseWaiting(fault.New(fault.Draining, "the agent is shutting down"))
		}

		if timeout > 0 && time.Since(drainStart) >= timeout {
			log.WithField("left", s.scheduler.jobCount()).Warn("drain timeout exceeded")
			return
		}

		time.Sleep(drainPollInterval)
	}

	log.Info("drained")
}

func (s *Server) wakeLoader() {
	select {
	case s.loaderWake <- struct{}{}:
	default:
	}
}

// canLoad reports whether this process holds a fencing number, which an adapter load requires.
func (s *Server) canLoad() bool {
	return s.fence.Held()
}

// loadMessage returns the load of the agent for a message to an entry that has the resident list of the known epoch.
func (s *Server) loadMessage(known int64) *rpc.Load {
	load := s.scheduler.loadStatus(known)
	load.Draining = s.Board.Draining.Value()
	load.ConfigVersion = s.version()

	return load
}

// defaults returns the document's defaults with the exceptions that match this backend server, and the request if it is not
// nil.
func (s *Server) defaults(request *rpc.RunRequest) document.Default {
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

// limits returns the settings of the scheduler; they are resolved once for each document.
func (s *Server) limits() schedulerLimits {
	doc := s.Board.Document.Value()

	if cached := s.cachedLimits.Load(); cached != nil && cached.doc == doc {
		return cached.limits
	}

	value := s.defaults(nil)
	resolved := schedulerLimits{maxQueued: value.Queue, initialConcurrency: value.Ramp, maxConcurrency: value.Limit}
	s.cachedLimits.Store(&documentLimits{doc: doc, limits: resolved})

	return resolved
}

// documentLimits caches the limits that were resolved from a document.
type documentLimits struct {
	doc    *document.Document
	limits schedulerLimits
}
