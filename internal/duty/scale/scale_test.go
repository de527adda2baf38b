package scale_test

import (
	"cmp"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/duty/scale"
)

var bounds = scale.Bounds{Min: 2, Max: 8, Boot: 20 * time.Second}

// load returns a load of 4 servers with 10 slots each.
func load(running, waiting float64) scale.Load {
	return scale.Load{Bounds: bounds, Servers: 4, Slots: 10, Running: running, Waiting: waiting, Known: true}
}

// Guards against servers that are ordered too late, or beyond the bounds, and against orders that nothing asks for.
func TestDecide(t *testing.T) {
	cases := map[string]struct {
		ordered int
		load    scale.Load
		want    int
		changed bool
	}{
		"as many as needed":       {load: load(28, 0), want: 4},
		"more running":            {load: load(29, 0), want: 5, changed: true},
		"more waiting":            {load: load(20, 15), want: 5, changed: true},
		"above the highest":       {load: load(40, 400), want: 8, changed: true},
		"low for a moment":        {load: load(0, 0), want: 4},
		"below the lowest":        {ordered: 1, load: load(0, 0), want: 2, changed: true},
		"ordered above the bound": {ordered: 9, load: load(0, 0), want: 8, changed: true},
		"ordered, not there yet":  {ordered: 6, load: load(40, 2), want: 6},
		"a load is not known":     {ordered: 6, load: scale.Load{Bounds: bounds, Slots: 10, Running: 900}, want: 6},
		"no slots":                {ordered: 6, load: scale.Load{Bounds: bounds, Known: true}, want: 6},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var decision scale.Decision

			decision.Adopt(cmp.Or(c.ordered, 4))
			wanted, changed := decision.Decide(0, c.load)
			assert.Equal(t, wanted, c.want)
			assert.Equal(t, changed, c.changed)
		})
	}
}

// Guards against servers that are given up in a short pause of the demand, and ordered again right after.
func TestFewerServersOnlyAfterALongTime(t *testing.T) {
	var decision scale.Decision

	orders := 0
	last := 4

	for second := range 60 {
		running := 5.0

		switch {
		case second == 15:
			running = 28
		case second > 15 && second%7 == 0:
			running = 15
		}

		if wanted, changed := decision.Decide(time.Duration(second)*time.Second, load(running, 0)); changed {
			orders++
			last = wanted

			assert.Assert(t, second > 36, "fewer servers after %d s", second)
			decision.Done(wanted)
		}
	}

	assert.Equal(t, orders, 1)
	assert.Equal(t, last, 3, "the peaks of the time are served")
}

// Guards against an order for fewer servers than there are, made before all of them are listed.
func TestFirstDecisionWaitsForTheList(t *testing.T) {
	var decision scale.Decision

	listed := load(20, 0)
	listed.Servers = 1
	_, changed := decision.Decide(0, listed)
	assert.Assert(t, !changed)

	listed.Servers = 4
	_, changed = decision.Decide(2*time.Second, listed)
	assert.Assert(t, !changed)

	listed.Servers = 2
	wanted, changed := decision.Decide(5*time.Second, listed)
	assert.Assert(t, !changed, "%d of 4 servers", wanted)

	wanted, changed = decision.Decide(6*time.Second, load(40, 0))
	assert.Assert(t, changed)
	assert.Equal(t, wanted, 6)
}
