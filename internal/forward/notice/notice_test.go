package notice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/notice"
)

// Guards against requests to a server that has announced that it leaves, and against a server that stays unused after a restart.
func TestLeavingEndsWithARestart(t *testing.T) {
	var record notice.Record

	now := time.Unix(1000, 0)
	assert.Assert(t, !record.Leaving(1))

	record.Observe(now, 1, notice.Notice{Leaving: true})
	record.Observe(now.Add(time.Second), 1, notice.Notice{})
	assert.Assert(t, record.Leaving(1))
	assert.Assert(t, !record.Leaving(2))
}

// Guards against a rest that a later response without one ends, and against one that disables a server for good.
func TestRest(t *testing.T) {
	now := time.Unix(1000, 0)

	cases := map[string]struct {
		rests []time.Duration
		left  time.Duration
	}{
		"none":            {rests: []time.Duration{0}},
		"fraction":        {rests: []time.Duration{300 * time.Millisecond}, left: 300 * time.Millisecond},
		"negative":        {rests: []time.Duration{-time.Second}},
		"absurd":          {rests: []time.Duration{1000 * time.Hour}, left: time.Minute},
		"then none":       {rests: []time.Duration{2 * time.Second, 0}, left: 2 * time.Second},
		"then a shorter":  {rests: []time.Duration{2 * time.Second, time.Second}, left: 2 * time.Second},
		"then a longer":   {rests: []time.Duration{2 * time.Second, 3 * time.Second}, left: 3 * time.Second},
		"then an invalid": {rests: []time.Duration{2 * time.Second, -time.Hour}, left: 2 * time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var record notice.Record

			for _, rest := range c.rests {
				record.Observe(now, 1, notice.Notice{Rest: rest})
			}

			assert.Equal(t, max(record.RestLeft(now), 0), c.left)
			assert.Assert(t, record.RestLeft(now.Add(c.left)) <= 0)
		})
	}
}
