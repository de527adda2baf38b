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
	minutes = flag.Int("soak.minutes", 0, "virtual minutes of all long runs together; 0 leaves them out")
)

// longRun is the virtual time of one long run; each has a seed of its own, so that a failure is soon reproduced.
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

// Guards the promises of the design page without faults, so that a violation under faults is due to the faults.
func TestSoakCalm(t *testing.T) {
	run(t, soak.Plan{Seed: 1, Length: 20 * time.Second})
}

// Guards all promises under single, double and triple faults.
func TestSoakFaults(t *testing.T) {
	run(t, soak.Plan{Seed: 3, Length: time.Minute, Faults: soak.AllFaults})
}

// Guards the promises in long runs: even seeds have every kind of fault, odd ones only those that callers may not notice.
func TestSoakLong(t *testing.T) {
	for i := range uint64(*minutes) / uint64(longRun/time.Minute) {
		plan := soak.Plan{Seed: *seed + i, Length: longRun, Faults: soak.AllFaults}

		if plan.Seed%2 == 1 {
			plan.Faults, plan.Mild = soak.MildFaults, true
		}

		t.Run(fmt.Sprint(plan.Seed), func(t *testing.T) { run(t, plan) })
	}
}

// Guards graceful shutdowns, failure domains that leave and operators that race against being noticed by callers.
func TestSoakMild(t *testing.T) {
	run(t, soak.Plan{Seed: 5, Length: time.Minute, Faults: soak.MildFaults, Mild: true})
}
