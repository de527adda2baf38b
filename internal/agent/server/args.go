package server

import (
	"context"
	"net"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/state/board"
)

// Args are the arguments of the agent command.
type Args struct {
	// Settings is the path of the settings file.
	Settings string `arg:"positional,required" help:"settings file"`
	// Wire sets the fields of a server that depend on its settings: Engine or Caller, Table, Source, Budget and Background.
	Wire func(s *Server) error `arg:"-"`
}

// Run runs an agent process until SIGTERM or SIGINT; a second signal ends it at once.
func (a *Args) Run(ctx context.Context) error {
	s := &Server{Board: &board.Board{}}

	if err := settings.Load(a.Settings, &s.Settings); err != nil {
		return err
	}

	if err := setLog(s.Settings.Log); err != nil {
		return err
	}

	if err := a.Wire(s); err != nil {
		return errors.Wrap(err, "wire the agent")
	}

	if err := listen(ctx, s); err != nil {
		return err
	}

	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	// The default action of a second signal ends the process.
	context.AfterFunc(ctx, stop)

	return s.Run(ctx)
}

func setLog(level string) error {
	logrus.SetFormatter(&logrus.JSONFormatter{})

	if level == "" {
		return nil
	}

	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return errors.Wrap(err, "settings: log")
	}

	logrus.SetLevel(parsed)

	return nil
}

func listen(ctx context.Context, s *Server) error {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", s.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "settings: listen")
	}

	s.Listener = listener

	if s.Settings.Metrics == "" {
		return nil
	}

	s.Probe, err = config.Listen(ctx, "tcp", s.Settings.Metrics)

	return errors.Wrap(err, "settings: metrics")
}
