package refuse_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
)

// Guards against requests that wait although they cannot be served in time, and against refusals of those that can.
func TestModel(t *testing.T) {
	choice := refuse.Candidate{ID: "r", Found: true, MaxWait: 2 * time.Second, Objective: 800 * time.Millisecond}

	cases := map[string]struct {
		change func(c *refuse.Candidate)
		kind   fault.Kind
		// least and most bound the time to come back.
		least, most time.Duration
	}{
		"no wait":                      {change: func(*refuse.Candidate) {}},
		"a wait that is on time":       {change: func(c *refuse.Candidate) { c.ExpectedWait = 700 * time.Millisecond }},
		"late, but the client waits":   {change: func(c *refuse.Candidate) { c.ExpectedWait = 1900 * time.Millisecond }},
		"on time, and little patience": {change: func(c *refuse.Candidate) { c.ExpectedWait, c.MaxWait = 700*time.Millisecond, 0 }},
		"the client leaves before": {
			change: func(c *refuse.Candidate) { c.ExpectedWait = 3 * time.Second }, kind: fault.Overloaded, least: 3 * time.Second, most: 3 * time.Second,
		},
		"no server": {
			change: func(c *refuse.Candidate) { c.Found = false }, kind: fault.NoServer, least: 500 * time.Millisecond, most: 750 * time.Millisecond,
		},
		"servers load the model": {
			change: func(c *refuse.Candidate) { c.Found, c.ModelLoading = false, true }, kind: fault.NoServer, least: 2500 * time.Millisecond, most: 3750 * time.Millisecond,
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			asked := choice
			c.change(&asked)
			err := refuse.ModelRequest(asked)

			if c.kind == "" {
				assert.Assert(t, err == nil)
				return
			}

			assert.Equal(t, err.Kind, c.kind)
			assert.Assert(t, err.Retry() >= c.least && err.Retry() <= c.most, "%s", err.Retry())
		})
	}
}

// Guards against a crowd that was refused at one moment and returns at one moment.
func TestCallersReturnSpread(t *testing.T) {
	const callers = 1000

	returns := map[time.Duration]int{}

	for i := range callers {
		err := refuse.ModelRequest(refuse.Candidate{ID: strconv.Itoa(i), ModelLoading: true})
		returns[err.Retry().Truncate(125*time.Millisecond)]++
	}

	assert.Equal(t, len(returns), 10)

	for at, count := range returns {
		assert.Assert(t, count < callers/5, "%d callers return at %s", count, at)
	}
}
