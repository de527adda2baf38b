package integration_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/chestnutbeam/chestnutbeam/internal/config/document"
)

// Guards against rejected requests of an account that stays within its rate and burst. The maximum rates of rejection are
// targets of the design. In the cases "at the limit", the account sends larger requests and an ideal bucket drops those that
// exceed the burst, so that the account is close to its limit much of the time.
func TestFalseRejections(t *testing.T) {
	cases := map[string]struct {
		oneEntry    bool
		maxCost     int64
		fault       func(f *fleet, entries []*entry)
		maxRejected float64
	}{
		"steady, spread":                {false, 1500, nil, 0.001},
		"steady, one entry":             {true, 1500, nil, 0.001},
		"steady, spread, entry ends":    {false, 1500, endEntry, 0.01},
		"steady, one entry, entry ends": {true, 1500, endEntry, 0.01},
		"at the limit, spread":          {false, 6000, nil, 0.001},
		"at the limit, one entry":       {true, 6000, nil, 0.001},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 10_000, 60_000, 7)
				defer f.stop()

				entries := f.startAll("a", "b", "c")
				f.listVM("vm-d", "c")
				f.start("vm-d", "c")

				if tc.fault != nil {
					go tc.fault(f, entries)
				}

				tr := newTraffic(f, 0.8, true, tc.oneEntry, 7)
				tr.largest = tc.maxCost
				tr.run(5 * time.Minute)
				tr.assertWithinLimit(t, 10_000, 60_000)

				rejected := float64(tr.falselyRejected) / float64(tr.sent)
				rejectedBySplit := float64(tr.staticRejected) / float64(tr.sent)
				t.Logf("falsely rejected: %.3f%% of %d requests; static split without faults: %.3f%%", 100*rejected, tr.sent, 100*rejectedBySplit)
				assert.Assert(t, rejected < tc.maxRejected)
			})
		})
	}
}

// endEntry ends one entry; its VM is removed from the platform's list half a minute later.
func endEntry(f *fleet, entries []*entry) {
	time.Sleep(time.Minute)
	f.kill(entries[2])
	time.Sleep(30 * time.Second)
	f.unlistVM(entries[2].self.VM)
	f.syncBoards()
}

// faultStep is one fault of a randomised run and the wait after it.
type faultStep struct {
	kind  string
	which int
	wait  time.Duration
}

// faultKinds are the faults and changes that fleet.apply knows.
var faultKinds = []string{"successor", "replace", "freeze", "thaw", "lose", "heal", "outage", "flaky table", "change", "drain", "add", "wait"}

// drawSteps draws the faults of a randomised run.
func drawSteps(t *rapid.T) []faultStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			which: rapid.IntRange(0, 9).Draw(t, "which"),
			wait:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 3, 12).Draw(t, "steps")
}

// The limits of the account during a randomised run do not exceed these.
const (
	maxRate  = 1500.0
	maxBurst = int64(9000)
)

// Guards against a combination of faults that lets an account exceed its rate and burst, at a load of five times the rate.
func TestLimitHoldsThroughFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		oneEntry := rapid.Bool().Draw(rt, "one")
		over := 0.0

		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1000, 6000, seed)
			defer f.stop()

			f.startAll("a", "b", "c")

			tr := newTraffic(f, 5, false, oneEntry, seed)

			var total time.Duration
			for _, next := range steps {
				total += next.wait
			}

			var faults sync.WaitGroup

			faults.Go(func() {
				for _, next := range steps {
					f.apply(next)
					time.Sleep(next.wait)
				}
			})

			tr.run(total + time.Second)
			faults.Wait()
			f.healAll()
			tr.run(convergeTime)

			over = excess(tr.log, maxRate, maxBurst)
			if !changesLimits(steps) {
				over = excess(tr.log, 1000, 6000)
			}
		})

		if over > rounding {
			rt.Fatalf("exceeded the limit by %f tokens", over)
		}
	})
}

// changesLimits reports whether one of the steps changes the limits of the account.
func changesLimits(steps []faultStep) bool {
	for _, one := range steps {
		if one.kind == "change" {
			return true
		}
	}

	return false
}

// apply applies a fault to the fleet, or to the entry that the step selects.
func (f *fleet) apply(next faultStep) {
	running := f.running()
	e := running[next.which%len(running)]

	switch next.kind {
	case "successor":
		f.kill(e)
		f.start(e.self.VM, e.self.Domain)
	case "replace":
		f.kill(e)
		f.unlistVM(e.self.VM)
		f.add(e.self.Domain)
	case "freeze":
		e.freeze()
	case "thaw":
		e.thaw()
	case "lose":
		e.setLossRate(0.3)
	case "heal":
		e.setLossRate(0)
		f.table.setFaults(false, 0)
	case "outage":
		f.table.setFaults(true, 0)
	case "flaky table":
		f.table.setFaults(false, 0.4)
	case "change":
		f.changeLimits(next.which)
	case "drain":
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		e.board.Draining.Set(true)
		_ = e.assign.Drain(ctx)
		cancel()
		f.kill(e)
		f.start(e.self.VM, e.self.Domain)
	case "add":
		f.add([]string{"a", "b", "c", "d"}[next.which%4])
	}

	f.syncBoards()
}

// add starts an entry on a new VM.
func (f *fleet) add(domain string) {
	f.mu.Lock()
	f.added++
	name := "vm-" + domain + "-" + string(rune('a'+f.added))
	f.mu.Unlock()

	f.start(name, domain)
}

// changeLimits sets the rate and the burst of the account, at most to maxRate and maxBurst.
func (f *fleet) changeLimits(which int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	limits := document.Account{Rate: 500 + 100*float64(which), Burst: 3000 + 600*int64(which)}
	f.doc = &document.Document{Version: f.doc.Version + 1, Accounts: map[string]document.Account{account: limits}}
}

// healAll ends all injected faults.
func (f *fleet) healAll() {
	f.table.setFaults(false, 0)

	for _, e := range f.running() {
		e.thaw()
		e.setLossRate(0)
	}

	f.syncBoards()
}
