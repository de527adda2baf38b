package stall

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a signal that was read late and counts as read at once, and against one that was read at once and counts as late.
func TestLate(t *testing.T) {
	start := time.Unix(1000, 0)

	cases := map[string]struct {
		// ticks and now are times since the start, in milliseconds.
		ticks []int
		now   int
		want  time.Duration
	}{
		"no tick yet":                         {now: 5000},
		"first tick only":                     {ticks: []int{0}, now: 20},
		"in time":                             {ticks: []int{0, 100, 200}, now: 250},
		"in time, before the next tick":       {ticks: []int{0, 100, 200}, now: 299},
		"read before the tick after a stall":  {ticks: []int{0, 100, 200}, now: 3200, want: 2800 * time.Millisecond},
		"read after the tick after a stall":   {ticks: []int{0, 100, 200, 3200}, now: 3201, want: 2801 * time.Millisecond},
		"read long after a stall":             {ticks: []int{0, 100, 3200, 3300, 3400}, now: 3450},
		"each tick late":                      {ticks: []int{0, 400, 800, 1200}, now: 1250, want: 250 * time.Millisecond},
		"read in the period after a long one": {ticks: []int{0, 3000, 3100}, now: 3150},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var m Monitor
			for _, at := range c.ticks {
				m.tick(start.Add(time.Duration(at) * time.Millisecond))
			}

			assert.Equal(t, m.Late(start.Add(time.Duration(c.now)*time.Millisecond)), c.want)
		})
	}
}
