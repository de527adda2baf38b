// Package play plays loads against the decisions of entries and agents in virtual time. The code that places, queues and
// refuses requests is that of the programs; model servers, the weight store and callers are small models.
package play

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Experiment compares policies on the same arrivals.
type Experiment struct {
	// Seeds is the number of runs of each policy and load; the runs use the seeds from 1 on.
	Seeds    int      `yaml:"seeds"`
	Policies []string `yaml:"policies"`
	Loads    []Load   `yaml:"loads"`
}

// Load describes a fleet and what its callers do.
type Load struct {
	Name string `yaml:"name"`
	// Length is the time in which requests arrive.
	Length time.Duration `yaml:"length"`
	Fleet  Fleet         `yaml:"fleet"`
	// Rate is the number of requests a second.
	Rate float64 `yaml:"rate"`
	// Bursts multiply the rate for a while.
	Bursts []Burst `yaml:"bursts"`
	// Shifts are moments at which the busiest adapters fall silent and others take their places.
	Shifts []time.Duration `yaml:"shifts"`
	// Losses are moments at which servers are gone.
	Losses []Loss `yaml:"losses"`
	// Adapters is their number, and Skew the exponent of the Zipf distribution of requests over them, above 1.
	Adapters int     `yaml:"adapters"`
	Skew     float64 `yaml:"skew"`
	// Prompt and Output are mean numbers of tokens.
	Prompt float64 `yaml:"prompt"`
	Output float64 `yaml:"output"`
	// Objective is the time within which the output has to begin, and Pause the longest pause in it that is on time.
	Objective time.Duration `yaml:"objective"`
	Pause     time.Duration `yaml:"pause"`
}

// Fleet describes the entries and model servers.
type Fleet struct {
	Entries int `yaml:"entries"`
	Domains int `yaml:"domains"`
	Servers int `yaml:"servers"`
	Slots   int `yaml:"slots"`
	// Places is the number of adapters that a server holds.
	Places int `yaml:"places"`
	// Memory is the number of tokens that the running requests of a server may hold.
	Memory int64 `yaml:"memory"`
	// Transit is the number of adapters that the weight store delivers at full speed at once.
	Transit int `yaml:"transit"`
}

// Burst multiplies the rate.
type Burst struct {
	At     time.Duration `yaml:"at"`
	Length time.Duration `yaml:"length"`
	Factor float64       `yaml:"factor"`
}

// Loss takes servers away for good.
type Loss struct {
	At      time.Duration `yaml:"at"`
	Servers int           `yaml:"servers"`
}

// ReadExperiment reads and checks an experiment.
func ReadExperiment(path string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, errors.Wrap(err, "read experiment")
	}

	var experiment Experiment

	if err := yaml.UnmarshalWithOptions(text, &experiment, yaml.Strict()); err != nil {
		return Experiment{}, errors.Wrapf(err, "experiment %s", path)
	}

	return experiment, errors.Wrapf(experiment.check(), "experiment %s", path)
}

func (e *Experiment) check() error {
	if e.Seeds < 1 || len(e.Policies) == 0 || len(e.Loads) == 0 {
		return errors.New("needs seeds, policies and loads")
	}

	for _, name := range e.Policies {
		if _, ok := policies[name]; !ok {
			return errors.Newf("there is no policy %q", name)
		}
	}

	for i := range e.Loads {
		if err := e.Loads[i].check(); err != nil {
			return err
		}
	}

	return nil
}

func (l *Load) check() error {
	fleet := l.Fleet

	switch {
	case l.Name == "":
		return errors.New("a load has no name")
	case l.Length <= 0 || l.Rate <= 0 || l.Prompt <= 0 || l.Output <= 0 || l.Objective <= 0 || l.Pause <= 0:
		return errors.Newf("load %s: length, rate, prompt, output, objective and pause must be positive", l.Name)
	case l.Adapters < 1 || l.Skew <= 1:
		return errors.Newf("load %s: needs adapters and a skew above 1", l.Name)
	case fleet.Entries < 1 || fleet.Domains < 1 || fleet.Servers < 1 || fleet.Slots < 1 || fleet.Places < 1 || fleet.Memory < 1 || fleet.Transit < 1:
		return errors.Newf("load %s: every count of the fleet must be positive", l.Name)
	}

	return nil
}
