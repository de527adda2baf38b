package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/link"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
)

// Guards against a choice that does not see the urgency of the request, the pace of a server at this moment, or what this entry has sent since.
func TestCandidateOfAState(t *testing.T) {
	now := time.Unix(1000, 0)
	waiting := []int64{100, 200, 400}

	cases := map[string]struct {
		state   link.State
		urgency int
		want    place.ModelServer
	}{
		"previous version":  {state: link.State{Backlog: 700}, want: place.ModelServer{Backlog: 700, Slowness: 100}},
		"most urgent":       {state: link.State{Backlog: 750, Waiting: waiting, Prefilling: 50}, want: place.ModelServer{Backlog: 150, Slowness: 100}},
		"less urgent":       {state: link.State{Backlog: 750, Waiting: waiting, Prefilling: 50}, urgency: 1, want: place.ModelServer{Backlog: 350, Slowness: 100}},
		"slow now":          {state: link.State{Rate: 15_000, Slowness: 250, SlownessAt: now}, want: place.ModelServer{Rate: 15_000, Slowness: 250}},
		"slow a while ago":  {state: link.State{Rate: 15_000, Slowness: 250, SlownessAt: now.Add(-300 * time.Millisecond)}, want: place.ModelServer{Rate: 15_000, Slowness: 175}},
		"sent since":        {state: link.State{Running: 2, Sent: 2, SentTokens: [10]int64{10, 20, 30}}, urgency: 1, want: place.ModelServer{Running: 4, Sent: 30, Slowness: 100}},
		"limited, and sent": {state: link.State{Sent: 2, StartDelay: time.Second, StartSpacing: time.Second}, want: place.ModelServer{Running: 2, StartDelay: 3 * time.Second, Slowness: 100}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := testJob(catalog.Resumable)
			j.urgency = c.urgency

			c.want.ID, c.want.Domain, c.want.Residency = "a", "d", place.Present
			assert.DeepEqual(t, j.candidate(now, fleet.Server{ID: "a", Domain: "d"}, &c.state, 0), c.want)
		})
	}
}
