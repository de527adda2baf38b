// Package check implements the command that validates settings and fleet files.
package check

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
	"github.com/chestnutbeam/chestnutbeam/internal/config/settings"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
)

// Args holds the command line arguments; exactly one subcommand is set.
type Args struct {
	Entry *File `arg:"subcommand:entry" help:"the settings of an entry"`
	Agent *File `arg:"subcommand:agent" help:"the settings of an agent"`
	Fleet *File `arg:"subcommand:fleet" help:"a fleet file"`

	// Out receives the output; nil selects the standard output.
	Out io.Writer `arg:"-"`
}

// File names the file to validate.
type File struct {
	Path string `arg:"positional,required"`
}

// Run validates the file. A non-nil error is always a *ctl.ExitError.
func (a *Args) Run(context.Context) error {
	path, err := a.check()
	if err != nil {
		return &ctl.ExitError{Code: ctl.ExitUsage, Err: err}
	}

	out := a.Out
	if out == nil {
		out = os.Stdout
	}

	_, _ = fmt.Fprintf(out, "%s is valid\n", path)

	return nil
}

func (a *Args) check() (string, error) {
	switch {
	case a.Entry != nil:
		return a.Entry.Path, settings.Load(a.Entry.Path, &settings.Entry{})
	case a.Agent != nil:
		return a.Agent.Path, settings.Load(a.Agent.Path, &settings.Agent{})
	case a.Fleet != nil:
		return a.Fleet.Path, fleet(a.Fleet.Path)
	default:
		return "", errors.New("a subcommand is required: entry, agent or fleet")
	}
}

func fleet(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read fleet file")
	}

	_, err = document.ParseFleet(data)

	return err
}
