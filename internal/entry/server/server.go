// Package server wires an entry process: its controllers, its HTTP and drpc servers, readiness and drain.
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
)

const (
	// headerTime bounds the reading of request headers.
	headerTime = 5 * time.Second
	// readTime bounds the reading of a whole request, so that a slow caller does not hold memory for long. It does not
	// bound the time to serve the request: net/http lifts it once the body is read.
	readTime = 10 * time.Second
	// idleTime bounds how long an unused connection stays open.
	idleTime = 2 * time.Minute
	// headerBytes bounds the size of request headers.
	headerBytes = 16 << 10
	// drainDelay is how long the process is not ready before it refuses new work, so that load balancers notice first.
	drainDelay = 2 * time.Second
	// refuseTime is how long new work is refused with an explicit answer before connections are refused.
	refuseTime = time.Second
	// fixedControllers is the number of parts that every entry runs.
	fixedControllers = 4
)

// Controller is a part of the process that runs until its context ends.
type Controller interface {
	Run(ctx context.Context) error
}

// Server is an entry process. Its exported fields are set before Run.
type Server struct {
	Settings settings.Entry
	// Board is shared with the controllers of other packages; nil makes a new one.
	Board *board.Board
	// Lister reads the platform's VM list.
	Lister vms.Lister
	// Table holds the claims of orders.
	Table    table.Table
	Keys     api.Keys
	Limits   api.Limits
	Resolver api.Resolver
	// NeedsShares says that the process is not ready before it has read the assignments of token shares; without them it
	// refuses every charged request.
	NeedsShares bool
	// Routes add further HTTP routes, such as those for operators.
	Routes []func(server *echo.Echo)
	// Services register the drpc services of the process.
	Services []func(mux *drpcmux.Mux) error
	// Controllers run as long as the process; they end after the last request.
	Controllers []Controller
	// HTTP and Peer are the listeners; nil listens on the addresses in the settings.
	HTTP net.Listener
	Peer net.Listener
	// Policy chooses backend servers; nil means pick.Spillover.
	Policy pick.Policy
	// Dial opens connections to agents; nil dials TCP.
	Dial conn.Dialer

	readiness probe.Readiness
	members   *member.Controller
	wait      sync.WaitGroup
}

// Run serves until the context ends, then drains: the process becomes not ready, after a delay refuses new work, and ends
// when running requests are finished.
func (s *Server) Run(ctx context.Context) error {
	if s.Board == nil {
		s.Board = &board.Board{}
	}

	if err := s.listen(ctx); err != nil {
		return err
	}

	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer s.wait.Wait()
	defer stop()

	s.readiness.Require(waitDocument)
	s.readiness.Require(waitMembers)

	if s.NeedsShares {
		s.readiness.Require(waitShares)
	}

	s.members = &member.Controller{Lister: s.Lister, Board: s.Board}
	pool := conn.New(s.Dial)

	defer func() { _ = pool.Close() }()

	failed := make(chan error, len(s.Controllers)+fixedControllers)

	sender := s.relay(pool)
	orders := &claim.Executor{Table: s.Table, Agents: sender}

	s.start(running, failed, append([]Controller{s.members, orders, controller(s.servePeers)}, s.Controllers...)...)

	server := s.httpServer(s.handler(sender, orders))
	s.start(running, failed, controller(func(context.Context) error { return serveHTTP(server, s.HTTP) }))

	go s.awaitReady(running)

	select {
	case <-ctx.Done():
		return s.drain(server)
	case err := <-failed:
		_ = server.Close()
		return err
	}
}

type controller func(ctx context.Context) error

// Run implements Controller.
func (c controller) Run(ctx context.Context) error {
	return c(ctx)
}

// start runs controllers; one that ends early with an error ends the process.
func (s *Server) start(ctx context.Context, failed chan<- error, controllers ...Controller) {
	for _, each := range controllers {
		s.wait.Go(func() {
			if err := each.Run(ctx); err != nil && ctx.Err() == nil {
				failed <- err
			}
		})
	}
}

func (s *Server) listen(ctx context.Context) error {
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
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       readTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}

	return errors.Wrap(err, "serve HTTP")
}

func (s *Server) relay(pool *conn.Pool) *relay.Relay {
	return &relay.Relay{
		Entry:  s.Settings.Place.VM,
		Pool:   pool,
		View:   &s.members.View,
		Picker: &pick.Picker{Policy: s.Policy, Domain: s.Settings.Place.Domain, Region: s.Settings.Place.Region},
		Budget: &retry.Budget{},

		PendingRevocations: &s.Board.PendingRevocations,
	}
}

func (s *Server) handler(sender *relay.Relay, orders *claim.Executor) http.Handler {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true

	callers := &api.API{
		Board:      s.Board,
		Keys:       s.Keys,
		Limits:     s.Limits,
		Resolver:   s.Resolver,
		Runner:     sender,
		AtMostOnce: orders,
	}

	callers.Register(router)
	probe.Register(router, &s.readiness)

	for _, register := range s.Routes {
		register(router)
	}

	return router
}

// drain ends the process without cutting off a request.
func (s *Server) drain(server *http.Server) error {
	log := logrus.WithField("component", "server")

	s.readiness.Require("drain")
	log.Info("not ready: draining")
	time.Sleep(drainDelay)

	s.Board.Draining.Set(true)
	log.Info("new work is refused; running requests finish")
	time.Sleep(refuseTime)

	ctx := context.Background()

	if s.Settings.Drain > 0 {
		bounded, cancel := context.WithTimeout(ctx, s.Settings.Drain)
		defer cancel()

		ctx = bounded
	}

	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
		return errors.Wrap(err, "running requests did not finish in time")
	}

	log.Info("drained")

	return nil
}
