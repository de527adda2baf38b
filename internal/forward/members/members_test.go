package members_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/members"
)

// Guards against an entry that takes the part of others which it does not hear of for a while.
func TestCountErrsTowardsMoreEntries(t *testing.T) {
	start := time.Unix(1000, 0)

	type hearing struct {
		after time.Duration
		count int
	}

	cases := map[string]struct {
		heard []hearing
		at    time.Duration
		want  int
	}{
		"nothing heard":                     {at: time.Minute},
		"one agent":                         {heard: []hearing{{0, 5}}, at: time.Second, want: 5},
		"entries gone":                      {heard: []hearing{{0, 5}, {time.Second, 2}}, at: 9 * time.Minute, want: 5},
		"entries gone for long":             {heard: []hearing{{0, 5}, {time.Second, 2}, {25 * time.Minute, 2}}, at: 25 * time.Minute, want: 2},
		"cut off from all agents":           {heard: []hearing{{0, 5}}, at: 9 * time.Minute, want: 5},
		"cut off, while others count it":    {heard: []hearing{{0, 5}}, at: 11 * time.Minute},
		"others count an entry that is cut": {heard: []hearing{{0, 5}, {9 * time.Minute, 4}, {11 * time.Minute, 4}}, at: 11 * time.Minute, want: 5},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var count members.Count

			for _, h := range c.heard {
				count.Hear(start.Add(h.after), h.count)
			}

			assert.Equal(t, count.Get(start.Add(c.at)), c.want)
		})
	}
}
