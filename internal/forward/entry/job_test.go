package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/fleet"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/message"
)

// Guards against a request that an agent takes for one on time although its target has passed on the way or at another server, and against one that
// goes on with a stream and counts as late although its next event is not due yet.
func TestTargetCountsFromTheArrival(t *testing.T) {
	route := catalog.Route{Stream: true, Objective: 800 * time.Millisecond, GapTarget: 300 * time.Millisecond}

	cases := map[string]struct {
		waited time.Duration
		// begun is true if the client has events, the last of which came sinceEvent ago.
		begun      bool
		sinceEvent time.Duration
		want       time.Duration
	}{
		"at once":                 {want: 800 * time.Millisecond},
		"refused by a server":     {waited: 500 * time.Millisecond, want: 300 * time.Millisecond},
		"target has passed":       {waited: 2 * time.Second},
		"stream was just cut off": {waited: 2 * time.Second, begun: true, sinceEvent: 100 * time.Millisecond, want: 200 * time.Millisecond},
		"stream has been silent":  {waited: 2 * time.Second, begun: true, sinceEvent: time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := &job{request: &message.Request{ID: "r", Arrived: time.Now()}, route: route, deadline: time.Now().Add(time.Minute)}
				time.Sleep(c.waited)

				if c.begun {
					j.lastPiece = time.Now().Add(-c.sinceEvent)
				}

				assert.Equal(t, j.delivery(fleet.Server{}, 0).Objective, c.want)
			})
		})
	}
}

// Guards against a request of a route without a target that an agent takes for one whose target has passed: it would go behind all others, and
// its stream would count as late, so that prompts may hold it up.
func TestRequestWithoutTargetIsNotLate(t *testing.T) {
	cases := map[string]struct {
		route catalog.Route
		begun bool
	}{
		"no target for the first event": {route: catalog.Route{Stream: true, GapTarget: 300 * time.Millisecond}},
		"no longest pause":              {route: catalog.Route{Stream: true, Objective: 800 * time.Millisecond}, begun: true},
		"neither":                       {route: catalog.Route{Stream: true}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := &job{request: &message.Request{ID: "r", Arrived: time.Now()}, route: c.route, deadline: time.Now().Add(10 * time.Second)}
				time.Sleep(time.Second)

				if c.begun {
					j.lastPiece = time.Now()
				}

				assert.Equal(t, j.delivery(fleet.Server{}, 0).Objective, 9*time.Second)
			})
		})
	}
}
