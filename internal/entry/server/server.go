// Package server runs an entry process: its controllers, HTTP and drpc servers, readiness and graceful shutdown. The clients of
// this entry are called callers. On the users' platform, internal/forward/entry runs in its place.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"

	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/core/probe"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/api"
	"github.com/chestnutbeam/chestnutbeam/internal/entry/relay"
	"github.com/chestnutbeam/chestnutbeam/internal/fleet/member"
	"github.com/chestnutbeam/chestnutbeam/internal/order/claim"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/table"
	"github.com/chestnutbeam/chestnutbeam/internal/platform/vms"
	"github.com/chestnutbeam/chestnutbeam/internal/route/pick"
	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
)

const (
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 5 * time.Second
	// readTimeout bounds the reading of a complete request, so that a slow caller does not occupy memory for long. It does not
	// bound the time to serve the request: net/http removes it once the body is read.
	readTimeout = 10 * time.Second
	// idleTimeout bounds how long an unused connection stays open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the maximum size of request headers.
	maxHeaderBytes = 16 << 10
	// drainDelay is how long the process reports not ready before it refuses new requests, so that load balancers stop sending
	// requests first.
	drainDelay = 2 * time.Second
	// refusalPeriod is how long new requests get an error response before connections are refused.
	refusalPeriod = time.Second
	// fixedControllers is the number of controllers that Run adds to Server.Controllers.
	fixedControllers = 4
)

// Controller is a part of the process that runs until its context ends.
type Controller interface {
	Run(ctx context.Context) error
}

// Server is an entry process. Its exported fields are set before Run.
type Server struct {
	Settings settings.Entry
	// Board is shared with the controllers of other packages; if nil, Run creates one.
	Board *board.Board
	// Lister reads the platform's VM list.
	Lister vms.Lister
	// Table stores the claims and outcomes of calls with an idempotency key.
	Table    table.Table
	Keys     api.Keys
	Limits   api.Limits
	Resolver api.Resolver
	// NeedsShares makes the process report not ready until it has read the assignments of token shares; without them it
	// refuses every charged request.
	NeedsShares bool
	// Routes add further HTTP routes, such as those for operators.
	Routes []func(server *echo.Echo)
	// Services register the drpc services of the process.
	Services []func(mux *drpcmux.Mux) error
	// Controllers run until the process ends; they are stopped after the last request.
	Controllers []Controller
	// HTTP and Peer are the listeners; if nil, Run listens on the addresses in the settings.
	HTTP net.Listener
	Peer net.Listener
	// Policy selects backend servers; nil means pick.Spillover.
	Policy pick.Policy
	// Dial opens connections to agents; nil dials TCP.
	Dial conn.Dialer

	// connections are those of callers.
	connections     *graceful.Listener
	readiness       probe.Readiness
	members         *member.Controller
	controllerGroup sync.WaitGroup
}

// Run serves until the context ends, then drains: the process reports not ready, refuses new requests after a delay, and ends
// when running requests are finished.
func (s *Server) Run(ctx context.Context) error {
	if s.Board == nil {
		s.Board = &board.Board{}
	}

	if err := s.openListeners(ctx); err != nil {
		return err
	}

	controllersCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer s.controllerGroup.Wait()
	defer stop()

	s.readiness.Require(waitDocument)
	s.readiness.Require(waitMembers)

	if s.NeedsShares {
		s.readiness.Require(waitShares)
	}

	s.members = &member.Controller{Lister: s.Lister, Board: s.Board}
	pool := conn.New(s.Dial)

	defer func() { _ = pool.Close() }()

	failures := make(chan error, len(s.Controllers)+fixedControllers)

	agentRelay := s.newRelay(pool)
	executor := &claim.Executor{Table: s.Table, Agents: agentRelay}

	s.startControllers(controllersCtx, failures, append([]Controller{s.members, executor, controllerFunc(s.servePeers)}, s.Controllers...)...)

	s.connections = &graceful.Listener{Listener: s.HTTP, HeaderTimeout: headerTimeout}
	server := s.httpServer(s.httpHandler(agentRelay, executor))
	s.startControllers(controllersCtx, failures, controllerFunc(func(context.Context) error { return serveHTTP(server, s.connections) }))

	go s.awaitReady(controllersCtx)

	select {
	case <-ctx.Done():
		return s.drain(server)
	case err := <-failures:
		s.closeNow(server)
		return err
	}
}

// controllerFunc is a function that implements Controller.
type controllerFunc func(ctx context.Context) error

// Run implements Controller.
func (c controllerFunc) Run(ctx context.Context) error {
	return c(ctx)
}

// startControllers starts the controllers. One that ends early with an error ends the process.
func (s *Server) startControllers(ctx context.Context, failures chan<- error, controllers ...Controller) {
	for _, each := range controllers {
		s.controllerGroup.Go(func() {
			if err := each.Run(ctx); err != nil && ctx.Err() == nil {
				failures <- err
			}
		})
	}
}

func (s *Server) openListeners(ctx context.Context) error {
	var listener net.ListenConfig

	var err error

	if s.HTTP == nil {
		s.HTTP, err = listener.Listen(ctx, "tcp", s.Settings.Listen)
		if err != nil {
			return errors.Wrap(err, "settings: listen")
		}
	}

	if s.Peer == nil {
		s.Peer, err = listener.Listen(ctx, "tcp", s.Settings.Peer)
		if err != nil {
			return errors.Wrap(err, "settings: peer")
		}
	}

	return nil
}

func (s *Server) servePeers(ctx context.Context) error {
	return conn.Serve(ctx, s.Peer, func(mux *drpcmux.Mux) error {
		for _, register := range s.Services {
			if err := register(mux); err != nil {
				return err
			}
		}

		return nil
	})
}

func (s *Server) httpServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.connections.ObserveState,
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}

	return errors.Wrap(err, "serve HTTP")
}

func (s *Server) newRelay(pool *conn.Pool) *relay.Relay {
	return &relay.Relay{
		Entry:  s.Settings.Place.VM,
		Pool:   pool,
		View:   &s.members.View,
		Picker: &pick.Picker{Policy: s.Policy, Domain: s.Settings.Place.Domain, Region: s.Settings.Place.Region},
		Budget: &retry.Budget{},

		PendingRevocations: &s.Board.PendingRevocations,
	}
}

func (s *Server) httpHandler(agentRelay *relay.Relay, executor *claim.Executor) http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true

	callerAPI := &api.API{
		Board:      s.Board,
		Keys:       s.Keys,
		Limits:     s.Limits,
		Resolver:   s.Resolver,
		Runner:     agentRelay,
		AtMostOnce: executor,
	}

	callerAPI.Register(router)
	probe.Register(router, &s.readiness)

	for _, register := range s.Routes {
		register(router)
	}

	return router
}

// closeNow closes all connections, also those with a request.
func (s *Server) closeNow(server *http.Server) {
	_ = server.Close()
	s.connections.Abort()
}

// drain shuts the process down gracefully: running requests finish.
func (s *Server) drain(server *http.Server) error {
	log := logrus.WithField("component", "server")

	s.readiness.Require("drain")
	log.Info("not ready: draining")
	time.Sleep(drainDelay)

	s.Board.Draining.Set(true)
	log.Info("refusing new requests; waiting for running requests to finish")
	time.Sleep(refusalPeriod)

	ctx := context.Background()

	if s.Settings.Drain > 0 {
		timeoutCtx, cancel := context.WithTimeout(ctx, s.Settings.Drain)
		defer cancel()

		ctx = timeoutCtx
	}

	server.SetKeepAlivesEnabled(false)
	s.connections.Drain(ctx)

	if err := server.Shutdown(ctx); err != nil {
		s.closeNow(server)
		return errors.Wrap(err, "running requests did not finish in time")
	}

	log.Info("drained")

	return nil
}
