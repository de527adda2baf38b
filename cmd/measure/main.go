// Command measure compares policies by simulating the same arrivals in virtual time.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"github.com/chestnutbeam/chestnutbeam/internal/measure/play"
	"github.com/chestnutbeam/chestnutbeam/internal/measure/policy"
)

// playCommand simulates an experiment with the decision code of the processes on the users' platform.
type playCommand struct {
	File  string `arg:"positional,required" help:"YAML file with policies, loads and the number of seeds"`
	Seeds int    `arg:"--seeds" help:"number of seeds, in place of that in the file"`
	Plot  string `arg:"--plot" placeholder:"DIR" help:"directory for one SVG file for each load"`
}

// ownCommand simulates the rate limits and the admission control of the product's own request path.
type ownCommand struct {
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the arrivals"`
	Policy string `arg:"--policy" help:"measure only this policy"`
	Bursty bool   `arg:"--bursty" help:"let the account that exceeds its rate pause 9 s in each minute"`
}

type arguments struct {
	Play *playCommand `arg:"subcommand:play" help:"play an experiment"`
	Own  *ownCommand  `arg:"subcommand:own" help:"measure the product's own path"`
}

func main() {
	var args arguments

	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.Fail("needs a subcommand")
	}

	if err := args.run(); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "measure: %v\n", err)

		os.Exit(1)
	}
}

func (a *arguments) run() error {
	if a.Play != nil {
		return a.Play.run(os.Stdout, os.Stderr)
	}

	return a.Own.run(os.Stdout)
}

func (c *playCommand) run(table, progress io.Writer) error {
	experiment, err := play.ReadExperiment(c.File)
	if err != nil {
		return errors.Wrap(err, "play")
	}

	if c.Seeds > 0 {
		experiment.Seeds = c.Seeds
	}

	rows := play.Run(experiment, func(done, total int) { _, _ = fmt.Fprintf(progress, "\r%d of %d runs", done, total) })
	_, _ = fmt.Fprintln(progress)

	if err := play.WriteTable(table, rows); err != nil {
		return errors.Wrap(err, "play")
	}

	if c.Plot == "" {
		return nil
	}

	return errors.Wrap(play.WritePlots(c.Plot, rows), "play")
}

func (c *ownCommand) run(out io.Writer) error {
	var selected []policy.Policy

	for _, candidate := range policy.Policies() {
		if c.Policy == "" || candidate.Name == c.Policy {
			selected = append(selected, candidate)
		}
	}

	if len(selected) == 0 {
		return errors.Newf("there is no policy %q", c.Policy)
	}

	plan := policy.FullPlan(c.Seed)
	if c.Bursty {
		plan = policy.BurstyPlan(c.Seed)
	}

	return errors.Wrap(policy.Print(out, policy.Measure(plan, selected...)), "print")
}
