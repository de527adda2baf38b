package command

import (
	"context"

	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	entry "github.com/chestnutbeam/chestnutbeam/internal/entry/server"
	"github.com/chestnutbeam/chestnutbeam/internal/program/compose"
)

// Entry is the subcommand that runs an entry process.
type Entry struct {
	Settings string `arg:"positional,required" help:"path of the settings file (YAML)"`
}

// Run serves until the context is done and running requests are completed.
func (e *Entry) Run(ctx context.Context) error {
	server := &entry.Server{}

	if err := settings.Load(e.Settings, &server.Settings); err != nil {
		return err
	}

	if err := configureLogs(server.Settings.Log); err != nil {
		return err
	}

	compose.ConfigureEntry(server, platform(server.Settings.Platform))

	return server.Run(ctx)
}
