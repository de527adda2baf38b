package hosted

import (
	"context"
	"net"
	"strconv"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/agent"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/upstream"
	"github.com/chestnutbeam/chestnutbeam/platform"
)

// Agent is the subcommand that runs the agent process next to a model server.
type Agent struct {
	// Settings replaces the platform's settings file; nil reads the file.
	Settings *platform.Settings `arg:"-"`
}

// Run serves until the context is done and running requests are completed.
func (a *Agent) Run(ctx context.Context) error {
	p, err := start("agent", a.Settings)
	if err != nil {
		return err
	}

	listener, err := listen(ctx, net.JoinHostPort(p.settings.Address, strconv.Itoa(p.settings.FirstPort)))
	if err != nil {
		return err
	}

	if err := p.serveMetrics(context.WithoutCancel(ctx)); err != nil {
		return err
	}

	if p.file != nil {
		// An agent uses none of the settings that may change while it runs; the reload is only logged.
		go p.reload(ctx, func(platform.Settings) {})
	}

	server := &agent.Agent{
		Engine:       platform.NewEngine(p.settings.Model, p.settings.VM),
		Upstream:     &upstream.Client{Codec: platform.Codec{}, OnDial: p.counter("connections.opened")},
		Address:      p.settings.Model,
		Listener:     upstream.Listener{Listener: listener},
		Log:          p.log,
		Metrics:      p.metrics,
		DrainTimeout: p.settings.Bounds.Grace - graceMargin,
	}

	server.RegisterGauges()

	return server.Run(ctx)
}
