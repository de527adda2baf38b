package hosted

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/entry"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/freshness"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/progress"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quarantine"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/quota"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/roster"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/watch"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/conn"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/graceful"
	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

const (
	// configTimeout is how long an entry waits for its first configuration. After it, clients are refused until there is one.
	configTimeout = time.Second
	// idleTimeout is how long an idle connection of a client stays open if there is no configuration yet.
	idleTimeout = time.Minute
	// drainDelay is the time between the start of the drain, when an entry becomes unready, and the close of its listener. The
	// platform probes once a second and stops sending requests after two failed probes.
	drainDelay = 2500 * time.Millisecond
	// bodyMemoryShare is the part of the memory of the process, as a divisor, that bodies of requests may take; each is copied twice on its
	// way.
	bodyMemoryShare = 8
	// graceMargin is the part of the grace period that is reserved for the exit of the process.
	graceMargin = 500 * time.Millisecond
	// listMargin is added to the age at which the list of servers is read again: a read takes a while.
	listMargin = time.Second
	// closeTimeout limits the close of the connections that are left at the end.
	closeTimeout = 200 * time.Millisecond
)

// Entry runs the entry process, which serves clients.
type Entry struct {
	// Settings replace those of the platform's settings file; may be nil.
	Settings *platform.Settings `arg:"-"`
}

// Run serves until the context ends and running requests have completed.
func (e *Entry) Run(ctx context.Context) error {
	p, err := start("entry", e.Settings)
	if err != nil {
		return err
	}

	// The background tasks continue until running requests have completed.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	server, duties := p.newEntry(background)

	if err := p.serveMetrics(background); err != nil {
		return err
	}

	if err := p.serveReady(background, server); err != nil {
		return err
	}

	duties.run(ctx, background)
	defer duties.finish()

	return p.serveClients(ctx, server)
}

// newEntry creates the entry and its duties, and starts its background tasks, which run until the context ends.
func (p *process) newEntry(ctx context.Context) (*entry.Entry, *duties) {
	settings := p.settings
	pool := conn.New(conn.Dialer(upstream.DialTCP))
	store := platform.NewStore(settings.StoreAddress)
	servers := &fleet.Fleet{FromStart: settings.FirstStart}

	operator, listing := p.newFollowers()
	pulse := &freshness.Pulse{}
	listing.Pulse = pulse

	server := &entry.Entry{
		Domain: settings.Domain,
		Bounds: entry.Bounds{
			MaxRevocationDelay: settings.Bounds.MaxRevocationDelay,
			RetryRatio:         settings.Bounds.RetryRatio,
			RetryExtra:         settings.Bounds.RetryExtra,
			RetryWindow:        settings.Bounds.RetryWindow,
		},
		Fleet:       servers,
		Freshness:   operator.Freshness,
		Pool:        pool,
		PlainClient: &upstream.Client{Codec: platform.Codec{}, VerifyEnds: true, OnDial: p.counter("connections.opened"), Memory: p.responseMemory()},
		Log:         p.log,
		Metrics:     p.metrics,
		Changed:     make(chan struct{}, 1),
		StartedAt:   time.Now(),
		Quarantine:  &entry.Quarantine{Log: p.log, Metrics: p.metrics, Tracker: quarantine.Tracker{Random: rand.Float64}},
	}

	server.ResponseMemory = server.PlainClient.Memory
	server.PlainClient.OnNotice, server.PlainClient.OnLimit = server.ObserveNotice, server.ObserveLimit
	server.Links = &link.Links{
		Pool: pool, Port: settings.FirstPort, Log: p.log, Operator: operator, Servers: listing, Quarantine: server.Quarantine, FirstStart: settings.FirstStart,
		SettingsVersion: server.ConfigVersion,
		Settings: func(of fleet.Server) (*relay.Settings, bool) {
			return server.AgentSettings(of, settings.VM, settings.Bounds.ColdFactor, settings.Bounds.ColdExtra)
		},
	}
	server.Quarantine.OnSound, server.Quarantine.OnHold = server.Links.NotifySound, server.Links.NotifySettings
	server.Quarantine.OnCrash = func(crash quarantine.Crash) { go server.Links.ReportCrash(settings.VM, crash) }
	server.Links.OnLimits = server.AdoptLimits
	server.Entries = server.Links.KnownEntries
	server.ListAge, server.MaxListAge = listing.CurrentAge, listing.MaxAge+listMargin
	server.Links.OnSoleVersion = server.ObserveSoleVersion
	server.Links.Versions = func(service string) ([]string, bool) {
		versions, complete := servers.Versions(time.Now(), service)

		return versions, complete && server.HasCurrentList()
	}
	server.Origins = &link.OriginClient{Links: server.Links, Entry: settings.VM}
	server.Links.OnConfigVersion = server.ObserveConfigVersion
	server.Permits = &link.PermitClient{Links: server.Links, Entry: settings.VM}
	server.Limiter = &quota.Limiter{Granter: &link.GrantClient{Links: server.Links, Entry: settings.VM}, Entries: server.Links.KnownEntries}

	for _, follower := range []*progress.Follower{operator, listing} {
		follower.IsReader, follower.OnPublish = server.Links.IsReader, server.Links.NotifySettings
	}

	duties := p.newDuties(server, store)
	servers.OnChange = server.Wake
	server.RegisterGauges()

	go p.stalls.Run(ctx)
	go pulse.Run(ctx)
	go server.SyncLinks(ctx)
	go server.Standstill.Run(ctx)
	go (&roster.Roster{Store: store, Name: settings.VM, Alone: server.WithoutAgents, OnCount: server.Links.HearEntries, Log: p.log}).Run(ctx)
	go (&watch.Watcher{
		Source: store, Topic: watch.Operator, Wait: operator.MaxAge / readsPerMaxAge, Target: server, Fleet: servers, Progress: operator, Log: p.log,
		OnCall: p.counter("store.calls.operator"),
	}).Run(ctx)
	go (&watch.Watcher{
		Source: store, Topic: watch.Servers, Wait: listing.MaxAge / readsPerMaxAge, BatchDelay: listing.MaxAge / readsPerMaxAge, Target: server, Fleet: servers, Progress: listing, Log: p.log,
		OnCall: p.counter("store.calls.servers"),
	}).Run(ctx)
	if p.file != nil {
		go p.reload(ctx, func(changed platform.Settings) { store.SetAddress(changed.StoreAddress) })
	}

	return server, duties
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

	go serve(ctx, p.log, p.limitProbes(listener, "ready"), probe)

	return nil
}

// serveClients serves clients until the context ends, and then waits for running requests.
func (p *process) serveClients(ctx context.Context, server *entry.Entry) error {
	listener, err := listen(ctx, p.settings.ClientAddress)
	if err != nil {
		return err
	}

	handler := &platform.Handler{
		Memory:        p.requestMemory(),
		FreeBodyBytes: freeBodyBytes,
		Serve: func(ctx context.Context, request *message.Request, response *platform.Response) {
			server.Serve(ctx, request, response)
		},
		Limits: func() (header, body int64) {
			if config := server.Config(); config != nil {
				return config.Limits.MaxHeaderBytes, config.Limits.MaxBodyBytes
			}

			return 0, 0
		},
	}

	connections := &graceful.Listener{Listener: p.limitClients(upstream.Listener{Listener: listener}, handler, func() time.Duration {
		if config := server.Config(); config != nil {
			return config.Limits.IdleTimeout
		}

		return idleTimeout
	})}
	clients := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: connections.ObserveState}

	// The timeouts of the first configuration apply from the start. Without a configuration, the entry serves after
	// configTimeout and refuses requests.
	if limits, ok := server.AwaitLimits(ctx, configTimeout); ok {
		clients.ReadHeaderTimeout = limits.HeaderTimeout
		clients.IdleTimeout = limits.IdleTimeout
	}

	connections.HeaderTimeout = clients.ReadHeaderTimeout

	serveErr := make(chan error, 1)

	go func() { serveErr <- clients.Serve(connections) }()

	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve clients")
	case <-ctx.Done():
	}

	p.drainClients(ctx, server, clients, connections)

	return nil
}

// drainClients answers the requests of clients until none is under way or the grace period is over, and closes the listener once the
// platform sends no new clients. net/http would drop requests that arrive during a shutdown, so that it is shut down last.
func (p *process) drainClients(ctx context.Context, server *entry.Entry, clients *http.Server, connections *graceful.Listener) {
	now := time.Now()
	end := now.Add(p.settings.Bounds.GracePeriod - graceMargin)

	// The grace period began when the signal was sent. What is promised from now on fits into the least that may be left of it.
	late := p.stalls.Late(now)
	server.Drain(now.Add(-late), end.Add(-late))

	p.log.WithFields(logrus.Fields{"left": time.Until(end).Milliseconds(), "late": late.Milliseconds(), "active": server.ActiveCount()}).
		Info("process is stopping")
	clients.SetKeepAlivesEnabled(false)
	time.Sleep(min(drainDelay, time.Until(end)))

	draining, cancel := context.WithDeadline(context.WithoutCancel(ctx), end)
	defer cancel()

	connections.Drain(draining)

	closing, stop := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer stop()

	err := clients.Shutdown(closing)
	connections.Wait(closing)

	cut := server.ReportCutOff()
	connections.Abort()

	p.log.WithField("cut", cut).WithError(err).Info("process stopped")
	p.flushLog()
}
