// Package play simulates workloads on entries and agents in virtual time. Requests are routed, queued and refused by the code
// of the programs; model servers, the weight store and clients are simple models.
package play

import (
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// Experiment compares policies on the same arrivals.
type Experiment struct {
	// Seeds is the number of runs of each policy and workload; the runs use the seeds from 1 on.
	Seeds     int        `yaml:"seeds"`
	Policies  []string   `yaml:"policies"`
	Workloads []Workload `yaml:"loads"`
}

// Workload describes a fleet and the requests of its clients.
type Workload struct {
	Name string `yaml:"name"`
	// Length is the time in which requests arrive.
	Length time.Duration `yaml:"length"`
	Fleet  Fleet         `yaml:"fleet"`
	// Rate is the number of requests a second.
	Rate float64 `yaml:"rate"`
	// Bursts multiply the rate for a while.
	Bursts []Burst `yaml:"bursts"`
	// PopularityShifts are the times at which the popularity of adapters is assigned anew at random, so that other adapters
	// become the most requested ones.
	PopularityShifts []time.Duration `yaml:"shifts"`
	// ServerLosses are the times at which servers are lost.
	ServerLosses []ServerLoss `yaml:"losses"`
	// Adapters is the number of adapters, and ZipfExponent the exponent of the Zipf distribution of requests over them, above 1.
	Adapters     int     `yaml:"adapters"`
	ZipfExponent float64 `yaml:"skew"`
	// MeanPromptTokens and MeanOutputTokens are mean lengths in tokens.
	MeanPromptTokens float64 `yaml:"prompt"`
	MeanOutputTokens float64 `yaml:"output"`
	// Kinds divide the requests; empty for requests of one kind, which the fields above and below describe.
	Kinds []Kind `yaml:"kinds"`
	// Objective is the latency target for the first output, and GapTarget the longest gap between two output tokens that is on
	// time.
	Objective time.Duration `yaml:"objective"`
	GapTarget time.Duration `yaml:"pause"`
}

// Kind is a kind of request of a workload.
type Kind struct {
	Name string `yaml:"name"`
	// Share is the share of the requests outside bursts.
	Share float64 `yaml:"share"`
	// Urgency is the priority; 0 is the highest.
	Urgency          int           `yaml:"urgency"`
	MeanPromptTokens float64       `yaml:"prompt"`
	MeanOutputTokens float64       `yaml:"output"`
	Objective        time.Duration `yaml:"objective"`
	GapTarget        time.Duration `yaml:"pause"`
}

// Pace describes servers that share their VMs with others.
type Pace struct {
	// SlowShare is the share of the servers that are slower by SlowFactor for good.
	SlowShare  float64 `yaml:"share"`
	SlowFactor float64 `yaml:"factor"`
	// Each server is slower by MomentFactor for the time MomentLength now and then, MomentShare of the time.
	MomentShare  float64       `yaml:"moments"`
	MomentFactor float64       `yaml:"by"`
	MomentLength time.Duration `yaml:"for"`
}

// Fleet describes the entries and model servers.
type Fleet struct {
	Entries int `yaml:"entries"`
	Domains int `yaml:"domains"`
	Servers int `yaml:"servers"`
	Slots   int `yaml:"slots"`
	// AdapterSlots is the number of adapters that a server can hold.
	AdapterSlots int `yaml:"places"`
	// KVCapacity is the number of tokens that the running requests of a server may hold in memory.
	KVCapacity int64 `yaml:"memory"`
	// FullSpeedFetches is the number of adapters that the weight store delivers at full speed at once.
	FullSpeedFetches int `yaml:"transit"`
	// StateInterval is the time between two states of a server that one entry receives; stateInterval if it is 0. Entries receive
	// them at different times.
	StateInterval time.Duration `yaml:"state"`
	// ChunkTokens is the number of prompt tokens that a server prefills at most in one step; defaultChunkTokens if it is 0.
	ChunkTokens int64 `yaml:"chunk"`
	// Pace is the pace of the servers; all are as fast as usual without it.
	Pace *Pace `yaml:"pace"`
}

// Burst multiplies the rate for a period.
type Burst struct {
	// Kind is the name of the only kind whose rate is multiplied; empty for all.
	Kind   string        `yaml:"kind"`
	At     time.Duration `yaml:"at"`
	Length time.Duration `yaml:"length"`
	Factor float64       `yaml:"factor"`
}

// ServerLoss removes servers permanently.
type ServerLoss struct {
	At      time.Duration `yaml:"at"`
	Servers int           `yaml:"servers"`
}

// ReadExperiment reads and validates an experiment.
func ReadExperiment(path string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, errors.Wrap(err, "read experiment")
	}

	var experiment Experiment

	if err := yaml.UnmarshalWithOptions(text, &experiment, yaml.Strict()); err != nil {
		return Experiment{}, errors.Wrapf(err, "experiment %s", path)
	}

	for i := range experiment.Workloads {
		experiment.Workloads[i].fillKinds()
	}

	return experiment, errors.Wrapf(experiment.validate(), "experiment %s", path)
}

func (e *Experiment) validate() error {
	if e.Seeds < 1 || len(e.Policies) == 0 || len(e.Workloads) == 0 {
		return errors.New("needs seeds, policies and loads")
	}

	for _, name := range e.Policies {
		if _, ok := policies[name]; !ok {
			return errors.Newf("there is no policy %q", name)
		}
	}

	for i := range e.Workloads {
		if err := e.Workloads[i].validate(); err != nil {
			return err
		}
	}

	return nil
}

// fillKinds makes a workload without kinds one of a single kind, which has the name of the workload.
func (l *Workload) fillKinds() {
	if len(l.Kinds) == 0 {
		l.Kinds = []Kind{{
			Name: l.Name, Share: 1, MeanPromptTokens: l.MeanPromptTokens, MeanOutputTokens: l.MeanOutputTokens, Objective: l.Objective, GapTarget: l.GapTarget,
		}}
	}
}

func (f *Fleet) chunkTokens() int64 {
	if f.ChunkTokens == 0 {
		return defaultChunkTokens
	}

	return f.ChunkTokens
}

func (k *Kind) valid() bool {
	return k.Share > 0 && k.MeanPromptTokens > 0 && k.MeanOutputTokens > 0 && k.Objective > 0 && k.GapTarget > 0
}

func (p *Pace) valid() bool {
	return p.SlowShare >= 0 && p.SlowFactor >= 1 && p.MomentShare >= 0 && p.MomentShare < 1 && p.MomentFactor >= 1 && p.MomentLength > 0
}

func (l *Workload) validate() error {
	fleet := l.Fleet

	switch {
	case l.Name == "":
		return errors.New("a load has no name")
	case l.Length <= 0 || l.Rate <= 0 || slices.ContainsFunc(l.Kinds, func(k Kind) bool { return !k.valid() }):
		return errors.Newf("load %s: length, rate, prompt, output, objective and pause must be positive", l.Name)
	case fleet.Pace != nil && !fleet.Pace.valid():
		return errors.Newf("load %s: pace needs factors of at least 1, shares below 1 and a length", l.Name)
	case l.Adapters < 1 || l.ZipfExponent <= 1:
		return errors.Newf("load %s: needs adapters and a skew above 1", l.Name)
	case fleet.StateInterval < 0:
		return errors.Newf("load %s: state must not be negative", l.Name)
	case fleet.ChunkTokens < 0:
		return errors.Newf("load %s: chunk must not be negative", l.Name)
	case fleet.Entries < 1 || fleet.Domains < 1 || fleet.Servers < 1 || fleet.Slots < 1 || fleet.AdapterSlots < 1 || fleet.KVCapacity < 1 || fleet.FullSpeedFetches < 1:
		return errors.Newf("load %s: every count of the fleet must be positive", l.Name)
	}

	return nil
}
