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
				if budgets[i].takeRetry(at, "s", bounds, entries) {
					retries++
				}
			}
		}
	}

	assert.Assert(t, float64(retries) <= bounds.RetryRatio*float64(requests)+bounds.RetryExtra, "%d of %d", retries, requests)
	assert.Assert(t, retries > 0)

	later := start.Add(3 * window)
	assert.Assert(t, budgets[0].takeRetry(later, "s", bounds, entries), "retries before the window do not count")
}
