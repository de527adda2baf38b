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

// Guards against an urgent request that is refused or sent elsewhere because of work that waits behind it, and against an agent of the previous
// version whose backlog does not count.
func TestWorkAhead(t *testing.T) {
	waiting := []int64{100, 200, 0, 0, 0, 0, 0, 0, 0, 400}

	cases := map[string]struct {
		state   *relay.State
		urgency int
		// sent are the tokens that were sent since, by urgency.
		sent map[int]int64
		want int64
		own  int64
	}{
		"most urgent":             {state: &relay.State{Waiting: waiting, Prefilling: 50, Backlog: 750}, urgency: 0, want: 150},
		"less urgent":             {state: &relay.State{Waiting: waiting, Prefilling: 50, Backlog: 750}, urgency: 1, want: 350},
		"least urgent":            {state: &relay.State{Waiting: waiting, Prefilling: 50, Backlog: 750}, urgency: 9, want: 750},
		"beyond the list":         {state: &relay.State{Waiting: waiting, Prefilling: 50, Backlog: 750}, urgency: 30, want: 750},
		"negative":                {state: &relay.State{Waiting: waiting, Prefilling: 50, Backlog: 750}, urgency: -1, want: 150},
		"short list":              {state: &relay.State{Waiting: []int64{100, 600}, Prefilling: 50, Backlog: 750}, urgency: 4, want: 750},
		"previous version":        {state: &relay.State{Backlog: 750}, urgency: 0, want: 750},
		"sent since, as urgent":   {state: &relay.State{Waiting: waiting}, urgency: 1, sent: map[int]int64{0: 10, 1: 20}, want: 300, own: 30},
		"sent since, less urgent": {state: &relay.State{Waiting: waiting}, urgency: 1, sent: map[int]int64{2: 10, 12: 20}, want: 300},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := &Links{Log: logrus.New()}
			agent := &link{id: "i"}
			l.links = map[string]*link{"i": agent}

			l.replaceState(agent, c.state)

			for urgency, tokens := range c.sent {
				l.RecordSent("i", urgency, tokens)
			}

			state, _ := l.State("i")
			reported, sent := state.Ahead(c.urgency)
			assert.Equal(t, reported, c.want)
			assert.Equal(t, sent, c.own)
			assert.Equal(t, state.Sent, len(c.sent))
		})
	}
}
