package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/core/fault"
	"github.com/chestnutbeam/chestnutbeam/internal/forward/catalog"
)

// Guards against a request that is taken although it may be cut off at the end of the process, also because earlier ones were shorter, and
// against the refusal of one that ends before (LOST).
func TestRequestsOfADrainingEntry(t *testing.T) {
	cases := map[string]struct {
		// left is the time until the end of the process; 0 if it is not draining.
		left time.Duration
		// since is the time since that end was announced.
		since    time.Duration
		deadline time.Duration
		took     []time.Duration
		refused  bool
	}{
		"not draining":                    {deadline: time.Minute},
		"ends by its deadline":            {left: 5 * time.Second, deadline: time.Second},
		"deadline after the end, unknown": {left: 5 * time.Second, deadline: 10 * time.Second, refused: true},
		"ends by the time it takes":       {left: 5 * time.Second, deadline: 10 * time.Second, took: []time.Duration{time.Second, 3 * time.Second}},
		"the longest may be cut":          {left: 5 * time.Second, deadline: 10 * time.Second, took: []time.Duration{time.Second, 6 * time.Second}, refused: true},
		"late, earlier ones were shorter": {left: 2300 * time.Millisecond, since: 3200 * time.Millisecond, deadline: 10 * time.Second, took: []time.Duration{500 * time.Millisecond}, refused: true},
		"late, ends by its deadline":      {left: 2300 * time.Millisecond, since: 3200 * time.Millisecond, deadline: 2 * time.Second, took: []time.Duration{500 * time.Millisecond}},
		"after the end":                   {left: -time.Second, deadline: time.Second, refused: true},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := testEntry(nil)
			j := testJob(catalog.AtMostOnce)
			j.deadline = time.Now().Add(c.deadline)

			for _, took := range c.took {
				e.durations.record(time.Now(), j.route.Name, took)
			}

			if c.left != 0 {
				e.Drain(time.Now().Add(-c.since), time.Now().Add(c.left))
			}

			_, err := e.checkDrain(j)
			assert.Equal(t, err != nil, c.refused)

			if err != nil {
				assert.Equal(t, err.Kind, fault.Draining)
				assert.Equal(t, err.RetryDelay(), drainRetry)
			}
		})
	}
}

// Guards against a request that a draining entry takes by the forecast of its response, and that waits in the queue of an agent for so long that
// the process ends before its response (LOST).
func TestForecastBoundsTheWaitForAServer(t *testing.T) {
	cases := map[string]struct {
		deadline time.Duration
		most     time.Duration
	}{
		"by forecast": {deadline: 10 * time.Second, most: 500 * time.Millisecond},
		"by deadline": {deadline: 2 * time.Second, most: 2 * time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, j := testEntry(nil), testJob(catalog.Resumable)
				j.deadline = time.Now().Add(c.deadline)
				e.durations.record(time.Now(), j.route.Name, 1499*time.Millisecond)

				unbounded := j.maxWait()
				e.Drain(time.Now(), time.Now().Add(2*time.Second))

				assert.Assert(t, e.checkDrainBeforeSend(j) == nil)
				assert.Equal(t, j.maxWait(), min(unbounded, c.most))
			})
		})
	}
}
