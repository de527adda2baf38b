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
	// operatorWait is how long a call waits for a change of the operator's; each answer confirms the configuration.
	operatorWait = 1800 * time.Millisecond
	// serversWait is how long a call waits for a change in the list of servers. A server that leaves must be known within
	// the drain bound, also when the connection to the store has gone silent.
	serversWait = time.Second
	// gatherShare is the part of the drain bound for which heartbeats of servers gather between two calls.
	gatherShare = 0.35
	// configWait is how long an entry waits for its first configuration before it answers clients without one.
	configWait = time.Second
	// idleTime is how long an unused connection of a client is kept before the first configuration.
	idleTime = time.Minute
	// drainDelay is how long an entry that ends is not ready before it closes its listener; the platform asks once a second
	// and needs two misses.
	drainDelay = 2500 * time.Millisecond
	// graceMargin is the part of the grace time that is kept for the end of the process.
	graceMargin = 500 * time.Millisecond
)

// Entry runs the process that clients reach.
type Entry struct {
	// Settings replace those of the platform's settings file; may be nil.
	Settings *platform.Settings `arg:"-"`
}

// Run serves until the context ends and running requests are finished.
func (e *Entry) Run(ctx context.Context) error {
	p, err := start("entry", e.Settings)
	if err != nil {
		return err
	}

	// The parts live on while running requests are finished.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	server := p.entry(parts)

	if err := p.serveMetrics(parts); err != nil {
		return err
	}

	if err := p.serveReady(parts, server); err != nil {
		return err
	}

	return p.serveClients(ctx, server)
}

// entry builds the serving path and starts its controllers.
func (p *process) entry(ctx context.Context) *entry.Entry {
	settings := p.settings
	pool := conn.New(conn.Dialer(upstream.DialTCP))
	store := platform.NewStore(settings.StoreAddress)
	servers := &fleet.Fleet{}

	server := &entry.Entry{
		Domain: settings.Domain,
		Bounds: entry.Bounds{
			MaxRevocationDelay: settings.Bounds.MaxRevocationDelay,
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
		Source: store, Topic: watch.Servers, Wait: serversWait, BatchDelay: time.Duration(gatherShare * float64(settings.Bounds.MaxDrainDelay)), Target: server, Fleet: servers, Log: p.log,
		OnCall: p.counter("store.calls.servers"),
	}).Run(ctx)
	if p.file != nil {
		go p.reload(ctx, func(changed platform.Settings) { store.SetAddress(changed.StoreAddress) })
	}

	return server
}

func (p *process) serveReady(ctx context.Context, server *entry.Entry) error {
	listener, err := listen(ctx, p.settings.ReadyAddress)
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

// serveClients serves until the context ends, and then finishes running requests.
func (p *process) serveClients(ctx context.Context, server *entry.Entry) error {
	listener, err := listen(ctx, p.settings.ClientAddress)
	if err != nil {
		return err
	}

	edge := &platform.Handler{
		Serve: func(ctx context.Context, request *message.Request, answer *platform.Response) {
			server.Serve(ctx, request, answer)
		},
		Limits: func() (header, body int64) {
			if config := server.Config(); config != nil {
				return config.Limits.MaxHeaderBytes, config.Limits.MaxBodyBytes
			}

			return 0, 0
		},
	}

	clients := &http.Server{Handler: edge, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}

	// The operator's limits of time hold from the first configuration on; without one, clients are told so after a while.
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

	rest := max(p.settings.Bounds.GracePeriod-drainDelay-graceMargin, 0)

	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), rest)
	defer cancel()

	err = clients.Shutdown(bounded)
	p.log.WithError(err).Info("process stopped")

	return nil
}
