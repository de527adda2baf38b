package startup_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/startup"
)

// Guards against a withdrawn key that works again at an entry which starts while the store is back from an older copy, and against an entry
// that waits for agents without end.
func TestConfigurationOlderThanThatOfThePeers(t *testing.T) {
	cases := map[string]struct {
		agents  int
		told    []int64
		version int64
		after   time.Duration
		want    time.Duration
	}{
		"as new":                       {agents: 3, told: []int64{4, 4, 4}, version: 4},
		"newer":                        {agents: 3, told: []int64{4, 4, 4}, version: 5},
		"older":                        {agents: 3, told: []int64{4, 4, 4}, version: 1, want: time.Second},
		"older, and stays so":          {agents: 3, told: []int64{4, 4, 4}, version: 1, after: time.Minute, want: time.Second},
		"one agent has just started":   {agents: 9, told: []int64{0, 4, 0}, version: 1, want: time.Second},
		"all agents have just started": {agents: 3, told: []int64{0, 0, 0}, version: 1},
		"few of many have told":        {agents: 9, told: []int64{4, 4}, version: 4, after: 300 * time.Millisecond, want: 700 * time.Millisecond},
		"one agent, it has told":       {agents: 1, told: []int64{4}, version: 4},
		"agents cannot be reached":     {agents: 3, version: 1, after: time.Second},
		"one of them can, late":        {agents: 3, told: []int64{4}, version: 1, after: time.Second, want: time.Second},
		"no agents":                    {version: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var gate startup.Gate

			began := time.Unix(100, 0)
			gate.Check(began, max(c.agents, 1), 0)

			for i, version := range c.told {
				gate.Learn(string(rune('a'+i)), version)
			}

			assert.Equal(t, gate.Check(began.Add(c.after), c.agents, c.version), c.want)
			assert.Equal(t, gate.Passed(), c.want == 0)
		})
	}
}

// Guards against an entry that refuses requests because an agent knows of a change a moment earlier.
func TestLaterVersionsOfPeersDoNotCount(t *testing.T) {
	var gate startup.Gate

	gate.Learn("a", 4)
	assert.Equal(t, gate.Check(time.Unix(100, 0), 1, 4), time.Duration(0))

	gate.Learn("a", 5)
	assert.Equal(t, gate.Check(time.Unix(101, 0), 1, 4), time.Duration(0))
}
