package hosted

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Args defines the command line of processes on the hosting platform.
type Args struct {
	Entry *Entry `arg:"subcommand:entry" help:"run the process that clients reach"`
	Agent *Agent `arg:"subcommand:agent" help:"run the process beside a model server"`
}

// Run runs the selected process until the context is done.
func (a *Args) Run(ctx context.Context) error {
	switch {
	case a.Entry != nil:
		return a.Entry.Run(ctx)
	case a.Agent != nil:
		return a.Agent.Run(ctx)
	default:
		return errors.New("a subcommand is required: entry or agent")
	}
}
