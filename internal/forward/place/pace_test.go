package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/place"
)

// Guards against work that goes to a slow server although a faster one would complete it sooner.
func TestChooseByPace(t *testing.T) {
	present := func(s place.ModelServer) place.ModelServer {
		s.Residency = place.Present
		return s
	}

	cases := map[string]struct {
		first, second place.ModelServer
		query         place.Query
		want          int
	}{
		"slow now, no backlog":      {first: place.ModelServer{Slowness: 250}, second: place.ModelServer{Slowness: 100}, want: 1},
		"low rate, no backlog":      {first: place.ModelServer{Rate: 14_000}, second: place.ModelServer{Rate: 19_000}, want: 1},
		"equal backlog":             {first: place.ModelServer{Rate: 14_000, Backlog: 3000}, second: place.ModelServer{Rate: 19_000, Backlog: 3000}, want: 1},
		"slow server is free":       {first: place.ModelServer{Rate: 14_000}, second: place.ModelServer{Rate: 19_000, Backlog: 3000}, want: 0},
		"slow now, less backlog":    {first: place.ModelServer{Slowness: 250, Backlog: 1000}, second: place.ModelServer{Backlog: 2000}, want: 1},
		"rate not known":            {first: place.ModelServer{}, second: place.ModelServer{Rate: 10_000}, want: 0},
		"rate that cannot be true":  {first: place.ModelServer{Rate: -1}, second: place.ModelServer{Rate: 10_000}, want: 0},
		"own requests, one entry":   {first: place.ModelServer{Sent: 1000}, second: place.ModelServer{Backlog: 1200}, want: 0},
		"own requests, ten entries": {first: place.ModelServer{Sent: 1000}, second: place.ModelServer{Backlog: 1200}, query: place.Query{Entries: 10}, want: 1},
		"long prefill, many streams": {
			first: place.ModelServer{Running: 8}, second: place.ModelServer{Running: 1, Backlog: 4000}, query: place.Query{PromptTokens: 6000, MaxGap: 300 * time.Millisecond}, want: 1,
		},
		"short prefill, many streams": {
			first: place.ModelServer{Running: 8}, second: place.ModelServer{Running: 1, Backlog: 4000}, query: place.Query{PromptTokens: 1000, MaxGap: 300 * time.Millisecond}, want: 0,
		},
		"prefill that is long at a slow server": {
			first: place.ModelServer{Running: 4, Slowness: 250}, second: place.ModelServer{Running: 4, Backlog: 4000}, query: place.Query{PromptTokens: 1500, MaxGap: 300 * time.Millisecond}, want: 1,
		},
		"no longest pause": {
			first: place.ModelServer{Running: 8}, second: place.ModelServer{Running: 1, Backlog: 4000}, query: place.Query{PromptTokens: 6000}, want: 0,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			query := c.query
			query.Adapter = "m/a1"
			query.PromptTokens = max(query.PromptTokens, 1460)
			c.first.ID, c.second.ID = "x", "y"

			got, wait := place.Choose(query, []place.ModelServer{present(c.first), present(c.second)})
			assert.Equal(t, got, c.want)
			assert.Assert(t, wait < 300*time.Millisecond, "the own prefill and the streams of the server are no wait: %s", wait)
		})
	}
}

// Guards against a request that is refused for its wait although a server, at which it costs more, would start it in time.
func TestChooseWithinTheLongestWait(t *testing.T) {
	query := place.Query{Adapter: "m/a1", PromptTokens: 6000, MaxGap: 300 * time.Millisecond}
	servers := []place.ModelServer{
		{ID: "x", Residency: place.Present, Backlog: 10_000},
		{ID: "y", Residency: place.Present, Running: 8},
	}

	cases := map[string]struct {
		maxWait time.Duration
		want    int
	}{
		"lowest cost":   {maxWait: time.Second, want: 0},
		"shortest wait": {maxWait: 400 * time.Millisecond, want: 1},
		"none in time":  {maxWait: time.Millisecond, want: 1},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, wait := place.ChooseWithin(query, servers, c.maxWait)
			assert.Equal(t, got, c.want)
			assert.Equal(t, wait < 400*time.Millisecond, c.want == 1)
		})
	}

	none, _ := place.ChooseWithin(query, nil, time.Second)
	assert.Equal(t, none, -1)
}
