package hosted

import (
	"context"
	"net"
	"strconv"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agent"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

// Agent runs the agent process beside a model server.
type Agent struct {
	// Settings replace those of the platform's settings file; may be nil.
	Settings *platform.Settings `arg:"-"`
}

// Run serves until the context ends and running requests have completed.
func (a *Agent) Run(ctx context.Context) error {
	p, err := start("agent", a.Settings)
	if err != nil {
		return err
	}

	listener, err := listen(ctx, net.JoinHostPort(p.settings.Address, strconv.Itoa(p.settings.FirstPort)))
	if err != nil {
		return err
	}

	// Metrics are served until running requests have completed.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	if err := p.serveMetrics(background); err != nil {
		return err
	}

	if p.file != nil {
		// An agent uses no setting that can change while it runs; the change is only logged.
		go p.reload(ctx, func(platform.Settings) {})
	}

	server := &agent.Agent{
		Engine:       platform.NewEngine(p.settings.ModelServerAddress, p.settings.VM),
		Upstream:     &upstream.Client{Codec: platform.Codec{}, OnDial: p.counter("connections.opened"), VerifyEnds: true, Memory: p.responseMemory()},
		Address:      p.settings.ModelServerAddress,
		Listener:     p.limitMessages(upstream.Listener{Listener: listener}),
		Log:          p.log,
		Metrics:      p.metrics,
		DrainTimeout: p.settings.Bounds.GracePeriod - graceMargin,
		BodyMemory:   p.settings.MemoryLimit / bodyMemoryShare,
	}

	server.RegisterGauges()

	defer p.flushLog()

	return server.Run(ctx)
}
