package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/internal/route/retry"
)

// Guards against retries that multiply the load while most requests fail, and against a budget that counts requests outside
// the window.
func TestRetriesAreAShareOfRecentRequests(t *testing.T) {
	cases := map[string]struct {
		requests int
		wait     time.Duration
		allowed  int
	}{
		"quiet":   {0, 0, 10},
		"busy":    {1000, 0, 110},
		"recent":  {1000, 8 * time.Second, 110},
		"expired": {1000, 11 * time.Second, 10},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			budget, now := &retry.Budget{}, time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

			for range tc.requests {
				budget.RecordRequest(now)
			}

			allowed := 0

			for range 2000 {
				if budget.AllowRetry(now.Add(tc.wait)) {
					allowed++
				}
			}

			assert.Equal(t, allowed, tc.allowed)
		})
	}
}
