package server

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
)

// Args are the arguments of the entry subcommand.
type Args struct {
	Settings string `arg:"positional,required" help:"path of the settings file (YAML)"`
	// Wire sets the fields of the Server that other packages provide.
	Wire func(server *Server) error `arg:"-"`
}

// Run reads the settings and runs an entry process until the context ends and running requests are finished.
func (a *Args) Run(ctx context.Context) error {
	server := &Server{}

	loaded, ok := any(&server.Settings).(settings.Settings)
	if !ok {
		return errors.New("the settings of an entry cannot be validated")
	}

	if err := settings.Load(a.Settings, loaded); err != nil {
		return err
	}

	if err := configureLogs(server.Settings.Log); err != nil {
		return err
	}

	if err := a.Wire(server); err != nil {
		return errors.Wrap(err, "wire the entry")
	}

	return server.Run(ctx)
}

func configureLogs(level string) error {
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
