// Package members estimates how many entries share a common budget, from the numbers that agents name. An estimate that is too large
// leaves a part of the budget unused; one that is too small exceeds it.
package members

import (
	"sync"
	"time"

	"github.com/chestnutbeam/chestnutbeam/internal/forward/peak"
)

// memory is how long a number is remembered at least. An entry that hears of no agent for that long knows no number any more, so that the
// others, which count it for longer, do not use its part at the same time.
const memory = 10 * time.Minute

// Count is the estimate of one entry. It is safe for concurrent use.
type Count struct {
	mu      sync.Mutex
	most    peak.Peak
	heardAt time.Time
}

// Hear records the number of entries that are connected to an agent, as the agent names it.
func (c *Count) Hear(now time.Time, entries int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.most.Retention = memory
	c.most.Record(now, entries)
	c.heardAt = now
}

// Get returns the largest number that an agent has named lately; 0 if it is not known.
func (c *Count) Get(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.heardAt.IsZero() || now.Sub(c.heardAt) > memory {
		return 0
	}

	return c.most.Get(now)
}
