// Command chestnutbeam runs every process of the system and the operators' command line.
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
	"github.com/chestnutbeam/chestnutbeam/internal/ops/check"
	"github.com/chestnutbeam/chestnutbeam/internal/ops/ctl"
	"github.com/chestnutbeam/chestnutbeam/internal/program/command"
	"github.com/chestnutbeam/chestnutbeam/internal/program/hosted"
	standin "github.com/chestnutbeam/chestnutbeam/internal/standin/command"
)

type arguments struct {
	Entry   *command.Entry `arg:"subcommand:entry" help:"run an entry"`
	Agent   *command.Agent `arg:"subcommand:agent" help:"run an agent beside a backend server"`
	Ctl     *ctl.Args      `arg:"subcommand:ctl" help:"operate a fleet"`
	Check   *check.Args    `arg:"subcommand:check" help:"validate settings and fleet files"`
	Standin *standin.Args  `arg:"subcommand:standin" help:"run a stand-in for a part of the platform or a backend server"`
	Hosted  *hosted.Args   `arg:"subcommand:hosted" help:"run an entry or agent on the users' platform, with the settings that it provides"`
}

// Description implements go-arg's interface for the help text.
func (arguments) Description() string {
	return "Serving layer for many LoRA adapters and plain services."
}

const (
	// signalsKept is the number of signals that have a meaning: the first one and the second one.
	signalsKept = 2
	// exitTerminated is the exit code after a second signal: 128 plus the number of SIGTERM, as shells report it.
	exitTerminated = 143
)

type runner interface {
	Run(ctx context.Context) error
}

func main() {
	var args arguments

	parser := arg.MustParse(&args)

	if args.Hosted == nil {
		hangup.RestoreDefault()
	}

	chosen := args.chosen()
	if chosen == nil {
		parser.Fail("a subcommand is required: entry, agent, ctl, check, standin or hosted")
	}

	os.Exit(run(chosen))
}

func (a *arguments) chosen() runner {
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

// run returns the exit code.
func run(chosen runner) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	// The channel has room for both signals: one that arrives right after the other is not lost.
	signals := make(chan os.Signal, signalsKept)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)

	go obey(signals, cancel)

	err := chosen.Run(ctx)
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

// obey begins a graceful shutdown at the first signal and ends the process at the second one.
func obey(signals <-chan os.Signal, shutdown func()) {
	<-signals
	shutdown()
	<-signals
	os.Exit(exitTerminated)
}
