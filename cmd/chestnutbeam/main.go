// Command chestnutbeam contains all processes of the system and the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/core/hangup"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
	"github.com/chestnutbeam/chestnutbeam/internal/program/check"
	"github.com/chestnutbeam/chestnutbeam/internal/program/command"
	"github.com/chestnutbeam/chestnutbeam/internal/program/hosted"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/command"
)

type arguments struct {
	Entry   *command.Entry `arg:"subcommand:entry" help:"run an entry"`
	Agent   *command.Agent `arg:"subcommand:agent" help:"run an agent beside a backend server"`
	Ctl     *ctl.Args      `arg:"subcommand:ctl" help:"operate a fleet"`
	Check   *check.Args    `arg:"subcommand:check" help:"validate settings, fleet files and configurations"`
	Standin *standin.Args  `arg:"subcommand:standin" help:"run a stand-in for a part of the platform or a backend server"`
	Hosted  *hosted.Args   `arg:"subcommand:hosted" help:"run an entry or agent on the users' platform, with the settings that it provides"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Serving layer for many LoRA adapters and plain services."
}

const (
	// signalBufferSize is the number of signals that are handled: the first starts a shutdown, the second ends the process.
	signalBufferSize = 2
	// exitTerminated is the exit code after a second signal: 128 plus the number of SIGTERM, the convention of shells.
	exitTerminated = 143
)

type subcommand interface {
	Run(ctx context.Context) error
}

func main() {
	var args arguments

	parser := arg.MustParse(&args)

	if args.Hosted == nil {
		hangup.RestoreDefault()
	}

	selected := args.selected()
	if selected == nil {
		parser.Fail("a subcommand is required: entry, agent, ctl, check, standin or hosted")
	}

	os.Exit(run(selected, args.Hosted != nil))
}

func (a *arguments) selected() subcommand {
	switch {
	case a.Entry != nil:
		return a.Entry
	case a.Agent != nil:
		return a.Agent
	case a.Ctl != nil:
		return a.Ctl
	case a.Check != nil:
		return a.Check
	case a.Standin != nil:
		return a.Standin
	case a.Hosted != nil:
		return a.Hosted
	default:
		return nil
	}
}

// run runs the subcommand, of which hosted tells whether the users' platform runs it, and returns the exit code of the process.
func run(selected subcommand, hosted bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	// The channel is buffered for both signals, so that none is lost if the second arrives right after the first.
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

	go shutdownOnSignal(signals, cancel, hosted)

	err := selected.Run(ctx)
	if err == nil {
		return 0
	}

	_, _ = fmt.Fprintf(os.Stderr, "chestnutbeam: %v\n", err)

	var exit *ctl.ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}

	return 1
}

// shutdownOnSignal starts a graceful shutdown at the first signal and ends the process at the second one. The users' platform ends a hosted
// process by SIGKILL after the grace period, so that a further SIGTERM does not end it.
func shutdownOnSignal(signals <-chan os.Signal, shutdown func(), hosted bool) {
	<-signals
	shutdown()

	for received := range signals {
		if !hosted || received != syscall.SIGTERM {
			os.Exit(exitTerminated)
		}
	}
}
