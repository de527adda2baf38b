// Command measure compares policies on the same arrivals in virtual time.
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

// playCommand plays an experiment against the decisions of the programs on the users' platform.
type playCommand struct {
	File  string `arg:"positional,required" help:"YAML file with policies, loads and the number of seeds"`
	Seeds int    `arg:"--seeds" help:"number of seeds, in place of that in the file"`
	Plot  string `arg:"--plot" placeholder:"DIR" help:"directory for one SVG file for each load"`
}

// ownCommand measures the limits and the admission of the product's own path.
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

	rows := play.Run(experiment, func(ended, all int) { _, _ = fmt.Fprintf(progress, "\r%d of %d runs", ended, all) })
	_, _ = fmt.Fprintln(progress)

	if err := play.WriteTable(table, rows); err != nil {
		return errors.Wrap(err, "play")
	}

	if c.Plot == "" {
		return nil
	}

	return errors.Wrap(play.WritePlots(c.Plot, rows), "play")
}

func (c *ownCommand) run(to io.Writer) error {
	var chosen []policy.Policy

	for _, one := range policy.Policies() {
		if c.Policy == "" || one.Name == c.Policy {
			chosen = append(chosen, one)
		}
	}

	if len(chosen) == 0 {
		return errors.Newf("there is no policy %q", c.Policy)
	}

	plan := policy.FullPlan(c.Seed)
	if c.Bursty {
		plan = policy.BurstyPlan(c.Seed)
	}

	return errors.Wrap(policy.Print(to, policy.Measure(plan, chosen...)), "print")
}
