package command

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	agent "github.com/chestnutbeam/chestnutbeam/internal/agent/server"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/engine"
	"github.com/chestnutbeam/chestnutbeam/internal/backend/service"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/program/compose"
)

// Agent is the subcommand that runs an agent process.
type Agent struct {
	Settings string `arg:"positional,required" help:"path of the settings file (YAML)"`
}

// Run serves until the context is done and running requests are completed.
func (a *Agent) Run(ctx context.Context) error {
	server := &agent.Server{}

	if err := settings.Load(a.Settings, &server.Settings); err != nil {
		return err
	}

	if err := configureLogs(server.Settings.Log); err != nil {
		return err
	}

	if err := listen(ctx, server); err != nil {
		return err
	}

	connect(server)
	compose.ConfigureAgent(server, platform(server.Settings.Platform), nil)

	return server.Run(ctx)
}

// listen opens the listeners for requests and, if configured, for metrics.
func listen(ctx context.Context, server *agent.Server) error {
	var (
		config net.ListenConfig
		err    error
	)

	if server.Listener, err = config.Listen(ctx, "tcp", server.Settings.Listen); err != nil {
		return errors.Wrap(err, "listen")
	}

	if server.Settings.Metrics == "" {
		return nil
	}

	server.Probe, err = config.Listen(ctx, "tcp", server.Settings.Metrics)

	return errors.Wrap(err, "listen for metrics")
}

// connect sets the client of the backend server.
func connect(server *agent.Server) {
	if server.Settings.Engine != "" {
		server.Engine = &engine.Client{URL: server.Settings.Engine}
		return
	}

	server.Service = &service.Client{URL: server.Settings.Service}
}
