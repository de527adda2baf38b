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

// Guards against refusals of an account that stays within its rate and burst. The limits are the design's targets. In the
// rows "edge" an ideal bucket cuts off bursts of large requests, so that the account is at the edge of its envelope much
// of the time.
func TestWrongfulRefusals(t *testing.T) {
	cases := map[string]struct {
		one   bool
		large int64
		fault func(f *fleet, entries []*entry)
		limit float64
	}{
		"steady, spread":             {false, 1500, nil, 0.001},
		"steady, one entry":          {true, 1500, nil, 0.001},
		"steady, spread, entry lost": {false, 1500, loseEntry, 0.01},
		"steady, one, entry lost":    {true, 1500, loseEntry, 0.01},
		"edge, spread":               {false, 6000, nil, 0.001},
		"edge, one entry":            {true, 6000, nil, 0.001},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 10_000, 60_000, 7)
				defer f.stop()

				entries := f.startAll("a", "b", "c")
				f.enlist("vm-d", "c")
				f.start("vm-d", "c")

				if tc.fault != nil {
					go tc.fault(f, entries)
				}

				tr := newTraffic(f, 0.8, true, tc.one, 7)
				tr.largest = tc.large
				tr.run(5 * time.Minute)
				tr.assertEnvelope(t, 10_000, 60_000)

				share := float64(tr.wrongful) / float64(tr.sent)
				split := float64(tr.baseline) / float64(tr.sent)
				t.Logf("refused wrongly: %.3f%% of %d requests; static split without faults: %.3f%%", 100*share, tr.sent, 100*split)
				assert.Assert(t, share < tc.limit)
			})
		})
	}
}

// loseEntry ends one entry; the platform's list drops its VM half a minute later.
func loseEntry(f *fleet, entries []*entry) {
	time.Sleep(time.Minute)
	f.kill(entries[2])
	time.Sleep(30 * time.Second)
	f.unlist(entries[2].self.VM)
	f.gossip()
}

// step is one fault of a randomised run.
type step struct {
	kind  string
	which int
	wait  time.Duration
}

var kinds = []string{"successor", "replace", "freeze", "thaw", "lose", "heal", "outage", "flaky table", "change", "drain", "add", "wait"}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			which: rapid.IntRange(0, 9).Draw(t, "which"),
			wait:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "wait")) * time.Millisecond,
		}
	}), 3, 12).Draw(t, "steps")
}

const (
	highRate  = 1500.0
	highBurst = int64(9000)
)

// Guards against tokens above the envelope through any combination of faults, at five times the rate.
func TestEnvelopeHoldsThroughFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		one := rapid.Bool().Draw(rt, "one")
		over := 0.0

		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1000, 6000, seed)
			defer f.stop()

			f.startAll("a", "b", "c")

			tr := newTraffic(f, 5, false, one, seed)

			var applied time.Duration
			for _, next := range steps {
				applied += next.wait
			}

			var faults sync.WaitGroup

			faults.Go(func() {
				for _, next := range steps {
					f.apply(next)
					time.Sleep(next.wait)
				}
			})

			tr.run(applied + time.Second)
			faults.Wait()
			f.healAll()
			tr.run(settle)

			over = excess(tr.log, highRate, highBurst)
			if !changed(steps) {
				over = excess(tr.log, 1000, 6000)
			}
		})

		if over > rounding {
			rt.Fatalf("%f tokens above the envelope", over)
		}
	})
}

func changed(steps []step) bool {
	for _, one := range steps {
		if one.kind == "change" {
			return true
		}
	}

	return false
}

func (f *fleet) apply(next step) {
	running := f.running()
	e := running[next.which%len(running)]

	switch next.kind {
	case "successor":
		f.kill(e)
		f.start(e.self.VM, e.self.Domain)
	case "replace":
		f.kill(e)
		f.unlist(e.self.VM)
		f.add(e.self.Domain)
	case "freeze":
		e.freeze()
	case "thaw":
		e.thaw()
	case "lose":
		e.setLoss(0.3)
	case "heal":
		e.setLoss(0)
		f.table.set(false, 0)
	case "outage":
		f.table.set(true, 0)
	case "flaky table":
		f.table.set(false, 0.4)
	case "change":
		f.change(next.which)
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

	f.gossip()
}

// add starts an entry on a new VM.
func (f *fleet) add(domain string) {
	f.mu.Lock()
	f.added++
	name := "vm-" + domain + "-" + string(rune('a'+f.added))
	f.mu.Unlock()

	f.start(name, domain)
}

// change sets rate and burst of the account, at most to highRate and highBurst.
func (f *fleet) change(which int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	limits := document.Account{Rate: 500 + 100*float64(which), Burst: 3000 + 600*int64(which)}
	f.doc = &document.Document{Version: f.doc.Version + 1, Accounts: map[string]document.Account{account: limits}}
}

func (f *fleet) healAll() {
	f.table.set(false, 0)

	for _, e := range f.running() {
		e.thaw()
		e.setLoss(0)
	}

	f.gossip()
}
