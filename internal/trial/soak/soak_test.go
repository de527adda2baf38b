package soak_test

import (
	"flag"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/trial/soak"
)

var (
	seed    = flag.Uint64("soak.seed", 1, "seed of the first long run")
	minutes = flag.Int("soak.minutes", 0, "total virtual minutes of the long runs; 0 skips them")
)

// longRun is the virtual duration of one long run. Each has its own seed, so that a failure can be reproduced with a single
// run.
const longRun = 2 * time.Minute

func run(t *testing.T, plan soak.Plan) {
	t.Helper()
	logrus.SetOutput(io.Discard)

	synctest.Test(t, func(t *testing.T) {
		report, err := plan.Run(t.Context())
		assert.NilError(t, err)
		t.Logf("seed %d: %s", plan.Seed, report)
		assert.Equal(t, len(report.Violations), 0)
	})
}

// Guards against violations of the design's guarantees without faults, so that a violation under faults is due to the
// faults.
func TestSoakWithoutFaults(t *testing.T) {
	run(t, soak.Plan{Seed: 1, Length: 20 * time.Second})
}

// Guards against violations of the guarantees under single, double and triple faults.
func TestSoakFaults(t *testing.T) {
	run(t, soak.Plan{Seed: 3, Length: time.Minute, Faults: soak.AllFaults})
}

// Guards against violations of the guarantees in long runs. Even seeds use every kind of fault, odd ones only the
// non-disruptive faults.
func TestSoakLong(t *testing.T) {
	for i := range uint64(*minutes) / uint64(longRun/time.Minute) {
		plan := soak.Plan{Seed: *seed + i, Length: longRun, Faults: soak.AllFaults}

		if plan.Seed%2 == 1 {
			plan.Faults, plan.NonDisruptive = soak.NonDisruptiveFaults, true
		}

		t.Run(fmt.Sprint(plan.Seed), func(t *testing.T) { run(t, plan) })
	}
}

// Guards against graceful shutdowns, evacuated failure domains and concurrent operator changes that disrupt callers.
func TestSoakNonDisruptive(t *testing.T) {
	run(t, soak.Plan{Seed: 5, Length: time.Minute, Faults: soak.NonDisruptiveFaults, NonDisruptive: true})
}
