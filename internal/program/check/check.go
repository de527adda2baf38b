// Package check implements the command that validates settings, fleet files and configurations of the hosted programs.
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
	// Platform is checked more thoroughly than the others, since the hosted programs accept a configuration with faults.
	Platform *Platform `arg:"subcommand:platform" help:"the configuration of the hosted programs in the form of the users' platform"`

	// Out receives the output; nil selects the standard output.
	Out io.Writer `arg:"-"`
}

// File names the file to validate.
type File struct {
	Path string `arg:"positional,required"`
}

// Run validates the file. A non-nil error is always a *ctl.ExitError.
func (a *Args) Run(context.Context) error {
	out := a.Out
	if out == nil {
		out = os.Stdout
	}

	if a.Platform != nil {
		return a.Platform.run(out)
	}

	path, err := a.check()
	if err != nil {
		return &ctl.ExitError{Code: ctl.ExitUsage, Err: err}
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
		return "", errors.New("a subcommand is required: entry, agent, fleet or platform")
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
