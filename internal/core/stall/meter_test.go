package stall

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a standstill that is missed by a goroutine which runs before the next tick, and against one that counts twice.
func TestMeter(t *testing.T) {
	start := time.Unix(1000, 0)

	cases := map[string]struct {
		// ticks and now are times since the start, in milliseconds.
		ticks []int
		now   int
		want  time.Duration
	}{
		"no tick yet":             {now: 500},
		"in time":                 {ticks: []int{0, 25, 50, 80}, now: 100},
		"before the next tick":    {ticks: []int{0, 25}, now: 450, want: 400 * time.Millisecond},
		"after the next tick":     {ticks: []int{0, 25, 450}, now: 451, want: 400 * time.Millisecond},
		"two standstills":         {ticks: []int{0, 125, 225}, now: 230, want: 175 * time.Millisecond},
		"usual delay of a ticker": {ticks: []int{0, 40, 80, 120}, now: 150},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var m Meter
			for _, at := range c.ticks {
				m.tick(start.Add(time.Duration(at) * time.Millisecond))
			}

			assert.Equal(t, m.Total(start.Add(time.Duration(c.now)*time.Millisecond)), c.want)
		})
	}
}
