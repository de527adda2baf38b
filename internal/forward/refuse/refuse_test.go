package refuse_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/refuse"
)

// Guards against sending a request whose expected wait exceeds both its maximum wait and its objective, and against refusing
// any other request that has a server.
func TestCheckModelRequest(t *testing.T) {
	candidate := refuse.Candidate{ID: "r", Found: true, MaxWait: 2 * time.Second, Objective: 800 * time.Millisecond}

	cases := map[string]struct {
		change func(c *refuse.Candidate)
		kind   fault.Kind
		// least and most bound the retry delay.
		least, most time.Duration
	}{
		"no wait":                  {change: func(*refuse.Candidate) {}},
		"wait below the objective": {change: func(c *refuse.Candidate) { c.ExpectedWait = 700 * time.Millisecond }},
		"above the objective, but within the maximum": {change: func(c *refuse.Candidate) { c.ExpectedWait = 1900 * time.Millisecond }},
		"within the objective, but no maximum wait":   {change: func(c *refuse.Candidate) { c.ExpectedWait, c.MaxWait = 700*time.Millisecond, 0 }},
		"wait above the maximum": {
			change: func(c *refuse.Candidate) { c.ExpectedWait = 3 * time.Second }, kind: fault.Overloaded, least: 3 * time.Second, most: 4500 * time.Millisecond,
		},
		"room after the retry is useful": {
			change: func(c *refuse.Candidate) { c.ExpectedWait, c.Useful = 9*time.Second, 3*time.Second }, kind: fault.Overloaded, least: 2 * time.Second, most: 3 * time.Second,
		},
		"room before the retry is useless": {
			change: func(c *refuse.Candidate) { c.ExpectedWait, c.Useful = 3*time.Second, 20*time.Second }, kind: fault.Overloaded, least: 3 * time.Second, most: 4500 * time.Millisecond,
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
			changed := candidate
			c.change(&changed)
			err := refuse.CheckModelRequest(changed)

			if c.kind == "" {
				assert.Assert(t, err == nil)
				return
			}

			assert.Equal(t, err.Kind, c.kind)
			assert.Assert(t, err.RetryDelay() >= c.least && err.RetryDelay() <= c.most, "%s", err.RetryDelay())
		})
	}
}

// Guards against clients that were refused at the same time and retry at the same time.
func TestRetriesAreSpread(t *testing.T) {
	const clients = 1000

	cases := map[string]refuse.Candidate{
		"loading model":                {ModelLoading: true},
		"long wait":                    {Found: true, ExpectedWait: 2500 * time.Millisecond},
		"wait longer than useful time": {Found: true, ExpectedWait: 20 * time.Second, Useful: 3750 * time.Millisecond},
	}

	for name, candidate := range cases {
		t.Run(name, func(t *testing.T) {
			retries := map[time.Duration]int{}

			for i := range clients {
				candidate.ID = strconv.Itoa(i)
				retries[refuse.CheckModelRequest(candidate).RetryDelay().Truncate(125*time.Millisecond)]++
			}

			// The jitter is up to half of 2.5 s in each case: 10 intervals of 125 ms.
			assert.Equal(t, len(retries), 10)

			for at, count := range retries {
				assert.Assert(t, count < clients/5, "%d clients retry after %s", count, at)
			}
		})
	}
}
