package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that together retry more requests than the common budget allows in a window.
func TestBudgetOfAllEntries(t *testing.T) {
	const (
		entries = 5
		window  = 10 * time.Second
	)

	bounds := Bounds{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: window}
	budgets := make([]retryBudget, entries)
	start := time.Unix(1000, 0)
	requests, retries := 0, 0

	for at := start; at.Before(start.Add(window)); at = at.Add(50 * time.Millisecond) {
		for i := range budgets {
			requests++
			budgets[i].countRequest(at, "s", bounds)

			for range 3 {
				if budgets[i].takeRetry(at, "s", bounds, bounds.RetryExtra/entries) {
					retries++
				}
			}
		}
	}

	assert.Assert(t, float64(retries) <= bounds.RetryRatio*float64(requests)+bounds.RetryExtra, "%d of %d", retries, requests)
	assert.Assert(t, retries > 0)

	later := start.Add(3 * window)
	assert.Assert(t, budgets[0].takeRetry(later, "s", bounds, bounds.RetryExtra/entries), "retries before the window do not count")
}

// Guards against processes of entries that together exceed the common budget in a window: those that know of no other entry, those that
// start in series, and those that start again and again (BUDGET).
func TestRetriesOfAllProcessesStayWithinTheCommonBudget(t *testing.T) {
	const (
		places = 5
		window = 10 * time.Second
		length = 40 * time.Second
		step   = 50 * time.Millisecond
	)

	bounds := Bounds{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: window}
	begin := time.Unix(1000, 0)

	cases := map[string]struct {
		// startOf returns when the process at a place started that runs at a time, after the begin; it runs from then on.
		startOf func(place int, at time.Duration) time.Duration
		// known returns the number of entries that a process knows of.
		known func(at time.Duration) int
		// extra is true if the extra retries are to be used.
		extra bool
	}{
		"steady": {
			startOf: func(int, time.Duration) time.Duration { return -time.Hour },
			known:   func(time.Duration) int { return places },
			extra:   true,
		},
		"no agents": {
			startOf: func(int, time.Duration) time.Duration { return -time.Hour },
			known:   func(time.Duration) int { return 0 },
		},
		"start in series": {
			startOf: func(place int, _ time.Duration) time.Duration { return time.Duration(place) * 3 * time.Second },
			known:   func(at time.Duration) int { return min(1+int(at/(3*time.Second)), places) },
			extra:   true,
		},
		"all restart at once": {
			startOf: func(_ int, at time.Duration) time.Duration {
				if at < 20*time.Second {
					return -time.Hour
				}

				return 20 * time.Second
			},
			known: func(time.Duration) int { return places },
			extra: true,
		},
		"restarts in series": {
			startOf: func(place int, at time.Duration) time.Duration {
				return (at - time.Duration(place)*time.Second).Truncate(5*time.Second) + time.Duration(place)*time.Second
			},
			known: func(time.Duration) int { return places },
		},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			processes := map[int]*Entry{}

			var requests, retries []time.Time

			for after := time.Duration(0); after < length; after += step {
				at := begin.Add(after)

				for place := range places {
					startedAt := begin.Add(c.startOf(place, after))
					if startedAt.After(at) {
						continue
					}

					if processes[place] == nil || processes[place].StartedAt != startedAt {
						processes[place] = &Entry{Bounds: bounds, StartedAt: startedAt, Entries: func() int { return c.known(after) }}
					}

					// Few requests, so that the extra retries are most of the budget.
					if after%time.Second == 0 {
						processes[place].retryBudget.countRequest(at, "s", bounds)
						requests = append(requests, at)
					}

					processes[place].Entries = func() int { return c.known(after) }
					if processes[place].takeRetry(at, "s") {
						retries = append(retries, at)
					}
				}
			}

			for after := window; after <= length; after += step {
				until := begin.Add(after)
				allowed := bounds.RetryRatio*countWithin(requests, until, window) + bounds.RetryExtra
				assert.Assert(t, countWithin(retries, until, window) <= allowed, "%s: %.0f of %.0f", after, countWithin(retries, until, window), allowed)
			}

			if c.extra {
				assert.Assert(t, countWithin(retries, begin.Add(length), window) > bounds.RetryRatio*countWithin(requests, begin.Add(length), window))
			}
		})
	}
}

// countWithin returns the number of times within the window that ends at a time.
func countWithin(times []time.Time, until time.Time, window time.Duration) float64 {
	count := 0

	for _, at := range times {
		if !at.After(until) && at.After(until.Add(-window)) {
			count++
		}
	}

	return float64(count)
}
