package hosted

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a part of the rate of calls that is too large, so that entries together exceed it, and against one that shrinks with entries that
// order nothing.
func TestScalerCount(t *testing.T) {
	cases := map[string]struct {
		entries, agents, want int
	}{
		"alone":                       {entries: 1, agents: 4, want: 1},
		"many entries":                {entries: 80, agents: 300, want: 2},
		"entries not known":           {agents: 4, want: 2},
		"no agents":                   {entries: 5, want: 5},
		"no agents and none is known": {want: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, scalerCount(c.entries, c.agents), c.want) })
	}
}
