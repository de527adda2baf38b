package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/entry"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

const (
	// operatorWait is the long-poll timeout for operator rows; each response confirms the configuration.
	operatorWait = 1800 * time.Millisecond
	// serversWait is the long-poll timeout for the list of servers. It is short so that a draining server is detected within
	// the drain bound even if the connection to the store is lost without an error.
	serversWait = time.Second
	// batchDelayShare is the fraction of the drain bound during which server heartbeats are batched between two calls.
	batchDelayShare = 0.35
	// configWait is how long an entry waits for its first configuration before it accepts clients without one.
	configWait = time.Second
	// idleTimeout is the idle timeout of client connections until the first configuration is received.
	idleTimeout = time.Minute
	// drainDelay is the time between an entry becoming not ready and closing its listener. The platform probes readiness once
	// a second, and two probes must fail.
	drainDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the exit of the process.
	graceMargin = 500 * time.Millisecond
)

// Entry is the subcommand that runs the entry process, which accepts client requests.
type Entry struct {
	// Settings replaces the platform's settings file; nil reads the file.
	Settings *platform.Settings `arg:"-"`
}

// Run serves until the context is done and running requests are completed.
func (e *Entry) Run(ctx context.Context) error {
	p, err := start("entry", e.Settings)
	if err != nil {
		return err
	}

	// The controllers keep running while running requests are completed.
	controllersCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	server := p.entry(controllersCtx)

	if err := p.serveMetrics(controllersCtx); err != nil {
		return err
	}

	if err := p.serveReady(controllersCtx, server); err != nil {
		return err
	}

	return p.serveClients(ctx, server)
}

// entry creates the entry and starts its controllers.
func (p *process) entry(ctx context.Context) *entry.Entry {
	settings := p.settings
	pool := conn.New(conn.Dialer(upstream.DialTCP))
	store := platform.NewStore(settings.Store)
	servers := &fleet.Fleet{}

	server := &entry.Entry{
		Domain: settings.Domain,
		Bounds: entry.Bounds{
			MaxRevocationDelay: settings.Bounds.Revoke,
			RetryRatio:         settings.Bounds.RetryRatio,
			RetryExtra:         settings.Bounds.RetryExtra,
			RetryWindow:        settings.Bounds.RetryWindow,
		},
		Fleet:       servers,
		Freshness:   &freshness.Tracker{},
		Pool:        pool,
		PlainClient: &upstream.Client{Codec: platform.Codec{}, OnDial: p.counter("connections.opened")},
		Log:         p.log,
		Metrics:     p.metrics,
		Changed:     make(chan struct{}, 1),
	}

	server.Links = &link.Links{
		Pool: pool, Port: settings.FirstPort, Log: p.log, Confirmed: server.Freshness.Confirmed, OnConfirmation: server.ObserveConfirmation,
		Settings: func(of fleet.Server) (*relay.Settings, bool) {
			return server.AgentSettings(of, settings.VM, settings.Bounds.ColdFactor, settings.Bounds.ColdExtra)
		},
	}
	server.Limiter = &quota.Limiter{Granter: &link.GrantClient{Links: server.Links, Entry: settings.VM}, Entries: server.Links.EntryCount}

	servers.OnChange = server.Wake
	server.RegisterGauges()

	go server.SyncLinks(ctx)
	go (&watch.Watcher{
		Source: store, Topic: watch.Operator, Wait: operatorWait, Target: server, Fleet: servers, Freshness: server.Freshness, Log: p.log,
		OnCall: p.counter("store.calls.operator"),
	}).Run(ctx)
	go (&watch.Watcher{
		Source: store, Topic: watch.Servers, Wait: serversWait, BatchDelay: time.Duration(batchDelayShare * float64(settings.Bounds.Drain)), Target: server, Fleet: servers, Log: p.log,
		OnCall: p.counter("store.calls.servers"),
	}).Run(ctx)
	if p.file != nil {
		go p.reload(ctx, func(changed platform.Settings) { store.Move(changed.Store) })
	}

	return server
}

// serveReady serves the readiness endpoint until the context is done.
func (p *process) serveReady(ctx context.Context, server *entry.Entry) error {
	listener, err := listen(ctx, p.settings.Ready)
	if err != nil {
		return err
	}

	probe := echo.New()
	probe.GET("/ready", func(c echo.Context) error {
		ready, reason := server.Ready()
		if !ready {
			return c.String(http.StatusServiceUnavailable, reason)
		}

		return c.NoContent(http.StatusOK)
	})

	go serve(ctx, p.log, listener, probe)

	return nil
}

// serveClients serves clients until the context is done, and then completes running requests.
func (p *process) serveClients(ctx context.Context, server *entry.Entry) error {
	listener, err := listen(ctx, p.settings.Clients)
	if err != nil {
		return err
	}

	handler := &platform.Edge{
		Serve: func(ctx context.Context, request *message.Request, response *platform.Answer) {
			server.Serve(ctx, request, response)
		},
		Limits: func() (header, body int64) {
			if config := server.Config(); config != nil {
				return config.Limits.MaxHeaderBytes, config.Limits.MaxBodyBytes
			}

			return 0, 0
		},
	}

	clients := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}

	// The timeouts of the operator apply from the first configuration on. Without a configuration, clients get an error after
	// the wait.
	if limits, ok := server.AwaitLimits(ctx, configWait); ok {
		clients.ReadHeaderTimeout = limits.HeaderTimeout
		clients.IdleTimeout = limits.IdleTimeout
	}

	ended := make(chan error, 1)

	go func() { ended <- clients.Serve(upstream.Listener{Listener: listener}) }()

	select {
	case err := <-ended:
		return errors.Wrap(err, "serve clients")
	case <-ctx.Done():
	}

	p.log.Info("process is stopping")
	server.Drain()
	clients.SetKeepAlivesEnabled(false)
	time.Sleep(drainDelay)

	remaining := max(p.settings.Bounds.Grace-drainDelay-graceMargin, 0)

	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining)
	defer cancel()

	err = clients.Shutdown(shutdownCtx)
	p.log.WithError(err).Info("process stopped")

	return nil
}
