package link

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/wire/relay"
)

// Guards against a slowness that counts in full although it was stated long ago, and against an agent of the previous version, or a server that
// states nothing, that counts as slow or as stopped.
func TestSlownessOfAState(t *testing.T) {
	cases := map[string]struct {
		state *relay.State
		after time.Duration
		want  int
	}{
		"previous version":   {state: &relay.State{}, want: 100},
		"just stated":        {state: &relay.State{Rate: 20_000, Slowness: 250}, want: 250},
		"old when sent":      {state: &relay.State{Rate: 20_000, Slowness: 250, SlowAgeMs: 300}, want: 175},
		"old since":          {state: &relay.State{Rate: 20_000, Slowness: 250, SlowAgeMs: 100}, after: 200 * time.Millisecond, want: 175},
		"stated long before": {state: &relay.State{Rate: 20_000, Slowness: 250}, after: 600 * time.Millisecond, want: 100},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Links{Log: logrus.New()}
				agent := &link{id: "i"}
				l.links = map[string]*link{"i": agent}

				l.replaceState(agent, c.state)
				time.Sleep(c.after)

				state, ok := l.State("i")
				assert.Assert(t, ok)
				assert.Equal(t, state.SlownessNow(time.Now()), c.want)
				assert.Equal(t, state.Rate, c.state.GetRate())
			})
		})
	}
}
