package play

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"
)

const example = "../../../examples/measure.yaml"

func loads(t *testing.T) map[string]*Load {
	t.Helper()

	experiment, err := ReadExperiment(example)
	assert.NilError(t, err)

	named := map[string]*Load{}
	for i := range experiment.Loads {
		named[experiment.Loads[i].Name] = &experiment.Loads[i]
	}

	return named
}

// meanOf plays a load with a policy and a few seeds.
func meanOf(load *Load, policy string, value func(r *Result) float64) float64 {
	const seeds = 3

	row := Row{Seeds: make([]*Result, seeds)}
	for i := range row.Seeds {
		row.Seeds[i] = play(load, policies[policy], uint64(i+1))
	}

	mean, _ := row.mean(figure{value: value})

	return mean
}

// Guards what callers get from the decisions of entries and agents: each is better than what it replaced, under the load
// that it is there for.
func TestDecisionsUnderTheirLoad(t *testing.T) {
	t.Parallel()

	onTime := func(r *Result) float64 { return r.OnTime }
	worst := func(r *Result) float64 { return r.Worst }

	cases := map[string]struct {
		load, other string
		value       func(r *Result) float64
		// gain is the least difference; 0 where the noise of the seeds is as large.
		gain float64
	}{
		"adapters return to the same servers":       {load: "cold", other: "least-loaded", value: onTime, gain: 0.2},
		"busy adapters are on several servers":      {load: "burst", other: "home-only", value: onTime, gain: 0.1},
		"servers take over from lost ones":          {load: "loss", other: "home-only", value: onTime, gain: 0.1},
		"new adapters do not disturb the others":    {load: "shift", other: "random", value: onTime, gain: 0.2},
		"fetches do not slow each other":            {load: "cold", other: "many-fetches", value: worst},
		"prompts are not read one beside the other": {load: "burst", other: "many-readers", value: onTime},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			load := loads(t)[c.load]
			own, other := meanOf(load, "ours", c.value), meanOf(load, c.other, c.value)
			assert.Assert(t, own >= other+c.gain, "ours %.3f, %s %.3f", own, c.other, other)
		})
	}
}

// Guards against requests that end without an outcome or with two.
func TestEveryRequestEndsOnce(t *testing.T) {
	t.Parallel()

	for name, load := range loads(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			result := play(load, policies["random"], 7)
			total := result.OnTime + result.Late + result.Refused + result.Failed
			assert.Assert(t, total > 0.9999 && total < 1.0001, "%f", total)

			expected := 0.0
			for at := time.Duration(0); at < load.Length; at += time.Second {
				expected += load.Rate * load.factor(at)
			}

			// Five standard deviations of a Poisson number of this size are below a fifth of it.
			assert.Assert(t, float64(result.Requests) > 0.8*expected && float64(result.Requests) < 1.2*expected, "%d of %.0f", result.Requests, expected)
		})
	}
}

// Guards against comparisons of policies on different arrivals, and against runs that cannot be repeated.
func TestSeedDecidesTheRun(t *testing.T) {
	t.Parallel()

	load := loads(t)["loss"]
	first, second := play(load, policies["ours"], 3), play(load, policies["ours"], 3)
	assert.DeepEqual(t, first.Windows, second.Windows)
	assert.Equal(t, first.Fetches, second.Fetches)

	other := play(load, policies["random"], 3)
	assert.Equal(t, other.Requests, first.Requests)
}

// Guards against settings that would be ignored or that end in a panic.
func TestReadRejects(t *testing.T) {
	t.Parallel()

	text, err := os.ReadFile(example)
	assert.NilError(t, err)

	cases := map[string]struct{ old, new, want string }{
		"unknown field":  {"rate: 90", "rates: 90", "unknown field"},
		"unknown policy": {"[ours,", "[theirs,", `no policy "theirs"`},
		"no seeds":       {"seeds: 5", "seeds: 0", "needs seeds"},
		"skew":           {"skew: 1.2", "skew: 1", "skew above 1"},
		"no servers":     {"servers: 18", "servers: 0", "count of the fleet"},
		"no rate":        {"rate: 90", "rate: -1", "must be positive"},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			path := filepath.Join(t.TempDir(), "measure.yaml")
			changed := bytes.Replace(text, []byte(c.old), []byte(c.new), 1)
			assert.Assert(t, !bytes.Equal(changed, text))
			assert.NilError(t, os.WriteFile(path, changed, 0o600))

			_, err := ReadExperiment(path)
			assert.Assert(t, cmp.ErrorContains(err, c.want))
		})
	}

	_, err = ReadExperiment(filepath.Join(t.TempDir(), "missing.yaml"))
	assert.Assert(t, cmp.ErrorContains(err, "read experiment"))
}

// Guards the form of the table, and plots of each load.
func TestReports(t *testing.T) {
	t.Parallel()

	rows := []Row{
		{Load: "calm", Policy: "ours", Seeds: []*Result{
			{OnTime: 0.9, Late: 0.1, Median: 120 * time.Millisecond, Tail: time.Second, Fetches: 10, Windows: []float64{1, 0.5}},
			{OnTime: 0.8, Late: 0.2, Median: 140 * time.Millisecond, Tail: 2 * time.Second, Fetches: 12, Windows: []float64{0.9, 0.6}},
		}},
		{Load: "burst", Policy: "ours", Seeds: []*Result{{OnTime: 0.5, Refused: 0.5, Windows: []float64{0.5}}}},
	}

	var table bytes.Buffer

	assert.NilError(t, WriteTable(&table, rows))
	golden.Assert(t, table.String(), "table.golden")

	directory := t.TempDir()
	assert.NilError(t, WritePlots(directory, rows))

	for _, name := range []string{"calm.svg", "burst.svg"} {
		text, err := os.ReadFile(filepath.Join(directory, name))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Contains(text, []byte("<svg")))
	}
}
